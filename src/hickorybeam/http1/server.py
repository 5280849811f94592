"""HTTP server for callers: one request at a time per connection, each handled in its own task.

Uses uvicorn's parser (httptools) directly, as uvicorn's own protocol hides whether a request was
read before the connection closed and cannot delay the response to a pipelined request.
"""

from __future__ import annotations

import asyncio
import contextlib
import heapq
import socket
from typing import TYPE_CHECKING

from absl import logging

from hickorybeam.http1.caller_connection import CallerConnection
from hickorybeam.http1.intake import ClosedReason, Intake, unbounded_intake
from hickorybeam.http1.response_writer import ResponseWriter
from hickorybeam.model.routing import CallerLimits
from hickorybeam.sockets import bind_socket

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from anyio.abc import TaskGroup

    from hickorybeam.clock import Clock
    from hickorybeam.http1.head import IncomingRequest, RawHeaders

    # Handles one request.
    Handler = Callable[[IncomingRequest, "ResponseWriter"], Awaitable[None]]
    # Looks at a head; returns what refuses its request, if it can't be admitted.
    Judge = Callable[[IncomingRequest], Callable[["ResponseWriter"], None] | None]

__all__ = ("HttpServer", "ResponseWriter")

# Interval of the checks for idle and slow connections; a timeout is noticed up to this late.
TIMEOUT_CHECK_INTERVAL_MS = 250
# How many connections are closed for others at a time, as all are looked at each time.
CLOSED_SHARE = 1 / 32


class HttpServer:
    """Listens on one address and starts a task for each request.

    :param handler: handles one request; if it returns without a complete response, the connection
        is aborted.
    :param limits: returns the limits in force.
    :param on_refused: called with the error status sent for each invalid request, and its id.
    :param refusal_headers: returns the headers that are sent with that status.
    :param judge: called with the head of a request whose large body is still to be read; returns
        what refuses it, or ``None`` to read on.
    :param intake: what all callers together may hold.
    :param id_header: the header that names a request, in lower case; it comes with that status
        too, so that a VM which forwarded the request knows it for the answer.
    :param echoes_id: every response has the id of its request, so that another VM knows it.
    :param silent_ms: a connection ends when sent bytes, or probes, stay unacknowledged for this
        long; 0 for no bound.
    """

    def __init__(
        self,
        handler: Handler,
        *,
        clock: Clock,
        tasks: TaskGroup,
        limits: Callable[[], CallerLimits] = CallerLimits,
        on_refused: Callable[[int, str], None] = lambda status, request_id: None,
        refusal_headers: Callable[[int], RawHeaders] = lambda status: (),
        judge: Judge = lambda head: None,
        intake: Intake | None = None,
        id_header: bytes = b"",
        echoes_id: bool = False,
        silent_ms: int = 0,
    ) -> None:
        self.clock = clock
        self.limits = limits
        self.on_refused = on_refused
        self.id_header = id_header
        self.echoes_id = echoes_id
        self.refusal_headers = refusal_headers
        self.judge = judge
        self.intake = intake or unbounded_intake(clock.now)
        self.silent_ms = silent_ms
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
        self.intake.apply_to(sock)
        self._server = await loop.create_server(
            lambda: CallerConnection(self), sock=sock, backlog=self.intake.backlog
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

    @property
    def unfinished(self) -> int:
        """The number of requests that are handled, or whose response is not all sent."""
        return self.in_flight + sum(conn.has_unsent_rest for conn in self.conns)

    def take_connection(self, conn: CallerConnection) -> bool:
        """Add a connection, for which others are closed if there are too many.

        :return: ``False`` if none of them can be.
        """
        if len(self.conns) >= self.intake.max_connections and not self._close_some():
            self.intake.on_closed(ClosedReason.NEW, "")
            return False
        self.conns.add(conn)
        return True

    def _close_some(self) -> bool:
        """Close connections on which nothing is answered; return whether there were any."""
        ordered = [(order, id(it), it) for it in self.conns if (order := it.closing_order)]
        count = max(1, round(self.intake.max_connections * CLOSED_SHARE))
        for _, _, conn in heapq.nsmallest(count, ordered):
            conn.close_for_others()
        return bool(ordered)

    def spawn(self, req: IncomingRequest, response: ResponseWriter, cost_bytes: int) -> None:
        """Start the task that handles one request.

        :param cost_bytes: what the request has reserved to run.
        """
        self._tasks.start_soon(self._handle, req, response, cost_bytes)

    async def _handle(
        self, req: IncomingRequest, response: ResponseWriter, cost_bytes: int
    ) -> None:
        self.in_flight += 1
        try:
            await self._handler(req, response)
        except Exception as exc:
            logging.exception("request handler failed: %s", exc)
        finally:
            self.in_flight -= 1
            self.intake.budget.end_running(cost_bytes)
            if not response.done:
                response.abort()

    async def _check_timeouts(self) -> None:
        while True:
            await self.clock.sleep(TIMEOUT_CHECK_INTERVAL_MS)
            now, limits = self.clock.now(), self.limits()
            for conn in tuple(self.conns):
                with contextlib.suppress(OSError):
                    conn.check_timeouts(now, limits)
