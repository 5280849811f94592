"""A TCP relay that stands in for the network between two ends, with fault switches.

``PASS`` relays bytes, ``CUT`` refuses and closes (a partition that answers), ``SILENT`` keeps
every connection open and passes nothing (something between the ends has forgotten them).
"""

from __future__ import annotations

from contextlib import asynccontextmanager
from enum import Enum
from typing import TYPE_CHECKING

import anyio
from anyio.abc import SocketAttribute

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from anyio.abc import ByteStream, TaskGroup
    from anyio.streams.memory import MemoryObjectSendStream

__all__ = ("Link", "LinkState", "serve")

HOST = "127.0.0.1"
MS_PER_SECOND = 1000
PIECES_IN_FLIGHT = 256


class LinkState(Enum):
    """What the relay does with bytes."""

    PASS = "pass"
    CUT = "cut"
    SILENT = "silent"


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
        self._open: set[ByteStream] = set()

    @property
    def state(self) -> LinkState:
        """What the relay does now."""
        return self._state

    @property
    def address(self) -> str:
        """The relay's own address as host:port."""
        return f"{HOST}:{self.port}"

    async def set(self, state: LinkState) -> None:
        """Switch what the relay does; ``CUT`` also closes what is open."""
        self._state = state
        self._changed.set()
        self._changed = anyio.Event()
        if state is LinkState.CUT:
            for stream in tuple(self._open):
                await anyio.aclose_forcefully(stream)

    async def drop_bytes_of_open(self) -> None:
        """Make the connections open now silent for good while new ones work."""
        self._open.clear()
        self._changed.set()
        self._changed = anyio.Event()

    async def handle(self, near: ByteStream) -> None:
        """Relay one accepted connection."""
        if self._state is LinkState.CUT:
            await anyio.aclose_forcefully(near)
            return
        try:
            far = await anyio.connect_tcp(*self.target)
        except OSError:
            await anyio.aclose_forcefully(near)
            return
        self._open |= {near, far}
        try:
            async with anyio.create_task_group() as tg:
                tg.start_soon(self._copy, near, far, tg)
                tg.start_soon(self._copy, far, near, tg)
        finally:
            self._open -= {near, far}
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(near)
                await anyio.aclose_forcefully(far)

    async def _copy(self, source: ByteStream, sink: ByteStream, tg: TaskGroup) -> None:
        send, receive = anyio.create_memory_object_stream[tuple[float, bytes]](PIECES_IN_FLIGHT)
        try:
            async with anyio.create_task_group() as pair:
                pair.start_soon(self._read, source, send)
                async with receive:
                    async for due, data in receive:
                        await anyio.sleep_until(due)
                        await self._wait_for_pass(source)
                        self.bytes_passed += len(data)
                        await sink.send(data)
                    await sink.send_eof()
        except* (anyio.ClosedResourceError, anyio.BrokenResourceError, OSError):
            tg.cancel_scope.cancel()

    async def _read(
        self, source: ByteStream, send: MemoryObjectSendStream[tuple[float, bytes]]
    ) -> None:
        async with send:
            async for data in source:
                await send.send((anyio.current_time() + self.delay_ms / MS_PER_SECOND, data))

    async def _wait_for_pass(self, source: ByteStream) -> None:
        while self._state is LinkState.SILENT or source not in self._open:
            if self._state is LinkState.CUT:
                raise anyio.BrokenResourceError
            await self._changed.wait()


@asynccontextmanager
async def serve(
    host: str, port: int, *, listen_port: int = 0, delay_ms: float = 0.0
) -> AsyncIterator[Link]:
    """Relay a free port on loopback to an address for as long as the block runs."""
    link = Link(host, port, delay_ms=delay_ms)
    listener = await anyio.create_tcp_listener(local_host=HOST, local_port=listen_port)
    link.port = listener.extra(SocketAttribute.local_port)
    async with listener, anyio.create_task_group() as tg:
        tg.start_soon(listener.serve, link.handle)
        yield link
        tg.cancel_scope.cancel()
