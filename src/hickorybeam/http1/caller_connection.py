"""One caller's connection: its requests are handled one after the other."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import anyio
import httptools

from hickorybeam.http1.connection_end import ConnectionEnd
from hickorybeam.http1.head import IncomingRequest, find_header, response_head_bytes
from hickorybeam.http1.intake import ClosedReason
from hickorybeam.http1.paced_reader import PacedReader
from hickorybeam.http1.pipelined_input import PipelinedInput
from hickorybeam.http1.request_parser import BAD_REQUEST, JUDGED, ParsedRequest, RequestParser
from hickorybeam.http1.response_writer import ResponseWriter
from hickorybeam.sockets import end_if_silent, peer_host, reset_at_close

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorybeam.http1.server import HttpServer
    from hickorybeam.model.routing import CallerLimits

__all__ = ("CallerConnection",)

# What a caller may send before the current response is complete, beside one whole request.
MAX_PIPELINED_BYTES = 262_144
# A connection is aborted if its caller does not read the response for this long.
WRITE_STALL_TIMEOUT_MS = 5_000
# What is written beyond this waits until the caller has read.
MAX_UNSENT_BYTES = 16_384
# What a server goes on to send meanwhile: in the kernel's buffer, and in its connection's.
HELD_UP_BYTES = 196_608
NO_ROOM = 503


class CallerConnection(asyncio.Protocol):
    """One caller's connection; the server's timeout check enforces its time limits."""

    def __init__(self, server: HttpServer) -> None:
        self.server = server
        self.response: ResponseWriter | None = None
        self._transport: asyncio.Transport | None = None
        self._parser = RequestParser(
            server.clock,
            server.limits,
            on_request=self._take,
            on_expect=self._tell_to_continue,
            on_large=self._judge,
        )
        self._refuse_by_head: Callable[[ResponseWriter], None] | None = None
        self._holding = server.intake.budget.hold(self)
        self._reader = PacedReader(self._feed)
        self._pipelined = PipelinedInput()
        self._end = ConnectionEnd(server.clock, server.limits)
        self._has_asked = False
        self._writable = anyio.Event()
        self._writable.set()
        self._stalled_since_ms: int | None = None
        self._state_since_ms = server.clock.now()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with the server."""
        self._transport = transport  # type: ignore[assignment]
        self._end.attach(transport)  # type: ignore[arg-type]
        if self.server.silent_ms:
            end_if_silent(transport, self.server.silent_ms)
        self._reader.attach(transport)  # type: ignore[arg-type]
        self._holding.origin = peer_host(transport)
        transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)  # type: ignore[attr-defined]
        if not self.server.take_connection(self):
            self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the request in progress that its caller has disconnected."""
        self._drop_unread()
        self.server.conns.discard(self)
        self._writable.set()
        if self.response is not None:
            self.response.connection_lost()

    def pause_writing(self) -> None:
        """Stop sending chunks while the caller does not read."""
        self._writable = anyio.Event()
        self._stalled_since_ms = self.server.clock.now()
        self._account()

    def resume_writing(self) -> None:
        """Continue sending chunks, and start the next request if its turn has come."""
        self._stalled_since_ms = None
        self._writable.set()
        if self.closing:
            self._holding.release()
        elif self.response is None:
            self._start_next()
        self._account()
        self._end.record_sent()

    def data_received(self, data: bytes) -> None:
        """Parse bytes, or keep them until the current response is complete."""
        if self._end.lingers:
            self._end.discard(len(data))
        if self.closing:
            return
        if self._is_busy:
            self._keep_pipelined(data)
        else:
            self._reader.receive(data)
        self._account()

    @property
    def _is_busy(self) -> bool:
        """Whether the next request has to wait: a response is not complete, or not yet read.

        The responses to requests that a caller sends at once, and never reads, would pile up.
        """
        return self.response is not None or not self._writable.is_set()

    def _account(self) -> None:
        """Reserve the memory that the connection takes, or give way if there is none."""
        if self.closing:
            return
        received = self._parser.cost_bytes + self._pipelined.cost_bytes + len(self._reader.unfed)
        if not self._holding.resize(received + self._unsent_bytes):
            self.yield_room()

    @property
    def _unsent_bytes(self) -> int:
        """What the caller has not read, if it is so much that writing waits."""
        if self._transport is None or self._writable.is_set():
            return 0
        held_up = HELD_UP_BYTES if self.response is not None else 0
        return held_up + self._transport.get_write_buffer_size()

    def yield_room(self) -> None:
        """Give memory back, as the process is short of it.

        A request that is being read is refused; behind a response, what came is dropped, and the
        connection ends with the response. A caller that reads nothing is disconnected.
        """
        if not self._is_busy:
            self.refuse(NO_ROOM)
        elif self._unsent_bytes > MAX_UNSENT_BYTES:
            self.server.intake.on_closed(ClosedReason.UNREAD, "")
            self._drop_unread()
            self.reset()
        else:
            self._drop_input()

    def _keep_pipelined(self, data: bytes) -> None:
        """Keep bytes that came before the end of a response, as long as they may be requests.

        A caller that sends on and on still gets that response, as the last one: what it sent
        after that request is dropped, and none of it has run.
        """
        limits = self.server.limits()
        most = MAX_PIPELINED_BYTES + limits.header_bytes + limits.body_bytes
        if not self._pipelined.is_dropped and not self._pipelined.keep_bytes(data, limit=most):
            self._drop_input()

    def _drop_input(self) -> None:
        self._pipelined.is_dropped = True
        self._drop_unread()
        if self.response is not None:
            self.response.close_after()
        else:
            self._close_in_order()

    def _drop_unread(self) -> None:
        """Drop all that came and that no request has been made of."""
        self._pipelined.clear()
        self._reader.discard()
        self._parser.drop()
        self._holding.release()

    def _feed(self, data: bytes) -> None:
        """Parse one piece of what was received."""
        if self.closing:
            return
        if self._is_busy:
            self._keep_pipelined(data)
            return
        if not self._parser.in_request:
            self._state_since_ms = self.server.clock.now()
        try:
            self._parser.feed(data)
        except httptools.HttpParserError:
            if self.response is None:
                self.refuse(BAD_REQUEST)
            else:
                # The bytes after a complete request are no request. The request itself still gets
                # its response, as the last on the connection.
                self._drop_input()
        if self._parser.refused:
            self._refuse_parsed(self._parser.refused)
        self._account()

    def _refuse_parsed(self, status: int) -> None:
        """Refuse a request that broke a rule; one before it still gets its response."""
        if self.response is not None:
            self._drop_input()
        elif status != JUDGED:
            self.refuse(status)
        elif self._refuse_by_head is not None and not self.closing:
            refuse, self._refuse_by_head = self._refuse_by_head, None
            self.response = ResponseWriter(self, close=True, head_only=False)
            refuse(self.response)

    def _judge(self, head: IncomingRequest) -> bool | None:
        """Return whether a large body is to be read, ``None`` while another response is due."""
        if self.response is not None:
            return None
        self._refuse_by_head = self.server.judge(head)
        return self._refuse_by_head is None

    def _tell_to_continue(self) -> None:
        if self.response is None:
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _take(self, parsed: ParsedRequest) -> None:
        """Start a request's task, or queue it behind the current request."""
        if self.closing or self._pipelined.is_dropped:
            return
        if self.response is not None:
            # A pipelined request: its response must not overtake the current one.
            self._pipelined.keep_request(parsed)
            return
        self._start(parsed)

    def _start(self, parsed: ParsedRequest) -> None:
        self._has_asked = True
        # What was held for it while it was read is its own from now on.
        self._holding.release()
        if not self.server.intake.budget.start_running(parsed.cost_bytes, self._holding.origin):
            self.refuse(NO_ROOM, find_header(parsed.req.headers, self.server.id_header) or b"")
            return
        self.response = ResponseWriter(
            self,
            close=parsed.closes,
            head_only=parsed.req.method == "HEAD",
            chunked=parsed.takes_chunks,
            echoed_id=self._echoed_id(parsed.req),
        )
        self.server.spawn(parsed.req, self.response, parsed.cost_bytes)

    def _echoed_id(self, req: IncomingRequest) -> tuple[bytes, bytes] | None:
        name = self.server.id_header
        value = find_header(req.headers, name) if self.server.echoes_id else None
        return (name, value) if value else None

    @property
    def closing(self) -> bool:
        """Whether the connection is closing: nothing more is parsed or written."""
        return self._transport is None or self._end.has_begun

    def write(self, data: bytes) -> None:
        """Write unless the connection is closing."""
        if not self.closing and self._transport is not None:
            self._transport.write(data)
            if not self._writable.is_set():
                self._account()

    @property
    def has_unsent_rest(self) -> bool:
        """Whether bytes of a response are still to be sent whose handler has ended."""
        transport = self._transport
        return self.response is None and bool(transport and transport.get_write_buffer_size())

    @property
    def draining(self) -> bool:
        """Whether the server is shutting down, so that connections end with their responses."""
        return self.server.closing

    @property
    def writable(self) -> bool:
        """Whether the write buffer has room."""
        return self._writable.is_set()

    async def wait_writable(self) -> None:
        """Wait until the write buffer has room."""
        if not self._writable.is_set():
            await self._writable.wait()

    def reset_unless_ended(self) -> None:
        """Have the connection reset, however it ends, unless the response ends before."""
        self._end.reset_unless_ended()

    def end_response(self, *, close: bool) -> None:
        """Start the next request, or close the connection."""
        self.response = None
        self._state_since_ms = self.server.clock.now()
        if close:
            if self._end.resets:
                self._drop_unread()
                self._end.close_when_sent()
            else:
                self._close_in_order()
            return
        if self._writable.is_set():
            self._start_next()

    def _start_next(self) -> None:
        """Start a request that came before the response to the one before it was complete."""
        parsed = self._pipelined.take_request()
        if parsed is not None:
            self._start(parsed)
        elif self._pipelined:
            self._reader.receive(self._pipelined.take_bytes() + self._reader.take_rest())

    def refuse(self, status: int, request_id: bytes = b"") -> None:
        """Send an error status for an invalid request, or one without room, and close."""
        if self.closing:
            return
        request_id = request_id or self._parser.header(self.server.id_header)
        self.server.on_refused(status, request_id.decode("latin-1"))
        headers = self.server.refusal_headers(status)
        if request_id:
            headers = (*headers, (self.server.id_header, request_id))
        self.write(response_head_bytes(status, headers, length=0, close=True))
        self._close_in_order()

    def _close_in_order(self) -> None:
        """Close the connection so that what was written arrives, also where its caller sends on."""
        has_rest = bool(self._pipelined or self._reader.unfed)
        has_unread = has_rest or self._pipelined.is_dropped or self._parser.in_request
        self._drop_unread()
        if self._transport is None or self._transport.is_closing():
            return
        if has_unread:
            self._end.linger()
        else:
            self._transport.close()

    def abort(self) -> None:
        """Abort the connection."""
        self._drop_unread()
        if self._transport is not None:
            self._transport.abort()

    def reset(self) -> None:
        """Reset the connection, so that the caller sees an error and no orderly close."""
        if self._transport is not None:
            reset_at_close(self._transport)
            self._transport.abort()

    def fall_silent(self) -> Callable[[], None]:
        """Read and write nothing any more, and keep the connection open.

        :return: closes it.
        """
        transport, self._transport = self._transport, None
        if transport is None:
            return lambda: None
        transport.pause_reading()
        return transport.abort

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read or handled."""
        in_request = self._parser.in_request or bool(self._reader.unfed)
        is_idle = self.response is None and not in_request and not self._end.lingers
        if is_idle and self._transport is not None:
            self._transport.close()

    @property
    def closing_order(self) -> tuple[int, int] | None:
        """What decides which connection is closed first for others; ``None`` for none.

        Those that never asked go first, then idle ones, then unfinished requests; each by age.
        """
        if self._end.lingers:
            return 0, self._state_since_ms
        if self._is_busy:
            return None
        if self._parser.in_request:
            return 3, self._state_since_ms
        return (2 if self._has_asked else 1), self._state_since_ms

    def close_for_others(self) -> None:
        """Close the connection at once, as others need its descriptor."""
        why = ClosedReason.SLOW if self._parser.in_request else ClosedReason.IDLE
        request_id = self._parser.header(self.server.id_header)
        self.server.intake.on_closed(why, request_id.decode("latin-1"))
        self.server.conns.discard(self)
        self.abort()

    def check_timeouts(self, now_ms: int, limits: CallerLimits) -> None:
        """Enforce the timeouts for idling, for sending a request and for reading a response."""
        stalled_ms = 0 if self._stalled_since_ms is None else now_ms - self._stalled_since_ms
        if self._end.is_overdue(now_ms) or stalled_ms > WRITE_STALL_TIMEOUT_MS:
            self.abort()
        elif self.response is not None or self._end.lingers:
            return
        elif self._parser.in_request:
            if now_ms - self._state_since_ms > limits.header_ms:
                self.refuse(408)
        elif now_ms - self._state_since_ms > limits.idle_ms:
            self.close_if_idle()
