"""Ask which server listens at an address, by its health path.

A server that crashes may be replaced at its address within ms, before its entry in the store tells
so. One that takes connections again says which server it is.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from hickorybeam.clock import MS_PER_SECOND
from hickorybeam.http1 import BrokenResponseError
from hickorybeam.http1.head import request_bytes
from hickorybeam.platform import NO_ID, decode_response
from hickorybeam.policy.notice_budget import NoticeBudget

if TYPE_CHECKING:
    from hickorybeam.clock import Clock
    from hickorybeam.gateway.routing_state import RoutingState
    from hickorybeam.http1 import UpstreamConnection
    from hickorybeam.platform import ResponseInfo
    from hickorybeam.policy.server_choice import ServerState

__all__ = ("RESPONSE_TIMEOUT_MS", "ServerIdentity")

# A health check is answered at once, or waits for a slot: then nobody is told in time.
RESPONSE_TIMEOUT_MS = 60
HOST_HEADER = ((b"host", b"server"),)
MAX_RESPONSE_BYTES = 65_536
# Checks of all VMs together: each is paid for, and responses break off at servers that live.
MAX_CHECKS_PER_S = 50.0


class ServerIdentity:
    """Finds out whether the server at an address is the one that this VM knows there."""

    def __init__(self, clock: Clock, routing_state: RoutingState) -> None:
        self._clock = clock
        self._routing_state = routing_state
        self._budget = NoticeBudget(fleet_per_s=MAX_CHECKS_PER_S)

    async def is_replaced(
        self, server_state: ServerState, conn: UpstreamConnection, *, vms: int
    ) -> bool:
        """Return whether a server says on a new connection that it is another one.

        :param vms: the number of known VMs, this one included.
        """
        if not self.may_ask(server_state, vms=vms):
            return False
        info = await self.ask(server_state, conn, RESPONSE_TIMEOUT_MS)
        if info is None:
            conn.abort()
            return False
        return info.server_id not in (None, server_state.server.id)

    def may_ask(self, server_state: ServerState, *, vms: int) -> bool:
        """Return whether a server may be asked now, and count it towards what all VMs may ask."""
        now = self._clock.now()
        if self._routing_state.service_spec(server_state.server.service) is None:
            return False
        if self._routing_state.is_rate_limited(server_state, now) or server_state.is_resting(now):
            return False
        return self._budget.take(now, vms)

    async def ask(
        self, server_state: ServerState, conn: UpstreamConnection, timeout_ms: int
    ) -> ResponseInfo | None:
        """Return what a server says of itself, ``None`` if it says nothing in time."""
        spec = self._routing_state.service_spec(server_state.server.service)
        if spec is None:
            return None
        try:
            with anyio.fail_after(timeout_ms / MS_PER_SECOND):
                data = request_bytes("GET", spec.health_path.encode(), HOST_HEADER, b"")
                conn.send(data, expected_id=NO_ID)
                info = decode_response(await conn.read_head())
                await conn.read_body(max_bytes=MAX_RESPONSE_BYTES)
        except (BrokenResponseError, TimeoutError):
            return None
        if not conn.reusable:
            conn.abort()
        return info
