"""The answer to one request of a caller, as its handler writes it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorybeam.http1.head import response_head_bytes

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorybeam.http1.head import RawHeaders
    from hickorybeam.http1.server import CallerConnection

__all__ = ("ResponseWriter",)

LAST_CHUNK = b"0\r\n\r\n"


class ResponseWriter:
    """The answer to one request: whole, or a head and chunks.

    Nothing is written after the caller has left; ``gone`` tells.
    """

    __slots__ = ("_close", "_conn", "_head_only", "_on_disconnect", "done", "gone", "started")

    def __init__(self, conn: CallerConnection, *, close: bool, head_only: bool) -> None:
        self._conn = conn
        self._close = close
        self._head_only = head_only
        self._on_disconnect: Callable[[], None] | None = None
        self.started = False
        self.done = False
        self.gone = False

    def on_disconnect(self, callback: Callable[[], None] | None) -> None:
        """Call back once when the caller leaves before its answer is complete."""
        self._on_disconnect = callback
        if self.gone and callback is not None:
            callback()

    def close_after(self) -> None:
        """End the connection after this answer."""
        self._close = True

    def send(
        self, status: int, headers: RawHeaders = (), body: bytes = b"", *, close: bool = False
    ) -> None:
        """Send a complete answer."""
        close = close or self._close or self._conn.server.closing
        head = response_head_bytes(status, headers, length=len(body), close=close)
        self.started = True
        self._conn.write(head if self._head_only else head + body)
        self._finish(close=close)

    def start(self, status: int, headers: RawHeaders) -> None:
        """Send the head of an answer whose body follows in chunks."""
        self._close = self._close or self._conn.server.closing
        self._conn.write(response_head_bytes(status, headers, length=None, close=self._close))
        self.started = True

    async def send_chunk(self, data: bytes) -> None:
        """Send a part of the body, waiting while the caller is slow to take it."""
        if data and not self._head_only:
            self._conn.write(b"%x\r\n%s\r\n" % (len(data), data))
            await self._conn.flushed()

    def end(self) -> None:
        """Mark the proper end of the chunks."""
        if not self._head_only:
            self._conn.write(LAST_CHUNK)
        self._finish(close=self._close)

    def abort(self) -> None:
        """End the connection so that the answer cannot look complete."""
        self.done = True
        self._conn.abort()

    def send_raw(self, data: bytes) -> None:
        """Send bytes as they are; for stand-ins of servers that answer wrongly."""
        self.started = True
        self._conn.write(data)

    def reset(self) -> None:
        """End the connection with a reset; for stand-ins of servers that crash."""
        self.done = True
        self._conn.reset()

    def end_by_close(self) -> None:
        """End an answer by closing the connection in order."""
        self._finish(close=True)

    def lost(self) -> None:
        """Take note that the connection has ended."""
        if self.done or self.gone:
            return
        self.gone = True
        if self._on_disconnect is not None:
            self._on_disconnect()

    def _finish(self, *, close: bool) -> None:
        self.done = True
        self._conn.answered(close=close)
