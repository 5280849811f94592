"""Callers' connections: one request at a time on each, each answered by a handler's task.

uvicorn's own connection hides whether a request was read before the close and cannot hold
back its answer to a pipelined request, so its parser (httptools) is used directly.
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

from hickorybeam.http1.head import IncomingRequest, response_head_bytes, find_header, framing_fault
from hickorybeam.http1.reply import ResponseWriter
from hickorybeam.model.routing import CallerLimits
from hickorybeam.sockets import bind_socket

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from anyio.abc import TaskGroup

    from hickorybeam.clock import Clock

    # Answers one request.
    Handler = Callable[[IncomingRequest, "ResponseWriter"], Awaitable[None]]

__all__ = ("HttpServer", "ResponseWriter")

BACKLOG = 2_048
# How often idle and slow connections are looked over, in ms; a limit is noticed this late.
SWEEP_EVERY_MS = 250
# Bytes that a caller may send ahead of its answer before its connection is closed.
MAX_AHEAD_BYTES = 262_144
# An answer that the caller does not take is given up after this long without progress, in ms.
STALL_MS = 5_000


class CallerConnection(asyncio.Protocol):
    """One caller's connection; the server's sweep enforces its time limits."""

    def __init__(self, server: HttpServer) -> None:
        self.server = server
        self.reply: ResponseWriter | None = None
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._ahead = b""
        self._next: deque[tuple[IncomingRequest, bool]] = deque()
        self._writable = anyio.Event()
        self._writable.set()
        self._stalled_since_ms: int | None = None
        self._since_ms = server.clock.now()
        self._in_request = False
        self._reset()

    def _reset(self) -> None:
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._head_bytes = 0
        self._body_bytes = 0
        self._arrived_ms = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        self._transport = transport  # type: ignore[assignment]
        self.server.conns.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the request that runs on it that nobody reads its answer any more."""
        self.server.conns.discard(self)
        self._writable.set()
        if self.reply is not None:
            self.reply.lost()

    def pause_writing(self) -> None:
        """Hold chunks back while the caller does not read."""
        self._writable = anyio.Event()
        self._stalled_since_ms = self.server.clock.now()

    def resume_writing(self) -> None:
        """Let chunks go on."""
        self._stalled_since_ms = None
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        """Feed the parser, or keep the bytes until the answer under way is complete."""
        if self.closing:
            return
        if self.reply is not None:
            self._ahead += data
            if len(self._ahead) > MAX_AHEAD_BYTES:
                self.abort()
            return
        self._feed(data)

    def _feed(self, data: bytes) -> None:
        if not self._in_request:
            self._in_request = True
            self._since_ms = self.server.clock.now()
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserUpgrade, httptools.HttpParserError):
            if self.reply is None:
                self.refuse(400)
            else:
                # What follows a whole request is no request, or another protocol that the
                # caller would like: the request's own answer is still due, and the last.
                self.reply.close_after()

    def on_url(self, url: bytes) -> None:
        """Take a part of the target."""
        self._target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header."""
        self._headers.append((name.lower(), value))
        self._count_head(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        """Check the head before any of the body is kept."""
        self._arrived_ms = self.server.clock.now()
        if framing_fault(tuple(self._headers)):
            self.refuse(400)
        elif find_header(tuple(self._headers), b"expect") == b"100-continue":
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""
        self._body_bytes += len(data)
        if self._body_bytes > self.server.limits().body_bytes:
            self.refuse(413)
            return
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Hand the request to its task."""
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
        self._in_request = False
        self._reset()
        if self.reply is not None:
            # A second request in the same bytes: its answer must not overtake the first.
            self._next.append((req, close))
            return
        self._start(req, close=close)

    def _start(self, req: IncomingRequest, *, close: bool) -> None:
        self.reply = ResponseWriter(self, close=close, head_only=req.method == "HEAD")
        self.server.spawn(req, self.reply)

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self.server.limits().header_bytes:
            self.refuse(431)

    @property
    def closing(self) -> bool:
        """Whether nothing more is read or written."""
        return self._transport is None or self._transport.is_closing()

    def write(self, data: bytes) -> None:
        """Write unless the caller has left."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    async def flushed(self) -> None:
        """Wait until the caller takes bytes again."""
        if not self._writable.is_set():
            await self._writable.wait()

    def answered(self, *, close: bool) -> None:
        """Go on to the next request, or end the connection."""
        self.reply = None
        self._since_ms = self.server.clock.now()
        if close:
            if self._transport is not None:
                self._transport.close()
            return
        if self._next:
            req, close = self._next.popleft()
            self._start(req, close=close)
        elif self._ahead:
            data, self._ahead = self._ahead, b""
            self._feed(data)

    def refuse(self, status: int) -> None:
        """Answer a request that cannot be read, and end the connection."""
        if self.closing:
            return
        self.server.malformed(status)
        self.write(response_head_bytes(status, (), length=0, close=True))
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """End the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def reset(self) -> None:
        """End the connection so that the other end sees an error and no proper end."""
        if self._transport is not None:
            sock = self._transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self._transport.abort()

    def close_if_idle(self) -> None:
        """End a connection on which no request is being read or answered."""
        if self.reply is None and not self._in_request and self._transport is not None:
            self._transport.close()

    def sweep(self, now_ms: int, limits: CallerLimits) -> None:
        """Enforce the limits in time: on idling, on sending a request, on taking an answer."""
        if self._stalled_since_ms is not None and now_ms - self._stalled_since_ms > STALL_MS:
            self.abort()
        elif self.reply is not None:
            return
        elif self._in_request:
            if now_ms - self._since_ms > limits.header_ms:
                self.refuse(408)
        elif now_ms - self._since_ms > limits.idle_ms:
            self.close_if_idle()


class HttpServer:
    """Listens on one address and starts a task for each request.

    :param handler: answers one request; what it leaves unanswered ends its connection.
    :param limits: returns the limits in force.
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
        self.malformed = on_malformed
        self.conns: set[CallerConnection] = set()
        self.closing = False
        self.in_flight = 0
        self.port = 0
        self._handler = handler
        self._tasks = tasks
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Start to accept connections; port 0 takes a free one."""
        await self.listen_on(bind_socket(host, port))

    async def listen_on(self, sock: socket.socket) -> None:
        """Start to accept connections on a bound socket."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self), sock=sock, backlog=BACKLOG
        )
        self.port = sock.getsockname()[1]
        self._tasks.start_soon(self._sweep)

    def stop_accepting(self) -> None:
        """Close the listening socket; open connections go on."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def close_idle(self) -> None:
        """End every connection on which nothing is under way."""
        for conn in tuple(self.conns):
            conn.close_if_idle()

    def spawn(self, req: IncomingRequest, reply: ResponseWriter) -> None:
        """Start the task of one request."""
        self._tasks.start_soon(self._answer, req, reply)

    async def _answer(self, req: IncomingRequest, reply: ResponseWriter) -> None:
        self.in_flight += 1
        try:
            await self._handler(req, reply)
        except Exception as exc:
            logging.exception("a request's task failed: %s", exc)
        finally:
            self.in_flight -= 1
            if not reply.done:
                reply.abort()

    async def _sweep(self) -> None:
        while True:
            await self.clock.sleep(SWEEP_EVERY_MS)
            now, limits = self.clock.now(), self.limits()
            for conn in tuple(self.conns):
                with contextlib.suppress(OSError):
                    conn.sweep(now, limits)
