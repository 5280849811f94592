"""The service ``cold_asking``: detects servers that turn cold while no store changes arrive."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

import anyio

from hickorybeam.clock import MS_PER_SECOND
from hickorybeam.gateway.feed import FeedService
from hickorybeam.gateway.fleet import FleetService
from hickorybeam.http1 import BrokenResponseError, ConnectFailedError, UpstreamPool
from hickorybeam.http1.head import request_bytes
from hickorybeam.kernel import Service
from hickorybeam.platform import decode_response
from hickorybeam.policy.cold_health_checks import HEALTH_CHECK_INTERVAL_MS, servers_to_check
from hickorybeam.ports import COLD_HEALTH_CHECKS, FEED, FLEET
from hickorybeam.telemetry.decisions import DecisionLog

if TYPE_CHECKING:
    from hickorybeam.clock import Clock
    from hickorybeam.http1.pool import Address
    from hickorybeam.kernel import Kernel, Started
    from hickorybeam.model.routing import RegisteredServer
    from hickorybeam.settings import Settings
    from hickorybeam.telemetry import Counters

__all__ = ("ColdHealthCheckService",)

# A server with a free slot responds at once.
RESPONSE_TIMEOUT_MS = 250
HOST_HEADER = ((b"host", b"server"),)


class ColdHealthCheckService(Service):
    """Checks the health of this region's servers while this VM receives no changes of the store."""

    name: ClassVar[str] = COLD_HEALTH_CHECKS
    needs: ClassVar[tuple[str, ...]] = (FEED, FLEET)

    def __init__(self, *, cfg: Settings, clock: Clock, counters: Counters) -> None:
        self._clock = clock
        self._log = DecisionLog(clock)
        self._pool = UpstreamPool(
            clock, connect_ms=RESPONSE_TIMEOUT_MS, silent_ms=RESPONSE_TIMEOUT_MS
        )
        self._checks = counters.counter("health_questions", "Health checks of backend servers")

    def bind(self, kernel: Kernel) -> None:
        """Look up the feed and the fleet."""
        self._feed = kernel.find(FEED, FeedService)
        self._fleet = kernel.find(FLEET, FleetService)

    async def main(self, started: Started) -> None:
        """Check at intervals until cancelled."""
        started()
        while True:
            await self._clock.sleep(HEALTH_CHECK_INTERVAL_MS)
            if self._feed.watches_store or self._fleet.has_local_watcher():
                continue
            async with anyio.create_task_group() as tg:
                for server, health_path in self._servers_to_check():
                    tg.start_soon(self._check, server, health_path)

    def _servers_to_check(self) -> list[tuple[RegisteredServer, str]]:
        """Return the servers that this VM has to check, each with its health path.

        Only servers of services with a rate limit for cold ones are checked.
        """
        routing_state = self._feed.routing_state
        services = routing_state.config.services if routing_state.config else {}
        candidates = {
            it.server.id: (it.server, spec.health_path)
            for service, spec in services.items()
            if spec.cold_per_s > 0
            for it in routing_state.available_servers(service)
            if self._fleet.in_own_region(it.server.data_centre)
        }
        own = servers_to_check(
            self._fleet.own_vm.name, servers=candidates, vms=self._fleet.coordinators.serving_vms()
        )
        return [candidates[name] for name in own]

    async def _check(self, server: RegisteredServer, health_path: str) -> None:
        address = (server.host, server.port)
        try:
            with anyio.fail_after(RESPONSE_TIMEOUT_MS / MS_PER_SECOND):
                cold_ms = await self._query_cold_ms(address, health_path)
        except (ConnectFailedError, BrokenResponseError, TimeoutError) as exc:
            self._log.write("no_health", server=server.id, why=repr(exc))
            self._pool.close_idle(address)
            return
        if cold_ms:
            self._feed.routing_state.mark_cold(server.id, cold_ms, self._clock.now())
            self._fleet.report_cold(server.id, cold_ms)

    async def _query_cold_ms(self, address: Address, health_path: str) -> int | None:
        """Return how long a server says that it stays cold, in ms."""
        self._checks.inc()
        conn = await self._pool.acquire(address)
        try:
            conn.send(request_bytes("GET", health_path.encode(), HOST_HEADER, b""))
            info = decode_response(await conn.read_head())
            await conn.read_body()
        except BaseException:
            conn.abort()
            raise
        self._pool.release(address, conn)
        return info.cold_ms
