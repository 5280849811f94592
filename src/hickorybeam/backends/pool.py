"""Pool of connections to backend servers, reused while their idle time is short."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio
import httpcore

from hickorybeam.backends.http1 import HttpConnection
from hickorybeam.backends.network import connect
from hickorybeam.errors import ErrorKind, GatewayError

if TYPE_CHECKING:
    import socket

    from hickorybeam.clock import Clock
    from hickorybeam.model import BackendServer

__all__ = ("Connection", "ConnectionPool")

REAP_INTERVAL_MS = 1_000
MAX_IDLE_PER_SERVER = 64

Address = tuple[str, int]


@dataclass(slots=True, eq=False)
class Connection:
    """One open connection and the address that it is connected to."""

    address: Address
    http: HttpConnection
    socket: socket.socket
    idle_since_ms: int = 0
    reused: bool = field(default=False)

    async def close(self) -> None:
        """Close the connection, even while the task is being cancelled."""
        with anyio.CancelScope(shield=True):
            await self.http.aclose()


class ConnectionPool:
    """Idle connections by address; the most recently used is reused first.

    A connection idle for longer than ``max_idle_ms`` is closed and never reused: a device on
    the way may have dropped it, and a request sent on it would wait for its whole timeout.
    Others are checked for a close by the other end.
    """

    def __init__(self, clock: Clock, *, connect_timeout_ms: int, max_idle_ms: int) -> None:
        self._clock = clock
        self._connect_timeout_ms = connect_timeout_ms
        self._max_idle_ms = max_idle_ms
        self._idle: dict[Address, deque[Connection]] = {}
        # Servers of which a response's end was the connection's, which may be so again.
        self.unframed: set[Address] = set()
        self.opened = 0

    def idle_count(self, backend: BackendServer) -> int:
        """Return the number of idle connections to a backend server."""
        return len(self._idle.get((backend.host, backend.port), ()))

    async def acquire(self, backend: BackendServer, *, fresh: bool) -> Connection:
        """Return a connection for exclusive use.

        :param fresh: open a new one. For calls that aren't idempotent, since the other end may
            close an idle connection just as the call is sent, and whether it ran would then
            be unknown; and after a timeout, since the idle ones may be dead as well.
        :raises GatewayError: ``BACKEND_REFUSED`` if it cannot be opened.
        """
        address = (backend.host, backend.port)
        if not fresh:
            conn = await self._acquire_idle(address)
            if conn is not None:
                return conn
        return await self._open(address, backend.name)

    async def accepts(self, address: Address) -> bool:
        """Return whether a backend server takes a new connection."""
        host, port = address
        try:
            stream = await connect(host, port, timeout_ms=self._connect_timeout_ms)
        except (httpcore.ConnectError, httpcore.ConnectTimeout):
            return False
        await stream.aclose()
        return True

    def release(self, conn: Connection) -> None:
        """Keep a connection whose response was read to its end."""
        idle = self._idle.setdefault(conn.address, deque(maxlen=MAX_IDLE_PER_SERVER))
        conn.idle_since_ms = self._clock.now()
        conn.reused = True
        idle.append(conn)

    async def close_idle(self, backend: BackendServer) -> None:
        """Close all idle connections to a backend server that timed out on another one."""
        for conn in self._idle.pop((backend.host, backend.port), ()):
            await conn.close()

    async def run(self) -> None:
        """Close connections that are idle for too long, until cancelled; then close all."""
        try:
            while True:
                await self._clock.sleep(REAP_INTERVAL_MS)
                await self._reap()
        finally:
            for idle in self._idle.values():
                for conn in idle:
                    await conn.close()

    async def _acquire_idle(self, address: Address) -> Connection | None:
        idle = self._idle.get(address)
        min_idle_since_ms = self._clock.now() - self._max_idle_ms
        while idle:
            conn = idle.pop()
            if conn.idle_since_ms >= min_idle_since_ms and not conn.http.is_stale():
                return conn
            await conn.close()
        return None

    async def _open(self, address: Address, name: str) -> Connection:
        host, port = address
        try:
            stream = await connect(host, port, timeout_ms=self._connect_timeout_ms)
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as exc:
            raise GatewayError(ErrorKind.BACKEND_REFUSED, f"{name}: no connection") from exc
        self.opened += 1
        return Connection(address, HttpConnection(stream), stream.socket)

    async def _reap(self) -> None:
        min_idle_since_ms = self._clock.now() - self._max_idle_ms
        for idle in tuple(self._idle.values()):
            while idle and idle[0].idle_since_ms < min_idle_since_ms:
                await idle.popleft().close()
