"""The runs that VMs of other regions asked this one for, which they may cancel by name.

A VM that forwards a request closes the connection to cancel it. A link that fails doesn't carry
that, and the run would go on here while the request goes on elsewhere. So the VM also asks in a
datagram, and sends the request again only after this VM's answer: the run has ended, its connection
to the server is closed, and a request that arrives late is not run.
"""

from __future__ import annotations

from contextlib import contextmanager
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from hickorybeam.gateway.forwarding.run_messages import (
    CancelRun,
    CheckRun,
    RunAnswers,
    RunEnded,
    RunTrace,
)
from hickorybeam.gateway.runs.server_reports import UNENDED_STATES, RunState

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterator

    from hickorybeam.clock import Clock
    from hickorybeam.gateway.fleet import FleetService
    from hickorybeam.gateway.runs.region_check import RegionCheck
    from hickorybeam.telemetry import Counters
    from hickorybeam.telemetry.decisions import DecisionLog

__all__ = ("ForwardedRun", "ForwardedRuns")

# A request that was sent before its cancel arrives within this time, or not at all: its connection
# is closed at the sender's end by then.
CANCELLED_KEPT_MS = 60_000
# Names of cancelled runs; while so many are kept, no further cancel is answered.
MAX_CANCELLED = 8_192
# Runs without a name come from VMs of an earlier release, which can't cancel them.
UNNAMED = ""


class ForwardedRun:
    """A run that another region's VM asked for.

    ``begun``: a backend server may have run it. ``left``: its VM's connection ended first.
    ``cancelled_ms`` is when a cancel arrived, ``trace`` what it told of the run, if its end must be
    shown by its server's report as well. ``runs_on``: its server did not close its connection,
    or reports the run, and may work on.
    ``broke_off``: its server broke it off, and has told since that it ended.
    """

    def __init__(self, name: str, arrived_ms: int) -> None:
        self.name = name
        self.arrived_ms = arrived_ms
        self.begun = True
        self.left = False
        self.runs_on = False
        self.broke_off = False
        self.cancelled_ms: int | None = None
        self.trace: RunTrace | None = None
        self.asked_by: set[str] = set()
        self._cancel: Callable[[], None] | None = None
        self._is_answering: Callable[[], bool] = lambda: False

    def on_cancel(
        self, cancel: Callable[[], None], *, is_answering: Callable[[], bool] = lambda: False
    ) -> None:
        """Call ``cancel`` when the run is cancelled, at once if it has been.

        :param is_answering: returns whether its response has begun.
        """
        self._cancel, self._is_answering = cancel, is_answering
        if self.cancelled_ms is not None:
            cancel()

    @property
    def is_answering(self) -> bool:
        """Whether its response has begun, and it has not been cancelled."""
        return self.cancelled_ms is None and self._is_answering()

    def cancel(self, now_ms: int) -> None:
        """End the run."""
        if self.cancelled_ms is None:
            self.cancelled_ms = now_ms
            if self._cancel is not None:
                self._cancel()


@dataclass(frozen=True, slots=True)
class _Cancelled:
    """A run that must not begin, or begin again, until a time.

    ``is_shown``: that it has ended need not be asked of servers any more.
    """

    until_ms: int
    begun: bool
    runs_on: bool = False
    is_shown: bool = True


class ForwardedRuns:
    """Follows the runs of other regions' VMs, and answers their cancels."""

    def __init__(
        self,
        *,
        clock: Clock,
        counters: Counters,
        fleet: FleetService,
        log: DecisionLog,
        region_check: RegionCheck,
    ) -> None:
        self._clock = clock
        self._fleet = fleet
        self._log = log
        self._region_check = region_check
        self._open: dict[str, ForwardedRun] = {}
        # By name; the oldest come first.
        self._cancelled: dict[str, _Cancelled] = {}
        self._counter = counters.counter(
            "run_cancels_received", "Cancels of other regions' VMs", ("state",)
        )

    @contextmanager
    def open(self, name: str) -> Iterator[ForwardedRun | None]:
        """Follow a run until the block ends; ``None`` if its VM has cancelled it already."""
        if name == UNNAMED:
            yield ForwardedRun(name, self._clock.now())
            return
        if name in self._cancelled:
            self._counter.labels("before_arrival").inc()
            self._log.write("run_refused", run=name, why="cancelled before it arrived")
            yield None
            return
        run = self._open[name] = ForwardedRun(name, self._clock.now())
        try:
            yield run
        finally:
            if self._open.get(name) is run:
                del self._open[name]
            if run.runs_on:
                self._log.write("run_unsettled", run=name, why="the server did not close")
                self._keep_cancelled(name, begun=True, runs_on=True)
            elif run.cancelled_ms is not None:
                self._report_end(run)
            elif run.broke_off:
                # Its VM asks next. Other servers of the region need not be asked for that.
                self._keep_cancelled(name, begun=True)
            elif run.left and not run.begun:
                # Its VM may ask, and send the request elsewhere if it has never begun.
                self._keep_cancelled(run.name, begun=False)

    def _report_end(self, run: ForwardedRun) -> None:
        """Answer the cancels of a run that has ended."""
        now, cancelled_ms = self._clock.now(), run.cancelled_ms or 0
        self._log.write(
            "run_cancelled",
            run=run.name,
            begun=run.begun,
            cancelled_after_ms=cancelled_ms - run.arrived_ms,
            ended_after_ms=now - run.arrived_ms,
        )
        # A copy of the request that is still on its way must not begin.
        if self._keep_cancelled(run.name, begun=run.begun):
            for vm in run.asked_by:
                self._fleet.send_message(vm, RunEnded(run.name, run.begun))

    def handle_cancel(self, message: CancelRun) -> None:
        """End a run that another VM cancels, and answer once it has ended."""
        run = self._open.get(message.run)
        if run is not None and message.unless_answering and run.is_answering:
            self._counter.labels("answering").inc()
            self._fleet.send_message(message.vm, RunAnswers(message.run))
            return
        if run is not None:
            self._counter.labels("running").inc()
            run.asked_by.add(message.vm)
            run.trace = message.trace or run.trace
            run.cancel(self._clock.now())
            return
        # It has ended, or belonged to an earlier process of this VM, or has yet to arrive.
        self._counter.labels("unknown").inc()
        known = self._cancelled.get(message.run)
        if known is not None and known.runs_on:
            return
        begun = known is None or known.begun
        is_shown = message.trace is None or (known is not None and known.is_shown)
        if not self._keep_cancelled(message.run, begun=begun, is_shown=is_shown):
            return
        if is_shown or message.trace is None:
            self._fleet.send_message(message.vm, RunEnded(message.run, begun))
            return
        # Nothing is left whose close could show that its server has dropped it.
        self._region_check.start(message.run, message.trace, partial(self._show_ended, message))

    def _show_ended(self, message: CancelRun, states: Collection[RunState]) -> None:
        """Answer a cancel unless a server of this region may still work on the run.

        A VM that has just started may know no servers yet; the cancel is repeated meanwhile.
        """
        if states and UNENDED_STATES.isdisjoint(states):
            self._keep_cancelled(message.run, begun=True)
            self._fleet.send_message(message.vm, RunEnded(message.run, begun=True))

    def handle_check(self, message: CheckRun) -> None:
        """Tell whether this region's servers report that another VM's run has ended."""
        self._region_check.start(message.run, message.trace, partial(self._bear_witness, message))

    def _bear_witness(self, message: CheckRun, states: Collection[RunState]) -> None:
        if states and all(it is RunState.ENDED for it in states):
            self._fleet.send_message(message.vm, RunEnded(message.run, begun=True))

    def _keep_cancelled(
        self, name: str, *, begun: bool, runs_on: bool = False, is_shown: bool = True
    ) -> bool:
        """Remember that a run must not begin; return whether there was room."""
        now = self._clock.now()
        while self._cancelled and next(iter(self._cancelled.values())).until_ms <= now:
            del self._cancelled[next(iter(self._cancelled))]
        self._cancelled.pop(name, None)
        if len(self._cancelled) >= MAX_CANCELLED:
            self._counter.labels("no_room").inc()
            return False
        self._cancelled[name] = _Cancelled(now + CANCELLED_KEPT_MS, begun, runs_on, is_shown)
        return True
