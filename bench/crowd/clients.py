"""Clients that each send the same at the same time, and stay."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass
from typing import TYPE_CHECKING, cast

import anyio

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ("Crowd", "CrowdClient")

# A crowd that has not sent all by then is held up, and stays as it is.
SEND_LIMIT_S = 12
CONNECTS_AT_ONCE = 100
POLL_S = 0.05
# Between the bytes of those that send one now and then.
TRICKLE_S = 0.5
SETTLE_S = 0.5
# What the kernel keeps for a client that reads nothing.
UNREAD_BYTES = 4_096
# Of an answer that a client keeps.
MAX_KEPT_BYTES = 65_536


@dataclass(eq=False)
class CrowdClient(asyncio.Protocol):
    """One client: sends what it is given, notes what comes, and stays.

    :param reads: it reads answers.
    """

    payload: bytes
    reads: bool = True
    answer: bytes = b""
    closed: bool = False
    transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send everything."""
        self.transport = cast("asyncio.Transport", transport)
        if not self.reads:
            self.transport.pause_reading()
        if self.payload:
            self.transport.write(self.payload)

    def data_received(self, data: bytes) -> None:
        """Keep the beginning of what comes."""
        self.answer = (self.answer + data)[:MAX_KEPT_BYTES]

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that the other end closed, or reset."""
        self.closed = True

    @property
    def has_sent(self) -> bool:
        """Whether nothing more can be sent."""
        return self.closed or (
            self.transport is not None and not self.transport.get_write_buffer_size()
        )

    @property
    def status(self) -> int:
        """The status of the last whole head that came, 0 without one."""
        last = self.answer.rpartition(b"HTTP/1.1 ")[2] if b"HTTP/1.1 " in self.answer else b""
        return int(last[:3]) if last[:3].isdigit() else 0


class Crowd:
    """Clients that each do the same at the same time.

    :param trickle: bytes that each sends one by one afterwards.
    """

    def __init__(
        self, port: int, payloads: Sequence[bytes], *, reads: bool = True, trickle: bytes = b""
    ) -> None:
        self._port = port
        self.clients = [CrowdClient(payload, reads) for payload in payloads]
        self._trickle = trickle

    async def come(self) -> None:
        """Connect, send, and wait until nothing more of it can be sent."""
        for i in range(0, len(self.clients), CONNECTS_AT_ONCE):
            async with anyio.create_task_group() as tg:
                for client in self.clients[i : i + CONNECTS_AT_ONCE]:
                    tg.start_soon(self._connect, client)
        with anyio.move_on_after(SEND_LIMIT_S):
            while not all(client.has_sent for client in self.clients):
                await anyio.sleep(POLL_S)
        for byte in self._trickle:
            for client in self.clients:
                if not client.closed and client.transport is not None:
                    client.transport.write(bytes((byte,)))
            await anyio.sleep(TRICKLE_S)
        await anyio.sleep(SETTLE_S)

    async def _connect(self, client: CrowdClient) -> None:
        loop = asyncio.get_running_loop()
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        sock.setblocking(False)
        if not client.reads:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_BYTES)
        try:
            with anyio.fail_after(SEND_LIMIT_S):
                await loop.sock_connect(sock, ("127.0.0.1", self._port))
                await loop.create_connection(lambda: client, sock=sock)
        except (OSError, TimeoutError):
            sock.close()
            client.closed = True

    def come_again(self) -> Crowd:
        """Return a crowd of the clients that were closed."""
        return Crowd(self._port, [it.payload for it in self.clients if it.closed])

    def leave(self) -> None:
        """Close all connections."""
        for client in self.clients:
            if client.transport is not None:
                client.transport.abort()
