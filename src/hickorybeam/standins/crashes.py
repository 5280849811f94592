"""Crashes of stand-in servers: the process ends under a request and starts again later."""

from __future__ import annotations

import contextlib
import socket
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

import anyio
from anyio.lowlevel import checkpoint

from hickorybeam.http1 import HttpServer

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from anyio.abc import TaskGroup

    from hickorybeam.clock import Clock
    from hickorybeam.http1.server import Handler
    from hickorybeam.model.routing import RelayCall

__all__ = ("CrashPoint", "CrashSwitch", "ServerProcess")

HOST = "127.0.0.1"
# Turns of the event loop from the acceptance of a connection to when its server knows it.
TURNS_TO_ACCEPT = 10
# Connections that fill the queue of a port which listens for none.
QUEUE_FILLERS = 3


class CrashPoint(Enum):
    """How far a server gets with the response under which it crashes.

    ``INSIDE_EVENT``: inside an event of a stream, or inside a body that has a length.
    ``UNFRAMED_END``: the response has no framing and ends between two events, so that nothing but
    the server's end tells it from a whole one.
    """

    BEFORE_HEAD = "before the head"
    INSIDE_EVENT = "inside an event"
    UNFRAMED_END = "at an unframed close"


@dataclass(slots=True)
class CrashSwitch:
    """Parts of prompts and bodies under which a server crashes, and what it does then.

    Its entry in the store lapses ``lapse_ms`` after a crash, and ``back_ms`` later it starts again
    under another id, or with ``keeps_id`` under its own, and has an entry ``entry_ms`` later. With
    ``after_ms`` it crashes so long after the request began to run, whether the request is still
    there or not. ``silent``: it falls silent instead, so that its connections stay open and new
    ones are neither taken nor refused. ``hangs``: they are taken, and nothing is answered.
    ``streams``: until a crash that comes later the request is answered by a stream.
    ``is_same``: it was cut off only, and what comes back is the same start.
    """

    parts: frozenset[str] = frozenset()
    point: CrashPoint = CrashPoint.INSIDE_EVENT
    back_ms: int = 200
    lapse_ms: int = 200
    bodies: frozenset[bytes] = frozenset()
    after_ms: int | None = None
    silent: bool = False
    hangs: bool = False
    streams: bool = False
    keeps_id: bool = False
    entry_ms: int = 0
    is_same: bool = False

    def strikes(self, call: RelayCall) -> bool:
        """Return whether the server crashes under a request."""
        has_part = not self.parts.isdisjoint(part.id for part in call.parts)
        return has_part or call.body in self.bodies


class ServerProcess:
    """The listening side of a server, which a crash ends with all its connections."""

    def __init__(self, handler: Handler, *, clock: Clock, tasks: TaskGroup) -> None:
        self._handler = handler
        self._clock = clock
        self._tasks = tasks
        self._server: HttpServer | None = None
        self._silence = contextlib.ExitStack()
        self.ended = anyio.Event()
        self.is_hung = False
        self.port = 0

    @property
    def is_up(self) -> bool:
        """Whether it listens."""
        return self._server is not None

    async def start(self) -> None:
        """Listen, on the port of an earlier start unless another process has taken it since."""
        self._silence.close()
        self.is_hung = False
        self.ended = anyio.Event()
        server = HttpServer(self._handler, clock=self._clock, tasks=self._tasks)
        try:
            await server.listen(HOST, self.port)
        except OSError:
            await server.listen(HOST, 0)
        self._server, self.port = server, server.port

    def end(self) -> None:
        """Close the port and all connections, as the end of the process does."""
        server, self._server = self._server, None
        if server is not None:
            server.refuse_connections()
            abort_connections(server)
            self._tasks.start_soon(end_server, server)
        self.ended.set()

    def break_connections(self) -> None:
        """Reset all open connections; the process goes on."""
        if self._server is not None:
            abort_connections(self._server)

    def run_later(self, after_ms: int, end: Callable[[], None]) -> None:
        """Call a function after a time, whatever becomes of the request that asked for it."""

        async def run() -> None:
            await self._clock.sleep(after_ms)
            if self.is_up:
                end()

        self._tasks.start_soon(run)

    def fall_silent(self) -> None:
        """Answer nothing any more, as behind a cable that is pulled: nothing closes."""
        server, self._server = self._server, None
        if server is None:
            return
        for conn in tuple(server.conns):
            self._silence.callback(conn.fall_silent())
        server.stop_accepting()
        self._silence.enter_context(unanswered_port(self.port))
        self.ended.set()

    def hang(self) -> None:
        """Answer nothing any more, as a process that is stuck: new connections are still taken."""
        server, self._server = self._server, None
        if server is None:
            return
        self.is_hung = True
        for conn in tuple(server.conns):
            self._silence.callback(conn.fall_silent())
        self._silence.callback(end_hung, server)
        self.ended.set()

    def close(self) -> None:
        """Close the port and all connections, without waiting for those that just came."""
        self._silence.close()
        server, self._server = self._server, None
        if server is not None:
            server.stop_accepting()
            abort_connections(server)


@contextlib.contextmanager
def unanswered_port(port: int) -> Iterator[None]:
    """Hold a port at which new connections get no answer, as its queue of them is full."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((HOST, port))
        listener.listen(0)
        for _ in range(QUEUE_FILLERS):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex((HOST, port))
        yield


async def end_server(server: HttpServer) -> None:
    """Abort also the connections that the event loop has yet to hand to the server.

    Otherwise these would outlive the process: closed before, the port would leave them without an
    owner.
    """
    for _ in range(TURNS_TO_ACCEPT):
        await checkpoint()
        abort_connections(server)
    server.stop_accepting()


def end_hung(server: HttpServer) -> None:
    """End a process that is stuck."""
    server.stop_accepting()
    abort_connections(server)


def abort_connections(server: HttpServer) -> None:
    """Abort all connections that a server knows of."""
    for conn in tuple(server.conns):
        conn.abort()
