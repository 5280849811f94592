"""The service ``front``: the HTTP server for callers and operators."""

from __future__ import annotations

import functools
import itertools
import secrets
from typing import TYPE_CHECKING, ClassVar

import anyio

from hickorybeam.front import routes
from hickorybeam.front.context import FrontContext
from hickorybeam.front.memory import RequestMemory
from hickorybeam.front.protocol import CallerProtocol, ConnectionLimits
from hickorybeam.front.request import Request
from hickorybeam.httpserve import BACKLOG, serve_app
from hickorybeam.kernel import Service
from hickorybeam.policy.memory_budget import MemoryBudget
from hickorybeam.ports import (
    CONFIG,
    DISPATCH,
    FRONT,
    MEMBERS,
    ONCE,
    ConfigView,
    Dispatch,
    IdempotentCalls,
    Members,
)
from hickorybeam.watchdog import Watchdog

if TYPE_CHECKING:
    from hickorybeam.clock import Clock
    from hickorybeam.errors import ErrorKind
    from hickorybeam.front.request import Receive, Scope, Send
    from hickorybeam.kernel import Kernel, Started
    from hickorybeam.settings import Settings
    from hickorybeam.telemetry import Counters

__all__ = ("FrontService",)

WATCHDOG_TICK_MS = 100
DRAIN_POLL_MS = 20
# While draining, callers that still have this VM in their list or a connection to it get a refusal
# that lists other VMs for this long; a closed port could not redirect them.
DRAIN_LINGER_MS = 500
ID_PREFIX_BYTES = 6
BYTES_PER_MB = 1_000_000
# What the kernel keeps of what a connection received, and this process has not read.
RECEIVE_BYTES = 32_768
# Connections that wait to be accepted come all at once, before any other can be closed for them.
BACKLOG_SHARE = 1 / 8


class FrontService(Service):
    """Serves callers and operators until cancelled."""

    name: ClassVar[str] = FRONT
    needs: ClassVar[tuple[str, ...]] = (CONFIG, DISPATCH)

    def __init__(self, *, cfg: Settings, clock: Clock, counters: Counters) -> None:
        self._cfg = cfg
        self._clock = clock
        self._counters = counters
        self._watchdog = Watchdog(clock, tick_ms=WATCHDOG_TICK_MS)
        self._memory = MemoryBudget(memory_limit(cfg), now=clock.now)
        self._connection_limits = ConnectionLimits(
            cfg, self._watchdog, self._count_refusal, self._memory, counters
        )
        self._id_prefix = secrets.token_hex(ID_PREFIX_BYTES)
        self._request_numbers = itertools.count(1)
        self._in_flight = 0
        self._port = 0
        open_connections = counters.gauge("caller_connections", "Open connections of callers")
        open_connections.set_function(lambda: len(self._connection_limits.conns))
        in_flight = counters.gauge("requests_in_flight", "Requests being answered")
        in_flight.set_function(lambda: self._in_flight)
        held = counters.gauge("request_memory_bytes", "Memory reserved for requests")
        held.set_function(lambda: self._memory.taken)

    @property
    def port(self) -> int:
        """The actual port, 0 before the service listens."""
        return self._port

    def bind(self, kernel: Kernel) -> None:
        """Look up the services that handlers use; without members, refusals list no other VMs."""
        members = once = None
        if kernel.has(MEMBERS):
            members = kernel.find(MEMBERS, Members)  # type: ignore[type-abstract]
        if kernel.has(ONCE):
            once = kernel.find(ONCE, IdempotentCalls)  # type: ignore[type-abstract]
        self._context = FrontContext(
            cfg=self._cfg,
            clock=self._clock,
            counters=self._counters,
            kernel=kernel,
            config=kernel.find(CONFIG, ConfigView),  # type: ignore[type-abstract]
            dispatch=kernel.find(DISPATCH, Dispatch),  # type: ignore[type-abstract]
            members=members,
            once=once,
        )

    async def main(self, started: Started) -> None:
        """Listen until cancelled."""
        vm = self._cfg.vm
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._watchdog.run)
            protocol = functools.partial(CallerProtocol, limits=self._connection_limits)
            async with serve_app(
                self,
                host=vm.host,
                port=self._port or vm.http_port,
                http=protocol,
                keep_alive_ms=self._cfg.front.idle_ms,
                backlog=min(BACKLOG, int(vm.file_descriptors * BACKLOG_SHARE)),
                receive_bytes=RECEIVE_BYTES,
            ) as listener:
                self._port = listener.port
                if self._context.members is not None:
                    self._context.members.announce_serving(http_port=listener.port)
                started()
                await anyio.sleep_forever()

    async def drain(self) -> None:
        """Refuse new calls and wait for the requests in flight."""
        if self._context.members is not None:
            self._context.members.announce_leaving()
        self._context.draining = True
        await self._clock.sleep(DRAIN_LINGER_MS)
        # A response that is written but not yet read by its caller would be cut off, too.
        while self._in_flight or self._connection_limits.has_unsent_data():
            await self._clock.sleep(DRAIN_POLL_MS)

    def status(self) -> dict[str, object]:
        """Return counts of connections and requests, and the reserved memory."""
        return {
            "connections": len(self._connection_limits.conns),
            "in_flight": self._in_flight,
            "memory_bytes": self._memory.taken,
            "draining": self._context.draining,
        }

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one request as an ASGI app."""
        request_id = f"{self._id_prefix}{next(self._request_numbers):x}"
        origin = scope["client"][0] if scope["client"] else ""
        memory = RequestMemory(self._memory, origin)
        req = Request(scope, receive, send, request_id=request_id, memory=memory)
        self._in_flight += 1
        try:
            await routes.handle_request(self._context, req)
        finally:
            self._in_flight -= 1

    def _count_refusal(self, kind: ErrorKind) -> None:
        self._counters.refusals.labels(kind.value).inc()


def memory_limit(cfg: Settings) -> int:
    """Return what requests may hold together: as the settings say, within the VM's memory."""
    of_vm = cfg.vm.memory_mb * BYTES_PER_MB * cfg.intake.request_share
    return min(cfg.front.memory_bytes, int(of_vm))
