"""One request and its response on one connection, with a timeout for every read."""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING

import anyio
import httpcore

from hickorybeam.backends.http1 import BrokenResponseError, InvalidRequestError
from hickorybeam.backends.witness import Witness
from hickorybeam.errors import ErrorKind, GatewayError

if TYPE_CHECKING:
    from hickorybeam.backends.headers import RawHeaders
    from hickorybeam.backends.pool import Connection, ConnectionPool
    from hickorybeam.model import BackendServer
    from hickorybeam.watchdog import Watchdog

__all__ = ("Exchange", "ExchangeError")

CONNECTION_ERRORS = (httpcore.NetworkError, anyio.ClosedResourceError, BrokenResponseError)


class ExchangeError(Exception):
    """The response is missing or incomplete, and bytes of the request may have been sent.

    :param timed_out: the connection fell silent; otherwise it broke.
    """

    def __init__(self, *, timed_out: bool) -> None:
        super().__init__("fell silent" if timed_out else "broke off")
        self.timed_out = timed_out


class Exchange:
    """Sends a request and reads the response; whoever opens it must ``close`` it.

    The connection returns to the pool only if the response was read to its end. With a late or
    cancelled response it is closed, so that no other request can receive that response.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        watchdog: Watchdog,
        conn: Connection,
        backend: BackendServer,
        *,
        read_timeout_ms: int,
    ) -> None:
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self._pool = pool
        self._watchdog = watchdog
        self._conn = conn
        self._backend = backend
        self._read_timeout_ms = read_timeout_ms
        self._witness: Witness | None = None
        self._content_shows_end = False
        self._deadline = watchdog.add(read_timeout_ms, self._shut_down_socket)

    async def send(
        self,
        method: str,
        target: bytes,
        headers: RawHeaders,
        body: bytes,
        *,
        first_byte_timeout_ms: int,
    ) -> None:
        """Send the request and read status and headers.

        :raises ExchangeError: the response did not arrive.
        :raises GatewayError: ``BAD_REQUEST`` if the request cannot be written as HTTP.
        """
        if body or method in ("POST", "PUT", "PATCH"):
            headers = [*headers, (b"content-length", b"%d" % len(body))]
        self._watchdog.extend(self._deadline, first_byte_timeout_ms)
        if self._conn.address in self._pool.unframed:
            self._witness = Witness(self._conn.socket)
        try:
            await self._conn.http.send(method, target, headers, body)
        except CONNECTION_ERRORS as exc:
            raise ExchangeError(timed_out=self._deadline.expired) from exc
        except InvalidRequestError as exc:
            raise GatewayError(ErrorKind.BAD_REQUEST, "not valid as HTTP") from exc
        self.status = self._conn.http.status
        self.headers = self._conn.http.headers
        self._expect_end()

    def _expect_end(self) -> None:
        """Have a witness of the response's end exactly if its connection ends it."""
        if self._conn.http.ends_at_close:
            self._pool.unframed.add(self._conn.address)
            self._witness = self._witness or Witness(self._conn.socket)
        else:
            self._pool.unframed.discard(self._conn.address)
            self._close_witness()

    def _close_witness(self) -> None:
        if self._witness is not None:
            self._witness.close()
            self._witness = None

    def header(self, name: bytes) -> str:
        """Return a header of the response, empty if it is missing."""
        for key, value in self.headers:
            if key.lower() == name:
                return value.decode("latin-1")
        return ""

    async def next_chunk(self) -> bytes:
        """Return the next bytes of the body, empty at its end.

        The time between two calls of this method does not count towards the read timeout.

        :raises ExchangeError: the body ended early or timed out, or its server ended with it.
        """
        try:
            chunk = await self._conn.http.next_chunk()
        except CONNECTION_ERRORS as exc:
            raise ExchangeError(timed_out=self._deadline.expired) from exc
        finally:
            self._watchdog.pause(self._deadline)
        if not chunk and self._witness is not None and not self._content_shows_end:
            witness, address = self._witness, self._conn.address
            if not await witness.confirm(lambda: self._pool.accepts(address)):
                raise ExchangeError(timed_out=False)
        return chunk

    def start_read_timeout(self) -> None:
        """Start the timeout for the next bytes of the body."""
        self._watchdog.extend(self._deadline, self._read_timeout_ms)

    async def read(self, max_bytes: int, *, shows_end: bool = False) -> bytes:
        """Read the whole body, or raise if it is longer than ``max_bytes``.

        :param shows_end: nobody takes a part of it for the whole, as it is a JSON object.
        """
        self._content_shows_end = shows_end
        parts = []
        size = 0
        while chunk := await self.next_chunk():
            size += len(chunk)
            if size > max_bytes:
                raise ExchangeError(timed_out=False)
            parts.append(chunk)
            self.start_read_timeout()
        return b"".join(parts)

    async def close(self) -> None:
        """End the exchange; the connection is reused only after a complete response."""
        self._watchdog.remove(self._deadline)
        self._close_witness()
        if self._conn.http.reusable:
            self._pool.release(self._conn)
            return
        with anyio.CancelScope(shield=True):
            await self._conn.http.aclose()
            if self._deadline.expired:
                await self._pool.close_idle(self._backend)

    def _shut_down_socket(self) -> None:
        # A pending read returns at once, as if the other end had closed.
        self._conn.http.cut_off()
        with contextlib.suppress(OSError):
            self._conn.socket.shutdown(socket.SHUT_RDWR)
