"""Sockets to backend servers as httpcore network streams, without a timer for each read."""

from __future__ import annotations

import select
from typing import TYPE_CHECKING, Any

import anyio
import httpcore
from anyio.abc import SocketAttribute

if TYPE_CHECKING:
    import socket
    import ssl

    from anyio.abc import SocketStream

__all__ = ("UntimedStream", "connect", "is_refused")

MS_PER_SECOND = 1000


class UntimedStream(httpcore.AsyncNetworkStream):
    """A TCP connection whose reads and writes have no timeout of their own.

    httpcore's stream sets up a cancel scope and an exception table for each read, even without
    a timeout; that was a quarter of the relay's time for a token. Instead, the watchdog ends a
    read that times out by shutting the socket down.
    """

    def __init__(self, stream: SocketStream) -> None:
        self._stream = stream
        self.socket: socket.socket = stream.extra(SocketAttribute.raw_socket)

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return the bytes that have arrived, empty if the other end has closed."""
        try:
            return await self._stream.receive(max_bytes)
        except anyio.EndOfStream:
            return b""
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as exc:
            raise httpcore.ReadError from exc

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send all bytes."""
        try:
            await self._stream.send(buffer)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as exc:
            raise httpcore.WriteError from exc

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Raise: backend servers are reached inside a data centre, in plain HTTP."""
        raise NotImplementedError

    def get_extra_info(self, info: str) -> Any:
        """Return whether bytes, or the other end's close, can be read."""
        if info == "is_readable":
            poll = select.poll()
            poll.register(self.socket.fileno(), select.POLLIN)
            return bool(poll.poll(0))
        return None


async def connect(host: str, port: int, *, timeout_ms: int) -> UntimedStream:
    """Open a connection.

    :raises httpcore.ConnectError: it cannot be opened.
    :raises httpcore.ConnectTimeout: it was not opened in time.
    """
    try:
        with anyio.fail_after(timeout_ms / MS_PER_SECOND):
            return UntimedStream(await anyio.connect_tcp(host, port))
    except TimeoutError as exc:
        raise httpcore.ConnectTimeout from exc
    except (OSError, anyio.BrokenResourceError) as exc:
        raise httpcore.ConnectError from exc


async def is_refused(host: str, port: int, *, timeout_ms: int) -> bool:
    """Return whether an address refuses a new connection; one that opens is closed."""
    try:
        stream = await connect(host, port, timeout_ms=timeout_ms)
    except httpcore.ConnectError:
        return True
    except httpcore.ConnectTimeout:
        return False
    await stream.aclose()
    return False
