"""Whether the process of a backend server is still there after one of its connections closed."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from hickorybeam.gateway.crashes.end_moments import address_of
from hickorybeam.gateway.crashes.open_requests import ServerEnd
from hickorybeam.gateway.crashes.sameness import Sameness
from hickorybeam.gateway.crashes.server_identity import ServerIdentity
from hickorybeam.gateway.crashes.server_probe import SILENCE_MS
from hickorybeam.gateway.crashes.server_start import ServerStart
from hickorybeam.http1 import ConnectFailedError
from hickorybeam.model.routing import Repeat

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from hickorybeam.clock import Clock
    from hickorybeam.gateway.crashes.open_requests import Look, OpenRequest
    from hickorybeam.gateway.crashes.server_probe import ServerProbe
    from hickorybeam.gateway.routing_state import RoutingState
    from hickorybeam.http1 import UpstreamConnection, UpstreamPool
    from hickorybeam.policy.server_choice import ServerState

__all__ = ("SETTLE_MS", "ServerPresence")

# Connections of a server that ends close within a few ms of each other.
SETTLE_MS = 25
# A process that shuts down may close one connection some time before the others.
OUTLIVE_MS = 75
# Connections that carry no request, to the servers of this VM that frame nothing.
MAX_WITNESSES = 256


class ServerPresence:
    """Finds out by their connections whether servers are there.

    :param opened: the requests that are open, by server.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        routing_state: RoutingState,
        pool: UpstreamPool,
        probe: ServerProbe,
        opened: Mapping[ServerState, set[OpenRequest]],
    ) -> None:
        self._clock = clock
        self._pool = pool
        self._probe = probe
        self._open = opened
        self._start = ServerStart(clock, routing_state, ServerIdentity(clock, routing_state))
        self._opening: set[ServerState] = set()
        # Connections that carry no request, by server; the oldest come first.
        self._witnesses: dict[ServerState, UpstreamConnection] = {}

    def wants_witness(self, request: OpenRequest) -> bool:
        """Return whether the response to a request may come without framing, as far as is known.

        Of a server that has sent none yet, only what can't be repeated is worth a connection.
        """
        frames = request.server_state.frames
        can_repeat = request.request.route.repeat is Repeat.IDEMPOTENT
        return not frames and (frames is not None or not can_repeat)

    async def keep_witness(self, server_state: ServerState) -> None:
        """Have a connection to a server that carries no request, and so closes with its process.

        What is open before the end of a response shows later whether the process outlived it.
        """
        if self._has_witness(server_state) or server_state in self._opening:
            return
        self._opening.add(server_state)
        try:
            conn = await self._pool.acquire(address_of(server_state), fresh=True)
        except ConnectFailedError:
            return
        finally:
            self._opening.discard(server_state)
        self._add_witness(server_state, conn)

    def _add_witness(self, server_state: ServerState, conn: UpstreamConnection) -> None:
        if self._has_witness(server_state):
            self._pool.keep(address_of(server_state), conn)
            return
        self._witnesses.pop(server_state, None)
        self._witnesses[server_state] = conn
        while len(self._witnesses) > MAX_WITNESSES:
            self._witnesses.pop(next(iter(self._witnesses))).abort()

    def _has_witness(self, server_state: ServerState, before_ms: float = math.inf) -> bool:
        """Return whether a connection is open that carries no request, and was opened before."""
        conn = self._witnesses.get(server_state)
        return is_open(conn) and conn is not None and conn.opened_ms < before_ms

    def witness(self, server_state: ServerState) -> UpstreamConnection | None:
        """Return the connection to a server that carries no request."""
        return self._witnesses.get(server_state)

    async def find(
        self, server_state: ServerState, look: Look, on_unanswered: Callable[[], None]
    ) -> ServerEnd:
        """Find out whether a server has ended; what breaks off meanwhile is looked at as well.

        :param on_unanswered: called if it takes no connection as soon as others do.
        """
        end = ServerEnd.ALIVE
        while end is ServerEnd.ALIVE and look.again:
            look.again = False
            if look.closed:
                await self._clock.sleep(SETTLE_MS)
            end = await self._end_of(server_state, look, on_unanswered)
        return end

    async def _end_of(
        self, server_state: ServerState, look: Look, on_unanswered: Callable[[], None]
    ) -> ServerEnd:
        if look.closed:
            # A process that ends closes all its connections.
            if self._has_connection(server_state, look.since_ms):
                return ServerEnd.ALIVE
        elif self._has_connection(server_state, self._clock.now()):
            await self._wait_heard(server_state, look)
        if not look.closed and server_state.heard_ms > look.asked_ms:
            return ServerEnd.ALIVE
        return await self._probe.connect(server_state, look, on_unanswered=on_unanswered)

    async def prove(self, request: OpenRequest) -> Sameness:
        """Return what shows that a server outlives the close of a request's connection.

        It is looked at for itself: what a look that another request began has found may be from
        before this close.
        """
        server_state = request.server_state
        # It may have closed at any time since, if this VM stood still.
        last_data_ms = self._clock.now() - request.attempt.quiet_ms
        await self._clock.sleep(SETTLE_MS)
        same = await self._compare(request, last_data_ms)
        if not same.is_shown:
            return same
        shown_ms = self._clock.now()
        await self._clock.sleep(OUTLIVE_MS)
        if self._has_connection(server_state, shown_ms + 1):
            return same
        return await self._compare(request, last_data_ms)

    async def _compare(self, request: OpenRequest, last_data_ms: int) -> Sameness:
        server_state = request.server_state
        if is_open(request.witness) or self._has_connection(server_state, last_data_ms):
            return Sameness.CONNECTION
        same, is_still_open = await self._ask(server_state, last_data_ms)
        if same is Sameness.UNTOLD and not is_still_open:
            # Its answer broke off, as those to requests do at a server that fails some.
            same, _ = await self._ask(server_state, last_data_ms)
        return same

    async def _ask(self, server_state: ServerState, since_ms: int) -> tuple[Sameness, bool]:
        """Ask a server on a new connection which process it is.

        :param since_ms: when the process at its address was last known.
        :return: what that shows, and whether the connection is open still.
        """
        try:
            conn = await self._pool.acquire(
                address_of(server_state), fresh=True, connect_ms=SILENCE_MS
            )
        except ConnectFailedError as exc:
            return Sameness.GONE if exc.refused else Sameness.SILENT, True
        try:
            same = await self._start.sameness(server_state, conn, since_ms=since_ms)
        except BaseException:
            conn.abort()
            raise
        if not conn.closed:
            self._add_witness(server_state, conn)
        return same, not conn.closed

    def _has_connection(self, server_state: ServerState, before_ms: int) -> bool:
        """Return whether a connection to a server is open that was opened before a time."""
        if self._has_witness(server_state, before_ms):
            return True
        at_server = self._open.get(server_state, ())
        if any(it.attempt.is_connected_since(before_ms) for it in at_server):
            return True
        return self._pool.has_idle(address_of(server_state), opened_before_ms=before_ms)

    async def _wait_heard(self, server_state: ServerState, look: Look) -> None:
        """Wait until a server is heard, one of its connections closes, or it is silent."""
        until_ms = max(server_state.heard_ms, look.unheard_ms) + SILENCE_MS
        while (
            self._clock.now() < until_ms
            and not look.closed
            and server_state.heard_ms <= look.asked_ms
        ):
            await self._clock.sleep(SETTLE_MS)


def is_open(conn: UpstreamConnection | None) -> bool:
    """Return whether neither end has closed a connection."""
    return conn is not None and not conn.closed and conn.is_established
