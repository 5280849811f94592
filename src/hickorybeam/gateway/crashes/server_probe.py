"""Find out whether a server is there: by a new connection, and by its entry in the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hickorybeam.clock import MS_PER_SECOND
from hickorybeam.gateway.crashes.end_moments import address_of
from hickorybeam.gateway.crashes.open_requests import ServerEnd
from hickorybeam.gateway.crashes.server_identity import ServerIdentity
from hickorybeam.http1 import ConnectFailedError

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorybeam.clock import Clock
    from hickorybeam.gateway.crashes.open_requests import Look
    from hickorybeam.gateway.routing_state import RoutingState
    from hickorybeam.http1 import UpstreamConnection, UpstreamPool
    from hickorybeam.policy.server_choice import ServerState

__all__ = ("ACCEPT_MS", "SILENCE_MS", "ServerProbe")

# A server that holds a connection is asked only if nothing was heard from it for so long. One in
# reach takes a new connection sooner; a longer wait would let callers repeat a request under which
# servers fall silent before anybody knows.
SILENCE_MS = 250
# A server that fell silent, or that another process may have replaced, is taken for ended if its
# entry in the store goes within this time: three of its intervals of renewal, and the way from the
# store.
MAX_UNDECIDED_MS = 6_000
UNDECIDED_POLL_MS = 200
# An entry that was renewed before its server's end may arrive so much later.
RENEWED_AFTER_MS = 1_000
# A server in reach takes a connection within this time, unless its machine is slow.
ACCEPT_MS = 25


class ServerProbe:
    """Asks servers whether they are there.

    :param known_vms: returns the number of known VMs, this one included.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        routing_state: RoutingState,
        pool: UpstreamPool,
        known_vms: Callable[[], int],
    ) -> None:
        self._clock = clock
        self._routing_state = routing_state
        self._pool = pool
        self._known_vms = known_vms
        self._identity = ServerIdentity(clock, routing_state)

    def is_in_use(self, server_state: ServerState) -> bool:
        """Return whether a server is registered and not leaving, so that its end is unplanned."""
        server = server_state.server
        known = self._routing_state.server_states.get(server.id) is server_state
        return known and not server.leaving and not server_state.said_leaving

    async def connect(
        self, server_state: ServerState, look: Look, *, on_unanswered: Callable[[], None]
    ) -> ServerEnd:
        """Open a connection, which is kept for a later request, and return what that shows.

        :param on_unanswered: called if the server does not take it as soon as others do.
        """
        address = address_of(server_state)
        look.asked_ms = look.connect_ms = self._clock.now()
        try:
            conn = await self._open(server_state, on_unanswered)
        except ConnectFailedError as exc:
            refused = isinstance(exc.__cause__, ConnectionError)
            return ServerEnd.ENDED if refused else ServerEnd.SILENT
        if not look.closed:
            server_state.heard_ms = self._clock.now()
            self._pool.keep(address, conn)
            return ServerEnd.ALIVE
        vms = self._known_vms()
        is_replaced = await self._identity.is_replaced(server_state, conn, vms=vms)
        self._pool.keep(address, conn)
        return ServerEnd.ENDED if is_replaced else ServerEnd.REPLACED

    async def _open(
        self, server_state: ServerState, on_unanswered: Callable[[], None]
    ) -> UpstreamConnection:
        loop = asyncio.get_running_loop()
        timer = loop.call_later(ACCEPT_MS / MS_PER_SECOND, on_unanswered)
        try:
            return await self._pool.acquire(
                address_of(server_state), fresh=True, connect_ms=SILENCE_MS
            )
        finally:
            timer.cancel()

    async def decide(
        self, server_state: ServerState, look: Look, undecided: ServerEnd
    ) -> ServerEnd:
        """Wait for what the entry of a server tells; one that leaves first has not crashed."""
        until_ms = self._clock.now() + MAX_UNDECIDED_MS
        while self._clock.now() < until_ms:
            if server_state.server.leaving or server_state.said_leaving:
                return undecided
            if not self.is_in_use(server_state) or self._routing_state.is_replaced(server_state):
                return ServerEnd.ENDED
            if server_state.renewed_ms - look.asked_ms >= RENEWED_AFTER_MS:
                break
            await self._clock.sleep(UNDECIDED_POLL_MS)
        return ServerEnd.ALIVE if undecided is ServerEnd.REPLACED else undecided
