"""The service ``backends``: all requests to backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

import anyio

from hickorybeam.backends.cancels import StreamCanceller
from hickorybeam.backends.engine import run_engine
from hickorybeam.backends.http_client import HttpClient
from hickorybeam.backends.network import is_refused
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
# A timeout is noticed up to one tick late; a tenth of the shortest usual timeout.
WATCHDOG_TICK_MS = 50


class BackendsService(Service):
    """Sends requests to backend servers for the other services."""

    name: ClassVar[str] = BACKENDS
    needs: ClassVar[tuple[str, ...]] = (CONFIG,)

    def __init__(self, *, cfg: Settings, clock: Clock, counters: Counters) -> None:
        limits = cfg.backends
        self._cfg = limits
        self._retries = counters.retries
        self._watchdog = Watchdog(clock, tick_ms=WATCHDOG_TICK_MS)
        self.pool = ConnectionPool(
            clock, connect_timeout_ms=limits.connect_timeout_ms, max_idle_ms=limits.idle_ms
        )
        # Load reports and cancels have connections of their own: with shared ones, it would be
        # up to chance which calls find an open one.
        self._control_pool = ConnectionPool(
            clock, connect_timeout_ms=limits.connect_timeout_ms, max_idle_ms=limits.idle_ms
        )
        self._client = HttpClient(limits, self.pool, self._watchdog)
        client = HttpClient(limits, self._control_pool, self._watchdog)
        self._canceller = StreamCanceller(
            client, sent=counters.counter("cancels", "Streams stopped at engines", ("outcome",))
        )
        self._poller = ReportPoller(
            client,
            clock,
            region=cfg.vm.region,
            min_interval_ms=limits.report_every_ms,
            failures=counters.counter("load_report_failures", "Load reports that did not come"),
        )

    def bind(self, kernel: Kernel) -> None:
        """Look up the configuration service."""
        self._config = kernel.find(CONFIG, ConfigView)  # type: ignore[type-abstract]

    async def main(self, started: Started) -> None:
        """Poll load reports, send cancels and check timeouts until cancelled."""
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._watchdog.run)
            tg.start_soon(self.pool.run)
            tg.start_soon(self._control_pool.run)
            for _ in range(CANCEL_TASKS):
                tg.start_soon(self._canceller.run)
            # After a crash, the polling tasks have ended with their group and must start again.
            self._poller.reset()
            started()
            while True:
                state = self._config.current()
                self._poller.set_backends(state.backends.values(), tg)
                await self._config.wait_past(state.position)

    def run(self, call: Call, backend: BackendServer) -> AsyncIterator[ResponsePart]:
        """Run a call on one backend server; see :class:`hickorybeam.ports.BackendClient`."""
        if backend.kind is BackendKind.ENGINE:
            return run_engine(
                self._client,
                call,
                backend,
                retries=self._retries,
                cancel=self._canceller.post,
            )
        service = self._config.current().services.get(call.served)
        timeout_ms = min(call.deadline_ms, self._cfg.first_byte_ms)
        if service is not None:
            timeout_ms = min(timeout_ms, service.timeout_ms)
        return run_plain(self._client, call, backend, timeout_ms=timeout_ms)

    async def is_gone(self, backend: BackendServer, *, timeout_ms: int) -> bool:
        """Return whether a backend server's address refuses connections within the timeout."""
        return await is_refused(backend.host, backend.port, timeout_ms=timeout_ms)

    def report(self, backend: str) -> LoadReport | None:
        """Return the latest load report of a backend server, ``None`` if stale."""
        return self._poller.report(backend)
