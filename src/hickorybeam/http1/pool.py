"""Pool of connections to other servers, with TCP keep-alive and limited idle times."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING

import anyio

from hickorybeam.clock import MS_PER_SECOND
from hickorybeam.http1.response_owner import Stray, StrayKind
from hickorybeam.http1.upstream import UpstreamConnection
from hickorybeam.sockets import bound_unread, end_if_silent

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorybeam.clock import Clock

__all__ = ("Address", "ConnectFailedError", "UpstreamPool")

Address = tuple[str, int]

# Share of the other end's announced idle timeout after which an idle connection is closed, so that
# the other end does not close it just as a request is sent.
KEEP_ALIVE_SHARE = 0.7
# If the other end announces no idle timeout.
DEFAULT_MAX_IDLE_MS = 4_000
# For how long after bytes of no request an address is known for them. Kept connections that may
# hold more of them are closed as idle by then.
STRAYS_KEPT_MS = 10_000


class ConnectFailedError(Exception):
    """The connection could not be opened, so nothing was sent."""

    @property
    def refused(self) -> bool:
        """Whether the other end refused it, as where no process listens."""
        return isinstance(self.__cause__, ConnectionRefusedError)


class UpstreamPool:
    """Idle connections by address; the most recently used is reused first.

    :param connect_ms: timeout of opening a connection.
    :param silent_ms: a connection ends when sent bytes stay unacknowledged for this long.
    :param receive_bytes: the kernel's buffer for each connection; 0 for its own choice. A small one
        slows a large response down that comes from far away.
    """

    def __init__(
        self, clock: Clock, *, connect_ms: int, silent_ms: int, receive_bytes: int = 0
    ) -> None:
        self._clock = clock
        self._receive_bytes = receive_bytes
        self._connect_ms = connect_ms
        self._silent_ms = silent_ms
        self._idle: dict[Address, list[UpstreamConnection]] = {}
        self.opened = 0
        # When bytes of no request last came from an address; the oldest come first.
        self._strays_ms: dict[Address, int] = {}
        self.on_stray: Callable[[Stray], None] = lambda stray: None
        # Called when the other end has closed an idle connection.
        self.on_idle_closed: Callable[[Address], None] = lambda address: None
        # Called when another start of the process may listen at an address from now on: a
        # connection has been lost or refused there, or all idle ones are given up.
        self.on_lost: Callable[[Address], None] = lambda address: None

    async def acquire(
        self,
        address: Address,
        *,
        fresh: bool = False,
        checked: bool = False,
        connect_ms: int | None = None,
    ) -> UpstreamConnection:
        """Return a connection for exclusive use.

        :param fresh: open a new connection even if there is an idle one.
        :param checked: leave out idle ones whose close the event loop has yet to see.
        :raises ConnectFailedError: it cannot be opened.
        """
        if not fresh:
            conn = self._acquire_idle(address, checked=checked)
            if conn is not None:
                return conn
        return await self._open(address, connect_ms or self._connect_ms)

    def sent_strays(self, address: Address) -> bool:
        """Return whether bytes of no request have come from an address lately.

        A request that can't be sent again keeps off its kept connections: more of such bytes may
        come there, and harm the framing of its response.
        """
        return address in self._strays_ms and (
            self._clock.now() - self._strays_ms[address] < STRAYS_KEPT_MS
        )

    def _record_stray(
        self, address: Address, conn: UpstreamConnection, kind: StrayKind, status: int
    ) -> None:
        now = self._clock.now()
        self._strays_ms.pop(address, None)
        while self._strays_ms and now - next(iter(self._strays_ms.values())) >= STRAYS_KEPT_MS:
            del self._strays_ms[next(iter(self._strays_ms))]
        self._strays_ms[address] = now
        expected = conn.expected_id
        self.on_stray(
            Stray(
                kind,
                peer=f"{address[0]}:{address[1]}",
                on=conn.describe(),
                request_id=expected.value.decode("latin-1") if expected else "",
                status=status,
            )
        )

    async def open_idle(self, address: Address) -> None:
        """Open a connection for a later request.

        :raises ConnectFailedError: it cannot be opened.
        """
        self.keep(address, await self._open(address, self._connect_ms))

    def idle_count(self, address: Address) -> int:
        """Return how many idle connections may be used."""
        return sum(self._is_usable(conn) for conn in self._idle.get(address, ()))

    def has_idle(self, address: Address, *, opened_before_ms: int) -> bool:
        """Return whether an idle connection is left that was opened before a time."""
        found = self._idle.get(address, ())
        return any(
            not it.closed and it.opened_ms < opened_before_ms and it.is_established for it in found
        )

    def release(self, address: Address, conn: UpstreamConnection) -> None:
        """Keep a connection whose response was read completely; close any other."""
        if not conn.reusable or conn.closed:
            conn.abort()
            return
        self.keep(address, conn)

    def keep(self, address: Address, conn: UpstreamConnection) -> None:
        """Keep an open connection, on which nothing is awaited, for a later request."""
        if conn.closed:
            return
        conn.idle_since_ms = self._clock.now()
        self._idle.setdefault(address, []).append(conn)
        conn.on_close = lambda closed: self._remove(address, closed)

    def close_idle(self, address: Address) -> None:
        """Close all idle connections to a server that is unresponsive or gone."""
        for conn in self._idle.pop(address, ()):
            conn.on_close = None
            conn.abort()
        self.on_lost(address)

    def _acquire_idle(self, address: Address, *, checked: bool) -> UpstreamConnection | None:
        idle = self._idle.get(address)
        while idle:
            conn = idle.pop()
            conn.on_close = None
            if self._is_usable(conn) and (not checked or conn.is_established):
                return conn
            conn.abort()
        return None

    def _is_usable(self, conn: UpstreamConnection) -> bool:
        idle_ms = self._clock.now() - conn.idle_since_ms
        return not conn.closed and idle_ms < self._max_idle_ms(conn)

    def _max_idle_ms(self, conn: UpstreamConnection) -> float:
        if conn.keep_alive_s is None:
            return DEFAULT_MAX_IDLE_MS
        return conn.keep_alive_s * MS_PER_SECOND * KEEP_ALIVE_SHARE

    def _remove(self, address: Address, conn: UpstreamConnection) -> None:
        idle = self._idle.get(address, [])
        if conn in idle:
            idle.remove(conn)
            self.on_idle_closed(address)

    def _record_lost(self, address: Address) -> None:
        self.on_lost(address)

    async def _open(self, address: Address, connect_ms: int) -> UpstreamConnection:
        loop = asyncio.get_running_loop()
        asked_ms = self._clock.now()
        try:
            with anyio.fail_after(connect_ms / MS_PER_SECOND):
                transport, conn = await loop.create_connection(UpstreamConnection, *address)
        except (OSError, TimeoutError, ValueError, OverflowError) as exc:
            # The last two: the host can't be encoded, or the port is none.
            self.on_lost(address)
            raise ConnectFailedError(f"{address[0]}:{address[1]}: {exc!r}") from exc
        self.opened += 1
        conn.asked_ms, conn.opened_ms = asked_ms, self._clock.now()
        conn.local_port = transport.get_extra_info("sockname")[1]
        conn.on_stray = partial(self._record_stray, address)
        conn.on_lost = partial(self._record_lost, address)
        end_if_silent(transport, self._silent_ms)
        if self._receive_bytes:
            bound_unread(transport.get_extra_info("socket"), self._receive_bytes)
        return conn
