"""Where prompts' shared parts are kept, and which server they can be copied from."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorybeam.policy.stream_versions import UNKNOWN_VERSION

if TYPE_CHECKING:
    from hickorybeam.clock import Clock
    from hickorybeam.gateway.fleet import FleetService
    from hickorybeam.gateway.routing_state import RoutingState
    from hickorybeam.gateway.targets import AdmittedRequest
    from hickorybeam.policy.server_choice import ServerState

__all__ = ("PrefixCopies",)

# Cache size of one server if its service doesn't declare it.
DEFAULT_CACHE_TOKENS = 200_000
# The last part of a prompt is its own; those before it are shared.
MIN_PARTS_WITH_SHARED = 2


class PrefixCopies:
    """Records which parts servers were sent, and finds the source of a copy."""

    def __init__(self, *, clock: Clock, routing_state: RoutingState, fleet: FleetService) -> None:
        self._clock = clock
        self._routing_state = routing_state
        self._fleet = fleet

    def record_sent(self, server_state: ServerState, request: AdmittedRequest) -> None:
        """Record the prompt parts that a server's cache holds from now on."""
        parts = request.call.parts
        cache_tokens = self._routing_state.cache_tokens(request.service)
        server_state.cache_tokens = cache_tokens
        server_state.prefixes.add(parts, cache_tokens or DEFAULT_CACHE_TOKENS)
        self._fleet.prefix_holders.record_sent(parts, server_state.server.id, self._clock.now())

    def source(self, server_state: ServerState, request: AdmittedRequest) -> str | None:
        """Return the address of a server from which a prompt's shared parts can be copied."""
        parts = request.call.parts
        if len(parts) < MIN_PARTS_WITH_SHARED:
            return None
        if not server_state.prefixes.uncached_tokens(parts[:-1]):
            return None
        now = self._clock.now()
        holder = self._routing_state.server_states.get(
            self._fleet.prefix_holders.find_holder(parts, now) or ""
        )
        if holder is None or holder is server_state or holder.version_key == UNKNOWN_VERSION:
            return None
        server = holder.server
        if holder.backoff_until_ms > now or holder.is_resting(now):
            return None
        if server.leaving or holder.said_leaving:
            return None
        if holder.version_key != server_state.version_key:
            # One version can't use the memory that another one, or another service, wrote.
            return None
        return f"{server.host}:{server.port}"
