"""Runs an ASGI app under uvicorn inside a running event loop, with no signal handlers."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, Any, cast

import anyio
import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from hickorybeam.sockets import bind_socket

if TYPE_CHECKING:
    import socket
    from collections.abc import AsyncIterator, Callable, Iterator

__all__ = ("CONNECTION_KEY", "HttpProtocol", "Listener", "serve_app")

# The key in an ASGI scope's ``extensions`` under which an app finds its connection.
CONNECTION_KEY = "hickorybeam.connection"

BACKLOG = 2_048
# Above every pooled connection's idle age in ``BackendSettings``: the end that reuses a
# connection must give it up first, or a request meets a connection that closes under it.
DEFAULT_KEEP_ALIVE_MS = 75_000
MS_PER_SECOND = 1000


class HttpProtocol(HttpToolsProtocol):
    """uvicorn's protocol; each request's scope leads to its connection."""

    def on_message_begin(self) -> None:
        """Start a request's scope."""
        super().on_message_begin()
        self.scope["extensions"] = {CONNECTION_KEY: self}  # type: ignore[dict-item]

    def abort(self) -> None:
        """Drop the connection without a clean end."""
        self.transport.abort()


class _Server(uvicorn.Server):
    """uvicorn's server without signal handlers and with an event for its start."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.up = anyio.Event()
        self.over = anyio.Event()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave signals to the daemon: several servers live in one process."""
        yield

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        await super().startup(sockets=sockets)
        self.up.set()

    async def main_loop(self) -> None:
        """Wait for the end; uvicorn's own loop wakes ten times a second to look for it."""
        await self.over.wait()

    async def shutdown(self, sockets: list[socket.socket] | None = None) -> None:
        """Stop listening; uvicorn waits 0.1 s here even when every connection is cut."""
        if not self.force_exit:
            await super().shutdown(sockets=sockets)
            return
        for server in self.servers:
            server.close()
        for sock in sockets or ():
            sock.close()

    def end(self, *, at_once: bool) -> None:
        """Stop accepting, and cut open requests off if told to."""
        self.should_exit = True
        self.force_exit = at_once
        self.over.set()


class Listener:
    """A server that listens: its real port and the ways to end it."""

    def __init__(self, server: _Server, host: str, port: int) -> None:
        self._server = server
        self.host = host
        self.port = port

    @property
    def url(self) -> str:
        """The address to call."""
        return f"http://{self.host}:{self.port}"

    @property
    def connections(self) -> int:
        """How many connections are open now."""
        return len(self._server.server_state.connections)

    def finish(self) -> None:
        """Stop accepting; open requests finish and their connections close."""
        self._server.end(at_once=False)

    def abort(self) -> None:
        """Stop at once and cut every open connection."""
        self._server.end(at_once=True)
        for conn in tuple(self._server.server_state.connections):
            if isinstance(conn, HttpProtocol):
                conn.abort()


@contextlib.asynccontextmanager
async def serve_app(
    app: Any,
    *,
    host: str = "127.0.0.1",
    port: int = 0,
    http: Callable[..., HttpProtocol] = HttpProtocol,
    keep_alive_ms: int = DEFAULT_KEEP_ALIVE_MS,
) -> AsyncIterator[Listener]:
    """Serve an app until the block ends; then every open connection is cut.

    :param app: the ASGI app.
    :param http: the protocol class of each connection.
    :param keep_alive_ms: how long a connection may idle between requests.
    """
    config = uvicorn.Config(
        app,
        http=cast("type[HttpProtocol]", http),
        ws="none",
        lifespan="off",
        log_config=None,
        log_level="critical",
        access_log=False,
        server_header=False,
        # Callers reach us directly; one that sends X-Forwarded-For must not choose its address.
        proxy_headers=False,
        date_header=False,
        backlog=BACKLOG,
        timeout_keep_alive=max(1, keep_alive_ms // MS_PER_SECOND),
        timeout_graceful_shutdown=None,
    )
    sock = bind_socket(host, port)
    server = _Server(config)
    listener = Listener(server, host, sock.getsockname()[1])
    async with anyio.create_task_group() as tg:
        tg.start_soon(_serve, server, sock)
        try:
            await server.up.wait()
            yield listener
        finally:
            listener.abort()


async def _serve(server: _Server, sock: socket.socket) -> None:
    # Shielded, because a cancelled uvicorn leaves its sockets open: the port would stay
    # taken after a restart. ``abort`` or ``finish`` ends it within one tick of 0.1 s.
    with anyio.CancelScope(shield=True):
        await server.serve(sockets=[sock])
