"""Whose word the version of a stream rests on, and how old it is."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

__all__ = ("VersionWord", "Witness")


class Witness(Enum):
    """Who says which version began a stream."""

    HERE = "here"
    """The stream began at this VM."""
    REPORT = "report"
    """Another VM told it in a report, without being asked."""
    ANSWER = "answer"
    """Another VM knows the stream, and was asked."""
    STORE = "store"
    """The store has confirmed that this VM knows all servers, and they have had one version."""
    EVERY_VM = "every_vm"
    """Every VM has said that it has known servers of one version only."""


@dataclass(frozen=True, slots=True)
class VersionWord:
    """The key of a stream's version, and who says so.

    ``vm`` is the VM whose word it is, empty for this one or several. ``age_ms`` is how long ago it
    was recorded there, or the store was asked.
    """

    key: bytes
    by: Witness
    vm: str = ""
    age_ms: int = 0
