"""The dispatch service: where and when each call runs, and what its caller gets."""

from __future__ import annotations

import random
from contextlib import aclosing
from typing import TYPE_CHECKING, ClassVar, cast

import anyio

from hickorybeam.dispatch.checks import check_call
from hickorybeam.dispatch.running import RunningCall, RunningCalls
from hickorybeam.dispatch.spend import Spend
from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.kernel import Service
from hickorybeam.model import AnswerEnd
from hickorybeam.ports import (
    BACKENDS,
    BUDGET,
    CONFIG,
    DISPATCH,
    MEMBERS,
    BackendClient,
    Budget,
    ConfigView,
    Members,
)

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, AsyncIterator

    from hickorybeam.clock import Clock
    from hickorybeam.dispatch.checks import Permit
    from hickorybeam.kernel import Kernel, Started
    from hickorybeam.model import AnswerPart, BackendServer, Call, ConfigState
    from hickorybeam.settings import Settings
    from hickorybeam.telemetry import Counters

__all__ = ("DispatchService",)

# A forwarded call names the log position its sender acted on; this is how long the receiver
# tries to catch up before it refuses as not run. Two heartbeats' worth (ports: 500 ms each).
CATCH_UP_MS = 1_000
DRAIN_POLL_MS = 50
CLOSE_TIMEOUT_S = 1.0


class DispatchService(Service):
    """Runs calls on the backend servers of this VM's region."""

    name: ClassVar[str] = DISPATCH
    needs: ClassVar[tuple[str, ...]] = (CONFIG, MEMBERS, BUDGET, BACKENDS)

    def __init__(self, *, cfg: Settings, clock: Clock, counters: Counters) -> None:
        self._cfg = cfg
        self._clock = clock
        self._counters = counters
        self._region = cfg.vm.region
        self._running = RunningCalls()
        self._in_flight: dict[str, int] = {}
        self._rng = random.Random()

    def bind(self, kernel: Kernel) -> None:
        """Look up neighbours."""
        self._config = kernel.find(CONFIG, ConfigView)  # type: ignore[type-abstract]
        self._members = kernel.find(MEMBERS, Members)  # type: ignore[type-abstract]
        self._budget = kernel.find(BUDGET, Budget)  # type: ignore[type-abstract]
        self._backends = kernel.find(BACKENDS, BackendClient)  # type: ignore[type-abstract]

    async def main(self, started: Started) -> None:
        """End calls that a change ticket forbids, as soon as it is in force."""
        started()
        position = -1
        while True:
            state = await self._config.changed(position)
            position = state.position
            self._running.apply(state)

    async def drain(self) -> None:
        """Let the calls in flight run out; the front takes no new ones by now."""
        while len(self._running):
            await self._clock.sleep(DRAIN_POLL_MS)

    async def run(self, call: Call) -> AsyncIterator[AnswerPart]:
        """Run a call and yield its answer's parts."""
        deadline = self._clock.now() + call.deadline_ms
        try:
            state = await self._caught_up(call)
            permit = check_call(call, state, region=self._region)
            spend = Spend(call, self._budget)
            running = RunningCall(call, self._region)
            self._running.add(running)
            try:
                await running.wait(spend.take())
                backend = self._choose(call, permit, state)
                async with aclosing(self._on_backend(running, backend, deadline)) as parts:
                    async for part in parts:
                        spend.saw(part)
                        yield part
            finally:
                self._running.remove(running)
                spend.settle()
        except GatewayError as exc:
            self._counters.refusals.labels(exc.kind.value).inc()
            raise

    async def _caught_up(self, call: Call) -> ConfigState:
        state = self._config.current()
        if call.position <= state.position:
            return state
        return await self._config.wait_for(call.position, timeout_ms=CATCH_UP_MS)

    def _choose(self, call: Call, permit: Permit, state: ConfigState) -> BackendServer:
        if self._region not in permit.regions:
            raise GatewayError(ErrorKind.NO_BACKEND)
        serving = [
            backend
            for backend in state.backends_by_served.get(call.served, ())
            if backend.region == self._region and not self._is_leaving(backend)
        ]
        if not serving:
            raise GatewayError(ErrorKind.NO_BACKEND, retry_after_ms=1_000)
        free = [b for b in serving if self._in_flight.get(b.name, 0) < b.slots]
        if not free:
            raise GatewayError(ErrorKind.OVERLOADED, retry_after_ms=1_000)
        self._rng.shuffle(free)
        return min(free, key=lambda b: self._in_flight.get(b.name, 0) / b.slots)

    def _is_leaving(self, backend: BackendServer) -> bool:
        report = self._backends.report(backend.name)
        return backend.leaving or (report is not None and report.leaving)

    async def _on_backend(
        self, running: RunningCall, backend: BackendServer, deadline: int
    ) -> AsyncGenerator[AnswerPart, None]:
        self._in_flight[backend.name] = self._in_flight.get(backend.name, 0) + 1
        parts = self._backends.run(running.call, backend)
        running.sent = True
        try:
            part = await running.first_part(parts, clock=self._clock, deadline=deadline)
            while not isinstance(part, AnswerEnd):
                yield part
                part = await running.next_part(parts)
            yield part
        finally:
            self._in_flight[backend.name] -= 1
            await close_parts(parts)


async def close_parts(parts: AsyncIterator[AnswerPart]) -> None:
    """Close an answer, which cancels it at the engine if it still runs there.

    Shielded, since it mostly happens while the caller's task is being cancelled: unshielded,
    the engine would never hear of it and go on generating for nobody. Bounded, so that an
    engine that hangs cannot keep the task.
    """
    with anyio.move_on_after(CLOSE_TIMEOUT_S, shield=True):
        await cast("AsyncGenerator[AnswerPart, None]", parts).aclose()
