"""One connection to another server: one request at a time, its response matched by request id."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

import anyio
import httptools

from hickorybeam.http1.head import Framing, ResponseHead, find_header
from hickorybeam.http1.values import parse_count

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

__all__ = ("BrokenResponseError", "UpstreamConnection")

MAX_HEAD_BYTES = 65_536
FIRST_FINAL_STATUS = 200
BODILESS_STATUSES = (204, 304)
# Reading from the socket pauses while more than this is buffered.
MAX_BUFFERED_BYTES = 1_048_576


class BrokenResponseError(Exception):
    """The response is missing, malformed or incomplete.

    :param sent: the other end may have received bytes of the request.
    """

    def __init__(self, text: str, *, sent: bool = True) -> None:
        super().__init__(text)
        self.sent = sent


class UpstreamConnection(asyncio.Protocol):
    """A connection that carries one request after the other.

    A response is never matched to the wrong request: bytes on an idle connection or after the end
    of a response close the connection, and a response that echoes the id of another request is
    skipped.
    """

    def __init__(self) -> None:
        self.reusable = False
        self.keep_alive_s: float | None = None
        self.opened_ms = 0
        self.idle_since_ms = 0
        self.on_close: Callable[[UpstreamConnection], None] | None = None
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._progress = anyio.Event()
        self._closed = False
        self._awaiting_response = False
        self._reset_response()

    def _reset_response(self) -> None:
        self._head: ResponseHead | None = None
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_bytes = 0
        self._chunks: deque[bytes] = deque()
        self._buffered = 0
        self._complete = False
        self._failure = ""
        self._expected_id: tuple[bytes, bytes] | None = None
        self._head_only = False
        self._skipping = False
        self._ends_at_close = False
        self._forward: Callable[[bytes], bool] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = transport  # type: ignore[assignment]

    def eof_received(self) -> bool:
        """Complete a response that ends with its connection.

        What is sent afterwards can't spoil it: the other end may have answered before it read the
        whole request, and resets the connection when more of that arrives.
        """
        if self._head is not None and self._ends_at_close:
            self._complete = True
            self._progress.set()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the current response and notify the pool."""
        self._closed = True
        self.reusable = False
        if not self._complete:
            self._failure = self._failure or self._describe_early_end(exc)
        self._progress.set()
        if self.on_close is not None:
            self.on_close(self)

    def _describe_early_end(self, exc: Exception | None) -> str:
        how = "connection closed" if exc is None else f"connection lost ({exc!r})"
        if self._head is None:
            return f"{how} before a response"
        return f"{how} within a response framed by {self._head.framing.value}"

    def data_received(self, data: bytes) -> None:
        """Feed the parser; close the connection if no response is expected."""
        if not self._awaiting_response or self._complete:
            self.reusable = False
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            if not self._complete:
                self._failure = f"invalid HTTP: {exc}"
            self.abort()
        if self._forward is None or not self._forward_chunks():
            self._progress.set()

    def _forward_chunks(self) -> bool:
        """Pass buffered bytes on; return whether the task that reads the response may sleep on."""
        if self._forward is None or self._complete or self._failure:
            return False
        if not self._chunks:
            return True
        if not self._forward(self._take_chunks()):
            # Until its task has waited for the receiver, further bytes are buffered.
            self._forward = None
            return False
        return True

    def on_message_begin(self) -> None:
        """Start a head; one after the response's end makes the connection unfit for reuse."""
        if self._complete:
            self.reusable = False
        self._headers = []
        self._head_bytes = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append one header."""
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > MAX_HEAD_BYTES:
            raise httptools.HttpParserError("response head too large")
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Store the head, unless it is an interim one or belongs to another request."""
        status = self._parser.get_status_code()
        if self._complete or status < FIRST_FINAL_STATUS:
            return
        headers = tuple(self._headers)
        if self._expected_id is not None:
            name, expected = self._expected_id
            echoed = find_header(headers, name)
            if echoed is not None and echoed != expected:
                self._skipping = True
                return
        self._skipping = False
        self._head = ResponseHead(status, headers)
        self._keep_alive = self._parser.should_keep_alive()
        self.keep_alive_s = keep_alive_seconds(find_header(headers, b"keep-alive"))
        ends_at_close = self._head.framing is Framing.CLOSE
        self._ends_at_close = ends_at_close and status not in BODILESS_STATUSES
        if self._head_only:
            # The parser would wait for a body that never comes.
            self._complete_message()

    def on_body(self, data: bytes) -> None:
        """Append to the body."""
        if self._skipping or self._complete or self._head is None:
            return
        self._chunks.append(data)
        self._buffered += len(data)
        if self._buffered > MAX_BUFFERED_BYTES and self._transport is not None:
            self._transport.pause_reading()

    def on_message_complete(self) -> None:
        """Mark the response as complete."""
        if self._skipping:
            self._skipping = False
            return
        if self._head is not None and not self._ends_at_close and not self._complete:
            self._complete_message()

    def _complete_message(self) -> None:
        self._complete = True
        unsent = self._transport is not None and self._transport.get_write_buffer_size()
        self.reusable = self._keep_alive and not unsent and not self._closed

    def send(
        self,
        data: bytes,
        *,
        expected_id: tuple[bytes, bytes] | None = None,
        head_only: bool = False,
    ) -> None:
        """Send a request.

        :param expected_id: name and value of the header that the response must echo.
        :param head_only: the response has no body, whatever its headers say.
        """
        if self._closed or self._transport is None or self._transport.is_closing():
            raise BrokenResponseError("connection closed before the request", sent=False)
        self._reset_response()
        self._parser = httptools.HttpResponseParser(self)
        self._awaiting_response = True
        self.reusable = False
        self._expected_id = expected_id
        self._head_only = head_only
        self._transport.write(data)

    async def read_head(self) -> ResponseHead:
        """Wait for the head of the response.

        :raises BrokenResponseError: it did not arrive.
        """
        while self._head is None:
            await self._wait_for_data()
        return self._head

    async def read_chunk(self) -> bytes:
        """Wait for bytes of the body and return them; empty at its end.

        :raises BrokenResponseError: the body ended early.
        """
        while not self._chunks:
            if self._complete:
                self._awaiting_response = False
                return b""
            await self._wait_for_data()
        return self._take_chunks()

    async def forward_body(
        self, forward: Callable[[bytes], bool], wait_ready: Callable[[], Awaitable[None]]
    ) -> None:
        """Pass the body's bytes on as they arrive, until its end.

        They are passed on from the event loop's read callback: to wake a task for each event of a
        stream costs as much as reading and writing the event.

        :param forward: takes bytes, and returns whether the receiver takes more at once.
        :param wait_ready: waits until the receiver takes more.
        :raises BrokenResponseError: the body ended early.
        """
        try:
            while self._chunks or not self._complete:
                self._forward = None
                if self._chunks:
                    if not forward(self._take_chunks()):
                        await wait_ready()
                    continue
                self._forward = forward
                await self._wait_for_data()
                if self._forward is None:
                    await wait_ready()
            self._awaiting_response = False
        finally:
            self._forward = None

    def _take_chunks(self) -> bytes:
        data = b"".join(self._chunks)
        self._chunks.clear()
        if self._buffered > MAX_BUFFERED_BYTES and self._transport is not None:
            self._transport.resume_reading()
        self._buffered = 0
        return data

    async def read_body(self, *, max_bytes: int = 64_000_000) -> bytes:
        """Read the rest of the body.

        :raises BrokenResponseError: it ended early or is larger than ``max_bytes``.
        """
        parts, size = [], 0
        while data := await self.read_chunk():
            parts.append(data)
            size += len(data)
            if size > max_bytes:
                self.abort()
                raise BrokenResponseError("response body too large")
        return b"".join(parts)

    async def _wait_for_data(self) -> None:
        if self._failure:
            raise BrokenResponseError(self._failure)
        if self._closed and not self._complete:
            raise BrokenResponseError("connection closed")
        self._progress = anyio.Event()
        await self._progress.wait()

    @property
    def closed(self) -> bool:
        """Whether the connection is closed or closing."""
        return self._closed or self._transport is None or self._transport.is_closing()

    def abort(self) -> None:
        """Abort the connection, which cancels what runs at the other end."""
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()


def keep_alive_seconds(value: bytes | None) -> float | None:
    """Return the idle timeout in a Keep-Alive header, in seconds, if it has one."""
    for part in (value or b"").split(b","):
        name, _, seconds = part.strip().partition(b"=")
        count = parse_count(seconds)
        if name.lower() == b"timeout" and count is not None:
            return float(count)
    return None
