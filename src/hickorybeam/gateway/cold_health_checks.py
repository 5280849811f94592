"""The service ``cold_asking``: health checks of servers that say what is not heard otherwise.

It detects servers that turn cold while no store changes arrive, and asks idle servers that tell
their speed how fast they are.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

import anyio

from hickorybeam.clock import MS_PER_SECOND
from hickorybeam.gateway.feed import FeedService
from hickorybeam.gateway.fleet import FleetService
from hickorybeam.gateway.server_notices import is_from
from hickorybeam.http1 import BrokenResponseError, ConnectFailedError, UpstreamPool
from hickorybeam.http1.head import request_bytes
from hickorybeam.kernel import Service
from hickorybeam.platform import NO_ID, decode_response
from hickorybeam.policy.cold_health_checks import HEALTH_CHECK_INTERVAL_MS, servers_to_check
from hickorybeam.policy.load_checks import LOAD_CHECK_INTERVAL_MS, server_to_ask
from hickorybeam.ports import COLD_HEALTH_CHECKS, FEED, FLEET
from hickorybeam.telemetry.decisions import DecisionLog

if TYPE_CHECKING:
    from hickorybeam.clock import Clock
    from hickorybeam.http1.pool import Address
    from hickorybeam.kernel import Kernel, Started
    from hickorybeam.platform import ResponseInfo
    from hickorybeam.policy.server_choice import ServerState
    from hickorybeam.settings import Settings
    from hickorybeam.telemetry import Counters

__all__ = ("ColdHealthCheckService",)

# A server with a free slot responds at once.
RESPONSE_TIMEOUT_MS = 250
MAX_RESPONSE_BYTES = 65_536
HOST_HEADER = ((b"host", b"server"),)


class ColdHealthCheckService(Service):
    """Checks the health of this region's servers: those that may turn cold, and idle ones."""

    name: ClassVar[str] = COLD_HEALTH_CHECKS
    needs: ClassVar[tuple[str, ...]] = (FEED, FLEET)

    def __init__(self, *, cfg: Settings, clock: Clock, counters: Counters) -> None:
        self._clock = clock
        self._log = DecisionLog(clock)
        self._checks_cold = False
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
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._check_cold)
            tg.start_soon(self._check_idle)

    async def _check_cold(self) -> None:
        """Check the servers that may turn cold while this VM receives no changes of the store."""
        while True:
            await self._clock.sleep(HEALTH_CHECK_INTERVAL_MS)
            self._set_checks_cold(on=not self._receives_changes())
            if not self._checks_cold:
                continue
            async with anyio.create_task_group() as tg:
                for state, health_path in self._servers_to_check():
                    tg.start_soon(self._check, state, health_path)

    def _receives_changes(self) -> bool:
        """Return whether changes of the store arrive, as far as this VM can tell.

        One that is cut off from all others as well knows that sooner than a poll ends.
        """
        if self._fleet.hears_nobody():
            return False
        return self._feed.watches_store or self._fleet.has_local_watcher()

    def _set_checks_cold(self, *, on: bool) -> None:
        """Record whether checks are due, and on what ground."""
        if on == self._checks_cold:
            return
        self._checks_cold = on
        self._log.write(
            "cold_checks",
            on=on,
            watches_store=self._feed.watches_store,
            local_watcher=self._fleet.has_local_watcher(),
            store_answer_age_ms=self._fleet.store_answer_age_ms(),
            report_ages_ms=self._fleet.peers.report_ages_ms(),
        )

    async def _check_idle(self) -> None:
        """Ask an idle server of each service how fast it is, where that may change a choice.

        Of all VMs of the region, only the placement coordinator of the service asks.
        """
        while True:
            await self._clock.sleep(LOAD_CHECK_INTERVAL_MS)
            config = self._feed.routing_state.config
            async with anyio.create_task_group() as tg:
                for service, spec in (config.services if config else {}).items():
                    state = self._server_to_ask(service)
                    if state is not None and self._take_check(state):
                        tg.start_soon(self._check, state, spec.health_path)

    def _server_to_ask(self, service: str) -> ServerState | None:
        coordinators = self._fleet.coordinators
        if coordinators.first_vm(service) != self._fleet.own_vm.name:
            return None
        now = self._clock.now()
        states = [
            it
            for it in self._feed.routing_state.available_servers(service)
            if self._fleet.in_own_region(it.server.data_centre) and it.backoff_until_ms <= now
        ]
        return server_to_ask(states, now)

    def _servers_to_check(self) -> list[tuple[ServerState, str]]:
        """Return the servers that this VM has to check, each with its health path.

        Only servers of services with a rate limit for cold ones are checked. One that names a limit
        no higher than that gets no more than it takes when cold; with a higher limit, health checks
        count towards it.
        """
        routing_state = self._feed.routing_state
        services = routing_state.config.services if routing_state.config else {}
        candidates = {
            it.server.id: (it, spec.health_path)
            for service, spec in services.items()
            if spec.cold_per_s > 0
            for it in routing_state.available_servers(service)
            if self._fleet.in_own_region(it.server.data_centre) and it.limit_per_s > spec.cold_per_s
        }
        name = self._fleet.own_vm.name
        # Others may check, and this VM would not hear of it.
        alone = self._fleet.hears_nobody()
        vms = [name] if alone else self._fleet.coordinators.serving_vms()
        own = servers_to_check(name, servers=candidates, vms=vms)
        return [candidates[name] for name in own if self._take_check(candidates[name][0])]

    def _take_check(self, state: ServerState) -> bool:
        """Return whether a server takes a health check now, and count it towards its limit."""
        now = self._clock.now()
        if state.is_resting(now):
            return False
        if not state.names_limit:
            return True
        if not self._fleet.server_rates.may_send(state, now):
            return False
        self._fleet.server_rates.record_send(state, now)
        return True

    async def _check(self, state: ServerState, health_path: str) -> None:
        server = state.server
        address = (server.host, server.port)
        try:
            with anyio.fail_after(RESPONSE_TIMEOUT_MS / MS_PER_SECOND):
                info = await self._query(address, health_path)
        except (ConnectFailedError, BrokenResponseError, TimeoutError) as exc:
            self._log.write("no_health", server=server.id, why=repr(exc))
            self._pool.close_idle(address)
            return
        if info.server_id is None or not is_from(state, info):
            # Nothing else shows that it is the response to a health check.
            return
        self._fleet.server_notices.record(state, info)
        if info.cold_ms:
            self._fleet.report_cold(server.id, info.cold_ms)

    async def _query(self, address: Address, health_path: str) -> ResponseInfo:
        """Return what a server says of itself in response to a health check."""
        self._checks.inc()
        conn = await self._pool.acquire(address)
        try:
            data = request_bytes("GET", health_path.encode(), HOST_HEADER, b"")
            conn.send(data, expected_id=NO_ID)
            info = decode_response(await conn.read_head())
            await conn.read_body(max_bytes=MAX_RESPONSE_BYTES)
        except BaseException:
            conn.abort()
            raise
        self._pool.release(address, conn)
        return info
