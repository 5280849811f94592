"""This VM's share of the rate limits of backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorybeam.policy.server_rate import ShareLimiter

if TYPE_CHECKING:
    from hickorybeam.gateway.coordinator_ranking import CoordinatorRanking
    from hickorybeam.gateway.routing_state import RoutingState
    from hickorybeam.policy.server_choice import ServerState
    from hickorybeam.policy.server_rate import RateLimit

__all__ = ("ServerRates",)


class ServerRates:
    """Rate limiters of this VM's requests to limited servers, whatever the requests are for.

    :param own_name: name of the VM of this process.
    """

    def __init__(
        self, *, routing_state: RoutingState, coordinators: CoordinatorRanking, own_name: str
    ) -> None:
        self._routing_state = routing_state
        self._coordinators = coordinators
        self._own_name = own_name
        self._limiters: dict[str, ShareLimiter] = {}

    def may_send(self, state: ServerState, now_ms: int) -> bool:
        """Return whether this VM may send a request to a server now, or grant a slot there."""
        limit = self._limit(state, now_ms)
        if limit is None:
            return True
        if self._own_name not in self._coordinators.senders(state.server, limit):
            return False
        limiter = self._limiter(state.server.id, now_ms)
        return limiter.ready(self._share_per_s(limit), now_ms)

    def record_send(self, state: ServerState, now_ms: int) -> None:
        """Count a request that this VM sends to a server, or grants a slot there."""
        limit = self._limit(state, now_ms)
        if limit is not None:
            limiter = self._limiter(state.server.id, now_ms)
            limiter.take(self._share_per_s(limit), now_ms)

    def _limit(self, state: ServerState, now_ms: int) -> RateLimit | None:
        limit = self._routing_state.rate_limit(state, now_ms)
        if limit is None or not self.is_coordinated(state):
            return limit
        # Shares of VMs that place nothing would be lost.
        return limit.with_few_senders()

    def is_coordinated(self, state: ServerState) -> bool:
        """Return whether one VM places the requests to a server for the whole region."""
        service = state.server.service
        spec = self._routing_state.service_spec(service)
        return spec is not None and spec.engine is not None and self._coordinators.places(service)

    def _share_per_s(self, limit: RateLimit) -> float:
        return limit.share_per_s(self._coordinators.region_size())

    def _limiter(self, server_id: str, now_ms: int) -> ShareLimiter:
        limiter = self._limiters.get(server_id)
        if limiter is None:
            self._drop_unknown()
            limiter = self._limiters[server_id] = ShareLimiter(now_ms)
        return limiter

    def _drop_unknown(self) -> None:
        known = self._routing_state.server_states
        self._limiters = {name: it for name, it in self._limiters.items() if name in known}
