"""A TCP relay that stands in for the network between two ends, with fault switches.

``PASS`` relays bytes, ``CUT`` refuses and resets (a partition that answers), ``SILENT`` keeps
every connection open and passes nothing (something between the ends has forgotten them).
"""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import asynccontextmanager
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from asyncio import StreamReader, StreamWriter
    from collections.abc import AsyncIterator

    from anyio.abc import TaskGroup
    from anyio.streams.memory import MemoryObjectSendStream

__all__ = ("Link", "LinkState", "serve")

HOST = "127.0.0.1"
MS_PER_SECOND = 1000
PIECES_IN_FLIGHT = 256
READ_BYTES = 65_536


class LinkState(Enum):
    """What the relay does with bytes."""

    PASS = "pass"
    CUT = "cut"
    SILENT = "silent"


@dataclass(frozen=True, slots=True)
class Way:
    """One direction of a relayed connection: it is read from ``source`` and written to ``sink``."""

    reader: StreamReader
    source: StreamWriter
    sink: StreamWriter


class Link:
    """One relayed address.

    :param host: where bytes go.
    :param port: where bytes go.
    :param delay_ms: one-way delay added to each piece passed on.
    """

    def __init__(self, host: str, port: int, *, delay_ms: float = 0.0) -> None:
        self.target = (host, port)
        self.delay_ms = delay_ms
        self.port = 0
        self.bytes_passed = 0
        self._state = LinkState.PASS
        self._changed = anyio.Event()
        self._open: set[StreamWriter] = set()

    @property
    def state(self) -> LinkState:
        """What the relay does now."""
        return self._state

    @property
    def address(self) -> str:
        """The relay's own address as host:port."""
        return f"{HOST}:{self.port}"

    async def set(self, state: LinkState) -> None:
        """Switch what the relay does; ``CUT`` also resets what is open."""
        self._state = state
        self._changed.set()
        self._changed = anyio.Event()
        if state is LinkState.CUT:
            for writer in tuple(self._open):
                reset(writer)

    async def drop_bytes_of_open(self) -> None:
        """Make the connections open now silent for good while new ones work."""
        self._open.clear()
        self._changed.set()
        self._changed = anyio.Event()

    async def handle(self, reader: StreamReader, near: StreamWriter) -> None:
        """Relay one accepted connection; its end reaches the other side as it was."""
        if self._state is LinkState.CUT:
            reset(near)
            return
        try:
            far_reader, far = await asyncio.open_connection(*self.target)
        except OSError:
            reset(near)
            return
        self._open |= {near, far}
        try:
            async with anyio.create_task_group() as tg:
                tg.start_soon(self._copy, Way(reader, near, far), tg)
                tg.start_soon(self._copy, Way(far_reader, far, near), tg)
            if not tg.cancel_scope.cancel_called:
                near.close()
                far.close()
        finally:
            self._open -= {near, far}
            reset(near)
            reset(far)

    async def _copy(self, way: Way, tg: TaskGroup) -> None:
        send, receive = anyio.create_memory_object_stream[tuple[float, bytes]](PIECES_IN_FLIGHT)
        try:
            async with anyio.create_task_group() as pair:
                pair.start_soon(self._read, way.reader, send)
                async with receive:
                    async for due, data in receive:
                        await anyio.sleep_until(due)
                        await self._wait_for_pass(way.source)
                        self.bytes_passed += len(data)
                        if data:
                            way.sink.write(data)
                            await way.sink.drain()
                        else:
                            way.sink.write_eof()
        except* (anyio.BrokenResourceError, OSError):
            tg.cancel_scope.cancel()

    async def _read(
        self, reader: StreamReader, send: MemoryObjectSendStream[tuple[float, bytes]]
    ) -> None:
        """Read pieces with the time at which each is due; an empty one is an orderly end."""
        async with send:
            data = b"?"
            while data:
                data = await reader.read(READ_BYTES)
                await send.send((anyio.current_time() + self.delay_ms / MS_PER_SECOND, data))

    async def _wait_for_pass(self, source: StreamWriter) -> None:
        while self._state is LinkState.SILENT or source not in self._open:
            if self._state is LinkState.CUT:
                raise anyio.BrokenResourceError
            await self._changed.wait()


def reset(writer: StreamWriter) -> None:
    """Reset a connection, so that its other end sees an error and no orderly close."""
    if writer.is_closing():
        return
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


@asynccontextmanager
async def serve(
    host: str, port: int, *, listen_port: int = 0, delay_ms: float = 0.0
) -> AsyncIterator[Link]:
    """Relay a free port on loopback to an address for as long as the block runs."""
    link = Link(host, port, delay_ms=delay_ms)
    async with anyio.create_task_group() as tg:

        async def accept(reader: StreamReader, writer: StreamWriter) -> None:
            tg.start_soon(link.handle, reader, writer)

        server = await asyncio.start_server(accept, HOST, listen_port)
        link.port = server.sockets[0].getsockname()[1]
        async with server:
            yield link
            tg.cancel_scope.cancel()
