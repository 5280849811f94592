"""This VM's share of the rate limits of backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorybeam.policy.server_rate import ShareLimiter

if TYPE_CHECKING:
    from hickorybeam.gateway.coordinator_ranking import CoordinatorRanking
    from hickorybeam.gateway.routing_state import RoutingState
    from hickorybeam.model.routing import RegisteredServer

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

    def may_send(self, server: RegisteredServer, now_ms: int) -> bool:
        """Return whether this VM may send a request to a server now."""
        limit = self._routing_state.rate_limit(server, now_ms)
        if limit is None:
            return True
        senders = self._coordinators.senders(server, limit)
        if self._own_name not in senders:
            return False
        return self._limiter(server.id, now_ms).ready(limit.share_per_s(senders), now_ms)

    def record_send(self, server: RegisteredServer, now_ms: int) -> None:
        """Count a request that this VM sends to a server, or grants a slot there."""
        limit = self._routing_state.rate_limit(server, now_ms)
        if limit is not None:
            share_per_s = limit.share_per_s(self._coordinators.senders(server, limit))
            self._limiter(server.id, now_ms).take(share_per_s, now_ms)

    def _limiter(self, server_id: str, now_ms: int) -> ShareLimiter:
        limiter = self._limiters.get(server_id)
        if limiter is None:
            self._drop_unknown()
            limiter = self._limiters[server_id] = ShareLimiter(now_ms)
        return limiter

    def _drop_unknown(self) -> None:
        known = self._routing_state.server_states
        self._limiters = {name: it for name, it in self._limiters.items() if name in known}
