"""End a run at another region's VM before its request goes on elsewhere.

That the connection to the VM broke, or that nothing comes on it, doesn't show that the run there
has ended: the VM may be cut off, busy or paused, and go on with it, or begin it, at any time. Only
the runner's word shows that: the VM's own or, once the VM has closed its connection and says
nothing, that of servers whose reports no longer list the run. No timer of the other VM could stand
in for it, as a VM that is paused keeps none, while its backend server works on.
"""

from __future__ import annotations

import itertools
import zlib
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

import anyio

from hickorybeam.clock import MS_PER_SECOND
from hickorybeam.gateway.forwarding.run_messages import (
    CancelRun,
    CheckRun,
    RunAnswers,
    RunEnded,
    RunTrace,
    RunWord,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from hickorybeam.clock import Clock
    from hickorybeam.gateway.fleet import FleetService
    from hickorybeam.http1.pool import Address
    from hickorybeam.telemetry import Counters
    from hickorybeam.telemetry.decisions import DecisionLog

__all__ = ("RemoteRun", "RunCancels")

# Datagrams get lost. The first answer takes a round trip to the other region.
REPEAT_INTERVAL_MS = 100
# By then the other VM is cut off, or too busy to run anything in time. The request gets its final
# response, so that its caller may come back.
MAX_WAIT_MS = 1_000
# Other VMs of the region are asked once the VM of the run has left one cancel unanswered. They wait
# for reports of their servers.
MAX_WITNESS_WAIT_MS = 1_500
WITNESSES = 2


@dataclass(frozen=True, slots=True)
class RemoteRun:
    """A run at another region's VM, at the address that its request was sent to.

    ``request_id`` is empty if the servers that may run it report no runs.
    """

    name: str
    vm: str
    address: Address
    region: str = ""
    request_id: str = ""
    service: str = ""


@dataclass(slots=True)
class _Question:
    """A cancel that waits for its answer."""

    word: RunWord | None = None
    answered: anyio.Event = field(default_factory=anyio.Event)


class RunCancels:
    """Names the runs that this VM asks others for, and cancels them."""

    def __init__(
        self, *, clock: Clock, counters: Counters, fleet: FleetService, log: DecisionLog
    ) -> None:
        self._clock = clock
        self._fleet = fleet
        self._log = log
        self._numbers = itertools.count(1)
        self._questions: dict[str, _Question] = {}
        self._counter = counters.counter(
            "run_cancels_sent", "Runs at other regions' VMs that were cancelled", ("answer",)
        )

    def new_name(self) -> str:
        """Return a name for a run that no other run of any VM has."""
        vm = self._fleet.own_vm
        return f"{vm.name}.{vm.incarnation}.{next(self._numbers)}"

    def abandon(self, run: RemoteRun) -> None:
        """Cancel a run whose request gets no response any more; no answer is awaited.

        The connection is closed as well, which a link may not carry.
        """
        self._counter.labels("not_awaited").inc()
        self._send(replace(run, request_id=""))

    async def settle(self, run: RemoteRun, *, was_closed: bool = False) -> RunEnded | None:
        """Cancel a run and return the guarantee that it has ended; ``None`` without one.

        :param was_closed: its VM closed the connection after its response had begun. If it was
            killed, other VMs of its region may give the guarantee.
        """
        witnesses = self._witnesses(run) if was_closed and run.request_id else []
        word = await self._ask(run, unless_answering=False, witnesses=witnesses)
        return word if isinstance(word, RunEnded) else None

    async def settle_silent(self, run: RemoteRun) -> RunWord | None:
        """Cancel a run unless its response has begun; return its VM's word, ``None`` without."""
        return await self._ask(run, unless_answering=True)

    def _witnesses(self, run: RemoteRun) -> list[str]:
        """Return some other VMs of a run's region.

        All VMs ask the same ones of one VM's runs, so that its servers are not asked by each.
        """
        found = sorted(it.name for it in self._fleet.region_vms(run.region) if it.name != run.vm)
        first = zlib.crc32(run.vm.encode()) % max(1, len(found))
        return [*found[first:], *found[:first]][:WITNESSES]

    async def _ask(
        self, run: RemoteRun, *, unless_answering: bool, witnesses: Sequence[str] = ()
    ) -> RunWord | None:
        began_ms = self._clock.now()
        question = self._questions.setdefault(run.name, _Question())
        limit_ms = MAX_WITNESS_WAIT_MS if witnesses else MAX_WAIT_MS
        asked: Sequence[str] = ()
        try:
            with anyio.move_on_after(limit_ms / MS_PER_SECOND):
                while question.word is None:
                    self._send(run, unless_answering=unless_answering)
                    self._send_checks(run, asked)
                    with anyio.move_on_after(REPEAT_INTERVAL_MS / MS_PER_SECOND):
                        await question.answered.wait()
                    asked = witnesses
        finally:
            self._questions.pop(run.name, None)
        self._record(run, question.word, self._clock.now() - began_ms)
        return question.word

    def _send(self, run: RemoteRun, *, unless_answering: bool = False) -> None:
        message = CancelRun(
            self._fleet.own_vm.name, run.name, unless_answering, self._trace_of(run)
        )
        self._fleet.send_to(run.address, message)

    def _send_checks(self, run: RemoteRun, vms: Sequence[str]) -> None:
        trace = self._trace_of(run)
        if trace is None:
            return
        for vm in vms:
            self._fleet.send_message(vm, CheckRun(self._fleet.own_vm.name, run.name, trace))

    def _trace_of(self, run: RemoteRun) -> RunTrace | None:
        if not run.request_id:
            return None
        return RunTrace(run.request_id, run.service)

    def _record(self, run: RemoteRun, word: RunWord | None, took_ms: int) -> None:
        match word:
            case None:
                answer = "none"
            case RunEnded(begun=True):
                answer = "ended"
            case RunEnded():
                answer = "not_begun"
            case RunAnswers():
                answer = "answering"
        self._counter.labels(answer).inc()
        self._log.write("run_settled", run=run.name, vm=run.vm, answer=answer, took_ms=took_ms)

    def handle_word(self, message: RunWord) -> None:
        """Pass an answer to the request that waits for it."""
        question = self._questions.get(message.run)
        if question is not None:
            question.word = message
            question.answered.set()
