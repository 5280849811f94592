"""Server side of calls from peers: a grpclib server that passes them to the peers service."""

from __future__ import annotations

import logging
from contextlib import aclosing
from dataclasses import replace
from typing import TYPE_CHECKING, Any, Protocol

import anyio
import h2.exceptions
from grpclib.const import Cardinality, Handler
from grpclib.exceptions import StreamTerminatedError
from grpclib.server import Server

from hickorybeam.http1 import ClosedReason
from hickorybeam.peers.channel import AbortableProtocol, with_pings
from hickorybeam.peers.codec import MessagePackCodec
from hickorybeam.peers.wire import (
    ASK_METHOD,
    FORWARD_METHOD,
    SHARED_STREAM_METHOD,
    AskReply,
    AskRequest,
    ForwardRequest,
    NumberedRequest,
    ResponseParts,
)

if TYPE_CHECKING:
    import ssl
    from collections.abc import AsyncGenerator, Callable

__all__ = ("PeerServer", "RequestHandler")

# Requests of one shared stream; a connection admits as many HTTP/2 streams.
MAX_CONCURRENT_REQUESTS = 100

# Exceptions raised by a send after the peer closed the stream.
PEER_CLOSED_ERRORS = (h2.exceptions.ProtocolError, StreamTerminatedError)

# grpclib logs a line for every call that its sender cancelled, which is routine.
logging.getLogger("grpclib.server").setLevel(logging.WARNING)


class RequestHandler(Protocol):
    """Handles requests of peers; errors are part of its replies and are never raised."""

    async def on_ask(self, ask: AskRequest, certificate: dict[str, Any] | None) -> AskReply:
        """Handle one typed request."""
        ...

    def on_forward(
        self, forward: ForwardRequest, certificate: dict[str, Any] | None
    ) -> AsyncGenerator[ResponseParts, None]:
        """Run a forwarded call; cancelled when the sender disconnects."""
        ...


class PeerServer(Server):  # type: ignore[misc]
    """grpclib's server with the MessagePack codec, on one port.

    :param max_connections: for more, those without a call are closed, the oldest first.
    :param on_closed: called with the reason for which a connection was closed.
    """

    def __init__(
        self,
        handler: RequestHandler,
        *,
        silent_after_ms: int,
        max_connections: int,
        on_closed: Callable[[str], None] = lambda why: None,
    ) -> None:
        self._handler = handler
        self._max_connections = max_connections
        self._on_closed = on_closed
        self._protocols: list[AbortableProtocol] = []
        super().__init__([self], codec=MessagePackCodec(), config=with_pings(silent_after_ms))

    def __mapping__(self) -> dict[str, Handler]:
        """Return the RPC methods in grpclib's form."""
        return {
            ASK_METHOD: Handler(self._ask, Cardinality.UNARY_UNARY, AskRequest, AskReply),
            SHARED_STREAM_METHOD: Handler(
                self._serve_shared_stream, Cardinality.STREAM_STREAM, NumberedRequest, AskReply
            ),
            FORWARD_METHOD: Handler(
                self._forward, Cardinality.UNARY_STREAM, ForwardRequest, ResponseParts
            ),
        }

    async def listen(self, host: str, port: int, *, tls: ssl.SSLContext | None) -> int:
        """Start listening.

        :return: the port; the assigned one if ``port`` is 0.
        """
        await self.start(host, port, ssl=tls, reuse_address=True)
        return int(self._server.sockets[0].getsockname()[1])

    def sweep(self) -> None:
        """Abort connections whose close hangs; called periodically."""
        for protocol in self._protocols:
            protocol.abort_if_closing()
        self._protocols = [
            protocol
            for protocol in self._protocols
            if protocol.transport is None or not protocol.transport.is_closing()
        ]

    def abort(self) -> None:
        """Stop listening and abort every connection."""
        self.close()
        for protocol in self._protocols:
            if protocol.transport is not None:
                protocol.transport.abort()  # type: ignore[attr-defined]
        self._protocols.clear()

    def _protocol_factory(self) -> AbortableProtocol:
        base: Any = super()._protocol_factory()
        protocol = AbortableProtocol(base.handler, base.config, base.h2_config)
        protocol.on_made = self._take
        return protocol

    def _take(self, protocol: AbortableProtocol) -> None:
        """Keep a new connection, for which an idle one is closed if there are too many."""
        if len(self._protocols) >= self._max_connections:
            idle = next((it for it in self._protocols if it.is_idle), None)
            self._on_closed(ClosedReason.NEW if idle is None else ClosedReason.IDLE)
            if idle is None:
                protocol.transport.abort()  # type: ignore[union-attr]
                return
            self._protocols.remove(idle)
            idle.transport.abort()  # type: ignore[union-attr]
        self._protocols.append(protocol)

    async def _ask(self, stream: Any) -> None:
        ask: AskRequest = await stream.recv_message()
        await stream.send_message(await self._handler.on_ask(ask, stream.peer.cert()))

    async def _serve_shared_stream(self, stream: Any) -> None:
        _stop_pings(stream)
        send_lock = anyio.Lock()
        slots = anyio.Semaphore(MAX_CONCURRENT_REQUESTS)
        async with anyio.create_task_group() as tg:
            async for numbered in stream:
                await slots.acquire()
                tg.start_soon(self._reply, stream, numbered, send_lock, slots)

    async def _reply(
        self, stream: Any, numbered: NumberedRequest, send_lock: anyio.Lock, slots: anyio.Semaphore
    ) -> None:
        try:
            reply = await self._handler.on_ask(numbered.ask, stream.peer.cert())
            async with send_lock:
                await stream.send_message(replace(reply, number=numbered.number))
        except PEER_CLOSED_ERRORS:
            # The requester closed the stream or died: nothing waits for this reply, and an error
            # here would be logged for every VM that leaves.
            return
        finally:
            slots.release()

    async def _forward(self, stream: Any) -> None:
        forward: ForwardRequest = await stream.recv_message()
        async with aclosing(self._handler.on_forward(forward, stream.peer.cert())) as response:
            async for parts in response:
                await stream.send_message(parts)


def _stop_pings(stream: Any) -> None:
    """Send no pings on a connection whose only stream is a shared stream.

    Its requests all have timeouts, which detect what pings would; pings doubled the bytes of
    membership. grpclib has no setting for a single connection.
    """
    handle = stream._stream.connection._ping_handle
    if handle is not None:
        handle.cancel()
