"""One request and its answer on one connection, with a limit on every silence."""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING

import anyio
import httpcore

from hickorybeam.backends.http1 import BrokenResponseError, InvalidRequestError
from hickorybeam.errors import ErrorKind, GatewayError

if TYPE_CHECKING:
    from hickorybeam.backends.headers import RawHeaders
    from hickorybeam.backends.pool import Connection, ConnectionPool
    from hickorybeam.model import BackendServer
    from hickorybeam.watchdog import Watchdog

__all__ = ("Exchange", "ExchangeError")

LOST = (httpcore.NetworkError, anyio.ClosedResourceError, BrokenResponseError)


class ExchangeError(Exception):
    """The answer did not come, or not whole, after bytes of the request may have been sent.

    :param silent: the connection fell silent; otherwise it broke.
    """

    def __init__(self, *, silent: bool) -> None:
        super().__init__("fell silent" if silent else "broke off")
        self.silent = silent


class Exchange:
    """Sends a request and reads the answer; whoever opens it must ``close`` it.

    The connection goes back to the pool only when the answer was read to its end. A late or
    cancelled one is closed with it, so no other request can ever receive its answer.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        watchdog: Watchdog,
        conn: Connection,
        backend: BackendServer,
        *,
        between_ms: int,
    ) -> None:
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self._pool = pool
        self._watchdog = watchdog
        self._conn = conn
        self._backend = backend
        self._between_ms = between_ms
        self._watch = watchdog.add(between_ms, self._on_silence)

    async def send(
        self, method: str, target: bytes, headers: RawHeaders, body: bytes, *, first_byte_ms: int
    ) -> None:
        """Send the request and read status and headers.

        :raises ExchangeError: the answer did not come.
        :raises GatewayError: ``BAD_REQUEST`` when the request cannot be written as HTTP.
        """
        if body or method in ("POST", "PUT", "PATCH"):
            headers = [*headers, (b"content-length", b"%d" % len(body))]
        self._watchdog.extend(self._watch, first_byte_ms)
        try:
            await self._conn.http.send(method, target, headers, body)
        except LOST as exc:
            raise ExchangeError(silent=self._watch.expired) from exc
        except InvalidRequestError as exc:
            raise GatewayError(ErrorKind.BAD_REQUEST, "not valid as HTTP") from exc
        self.status = self._conn.http.status
        self.headers = self._conn.http.headers

    def header(self, name: bytes) -> str:
        """Return a header of the answer, empty if it has none."""
        for key, value in self.headers:
            if key.lower() == name:
                return value.decode("latin-1")
        return ""

    async def next_chunk(self) -> bytes:
        """Return the next bytes of the body, empty at its proper end.

        The time between two calls does not count as silence of the backend server.

        :raises ExchangeError: the body ended early or fell silent.
        """
        try:
            return await self._conn.http.next_chunk()
        except LOST as exc:
            raise ExchangeError(silent=self._watch.expired) from exc
        finally:
            self._watchdog.pause(self._watch)

    def expect(self) -> None:
        """Start the limit for the next bytes of the body."""
        self._watchdog.extend(self._watch, self._between_ms)

    async def read(self, limit: int) -> bytes:
        """Read the whole body, up to a limit in bytes."""
        parts = []
        size = 0
        while chunk := await self.next_chunk():
            size += len(chunk)
            if size > limit:
                raise ExchangeError(silent=False)
            parts.append(chunk)
            self.expect()
        return b"".join(parts)

    async def close(self) -> None:
        """End the exchange; the connection is reused only after a whole answer."""
        self._watchdog.remove(self._watch)
        if self._conn.http.reusable:
            self._pool.give_back(self._conn)
            return
        with anyio.CancelScope(shield=True):
            await self._conn.http.aclose()
            if self._watch.expired:
                await self._pool.forget(self._backend)

    def _on_silence(self) -> None:
        # The read that waits returns at once, as if the other end had closed.
        with contextlib.suppress(OSError):
            self._conn.socket.shutdown(socket.SHUT_RDWR)
