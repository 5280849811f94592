"""Ask on a new connection whether the process at an address is the start of a server known there.

A connection that the server takes shows that a process listens, and its id that it is a start of
this server: it may have ended, and started again under its id.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from hickorybeam.clock import MS_PER_SECOND
from hickorybeam.gateway.crashes.sameness import Sameness
from hickorybeam.gateway.crashes.server_identity import RESPONSE_TIMEOUT_MS
from hickorybeam.http1 import BrokenResponseError
from hickorybeam.http1.head import request_bytes
from hickorybeam.platform import NO_ID, REPORT_PATH, decode_born
from hickorybeam.untrusted import InvalidBytesError

if TYPE_CHECKING:
    from hickorybeam.clock import Clock
    from hickorybeam.gateway.crashes.server_identity import ServerIdentity
    from hickorybeam.gateway.routing_state import RoutingState
    from hickorybeam.http1 import UpstreamConnection
    from hickorybeam.policy.server_choice import ServerState

__all__ = ("ServerStart",)

OK_STATUS = 200
HOST_HEADER = ((b"host", b"server"),)
MAX_REPORT_BYTES = 1_000_000
# Few processes that end are replaced so soon by one that listens.
MIN_START_MS = 100
# A health check may wait for a slot.
HEALTH_TIMEOUT_MS = 250


class ServerStart:
    """Finds out whether the process at a server's address is the one that was there before."""

    def __init__(self, clock: Clock, routing_state: RoutingState, identity: ServerIdentity) -> None:
        self._clock = clock
        self._routing_state = routing_state
        self._identity = identity

    async def sameness(
        self, server_state: ServerState, conn: UpstreamConnection, *, since_ms: int
    ) -> Sameness:
        """Return what the process that took a connection tells of itself.

        A model server's report names its start, and needs no slot. Other servers name their id.

        :param since_ms: when the process that was there before was last known to be.
        """
        server = server_state.server
        spec = self._routing_state.service_spec(server.service)
        if spec is None:
            return Sameness.UNTOLD
        if spec.engine is not None and server.born_ms:
            born_ms = await self._ask_born(conn)
            if born_ms:
                return Sameness.START if born_ms == server.born_ms else Sameness.OTHER
        return await self._compare_id(server_state, conn, since_ms)

    async def _compare_id(
        self, server_state: ServerState, conn: UpstreamConnection, since_ms: int
    ) -> Sameness:
        if conn.closed or self._routing_state.is_rate_limited(server_state, self._clock.now()):
            return Sameness.UNTOLD
        is_soon = conn.opened_ms - since_ms < MIN_START_MS
        info = await self._identity.ask(server_state, conn, HEALTH_TIMEOUT_MS)
        if info is None:
            # An answer that comes later would be taken for the next request's.
            conn.abort()
            return Sameness.UNTOLD
        if info.server_id is None:
            return Sameness.UNTOLD
        if info.server_id != server_state.server.id:
            return Sameness.OTHER
        return Sameness.ID if is_soon else Sameness.UNTOLD

    async def _ask_born(self, conn: UpstreamConnection) -> int:
        """Return the time of a model server's start, 0 if it doesn't tell it."""
        try:
            with anyio.fail_after(RESPONSE_TIMEOUT_MS / MS_PER_SECOND):
                conn.send(request_bytes("GET", REPORT_PATH, HOST_HEADER, b""), expected_id=NO_ID)
                head = await conn.read_head()
                body = await conn.read_body(max_bytes=MAX_REPORT_BYTES)
        except (BrokenResponseError, TimeoutError):
            conn.abort()
            return 0
        if not conn.reusable:
            conn.abort()
        try:
            return (decode_born(body) or 0) if head.status == OK_STATUS else 0
        except InvalidBytesError:
            return 0
