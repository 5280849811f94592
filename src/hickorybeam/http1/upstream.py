"""One connection to another server: one request at a time, its response matched by its id."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import anyio
import httptools

from hickorybeam.clock import MS_PER_SECOND
from hickorybeam.http1.head import Framing, ResponseHead, find_header
from hickorybeam.http1.message_bounds import MessageBounds
from hickorybeam.http1.paced_reader import PIECE_BYTES, PacedReader
from hickorybeam.http1.response_errors import BrokenResponseError, EndlessResponseError
from hickorybeam.http1.response_owner import (
    STATUS_LINE,
    Owner,
    RequestId,
    StrayKind,
    is_merged,
    owner_of,
)
from hickorybeam.http1.values import keep_alive_seconds, parse_count
from hickorybeam.sockets import is_established, last_data_age_ms

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

__all__ = ("UpstreamConnection",)

# Of all that comes before a body: blank lines, interim responses, the status line, the headers.
MAX_HEAD_BYTES = 65_536
# A body, whether kept or passed on. No answer of a model or an application is as long.
MAX_BODY_BYTES = 67_108_864
# The body of a response to another request that is skipped.
MAX_SKIPPED_BYTES = 1_048_576
FIRST_FINAL_STATUS = 200
BODILESS_STATUSES = (204, 304)
# More pieces of a body are joined, as one of a byte takes far more memory than it holds.
MAX_PIECES = 64
# Reading from the socket pauses while more than this is buffered.
MAX_BUFFERED_BYTES = 1_048_576
# The same while the receiver takes nothing. A task that only has to be woken takes all at its next
# turn: paused as early, it would need a turn of a busy event loop for each part of a large body.
MAX_HELD_UP_BYTES = 65_536


class UpstreamConnection(asyncio.Protocol):
    """A connection that carries one request after the other.

    A response is never matched to the wrong request: bytes on an idle connection or after the end
    of a response close the connection, and a response that isn't the request's by its id is
    skipped.

    ``on_stray`` is called with each kind of bytes of no request, and the status of a response.
    """

    def __init__(self) -> None:
        self.reusable = False
        self.keep_alive_s: float | None = None
        self.local_port = 0
        # When it was asked for, and when the other end had taken it.
        self.asked_ms = 0
        self.opened_ms = 0
        self.request_count = 0
        # Whether the other end closed or reset it, which ends what runs there.
        self.closed_by_peer = False
        # How long before its close was read the kernel had received data.
        self.quiet_ms = 0
        self.idle_since_ms = 0
        self.on_close: Callable[[UpstreamConnection], None] | None = None
        # Called when the other end, or the network, ends it.
        self.on_lost: Callable[[], None] = lambda: None
        self.on_stray: Callable[[UpstreamConnection, StrayKind, int], None] | None = None
        self.expected_id: RequestId | None = None
        # What came before the first request was sent, which can't be a response to it.
        self._early = b""
        self._is_early = False
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._reader = PacedReader(self._feed)
        self._progress = anyio.Event()
        self._lost = anyio.Event()
        self._closed = False
        self._awaiting_response = False
        self._reset_response()

    def _reset_response(self) -> None:
        self._head: ResponseHead | None = None
        self._headers: list[tuple[bytes, bytes]] = []
        self._bounds = MessageBounds()
        self._skipped_bytes = 0
        self._chunks: list[bytes] = []
        self._buffered = 0
        self._complete = False
        self._failure = ""
        self._is_endless = False
        self._saw_stray = False
        self._head_only = False
        self._skipping = False
        self._began_early = False
        # More than one head has come, or one in pieces.
        self._may_be_merged = False
        self._reason = b""
        self._ends_at_close = False
        self._is_held_up = False
        self._forward: Callable[[bytes], bool] | None = None

    @property
    def is_established(self) -> bool:
        """Whether the other end has not closed it, which the kernel knows before the event loop."""
        return self._transport is not None and is_established(self._transport)

    @property
    def ends_at_close(self) -> bool:
        """Whether nothing but the connection's end marks the end of the response."""
        return self._ends_at_close

    def describe(self) -> str:
        """Return this end's port and how many requests it has carried, for logs."""
        return f"port {self.local_port}, request {self.request_count}"

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = transport  # type: ignore[assignment]
        self._reader.attach(transport)  # type: ignore[arg-type]

    def eof_received(self) -> bool:
        """Complete a response that ends with its connection, unless this end broke it off.

        What is sent afterwards can't spoil it: the other end may have answered before it read the
        whole request, and resets the connection when more of that arrives.
        """
        self.closed_by_peer = True
        if self._transport is not None:
            self.quiet_ms = last_data_age_ms(self._transport)
        self.on_lost()
        if self._head is not None and self._ends_at_close and not self._failure:
            self._complete = True
            self._progress.set()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the current response and notify the pool."""
        self._reader.finish()
        self._closed = True
        self.closed_by_peer |= isinstance(exc, ConnectionResetError | BrokenPipeError)
        self._lost.set()
        if exc is not None:
            self.on_lost()
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
        if self._failure:
            return
        if len(data) <= PIECE_BYTES and not self._reader.unfed:
            self._feed(data)
        else:
            self._reader.receive(data)

    def _feed(self, data: bytes) -> None:
        if not self._awaiting_response or self._complete:
            self._take_surplus(data)
            return
        if self._head is None and not self._may_be_merged:
            self._may_be_merged = bool(self._bounds.fed_bytes) or data.count(STATUS_LINE) > 1
        self._bounds.fed_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            self._report_stray(StrayKind.INVALID)
            self._fail(f"invalid HTTP: {exc}")
        if len(self._chunks) > MAX_PIECES:
            self._chunks = [b"".join(self._chunks)]
        if self._buffered > (MAX_HELD_UP_BYTES if self._is_held_up else MAX_BUFFERED_BYTES):
            self._reader.block()
        if self._complete:
            if self._reader.unfed:
                # Bytes after the end, which the next response must not begin with.
                self._report_stray(StrayKind.SURPLUS)
                self.abort()
        elif self._bounds.fed_bytes > MAX_HEAD_BYTES:
            self._check_bounds()
        if self._forward is None or not self._forward_chunks():
            self._progress.set()

    def _take_surplus(self, data: bytes) -> None:
        """Close the connection, unless it is new: then its first request skips the bytes.

        A server that sends them to each new connection could be sent nothing otherwise.
        """
        if self.request_count or len(self._early) + len(data) > MAX_HEAD_BYTES:
            self._report_stray(StrayKind.SURPLUS)
            self.abort()
            return
        self._early += data

    def _report_stray(self, kind: StrayKind, status: int = 0) -> None:
        """Report bytes of no request; the connection carries no further one."""
        self._saw_stray = True
        self.reusable = False
        if self.on_stray is not None:
            self.on_stray(self, kind, status)

    def _fail(self, failure: str, *, is_endless: bool = False) -> None:
        """Break the response off and close the connection."""
        if not self._complete and not self._failure:
            self._failure, self._is_endless = failure, is_endless
        self._close_this_end()
        self._progress.set()

    def _fail_endless(self, failure: str) -> None:
        self._fail(failure, is_endless=True)

    def _check_bounds(self) -> None:
        """Close the connection if bytes go on that are no answer, or more of one than any has."""
        bounds = self._bounds
        if self._head is None and bounds.other_bytes > MAX_HEAD_BYTES:
            self._fail_endless(f"no head within {bounds.other_bytes} bytes")
        elif self._skipped_bytes > MAX_SKIPPED_BYTES:
            self._fail_endless(f"{self._skipped_bytes} bytes of another request's response")
        elif bounds.body_bytes > MAX_BODY_BYTES:
            self._fail_endless(f"a body of {bounds.body_bytes} bytes and more")
        elif bounds.has_excess_framing():
            self._fail_endless(f"{bounds.other_bytes} bytes beside a body of {bounds.body_bytes}")

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
        self._began_early = self._is_early
        self._reason = b""
        if self._complete:
            self._report_stray(StrayKind.SURPLUS)
        self._headers = []

    def on_status(self, reason: bytes) -> None:
        """Append to the reason phrase."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append one header."""
        self._bounds.add_header(len(name) + len(value))
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Store the head, unless it is an interim one or belongs to another request."""
        status = self._parser.get_status_code()
        if self._complete or status < FIRST_FINAL_STATUS:
            return
        headers = tuple(self._headers)
        if self._may_be_merged and is_merged(self._reason, headers):
            self._report_stray(StrayKind.INVALID, status)
            self._fail("a head inside a head")
            return
        if self.expected_id is not None:
            owner = Owner.NOBODY if self._began_early else owner_of(headers, self.expected_id)
            if owner is not Owner.REQUEST:
                self._skip(owner, status)
                return
        self._skipping = False
        self._bounds.end_head()
        self._take_head(ResponseHead(status, headers, self.opened_ms))

    def _take_head(self, head: ResponseHead) -> None:
        """Store the head of the request's response, unless its body can't be read by it."""
        self._head = head
        self._keep_alive = self._parser.should_keep_alive()
        self.keep_alive_s = keep_alive_seconds(find_header(head.headers, b"keep-alive"))
        if self._head_only:
            # The parser would wait for a body that never comes.
            self._complete_message()
            return
        framing = head.framing if head.status not in BODILESS_STATUSES else None
        self._ends_at_close = framing is Framing.CLOSE
        if framing is Framing.UNKNOWN:
            self._fail("a transfer coding that can't be read")
        elif (self.declared_bytes or 0) > MAX_BODY_BYTES:
            self._fail_endless(f"a body of {self.declared_bytes} bytes")
        if self._failure:
            # Nothing of it may be passed on.
            self._head = None

    def _skip(self, owner: Owner, status: int) -> None:
        """Skip a response that isn't the request's, and wait for its own."""
        kind = StrayKind.ANOTHER if owner is Owner.ANOTHER else StrayKind.NOBODY
        self._report_stray(kind, status)
        self._skipping = True
        if self._head_only:
            # The parser would take what follows for the body, which no response to HEAD has.
            self._fail("a response of no request where one to HEAD is expected")

    @property
    def declared_bytes(self) -> int | None:
        """The length that the response declares for its body, ``None`` if it declares none."""
        head = self._head
        if head is None or self._head_only or head.status in BODILESS_STATUSES:
            return None
        if head.framing is not Framing.LENGTH:
            return None
        return parse_count(find_header(head.headers, b"content-length"))

    def on_body(self, data: bytes) -> None:
        """Append to the body."""
        self._bounds.body_bytes += len(data)
        if self._skipping:
            self._skipped_bytes += len(data)
        elif self._head is not None and not self._complete:
            self._chunks.append(data)
            self._buffered += len(data)

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
        usable = not unsent and not self._closed and not self._saw_stray
        self.reusable = self._keep_alive and usable

    def send(
        self,
        *data: bytes,
        expected_id: RequestId | None = None,
        head_only: bool = False,
    ) -> None:
        """Send a request.

        :param data: its bytes; a large body comes apart from its head, as joining copies it.
        :param expected_id: the id that its response echoes; ``None`` if the other end knows no ids.
        :param head_only: the response has no body, whatever its headers say.
        """
        if self._closed or self._transport is None or self._transport.is_closing():
            raise BrokenResponseError("connection closed before the request", sent=False)
        if self._reader.unfed:
            self._report_stray(StrayKind.SURPLUS)
            self.abort()
            raise BrokenResponseError("bytes that belong to no request", sent=False)
        if self._early and expected_id is None:
            self.abort()
            raise BrokenResponseError("bytes that belong to no request", sent=False)
        if expected_id is not None and expected_id.value and self._has_just_carried(expected_id):
            # A response to the first one, told twice, would be taken for the second one's.
            raise BrokenResponseError("it has just carried a request of this id", sent=False)
        self._reset_response()
        self._parser = httptools.HttpResponseParser(self)
        self._awaiting_response = True
        self.request_count += 1
        self.reusable = False
        self.expected_id = expected_id
        self._head_only = head_only
        self._skip_early()
        if len(data) == 1:
            self._transport.write(data[0])
        else:
            self._transport.writelines(data)

    def _has_just_carried(self, request_id: RequestId) -> bool:
        return self.expected_id is not None and self.expected_id.value == request_id.value

    def _skip_early(self) -> None:
        """Parse what came before the first request, as responses of nobody."""
        if not self._early:
            return
        data, self._early = self._early, b""
        self._is_early = True
        self._feed(data)
        self._is_early = False
        if self._failure:
            self.abort()
            raise BrokenResponseError("bytes that belong to no request", sent=False)

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
                        await self._wait_held_up(wait_ready)
                    continue
                self._forward = forward
                await self._wait_for_data()
                if self._forward is None:
                    await self._wait_held_up(wait_ready)
            self._awaiting_response = False
        finally:
            self._forward = None

    async def _wait_held_up(self, wait_ready: Callable[[], Awaitable[None]]) -> None:
        """Wait for the receiver, and buffer little meanwhile."""
        self._is_held_up = True
        try:
            await wait_ready()
        finally:
            self._is_held_up = False

    def _take_chunks(self) -> bytes:
        data = self._chunks[0] if len(self._chunks) == 1 else b"".join(self._chunks)
        self._chunks.clear()
        if self._buffered > MAX_HELD_UP_BYTES:
            self._reader.unblock()
        self._buffered = 0
        return data

    async def read_body(self, *, max_bytes: int = MAX_BODY_BYTES) -> bytes:
        """Read the rest of the body.

        :raises BrokenResponseError: it ended early or is larger than ``max_bytes``.
        """
        parts, size = [], 0
        while data := await self.read_chunk():
            parts.append(data)
            size += len(data)
            if size > max_bytes:
                self.abort()
                # The error's traceback would keep them until the next run of the garbage collector.
                parts.clear()
                raise BrokenResponseError("response body too large")
        return b"".join(parts)

    async def _wait_for_data(self) -> None:
        if self._failure:
            kind = EndlessResponseError if self._is_endless else BrokenResponseError
            raise kind(self._failure)
        if self._closed and not self._complete:
            raise BrokenResponseError("connection closed")
        self._progress = anyio.Event()
        await self._progress.wait()

    @property
    def closed(self) -> bool:
        """Whether the connection is closed or closing."""
        return self._closed or self._transport is None or self._transport.is_closing()

    def _close_this_end(self) -> None:
        """Send nothing more, and drop what still comes, until the other end closes."""
        self.reusable = False
        self._reader.discard()
        if not self.closed and self._transport is not None:
            with contextlib.suppress(OSError, RuntimeError):
                self._transport.write_eof()

    async def close_acknowledged(self, limit_ms: int) -> bool:
        """Close this end; return whether the other end closes its own within a time.

        A server closes its end when it has dropped the request. One that is hung, that keeps the
        request, or that the network hides, doesn't.
        """
        if not self._failure:
            self._failure = "given up"
        self._close_this_end()
        with anyio.move_on_after(limit_ms / MS_PER_SECOND):
            await self._lost.wait()
        return self.closed_by_peer

    def abort(self) -> None:
        """Abort the connection, which cancels what runs at the other end."""
        self.reusable = False
        self._reader.discard()
        if self._transport is not None:
            self._transport.abort()
