"""Find out whether a server is there: by a new connection, and by its entry in the store."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from typing import TYPE_CHECKING

from hickorybeam.clock import MS_PER_SECOND
from hickorybeam.gateway.crashes.end_moments import address_of
from hickorybeam.gateway.crashes.open_requests import ServerEnd
from hickorybeam.gateway.crashes.server_identity import RESPONSE_TIMEOUT_MS, ServerIdentity
from hickorybeam.http1 import ConnectFailedError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

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
        vms = self._known_vms()
        if not look.closed and self._identity.may_ask(server_state, vms=vms):
            return await self._ask(server_state, look, conn, on_unanswered)
        if not look.closed:
            server_state.heard_ms = self._clock.now()
            self._pool.keep(address, conn)
            return ServerEnd.ALIVE
        is_replaced = await self._identity.is_replaced(server_state, conn, vms=vms)
        self._pool.keep(address, conn)
        return ServerEnd.ENDED if is_replaced else ServerEnd.REPLACED

    async def _ask(
        self,
        server_state: ServerState,
        look: Look,
        conn: UpstreamConnection,
        on_unanswered: Callable[[], None],
    ) -> ServerEnd:
        """Ask a server that takes connections for its health: its process may be stuck."""

        def warn() -> None:
            look.hangs = server_state.heard_ms <= look.connect_ms
            if look.hangs:
                on_unanswered()

        with call_later(RESPONSE_TIMEOUT_MS, warn):
            info = await self._identity.ask(server_state, conn, SILENCE_MS)
        look.hangs = False
        if info is None and conn.closed:
            look.closed, look.since_ms = True, self._clock.now()
            return await self.connect(server_state, look, on_unanswered=lambda: None)
        if info is None:
            conn.abort()
            look.hangs = server_state.heard_ms <= look.connect_ms
            return ServerEnd.SILENT if look.hangs else ServerEnd.ALIVE
        server_state.heard_ms = self._clock.now()
        self._pool.keep(address_of(server_state), conn)
        return ServerEnd.ALIVE

    async def prove(self, server_state: ServerState, conn: UpstreamConnection) -> int | None:
        """Ask a server for its health on a connection that a request is about to be sent on.

        :return: when it was asked, 0 if it did not answer; ``None`` if it may not be asked now.
        """
        if not self._identity.may_ask(server_state, vms=self._known_vms()):
            return None
        asked_ms = self._clock.now()
        info = await self._identity.ask(server_state, conn, RESPONSE_TIMEOUT_MS)
        if info is None:
            conn.abort()
            return 0
        server_state.heard_ms = self._clock.now()
        return asked_ms

    async def _open(
        self, server_state: ServerState, on_unanswered: Callable[[], None]
    ) -> UpstreamConnection:
        with call_later(ACCEPT_MS, on_unanswered):
            return await self._pool.acquire(
                address_of(server_state), fresh=True, connect_ms=SILENCE_MS
            )

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


@contextmanager
def call_later(after_ms: int, function: Callable[[], None]) -> Iterator[None]:
    """Call a function after a time unless the block has ended by then."""
    loop = asyncio.get_running_loop()
    timer = loop.call_later(after_ms / MS_PER_SECOND, function)
    try:
        yield
    finally:
        timer.cancel()
