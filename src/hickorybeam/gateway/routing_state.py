"""State that requests are routed by: configuration, backend servers, evacuations.

The feed writes it; status reports, health checks and responses only record what servers say of
themselves: that they are cold or leaving, and the limits that they name.
"""

from __future__ import annotations

import math
from statistics import fmean
from typing import TYPE_CHECKING

from absl import logging

from hickorybeam.model.routing import CallerLimits, RoutingConfig
from hickorybeam.policy.route_table import RouteTable
from hickorybeam.policy.server_choice import ServerState
from hickorybeam.policy.server_rate import (
    cold_rate_limit,
    named_rate_limit,
    stricter_limit,
)
from hickorybeam.policy.version_history import VersionHistory

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from hickorybeam.gateway.targets import AdmittedRequest
    from hickorybeam.model.routing import RegisteredServer, Route, ServiceSpec
    from hickorybeam.policy.server_rate import RateLimit

__all__ = ("RoutingState",)

# Entries expire while the store is out, and return for the same start of a server: what it said
# still holds then. More servers than the fleet has are never gone at once.
MAX_REMOVED_SERVERS = 1_000


def services_by_route(routes: Iterable[Route]) -> set[tuple[str, str]]:
    """Return the routes' names, each with each service that it leads to."""
    return {(it.name, target.service) for it in routes for target in it.targets}


class RoutingState:
    """Latest state of the gateway's entries in the store, as this VM knows them."""

    def __init__(self) -> None:
        self.config: RoutingConfig | None = None
        self.route_table = RouteTable(())
        self.server_states: dict[str, ServerState] = {}
        # Grows with each change of the available servers, so that lists of them can be kept.
        self.servers_revision = 0
        self.version_history = VersionHistory()
        # The services to which each route leads, and led lately.
        self.service_history = VersionHistory()
        self._evacuated_data_centres: frozenset[str] = frozenset()
        self._mean_rate_per_s = 0.0
        self._by_service: dict[str, dict[str, ServerState]] = {}
        self._cold_until: dict[str, int] = {}
        # Servers whose entries are gone, in the order of their removal.
        self._removed: dict[str, ServerState] = {}
        # Called with a server whose entry is new, whose entry has changed, and whose entry is gone
        # or replaced by that of a later start.
        self.on_listed: Callable[[ServerState], None] = lambda state: None
        self.on_renewed: Callable[[ServerState], None] = lambda state: None
        self.on_unlisted: Callable[[ServerState], None] = lambda state: None

    @property
    def evacuated_data_centres(self) -> frozenset[str]:
        """The data centres whose servers get no new requests."""
        return self._evacuated_data_centres

    @evacuated_data_centres.setter
    def evacuated_data_centres(self, data_centres: frozenset[str]) -> None:
        self._evacuated_data_centres = data_centres
        self.servers_revision += 1

    def caller_limits(self) -> CallerLimits:
        """Return the limits on callers' requests that are in force."""
        return self.config.callers if self.config else CallerLimits()

    def update_config(self, config: RoutingConfig, now_ms: int) -> bool:
        """Apply a configuration if it is newer than the one in force.

        A stale read or a lagging VM may return an older version; applying it would bring back
        revoked keys and removed routes.

        :return: whether it was applied.
        """
        if self.config is not None and config.version <= self.config.version:
            return False
        self._note_services(config, now_ms)
        self.config = config
        self.route_table = RouteTable(config.routes)
        rates = [it.rate_per_s for it in config.accounts.values() if it.rate_per_s > 0]
        self._mean_rate_per_s = fmean(rates) if rates else 0.0
        for state in self.server_states.values():
            state.cache_tokens = self.cache_tokens(state.server.service)
        return True

    def _note_services(self, config: RoutingConfig, now_ms: int) -> None:
        """Record which services routes lead to from now on, and which not any more."""
        before = services_by_route(self.config.routes) if self.config else set()
        after = services_by_route(config.routes)
        for route, service in before - after:
            self.service_history.remove(route, service.encode(), now_ms)
        for route, service in after - before:
            self.service_history.add(route, service.encode())

    def may_run_in(self, request: AdmittedRequest, region: str) -> bool:
        """Return whether a region is a home region of a request's route and of its account.

        Those of its admission count as well: the account may leave the configuration while its
        request waits.
        """
        homes = [request.route.homes, request.account_homes]
        terms = self.config.accounts.get(request.account or "") if self.config else None
        if terms is not None:
            homes.append(terms.homes)
        return all(not home or region in home for home in homes)

    def update_server(self, server: RegisteredServer, now_ms: int) -> None:
        """Apply a server's registration; a new incarnation starts with a new state."""
        state = self.server_states.get(server.id)
        if state is None or not same_incarnation(state.server, server):
            earlier = state
            self._remove(server.id, now_ms)
            state = ServerState(server, listed_ms=now_ms)
            if earlier is not None and is_known_later(earlier, server):
                state.start_doubt = earlier.start_doubt
            removed = self._removed.pop(server.id, None)
            if removed is not None and same_incarnation(removed.server, server):
                state.adopt_notices(removed)
            self.server_states[server.id] = state
            self._by_service.setdefault(server.service, {})[server.id] = state
            self.version_history.add(server.service, state.version_key)
            self.servers_revision += 1
            logging.info(
                "server %s of service %s registered, version %s",
                server.id,
                server.service,
                server.version,
            )
            self.on_listed(state)
        elif is_listed_differently(state.server, server):
            self.servers_revision += 1
        if server.leaving and not state.server.leaving:
            logging.info("server %s of service %s is leaving", server.id, server.service)
        state.server = server
        state.renewed_ms = now_ms
        if server.cold_ms > 0:
            self.mark_cold(server.id, server.cold_ms, now_ms)
        self.on_renewed(state)

    def remove_server(self, server_id: str, now_ms: int) -> None:
        """Remove a server whose entry is gone."""
        state = self.server_states.get(server_id)
        if state is not None and self._remove(server_id, now_ms):
            self._removed[server_id] = state
            if len(self._removed) > MAX_REMOVED_SERVERS:
                del self._removed[next(iter(self._removed))]
            logging.info("server %s removed", server_id)
            self._cold_until.pop(server_id, None)

    def mark_cold(self, server_id: str, cold_ms: int, now_ms: int) -> None:
        """Record that a server stays cold for at least this long from now on."""
        until = now_ms + cold_ms
        if until > self._cold_until.get(server_id, 0):
            self._cold_until[server_id] = until

    def is_cold(self, server_id: str, now_ms: int) -> bool:
        """Return whether a server is still cold."""
        return now_ms < self._cold_until.get(server_id, 0)

    def is_rate_limited(self, state: ServerState, now_ms: int) -> bool:
        """Return whether a server limits the rate that it takes, or is cold."""
        return state.limit_per_s != math.inf or now_ms < self._cold_until.get(state.server.id, 0)

    def rate_limit(self, state: ServerState, now_ms: int) -> RateLimit | None:
        """Return the limit on the requests of all VMs to a server, ``None`` if there is none."""
        cold = None
        if self.is_cold(state.server.id, now_ms):
            spec = self.service_spec(state.server.service)
            cold = cold_rate_limit(spec.cold_per_s if spec else 0.0)
        if not state.names_limit:
            return cold
        named = named_rate_limit(state.limit_per_s)
        return named if cold is None else stricter_limit(named, cold)

    def service_spec(self, service: str) -> ServiceSpec | None:
        """Return what the configuration says of a service."""
        return self.config.services.get(service) if self.config else None

    def cache_tokens(self, service: str) -> int:
        """Return the cache size of a service's servers, 0 if it isn't declared."""
        spec = self.service_spec(service)
        return spec.engine.cache_tokens if spec and spec.engine else 0

    def account_weight(self, account: str | None) -> float:
        """Return an account's share of a service that all accounts want, relative to others.

        It is the account's rate over the mean of all that have one; without a rate, the mean.
        """
        terms = self.config.accounts.get(account or "") if self.config else None
        if terms is None or terms.rate_per_s <= 0 or not self._mean_rate_per_s:
            return 1.0
        return terms.rate_per_s / self._mean_rate_per_s

    def record_limit(self, state: ServerState, per_s: float, heard_ms: int) -> None:
        """Record the rate limit that a server named in a response to this VM or another one.

        :param per_s: requests per second, infinite if it named none.
        """
        before = state.limit_per_s
        if state.record_limit(per_s, heard_ms):
            logging.info(
                "server %s of service %s limits its rate to %g requests/s, before: %g",
                state.server.id,
                state.server.service,
                per_s,
                before,
            )

    def mark_leaving(self, state: ServerState) -> None:
        """Record that a server said that it is leaving, to this VM or another one.

        This holds until it starts again: its entry in the store may say otherwise for longer.
        """
        if not state.said_leaving:
            state.said_leaving = True
            self.servers_revision += 1
            logging.info(
                "server %s of service %s says that it is leaving",
                state.server.id,
                state.server.service,
            )

    def servers_at(self, state: ServerState) -> list[ServerState]:
        """Return the other servers that are listed at the address of one."""
        address = (state.server.host, state.server.port)
        return [
            it
            for it in self.server_states.values()
            if it is not state and (it.server.host, it.server.port) == address
        ]

    def is_replaced(self, state: ServerState) -> bool:
        """Return whether a server is listed at the address of one that was listed before it."""
        return any(it.listed_ms > state.listed_ms for it in self.servers_at(state))

    def available_servers(self, service: str) -> list[ServerState]:
        """Return the available servers of a service."""
        found = self._by_service.get(service, {}).values()
        return [it for it in found if self.is_available(it)]

    def resting_servers(self, service: str, now_ms: int) -> frozenset[str]:
        """Return the servers of a service that asked this VM for rest."""
        found = self._by_service.get(service, {}).items()
        return frozenset(name for name, state in found if state.is_resting(now_ms))

    def is_available(self, state: ServerState) -> bool:
        """Return whether a server is neither leaving nor in an evacuated data centre."""
        server = state.server
        if server.leaving or state.said_leaving:
            return False
        return server.data_centre not in self._evacuated_data_centres

    def _remove(self, server_id: str, now_ms: int) -> bool:
        """Remove a server's state.

        :return: whether there was one.
        """
        state = self.server_states.pop(server_id, None)
        if state is None:
            return False
        del self._by_service[state.server.service][server_id]
        self.version_history.remove(state.server.service, state.version_key, now_ms)
        self.servers_revision += 1
        self.on_unlisted(state)
        return True


def same_incarnation(old: RegisteredServer, new: RegisteredServer) -> bool:
    """Return whether two registrations with one id are of the same start of a server."""
    return (old.born_ms, old.service, old.version) == (new.born_ms, new.service, new.version)


def is_known_later(state: ServerState, server: RegisteredServer) -> bool:
    """Return whether a server has named a later start of itself than a registration does."""
    doubt = state.start_doubt
    return doubt is not None and (doubt.told_born_ms or 0) > server.born_ms


def is_listed_differently(old: RegisteredServer, new: RegisteredServer) -> bool:
    """Return whether a new registration may change whether and where a server is available."""
    return old.leaving != new.leaving or old.data_centre != new.data_centre
