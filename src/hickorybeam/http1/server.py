"""HTTP server for callers: one request at a time per connection, each handled in its own task.

Uses uvicorn's parser (httptools) directly, as uvicorn's own protocol hides whether a request was
read before the connection closed and cannot delay the response to a pipelined request.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections import deque
from typing import TYPE_CHECKING

import anyio
import httptools
from absl import logging

from hickorybeam.http1.head import (
    IncomingRequest,
    find_header,
    has_ambiguous_framing,
    response_head_bytes,
)
from hickorybeam.http1.response_writer import ResponseWriter
from hickorybeam.model.routing import CallerLimits
from hickorybeam.sockets import bind_socket

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from anyio.abc import TaskGroup

    from hickorybeam.clock import Clock

    # Handles one request.
    Handler = Callable[[IncomingRequest, "ResponseWriter"], Awaitable[None]]

__all__ = ("HttpServer", "ResponseWriter")

BACKLOG = 2_048
# Callers with this version take no chunks.
OLD_HTTP_VERSION = "1.0"
# Interval of the checks for idle and slow connections; a timeout is noticed up to this late.
TIMEOUT_CHECK_INTERVAL_MS = 250
# A connection is closed if the caller sends more than this before the current response is complete.
MAX_PIPELINED_BYTES = 262_144
# A connection is aborted if its caller does not read the response for this long.
WRITE_STALL_TIMEOUT_MS = 5_000


class CallerConnection(asyncio.Protocol):
    """One caller's connection; the server's timeout check enforces its time limits."""

    def __init__(self, server: HttpServer) -> None:
        self.server = server
        self.response: ResponseWriter | None = None
        self.closed = False
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._pipelined = b""
        self._pending: deque[tuple[IncomingRequest, bool]] = deque()
        self._takes_chunks = True
        self._writable = anyio.Event()
        self._writable.set()
        self._stalled_since_ms: int | None = None
        self._state_since_ms = server.clock.now()
        self._in_request = False
        self._reset_request()

    def _reset_request(self) -> None:
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._head_bytes = 0
        self._body_bytes = 0
        self._arrived_ms = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with the server."""
        self._transport = transport  # type: ignore[assignment]
        self.server.conns.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the request in progress that its caller has disconnected."""
        self.closed = True
        self.server.conns.discard(self)
        self._writable.set()
        if self.response is not None:
            self.response.connection_lost()

    def pause_writing(self) -> None:
        """Stop sending chunks while the caller does not read."""
        self._writable = anyio.Event()
        self._stalled_since_ms = self.server.clock.now()

    def resume_writing(self) -> None:
        """Continue sending chunks."""
        self._stalled_since_ms = None
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        """Feed the parser, or buffer the bytes until the current response is complete."""
        if self.closing:
            return
        if self.response is not None:
            self._pipelined += data
            if len(self._pipelined) > MAX_PIPELINED_BYTES:
                self.abort()
            return
        self._feed(data)

    def _feed(self, data: bytes) -> None:
        if not self._in_request:
            self._in_request = True
            self._state_since_ms = self.server.clock.now()
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserUpgrade, httptools.HttpParserError):
            if self.response is None:
                self.refuse(400)
            else:
                # The bytes after a complete request are no request, or ask for another protocol.
                # The request itself still gets its response, as the last on the connection.
                self.response.close_after()

    def on_url(self, url: bytes) -> None:
        """Append to the request target."""
        self._target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append one header."""
        self._headers.append((name.lower(), value))
        self._count_head(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        """Check the head before any part of the body is stored."""
        self._arrived_ms = self.server.clock.now()
        if has_ambiguous_framing(tuple(self._headers)):
            self.refuse(400)
        elif find_header(tuple(self._headers), b"expect") == b"100-continue":
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Append to the body."""
        self._body_bytes += len(data)
        if self._body_bytes > self.server.limits().body_bytes:
            self.refuse(413)
            return
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Start the request's task, or queue it behind the current request."""
        if self.closing:
            return
        method = self._parser.get_method().decode("ascii")
        req = IncomingRequest(
            method=method,
            target=self._target,
            headers=tuple(self._headers),
            body=b"".join(self._body),
            arrived_ms=self._arrived_ms,
        )
        close = not self._parser.should_keep_alive()
        self._takes_chunks = self._parser.get_http_version() != OLD_HTTP_VERSION
        self._in_request = False
        self._reset_request()
        if self.response is not None:
            # A pipelined request: its response must not overtake the current one.
            self._pending.append((req, close))
            return
        self._start(req, close=close)

    def _start(self, req: IncomingRequest, *, close: bool) -> None:
        self.response = ResponseWriter(
            self, close=close, head_only=req.method == "HEAD", chunked=self._takes_chunks
        )
        self.server.spawn(req, self.response)

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self.server.limits().header_bytes:
            self.refuse(431)

    @property
    def closing(self) -> bool:
        """Whether the connection is closing: nothing more is read or written."""
        return self._transport is None or self._transport.is_closing()

    def write(self, data: bytes) -> None:
        """Write unless the connection is closing."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

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

    def end_response(self, *, close: bool) -> None:
        """Start the next request, or close the connection."""
        self.response = None
        self._state_since_ms = self.server.clock.now()
        if close:
            if self._transport is not None:
                self._transport.close()
            return
        if self._pending:
            req, close = self._pending.popleft()
            self._start(req, close=close)
        elif self._pipelined:
            data, self._pipelined = self._pipelined, b""
            self._feed(data)

    def refuse(self, status: int) -> None:
        """Send an error status for an invalid request and close the connection."""
        if self.closing:
            return
        self.server.on_malformed(status)
        self.write(response_head_bytes(status, (), length=0, close=True))
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Abort the connection."""
        if self._transport is not None:
            self._transport.abort()

    def reset(self) -> None:
        """Reset the connection, so that the caller sees an error and no orderly close.

        A caller that has left has closed it already, and its socket takes no options.
        """
        if self._transport is None or self.closed:
            return
        sock = self._transport.get_extra_info("socket")
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
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
        if self.response is None and not self._in_request and self._transport is not None:
            self._transport.close()

    def check_timeouts(self, now_ms: int, limits: CallerLimits) -> None:
        """Enforce the timeouts for idling, for sending a request and for reading a response."""
        if (
            self._stalled_since_ms is not None
            and now_ms - self._stalled_since_ms > WRITE_STALL_TIMEOUT_MS
        ):
            self.abort()
        elif self.response is not None:
            return
        elif self._in_request:
            if now_ms - self._state_since_ms > limits.header_ms:
                self.refuse(408)
        elif now_ms - self._state_since_ms > limits.idle_ms:
            self.close_if_idle()


class HttpServer:
    """Listens on one address and starts a task for each request.

    :param handler: handles one request; if it returns without a complete response, the connection
        is aborted.
    :param limits: returns the limits in force.
    :param on_malformed: called with the error status sent for each invalid request.
    """

    def __init__(
        self,
        handler: Handler,
        *,
        clock: Clock,
        tasks: TaskGroup,
        limits: Callable[[], CallerLimits] = CallerLimits,
        on_malformed: Callable[[int], None] = lambda _: None,
    ) -> None:
        self.clock = clock
        self.limits = limits
        self.on_malformed = on_malformed
        self.conns: set[CallerConnection] = set()
        self.closing = False
        self.in_flight = 0
        self.port = 0
        self._handler = handler
        self._tasks = tasks
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Start to accept connections; port 0 picks a free one."""
        await self.listen_on(bind_socket(host, port))

    async def listen_on(self, sock: socket.socket) -> None:
        """Start to accept connections on a bound socket."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self), sock=sock, backlog=BACKLOG
        )
        self.port = sock.getsockname()[1]
        self._tasks.start_soon(self._check_timeouts)

    def refuse_connections(self) -> None:
        """Refuse new connections; those that the event loop has accepted still come."""
        loop = asyncio.get_running_loop()
        for sock in () if self._server is None else self._server.sockets:
            loop.remove_reader(sock.fileno())
            sock.shutdown(socket.SHUT_RDWR)

    def stop_accepting(self) -> None:
        """Close the listening socket; open connections continue."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def close_idle(self) -> None:
        """Close every connection without a request in progress."""
        for conn in tuple(self.conns):
            conn.close_if_idle()

    def spawn(self, req: IncomingRequest, response: ResponseWriter) -> None:
        """Start the task that handles one request."""
        self._tasks.start_soon(self._handle, req, response)

    async def _handle(self, req: IncomingRequest, response: ResponseWriter) -> None:
        self.in_flight += 1
        try:
            await self._handler(req, response)
        except Exception as exc:
            logging.exception("request handler failed: %s", exc)
        finally:
            self.in_flight -= 1
            if not response.done:
                response.abort()

    async def _check_timeouts(self) -> None:
        while True:
            await self.clock.sleep(TIMEOUT_CHECK_INTERVAL_MS)
            now, limits = self.clock.now(), self.limits()
            for conn in tuple(self.conns):
                with contextlib.suppress(OSError):
                    conn.check_timeouts(now, limits)
