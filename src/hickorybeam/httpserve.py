"""Serves an ASGI app with uvicorn in a running event loop, without signal handlers."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, Any, cast

import anyio
import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from hickorybeam.sockets import bind_socket, bound_unread, reset_at_close

if TYPE_CHECKING:
    import socket
    from collections.abc import AsyncIterator, Callable, Iterator

__all__ = ("BACKLOG", "CONNECTION_KEY", "HttpProtocol", "Listener", "serve_app")

# Key in the ``extensions`` of an ASGI scope whose value is the connection.
CONNECTION_KEY = "hickorybeam.connection"

BACKLOG = 2_048
# Longer than the idle timeout of pooled connections in ``BackendSettings``: the client must close
# an idle connection first, or it may send a request on one that the server is closing.
DEFAULT_KEEP_ALIVE_MS = 75_000
MS_PER_SECOND = 1000


class HttpProtocol(HttpToolsProtocol):
    """uvicorn's protocol; the scope of each request contains its connection."""

    def on_message_begin(self) -> None:
        """Start a request and add the connection to its scope."""
        super().on_message_begin()
        self.scope["extensions"] = {CONNECTION_KEY: self}  # type: ignore[dict-item]

    def abort(self) -> None:
        """Abort the connection without an orderly close."""
        self.transport.abort()

    def begin_unframed(self) -> None:
        """Let the end of the connection end the response that is about to start.

        Until ``end_unframed`` the connection is reset however it ends, also by the kernel if this
        process is killed.
        """
        self.cycle.chunked_encoding = False
        reset_at_close(self.transport)

    def expect_unframed(self, size: int) -> None:
        """Let so many bytes of an unframed response be written next."""
        self.cycle.expected_content_length = size

    async def end_unframed(self) -> None:
        """Have the connection closed in order, once the kernel has all bytes of the response."""
        if self.transport.is_closing():
            return
        self.transport.set_write_buffer_limits(0)
        await self.flow.drain()
        reset_at_close(self.transport, enabled=False)


class _Server(uvicorn.Server):
    """uvicorn's server without signal handlers, with events for its start and its end."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.start_event = anyio.Event()
        self.end_event = anyio.Event()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave signals to the daemon, as several servers run in one process."""
        yield

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        await super().startup(sockets=sockets)
        self.start_event.set()

    async def main_loop(self) -> None:
        """Wait for the end; uvicorn's own loop polls for it ten times a second."""
        await self.end_event.wait()

    async def shutdown(self, sockets: list[socket.socket] | None = None) -> None:
        """Stop listening; uvicorn would wait 0.1 s here even if all connections are aborted."""
        if not self.force_exit:
            await super().shutdown(sockets=sockets)
            return
        for server in self.servers:
            server.close()
        for sock in sockets or ():
            sock.close()

    def end(self) -> None:
        """Stop accepting, and don't wait for open requests."""
        self.should_exit = True
        self.force_exit = True
        self.end_event.set()


class Listener:
    """Handle of a running server: its actual port and methods to stop it."""

    def __init__(self, server: _Server, host: str, port: int) -> None:
        self._server = server
        self.host = host
        self.port = port

    @property
    def url(self) -> str:
        """The base URL of the server."""
        return f"http://{self.host}:{self.port}"

    @property
    def connections(self) -> int:
        """The number of open connections."""
        return len(self._server.server_state.connections)

    def abort(self) -> None:
        """Stop at once and abort every open connection."""
        self._server.end()
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
    backlog: int = BACKLOG,
    receive_bytes: int = 0,
) -> AsyncIterator[Listener]:
    """Serve an app until the context exits, then abort every open connection.

    :param app: the ASGI app.
    :param http: the protocol class of each connection.
    :param keep_alive_ms: idle timeout of a connection between requests.
    :param backlog: connections that may wait to be accepted.
    :param receive_bytes: the kernel's buffer for each connection; 0 for its own choice.
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
        # Callers connect directly; X-Forwarded-For must not let one choose its address.
        proxy_headers=False,
        date_header=False,
        backlog=backlog,
        timeout_keep_alive=max(1, keep_alive_ms // MS_PER_SECOND),
        timeout_graceful_shutdown=None,
    )
    sock = bind_socket(host, port)
    if receive_bytes:
        bound_unread(sock, receive_bytes)
    server = _Server(config)
    listener = Listener(server, host, sock.getsockname()[1])
    async with anyio.create_task_group() as tg:
        tg.start_soon(_run_server, server, sock)
        try:
            await server.start_event.wait()
            yield listener
        finally:
            listener.abort()


async def _run_server(server: _Server, sock: socket.socket) -> None:
    # Shielded, because a cancelled uvicorn leaves its sockets open, and the port would stay in use
    # after a restart. ``abort`` ends it within one tick of 0.1 s.
    with anyio.CancelScope(shield=True):
        await server.serve(sockets=[sock])
