"""What a mutation is: one safeguard or connection, and how it is broken."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ("Mutation",)


@dataclass(frozen=True, slots=True)
class Mutation:
    """One safeguard, how it is broken, and the tests (under ``tests/``) that must notice.

    ``scenarios`` is a pattern for the names of the scenarios to run, all by default.
    """

    safeguard: str
    path: str
    old: str
    new: str
    tests: str
    scenarios: str = ""
