"""One connection to another server: a request at a time, its answer matched by its id."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

import anyio
import httptools

from hickorybeam.http1.head import ResponseHead, find_header

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ("BrokenResponseError", "UpstreamConnection")

MAX_HEAD_BYTES = 65_536
FIRST_FINAL_STATUS = 200
BODILESS = (204, 304)
# A reader that falls this far behind makes the other end wait.
MAX_BUFFERED_BYTES = 1_048_576


class BrokenResponseError(Exception):
    """The answer did not come whole.

    :param sent: bytes of the request may have been read at the other end.
    """

    def __init__(self, text: str, *, sent: bool = True) -> None:
        super().__init__(text)
        self.sent = sent


class UpstreamConnection(asyncio.Protocol):
    """A connection that carries one request after the other.

    An answer that nobody asked for is never taken for the next one: bytes on an idle
    connection, and bytes after the proper end, close it; an answer whose echoed id belongs to
    another request is read over.
    """

    def __init__(self) -> None:
        self.reusable = False
        self.keep_alive_s: float | None = None
        self.idle_since_ms = 0
        self.on_lost: Callable[[UpstreamConnection], None] | None = None
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._wake = anyio.Event()
        self._lost = False
        self._clean_end = False
        self._busy = False
        self._clear()

    def _clear(self) -> None:
        self._head: ResponseHead | None = None
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_bytes = 0
        self._chunks: deque[bytes] = deque()
        self._buffered = 0
        self._whole = False
        self._broken = ""
        self._expected_id: tuple[bytes, bytes] | None = None
        self._head_only = False
        self._skipping = False
        self._until_close = False
        self.answer_began = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport  # type: ignore[assignment]

    def eof_received(self) -> bool:
        """Take the other end's proper close."""
        self._clean_end = True
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the answer under way, and tell the pool."""
        self._lost = True
        self.reusable = False
        if self._head is not None and self._until_close and self._clean_end and exc is None:
            self._whole = True
        elif not self._whole:
            self._broken = self._broken or "connection ended"
        self._wake.set()
        if self.on_lost is not None:
            self.on_lost(self)

    def data_received(self, data: bytes) -> None:
        """Feed the parser."""
        if not self._busy or self._whole:
            self.reusable = False
            self.abort()
            return
        self.answer_began = True
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            if not self._whole:
                self._broken = f"not HTTP: {exc}"
            self.abort()
        self._wake.set()

    def on_message_begin(self) -> None:
        """Start a head; one after the proper end makes the connection unfit for reuse."""
        if self._whole:
            self.reusable = False
        self._headers = []
        self._head_bytes = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header."""
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > MAX_HEAD_BYTES:
            raise httptools.HttpParserError("head too large")
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Take the head, unless it is an interim one or belongs to another request."""
        status = self._parser.get_status_code()
        if self._whole or status < FIRST_FINAL_STATUS:
            return
        headers = tuple(self._headers)
        if self._expected_id is not None:
            name, expected = self._expected_id
            found = find_header(headers, name)
            if found is not None and found != expected:
                self._skipping = True
                return
        self._skipping = False
        self._head = ResponseHead(status, headers)
        self._keep_alive = self._parser.should_keep_alive()
        self.keep_alive_s = keep_alive_seconds(find_header(headers, b"keep-alive"))
        coding = find_header(headers, b"transfer-encoding")
        framed = coding is not None or find_header(headers, b"content-length") is not None
        self._until_close = not framed and status not in BODILESS

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""
        if self._skipping or self._whole or self._head is None:
            return
        self._chunks.append(data)
        self._buffered += len(data)
        if self._buffered > MAX_BUFFERED_BYTES and self._transport is not None:
            self._transport.pause_reading()

    def on_message_complete(self) -> None:
        """Take the proper end."""
        if self._skipping:
            self._skipping = False
            return
        if self._head is None or self._until_close or self._whole:
            return
        self._whole = True
        unsent = self._transport is not None and self._transport.get_write_buffer_size()
        self.reusable = self._keep_alive and not unsent and not self._lost

    def send(self, data: bytes, *, expected_id: tuple[bytes, bytes] | None = None) -> None:
        """Send a request.

        :param expected_id: name and value of the header that the answer has to echo.
        """
        if self._lost or self._transport is None or self._transport.is_closing():
            raise BrokenResponseError("connection ended before the request", sent=False)
        self._clear()
        self._parser = httptools.HttpResponseParser(self)
        self._busy = True
        self.reusable = False
        self._expected_id = expected_id
        self._transport.write(data)

    async def read_head(self) -> ResponseHead:
        """Wait for the head of the answer.

        :raises BrokenResponseError: it did not come.
        """
        while self._head is None:
            await self._more()
        return self._head

    async def read_chunk(self) -> bytes:
        """Return the bytes of the body that have arrived, empty at its proper end.

        :raises BrokenResponseError: the body ended early.
        """
        while not self._chunks:
            if self._whole:
                self._busy = False
                return b""
            await self._more()
        data = b"".join(self._chunks)
        self._chunks.clear()
        if self._buffered > MAX_BUFFERED_BYTES and self._transport is not None:
            self._transport.resume_reading()
        self._buffered = 0
        return data

    async def read_body(self, *, most: int = 64_000_000) -> bytes:
        """Read the rest of the body.

        :raises BrokenResponseError: it ended early or is larger than ``most`` bytes.
        """
        parts, size = [], 0
        while data := await self.read_chunk():
            parts.append(data)
            size += len(data)
            if size > most:
                self.abort()
                raise BrokenResponseError("body too large")
        return b"".join(parts)

    async def _more(self) -> None:
        if self._broken:
            raise BrokenResponseError(self._broken)
        if self._lost and not self._whole:
            raise BrokenResponseError("connection ended")
        self._wake = anyio.Event()
        await self._wake.wait()

    @property
    def lost(self) -> bool:
        """Whether the connection has ended."""
        return self._lost or self._transport is None or self._transport.is_closing()

    def abort(self) -> None:
        """End the connection at once; what runs at the other end is cancelled by it."""
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()


def keep_alive_seconds(value: bytes | None) -> float | None:
    """Return the idle timeout that the other end announces, if it does."""
    for part in (value or b"").split(b","):
        name, _, figure = part.strip().partition(b"=")
        if name.lower() == b"timeout" and figure.strip().isdigit():
            return float(figure)
    return None
