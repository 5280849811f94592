"""What a model server reports of itself: the requests that it runs."""

from __future__ import annotations

from typing import Any

import msgspec

from hickorybeam.untrusted import WrongTypeError, decode_json

__all__ = ("REPORT_PATH", "decode_runs")

REPORT_PATH = b"/report"


class _Report(msgspec.Struct):
    """The part of a report that is read; a run's first item is its request's id."""

    runs: list[tuple[str, Any, Any, Any]]


def decode_runs(body: bytes) -> frozenset[str] | None:
    """Return the ids of the requests that run; ``None`` if it isn't a report of them.

    :raises InvalidBytesError: it is no JSON, as one that broke off.
    """
    try:
        report = decode_json(body, _Report)
    except WrongTypeError:
        return None
    return frozenset(run[0] for run in report.runs)
