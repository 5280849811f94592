"""Links between VMs that can be harmed: each carries TCP connections and datagrams one way.

A VM reaches another one through a port of the link between them. The store tells it that port
instead of the other VM's own, so the VMs themselves run unchanged.
"""

from __future__ import annotations

import base64
import contextlib
import socket
import struct
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import anyio
import msgspec

from hickorybeam.clock import MS_PER_SECOND
from hickorybeam.standins.keyvalue import KeyValueApp

if TYPE_CHECKING:
    from collections.abc import Mapping

    from anyio.abc import SocketStream, TaskGroup, UDPSocket
    from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

    from hickorybeam.http1 import IncomingRequest, ResponseWriter

__all__ = ("CALM", "Link", "LinkHarm", "LinkedStore", "Links")

HOST = "127.0.0.1"
VM_PREFIX = "hickorybeam/vm/"
BIND_ATTEMPTS = 20
# Chunks of one connection that a link holds.
MAX_HELD_CHUNKS = 1_024
MAX_DATAGRAM_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class LinkHarm:
    """What a link does to bytes one way.

    ``silent``: datagrams are lost, and bytes of connections wait until that is over, as they are
    sent again. ``delay_ms`` is added to the way of each.
    """

    silent: bool = False
    delay_ms: int = 0


CALM = LinkHarm()


class Direction:
    """The way from one VM to another."""

    def __init__(self) -> None:
        self.harm = CALM
        self._changed = anyio.Event()

    def apply(self, harm: LinkHarm) -> None:
        """Harm the way, or heal it."""
        self.harm = harm
        self._changed.set()
        self._changed = anyio.Event()

    async def wait_open(self) -> None:
        """Wait until bytes pass."""
        while self.harm.silent:
            await self._changed.wait()


@dataclass(eq=False)
class Connection:
    """A connection over a link: the streams of both ends, and whether it is forgotten."""

    near: SocketStream
    far: SocketStream
    forgotten: bool = False

    def reset(self) -> None:
        """Reset both ends."""
        reset(self.near)
        reset(self.far)


class Link:
    """What a VM opens and sends to another one, whose own port is ``far_port``.

    :param forth: the way to the other VM.
    :param back: the way back, for the responses on connections.
    """

    def __init__(self, forth: Direction, back: Direction) -> None:
        self._forth = forth
        self._back = back
        self.far_port = 0
        self._conns: set[Connection] = set()
        # A socket takes one datagram at a time.
        self._sending = anyio.Lock()
        self.port = 0

    async def open(self, tasks: TaskGroup) -> None:
        """Listen for connections and datagrams on one port, until the tasks end."""
        for _ in range(BIND_ATTEMPTS):
            listener = await anyio.create_tcp_listener(local_host=HOST, local_port=0)
            self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
            try:
                datagrams = await anyio.create_udp_socket(
                    local_host=HOST, local_port=self.port, family=socket.AF_INET
                )
            except OSError:
                await listener.aclose()
                continue
            tasks.start_soon(listener.serve, self._carry)
            tasks.start_soon(self._carry_datagrams, datagrams, tasks)
            return
        raise OSError("no port is free for both connections and datagrams")

    def reset(self) -> None:
        """Reset all open connections, at both ends."""
        for conn in tuple(self._conns):
            conn.reset()

    def forget(self) -> None:
        """Let all open connections fall silent for good; new ones work."""
        for conn in self._conns:
            conn.forgotten = True

    async def _carry(self, near: SocketStream) -> None:
        try:
            far = await anyio.connect_tcp(HOST, self.far_port)
        except OSError:
            reset(near)
            return
        conn = Connection(near, far)
        self._conns.add(conn)
        try:
            async with anyio.create_task_group() as tg:
                self._start_way(tg, conn, near, far, self._forth)
                self._start_way(tg, conn, far, near, self._back)
        finally:
            self._conns.discard(conn)
            conn.reset()

    def _start_way(
        self,
        tasks: TaskGroup,
        conn: Connection,
        source: SocketStream,
        sink: SocketStream,
        way: Direction,
    ) -> None:
        held, to_pass = anyio.create_memory_object_stream[tuple[float, bytes | None]](
            MAX_HELD_CHUNKS
        )
        tasks.start_soon(read, source, held, way)
        tasks.start_soon(self._pass, conn, to_pass, sink, way, tasks)

    async def _pass(
        self,
        conn: Connection,
        to_pass: MemoryObjectReceiveStream[tuple[float, bytes | None]],
        sink: SocketStream,
        way: Direction,
        tasks: TaskGroup,
    ) -> None:
        """Pass chunks on, each when it is due; ``None`` is a reset, which ends the connection."""
        async for due, data in to_pass:
            await anyio.sleep(max(0.0, due - anyio.current_time()))
            await way.wait_open()
            if conn.forgotten:
                await anyio.sleep_forever()
            if data is None:
                tasks.cancel_scope.cancel()
                return
            with contextlib.suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
                if data:
                    await sink.send(data)
                else:
                    await sink.send_eof()

    async def _carry_datagrams(self, datagrams: UDPSocket, tasks: TaskGroup) -> None:
        async with datagrams:
            while True:
                try:
                    data, _ = await datagrams.receive()
                except anyio.BrokenResourceError:
                    continue
                if not self._forth.harm.silent:
                    tasks.start_soon(self._send_datagram, datagrams, data)

    async def _send_datagram(self, datagrams: UDPSocket, data: bytes) -> None:
        await anyio.sleep(self._forth.harm.delay_ms / MS_PER_SECOND)
        async with self._sending:
            with contextlib.suppress(OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
                await datagrams.sendto(data, HOST, self.far_port)


async def read(
    source: SocketStream,
    held: MemoryObjectSendStream[tuple[float, bytes | None]],
    way: Direction,
) -> None:
    """Read chunks of one way until its end: empty for an orderly one, ``None`` for a reset."""
    data: bytes | None = b"first"
    while data:
        try:
            data = await source.receive()
        except anyio.EndOfStream:
            data = b""
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            data = None
        await held.send((anyio.current_time() + way.harm.delay_ms / MS_PER_SECOND, data))


def reset(stream: SocketStream) -> None:
    """Reset a connection, so that its other end sees an error and no orderly close."""
    sock = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport = getattr(stream, "_transport", None)
    if transport is not None:
        transport.abort()


class Links:
    """The links between VMs of different regions, by the names of both."""

    def __init__(self) -> None:
        self._ways: dict[tuple[str, str], Direction] = {}
        self.by_pair: dict[tuple[str, str], Link] = {}

    def way(self, source: str, sink: str) -> Direction:
        """Return the way from one VM to another."""
        return self._ways.setdefault((source, sink), Direction())

    async def add(self, tasks: TaskGroup, source: str, sink: str) -> None:
        """Add the link by which one VM reaches another."""
        link = Link(self.way(source, sink), self.way(sink, source))
        await link.open(tasks)
        self.by_pair[source, sink] = link

    def heal(self) -> None:
        """Let all bytes pass again."""
        for way in self._ways.values():
            way.apply(CALM)


class LinkedStore(KeyValueApp):
    """The store as one VM sees it: other VMs have the ports of the links to them.

    ``harm`` is done to each call on its way to the store, and to each answer on its way back, also
    of calls that the store holds already.

    :param vm: the VM's name.
    """

    def __init__(self, app: KeyValueApp, links: Links, vm: str) -> None:
        super().__init__(app.stand_in)
        self.harm = CALM
        self._links = links
        self._vm = vm

    async def answer(self, req: IncomingRequest, reply: ResponseWriter) -> None:
        """Answer one call that comes over the harmed way."""
        await self._pass()
        await super().answer(req, reply)

    async def _before_answer(self) -> None:
        await self._pass()

    async def _pass(self) -> None:
        if self.harm.silent:
            await anyio.sleep_forever()
        await anyio.sleep(self.harm.delay_ms / MS_PER_SECOND)

    def show(self, item: Mapping[str, Any]) -> Mapping[str, Any]:
        """Return an item as this VM sees it."""
        name = item["key"].removeprefix(VM_PREFIX)
        link = self._links.by_pair.get((self._vm, name))
        if link is None or "value" not in item:
            return item
        entry = msgspec.json.decode(base64.b64decode(item["value"]))
        link.far_port = entry["peer_port"]
        entry["peer_port"] = link.port
        return {**item, "value": base64.b64encode(msgspec.json.encode(entry)).decode()}
