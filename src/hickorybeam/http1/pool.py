"""Connections to other servers, reused while young, with signs of life from the kernel."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import TYPE_CHECKING

import anyio

from hickorybeam.clock import MS_PER_SECOND
from hickorybeam.http1.upstream import UpstreamConnection

if TYPE_CHECKING:
    from hickorybeam.clock import Clock

__all__ = ("Address", "ConnectFailedError", "UpstreamPool")

Address = tuple[str, int]

# Idle connections are given up at this share of what the other end announces, so that it
# does not close one just as a request is sent on it.
SHARE_OF_KEEP_ALIVE = 0.7
# Where nothing is announced, in ms.
DEFAULT_IDLE_MS = 4_000
# The kernel's probes end a connection whose other end fell silent after about 3 s, while
# nothing is due to be sent and no byte would show it.
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_PROBES = 2


class ConnectFailedError(Exception):
    """No connection was made, so nothing was sent."""


class UpstreamPool:
    """Idle connections by address, the youngest reused first.

    :param connect_ms: how long opening a connection may take.
    :param silent_ms: sent bytes that stay unacknowledged for this long end a connection.
    """

    def __init__(self, clock: Clock, *, connect_ms: int, silent_ms: int) -> None:
        self._clock = clock
        self._connect_ms = connect_ms
        self._silent_ms = silent_ms
        self._idle: dict[Address, list[UpstreamConnection]] = {}
        self.opened = 0

    async def acquire(
        self, address: Address, *, fresh: bool = False, connect_ms: int | None = None
    ) -> UpstreamConnection:
        """Return a connection that nobody else uses.

        :param fresh: open a new one even if there is an idle one.
        :raises ConnectFailedError: it cannot be opened.
        """
        if not fresh:
            conn = self._take_idle(address)
            if conn is not None:
                return conn
        return await self._open(address, connect_ms or self._connect_ms)

    def release(self, address: Address, conn: UpstreamConnection) -> None:
        """Keep a connection whose answer was read to its proper end, or close it."""
        if not conn.reusable or conn.lost:
            conn.abort()
            return
        conn.idle_since_ms = self._clock.now()
        self._idle.setdefault(address, []).append(conn)
        conn.on_lost = lambda lost: self._drop(address, lost)

    def close_idle(self, address: Address) -> None:
        """Close every idle connection to a server that fell silent on one, or is gone."""
        for conn in self._idle.pop(address, ()):
            conn.on_lost = None
            conn.abort()

    def _take_idle(self, address: Address) -> UpstreamConnection | None:
        idle = self._idle.get(address)
        while idle:
            conn = idle.pop()
            conn.on_lost = None
            if not conn.lost and self._clock.now() - conn.idle_since_ms < self._idle_ms(conn):
                return conn
            conn.abort()
        return None

    def _idle_ms(self, conn: UpstreamConnection) -> float:
        if conn.keep_alive_s is None:
            return DEFAULT_IDLE_MS
        return conn.keep_alive_s * MS_PER_SECOND * SHARE_OF_KEEP_ALIVE

    def _drop(self, address: Address, conn: UpstreamConnection) -> None:
        idle = self._idle.get(address, [])
        if conn in idle:
            idle.remove(conn)

    async def _open(self, address: Address, connect_ms: int) -> UpstreamConnection:
        loop = asyncio.get_running_loop()
        try:
            with anyio.fail_after(connect_ms / MS_PER_SECOND):
                transport, conn = await loop.create_connection(UpstreamConnection, *address)
        except (OSError, TimeoutError) as exc:
            raise ConnectFailedError(f"{address[0]}:{address[1]}: {exc!r}") from exc
        self.opened += 1
        sock = transport.get_extra_info("socket")
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, self._silent_ms)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_IDLE_S)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
        return conn
