"""Datagram messages by which a VM ends a run that it asked a VM of another region for."""

from __future__ import annotations

import msgspec

__all__ = ("CancelRun", "CheckRun", "RunAnswers", "RunEnded", "RunTrace", "RunWord")


class RunTrace(msgspec.Struct, frozen=True, array_like=True):
    """What the servers of a service know a run by."""

    request_id: str
    service: str


class CancelRun(msgspec.Struct, frozen=True, array_like=True, tag="cancel-run"):
    """Asks to end a run, or never to begin it.

    ``vm`` is the VM that asks, ``run`` the name that it gave the run. ``unless_answering``: the
    run goes on if its response has begun, which is on its way then. ``trace``: the answer must
    rest on the reports of servers as well; ``None`` if they make none.
    """

    vm: str
    run: str
    unless_answering: bool = False
    trace: RunTrace | None = None


class CheckRun(msgspec.Struct, frozen=True, array_like=True, tag="check-run"):
    """Asks a VM whether the reports of its region's servers show that a run has ended.

    The run's own VM has closed its connections and says nothing, as one that was killed.
    """

    vm: str
    run: str
    trace: RunTrace


class RunEnded(msgspec.Struct, frozen=True, array_like=True, tag="run-ended"):
    """Guarantees that a run has ended, and that none of this name begins.

    ``begun``: a backend server may have run it.
    """

    run: str
    begun: bool


class RunAnswers(msgspec.Struct, frozen=True, array_like=True, tag="run-answers"):
    """Tells that a run goes on, as its response has begun."""

    run: str


RunWord = RunEnded | RunAnswers
