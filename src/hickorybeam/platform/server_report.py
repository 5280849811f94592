"""What a model server reports of itself: the requests that it runs, and its start."""

from __future__ import annotations

from typing import Any

import msgspec

from hickorybeam.untrusted import WrongTypeError, decode_json

__all__ = ("REPORT_PATH", "decode_born", "decode_runs")

REPORT_PATH = b"/report"


class _Report(msgspec.Struct):
    """The part of a report that is read; a run's first item is its request's id."""

    runs: list[tuple[str, Any, Any, Any]]


class _Start(msgspec.Struct):
    """The part of a report that tells the server's start."""

    born: int


def decode_born(body: bytes) -> int | None:
    """Return the wall-clock time of the server's start in ms; ``None`` if it isn't told.

    :raises InvalidBytesError: it is no JSON, as one that broke off.
    """
    try:
        return decode_json(body, _Start).born
    except WrongTypeError:
        return None


def decode_runs(body: bytes) -> frozenset[str] | None:
    """Return the ids of the requests that run; ``None`` if it isn't a report of them.

    :raises InvalidBytesError: it is no JSON, as one that broke off.
    """
    try:
        report = decode_json(body, _Report)
    except WrongTypeError:
        return None
    return frozenset(run[0] for run in report.runs)
