"""The service ``backends``: everything that is sent to backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

import anyio

from hickorybeam.backends.caller import Caller
from hickorybeam.backends.cancels import Canceller
from hickorybeam.backends.engine import run_engine
from hickorybeam.backends.plain import run_plain
from hickorybeam.backends.pool import ConnectionPool
from hickorybeam.backends.reports import ReportPoller
from hickorybeam.kernel import Service
from hickorybeam.model import BackendKind
from hickorybeam.ports import BACKENDS, CONFIG, ConfigView
from hickorybeam.watchdog import Watchdog

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from hickorybeam.clock import Clock
    from hickorybeam.kernel import Kernel, Started
    from hickorybeam.model import BackendServer, Call, LoadReport, ResponsePart
    from hickorybeam.settings import Settings
    from hickorybeam.telemetry import Counters

__all__ = ("BackendsService",)

CANCEL_TASKS = 8
# Silence is noticed up to one tick late; a tenth of the shortest usual limit.
TICK_MS = 50


class BackendsService(Service):
    """Speaks to backend servers for the other services."""

    name: ClassVar[str] = BACKENDS
    needs: ClassVar[tuple[str, ...]] = (CONFIG,)

    def __init__(self, *, cfg: Settings, clock: Clock, counters: Counters) -> None:
        limits = cfg.backends
        self._cfg = limits
        self._retries = counters.retries
        self._watchdog = Watchdog(clock, tick_ms=TICK_MS)
        self.pool = ConnectionPool(
            clock, connect_timeout_ms=limits.connect_timeout_ms, idle_ms=limits.idle_ms
        )
        # Reports and cancels have connections of their own: sharing them would leave it to
        # chance which calls find a warm one.
        self._control_pool = ConnectionPool(
            clock, connect_timeout_ms=limits.connect_timeout_ms, idle_ms=limits.idle_ms
        )
        self._caller = Caller(limits, self.pool, self._watchdog)
        caller = Caller(limits, self._control_pool, self._watchdog)
        self._canceller = Canceller(
            caller, sent=counters.counter("cancels", "Streams stopped at engines", ("outcome",))
        )
        self._poller = ReportPoller(
            caller,
            clock,
            region=cfg.vm.region,
            every_ms=limits.report_every_ms,
            failures=counters.counter("load_report_failures", "Load reports that did not come"),
        )

    def bind(self, kernel: Kernel) -> None:
        """Find the configuration in force."""
        self._config = kernel.find(CONFIG, ConfigView)  # type: ignore[type-abstract]

    async def main(self, started: Started) -> None:
        """Poll load reports, send cancels and watch for silence until cancelled."""
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._watchdog.run)
            tg.start_soon(self.pool.run)
            tg.start_soon(self._control_pool.run)
            for _ in range(CANCEL_TASKS):
                tg.start_soon(self._canceller.run)
            # After a crash the old tasks are gone with their group; polls would never resume.
            self._poller.forget()
            started()
            while True:
                state = self._config.current()
                self._poller.follow(state.backends.values(), tg)
                await self._config.wait_past(state.position)

    def run(self, call: Call, backend: BackendServer) -> AsyncIterator[ResponsePart]:
        """Run a call on one backend server; see :class:`hickorybeam.ports.BackendClient`."""
        if backend.kind is BackendKind.ENGINE:
            return run_engine(
                self._caller,
                call,
                backend,
                retries=self._retries,
                cancel=self._canceller.post,
            )
        service = self._config.current().services.get(call.served)
        timeout_ms = min(call.deadline_ms, self._cfg.first_byte_ms)
        if service is not None:
            timeout_ms = min(timeout_ms, service.timeout_ms)
        return run_plain(self._caller, call, backend, timeout_ms=timeout_ms)

    def report(self, backend: str) -> LoadReport | None:
        """Return the latest load report of a backend server, ``None`` if stale."""
        return self._poller.report(backend)
