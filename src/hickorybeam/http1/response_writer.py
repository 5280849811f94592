"""Writer of the response to one request, used by the request's handler."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from hickorybeam.http1.head import find_header, response_head_bytes
from hickorybeam.http1.values import parse_count

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorybeam.http1.head import RawHeaders

__all__ = ("ResponseConnection", "ResponseWriter")

LAST_CHUNK = b"0\r\n\r\n"


class ResponseConnection(Protocol):
    """What a response needs of the connection that it is written to."""

    @property
    def draining(self) -> bool:
        """Whether the server is shutting down, so that connections end with their responses."""
        ...

    @property
    def writable(self) -> bool:
        """Whether the write buffer has room."""
        ...

    def write(self, data: bytes) -> None:
        """Write unless the connection is closing."""
        ...

    async def wait_writable(self) -> None:
        """Wait until the write buffer has room."""
        ...

    def reset_unless_ended(self) -> None:
        """Have the connection reset, however it ends, unless the response ends before."""
        ...

    def end_response(self, *, close: bool) -> None:
        """Start the next request, or close the connection."""
        ...

    def abort(self) -> None:
        """Abort the connection."""
        ...

    def reset(self) -> None:
        """Reset the connection, so that the caller sees an error and no orderly close."""
        ...


class ResponseWriter:
    """Writes the response to one request: complete, or as a head and chunks.

    Writes nothing after the caller has disconnected; ``is_disconnected`` is set then.

    :param chunked: the caller takes chunks. For one that doesn't, a body of unknown length ends
        with its connection, and only a reset shows that it broke off.
    :param echoed_id: the header that names the request, which each response has; ``None`` if only
        the handler adds it.
    """

    __slots__ = (
        "_chunked",
        "_close",
        "_conn",
        "_echoed_id",
        "_head_only",
        "_on_disconnect",
        "done",
        "is_disconnected",
        "started",
    )

    def __init__(
        self,
        conn: ResponseConnection,
        *,
        close: bool,
        head_only: bool,
        chunked: bool = True,
        echoed_id: tuple[bytes, bytes] | None = None,
    ) -> None:
        self._conn = conn
        self._echoed_id = echoed_id
        self._chunked = chunked
        self._close = close
        self._head_only = head_only
        self._on_disconnect: Callable[[], None] | None = None
        self.started = False
        self.done = False
        self.is_disconnected = False

    def on_disconnect(self, callback: Callable[[], None] | None) -> None:
        """Call ``callback`` once if the caller disconnects before its response is complete."""
        self._on_disconnect = callback
        if self.is_disconnected and callback is not None:
            callback()

    def close_after(self) -> None:
        """Close the connection after this response."""
        self._close = True

    def send(
        self, status: int, headers: RawHeaders = (), body: bytes = b"", *, close: bool = False
    ) -> None:
        """Send a complete response."""
        close = close or self._close or self._conn.draining
        length = declared_length(headers) if self._head_only and not body else len(body)
        head = response_head_bytes(status, self._with_id(headers), length=length, close=close)
        self.started = True
        self._conn.write(head if self._head_only else head + body)
        self._finish(close=close)

    def start(self, status: int, headers: RawHeaders) -> None:
        """Send the head of a response whose body follows in chunks."""
        self._close = self._close or self._conn.draining or not self._chunked
        head = response_head_bytes(
            status,
            self._with_id(headers),
            length=None,
            close=self._close,
            chunked=self._chunked,
        )
        if not self._chunked and not self._head_only:
            self._conn.reset_unless_ended()
        self._conn.write(head)
        self.started = True

    def _with_id(self, headers: RawHeaders) -> RawHeaders:
        if self._echoed_id is None or self._echoed_id in headers:
            return headers
        return (self._echoed_id, *headers)

    async def send_chunk(self, data: bytes) -> None:
        """Send a chunk of the body, and wait while the caller's buffer is full."""
        if not self.write_chunk(data):
            await self.wait_writable()

    def write_chunk(self, data: bytes) -> bool:
        """Send a chunk of the body; return whether the caller's buffer has room for more."""
        if data and not self._head_only:
            self._conn.write(b"%x\r\n%s\r\n" % (len(data), data) if self._chunked else data)
        return self._conn.writable

    async def wait_writable(self) -> None:
        """Wait while the caller's buffer is full."""
        await self._conn.wait_writable()

    def end(self) -> None:
        """Send the last chunk, which ends the body."""
        if self._chunked and not self._head_only:
            self._conn.write(LAST_CHUNK)
        self._finish(close=self._close)

    def abort(self) -> None:
        """Abort the connection, so that the response cannot look complete."""
        self.done = True
        if self._chunked:
            self._conn.abort()
        else:
            self._conn.reset()

    def send_raw(self, data: bytes) -> None:
        """Send raw bytes; for stand-ins of servers with malformed responses."""
        self.started = True
        self._conn.write(data)

    def reset(self) -> None:
        """Reset the connection; for stand-ins of servers that crash."""
        self.done = True
        self._conn.reset()

    def end_by_close(self) -> None:
        """End the response by closing the connection in order."""
        self._finish(close=True)

    def connection_lost(self) -> None:
        """Record that the connection has ended, and call the callback."""
        if self.done or self.is_disconnected:
            return
        self.is_disconnected = True
        if self._on_disconnect is not None:
            self._on_disconnect()

    def _finish(self, *, close: bool) -> None:
        self.done = True
        self._conn.end_response(close=close)


def declared_length(headers: RawHeaders) -> int | None:
    """Return the length that a response's headers declare, if they do and it is valid."""
    return parse_count(find_header(headers, b"content-length"))
