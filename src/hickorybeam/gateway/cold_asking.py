"""The service ``cold_asking``: finds servers that turn cold while nobody tells changes."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

import anyio

from hickorybeam.clock import MS_PER_SECOND
from hickorybeam.gateway.feed import FeedService
from hickorybeam.gateway.fleet import FleetService
from hickorybeam.http1 import BrokenAnswerError, ConnectFailedError, UpstreamPool
from hickorybeam.http1.head import request_bytes
from hickorybeam.kernel import Service
from hickorybeam.platform import decode_answer
from hickorybeam.policy.cold_health_checks import HEALTH_CHECK_INTERVAL_MS, servers_to_check
from hickorybeam.ports import COLD_ASKING, FEED, FLEET
from hickorybeam.telemetry.decisions import DecisionLog

if TYPE_CHECKING:
    from hickorybeam.clock import Clock
    from hickorybeam.http1.pool import Address
    from hickorybeam.kernel import Kernel, Started
    from hickorybeam.model.routing import RegisteredServer
    from hickorybeam.settings import Settings
    from hickorybeam.telemetry import Counters

__all__ = ("ColdAskingService",)

# A server that has a free place answers at once.
ANSWER_LIMIT_MS = 250
HOST_HEADER = ((b"host", b"server"),)


class ColdAskingService(Service):
    """Asks servers of this region for their health while this VM hears of no changes."""

    name: ClassVar[str] = COLD_ASKING
    needs: ClassVar[tuple[str, ...]] = (FEED, FLEET)

    def __init__(self, *, cfg: Settings, clock: Clock, counters: Counters) -> None:
        self._clock = clock
        self._log = DecisionLog(clock)
        self._pool = UpstreamPool(clock, connect_ms=ANSWER_LIMIT_MS, silent_ms=ANSWER_LIMIT_MS)
        self._asked = counters.counter("health_questions", "Health questions to backend servers")

    def bind(self, kernel: Kernel) -> None:
        """Look up neighbours."""
        self._feed = kernel.find(FEED, FeedService)
        self._fleet = kernel.find(FLEET, FleetService)

    async def main(self, started: Started) -> None:
        """Ask until cancelled."""
        started()
        while True:
            await self._clock.sleep(HEALTH_CHECK_INTERVAL_MS)
            if self._feed.follows or self._fleet.told_beside():
                continue
            async with anyio.create_task_group() as tg:
                for server, health_path in self._due():
                    tg.start_soon(self._ask, server, health_path)

    def _due(self) -> list[tuple[RegisteredServer, str]]:
        """Return this VM's servers of services that tell how much a cold one bears.

        Beside each is the path at which it is asked.
        """
        knowledge = self._feed.knowledge
        services = knowledge.config.services if knowledge.config else {}
        here = {
            it.server.id: (it.server, spec.health_path)
            for service, spec in services.items()
            if spec.cold_per_s > 0
            for it in knowledge.servers(service)
            if self._fleet.is_here(it.server.data_centre)
        }
        mine = servers_to_check(
            self._fleet.me.name, servers=here, vms=self._fleet.coordinators.serving_vms()
        )
        return [here[name] for name in mine]

    async def _ask(self, server: RegisteredServer, health_path: str) -> None:
        address = (server.host, server.port)
        try:
            with anyio.fail_after(ANSWER_LIMIT_MS / MS_PER_SECOND):
                cold_ms = await self._cold_ms(address, health_path)
        except (ConnectFailedError, BrokenAnswerError, TimeoutError) as exc:
            self._log.note("no_health", server=server.id, why=repr(exc))
            self._pool.forget(address)
            return
        if cold_ms:
            self._feed.knowledge.cold(server.id, cold_ms, self._clock.now())
            self._fleet.found_cold(server.id, cold_ms)

    async def _cold_ms(self, address: Address, health_path: str) -> int | None:
        """Return for how long a server stays cold by its own word."""
        self._asked.inc()
        conn = await self._pool.take(address)
        try:
            conn.send(request_bytes("GET", health_path.encode(), HOST_HEADER, b""))
            facts = decode_answer(await conn.head())
            await conn.body()
        except BaseException:
            conn.abort()
            raise
        self._pool.give_back(address, conn)
        return facts.cold_ms
