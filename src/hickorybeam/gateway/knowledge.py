"""What one VM knows: configuration, backend servers, evacuations; written by the feed only."""

from __future__ import annotations

from typing import TYPE_CHECKING

from absl import logging

from hickorybeam.model.routing import CallerRules, RoutingConfig
from hickorybeam.policy.cold_limit import ColdServerLimiter
from hickorybeam.policy.route_table import RouteTable
from hickorybeam.policy.server_choice import ServerState

if TYPE_CHECKING:
    from hickorybeam.model.routing import RegisteredServer

__all__ = ("Knowledge",)


class Knowledge:
    """The latest state of all that the store holds for the gateway."""

    def __init__(self) -> None:
        self.config: RoutingConfig | None = None
        self.table = RouteTable(())
        self.standings: dict[str, ServerState] = {}
        self.evacuated: frozenset[str] = frozenset()
        self._by_service: dict[str, dict[str, ServerState]] = {}
        self._cold_until: dict[str, int] = {}
        self._cold: dict[str, ColdServerLimiter] = {}

    def callers(self) -> CallerRules:
        """Return the limits on callers that are in force."""
        return self.config.callers if self.config else CallerRules()

    def take_config(self, config: RoutingConfig) -> bool:
        """Take over a configuration unless it is older than the one in force.

        A stale read or a lagging peer may hand out an older version; going back would serve
        withdrawn keys and routes again.
        """
        if self.config is not None and config.version <= self.config.version:
            return False
        self.config = config
        self.table = RouteTable(config.routes)
        return True

    def take_server(self, server: RegisteredServer, now_ms: int) -> None:
        """Take over what a server says of itself; a new life starts with a clean record."""
        standing = self.standings.get(server.id)
        if standing is None or not same_life(standing.server, server):
            self._remove(server.id)
            standing = ServerState(server)
            self.standings[server.id] = standing
            self._by_service.setdefault(server.service, {})[server.id] = standing
            logging.info("server %s of %s is there", server.id, server.service)
        if server.leaving and not standing.server.leaving:
            logging.info("server %s of %s is leaving", server.id, server.service)
        standing.server = server
        if server.cold_ms > 0:
            self.cold(server.id, server.cold_ms, now_ms)

    def drop_server(self, server_id: str) -> None:
        """Forget a server that is gone."""
        if self._remove(server_id):
            logging.info("server %s is gone", server_id)
            self._cold_until.pop(server_id, None)
            self._cold.pop(server_id, None)

    def cold(self, server_id: str, cold_ms: int, now_ms: int) -> None:
        """Take note that a server stays cold for so long."""
        until = now_ms + cold_ms
        if until > self._cold_until.get(server_id, 0):
            self._cold_until[server_id] = until

    def is_cold(self, server_id: str, now_ms: int) -> bool:
        """Whether a server is still cold."""
        return now_ms < self._cold_until.get(server_id, 0)

    def cold_limit(self, server: RegisteredServer, now_ms: int) -> ColdServerLimiter:
        """Return this VM's part of what a cold server may get."""
        limit = self._cold.get(server.id)
        if limit is None:
            spec = self.config.services.get(server.service) if self.config else None
            per_s = spec.cold_per_s if spec else 0.0
            limit = self._cold[server.id] = ColdServerLimiter(rate_per_s=per_s, now_ms=now_ms)
        return limit

    def servers(self, service: str) -> list[ServerState]:
        """Return the servers of a service that are neither leaving nor evacuated."""
        found = self._by_service.get(service, {}).values()
        return [it for it in found if self.takes_work(it)]

    def takes_work(self, standing: ServerState) -> bool:
        """Whether a server is neither leaving nor evacuated."""
        server = standing.server
        return not server.leaving and server.data_centre not in self.evacuated

    def _remove(self, server_id: str) -> bool:
        """Take a server out; :return: whether it was there."""
        standing = self.standings.pop(server_id, None)
        if standing is None:
            return False
        del self._by_service[standing.server.service][server_id]
        return True


def same_life(old: RegisteredServer, new: RegisteredServer) -> bool:
    """Whether two entries under one id speak of the same start of a server."""
    return old.born_ms == new.born_ms and old.service == new.service
