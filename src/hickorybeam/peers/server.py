"""The listening side: grpclib calls in, handlers of the service out."""

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

from hickorybeam.peers.codec import MessagePackCodec
from hickorybeam.peers.connections import AbortableProtocol, with_pings
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
    from collections.abc import AsyncGenerator

__all__ = ("PeerServer", "RequestHandler")

# As many as HTTP/2 streams of a connection would admit.
MAX_CONCURRENT_REQUESTS = 100

# What sending raises once the other end has gone.
PEER_CLOSED_ERRORS = (h2.exceptions.ProtocolError, StreamTerminatedError)

# The library logs a line for every call that its sender cancelled, which is daily business.
logging.getLogger("grpclib.server").setLevel(logging.WARNING)


class RequestHandler(Protocol):
    """What answers the calls; errors are part of its answers."""

    async def on_ask(self, ask: AskRequest, certificate: dict[str, Any] | None) -> AskReply:
        """Answer one request."""
        ...

    def on_forward(
        self, forward: ForwardRequest, certificate: dict[str, Any] | None
    ) -> AsyncGenerator[ResponseParts, None]:
        """Run a forwarded call; cancelled when the sender goes away."""
        ...


class PeerServer(Server):  # type: ignore[misc]
    """grpclib's server over our codec, on one port."""

    def __init__(self, receiver: RequestHandler, *, silent_after_ms: int) -> None:
        self._receiver = receiver
        self._protocols: list[AbortableProtocol] = []
        super().__init__([self], codec=MessagePackCodec(), config=with_pings(silent_after_ms))

    def __mapping__(self) -> dict[str, Handler]:
        """Return the methods, as grpclib asks for them."""
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

        :return: the real port, where 0 was asked for.
        """
        await self.start(host, port, ssl=tls, reuse_address=True)
        return int(self._server.sockets[0].getsockname()[1])

    def sweep(self) -> None:
        """End connections whose close hangs; called now and then."""
        for protocol in self._protocols:
            protocol.abort_if_closing()
        self._protocols = [
            protocol
            for protocol in self._protocols
            if protocol.transport is None or not protocol.transport.is_closing()
        ]

    def abort(self) -> None:
        """Stop listening and end every connection at once."""
        self.close()
        for protocol in self._protocols:
            if protocol.transport is not None:
                protocol.transport.abort()  # type: ignore[attr-defined]
        self._protocols.clear()

    def _protocol_factory(self) -> AbortableProtocol:
        plain: Any = super()._protocol_factory()
        protocol = AbortableProtocol(plain.handler, plain.config, plain.h2_config)
        self._protocols.append(protocol)
        return protocol

    async def _ask(self, stream: Any) -> None:
        ask: AskRequest = await stream.recv_message()
        await stream.send_message(await self._receiver.on_ask(ask, stream.peer.cert()))

    async def _serve_shared_stream(self, stream: Any) -> None:
        _stop_pings(stream)
        sending = anyio.Lock()
        room = anyio.Semaphore(MAX_CONCURRENT_REQUESTS)
        async with anyio.create_task_group() as tg:
            async for numbered in stream:
                await room.acquire()
                tg.start_soon(self._reply, stream, numbered, sending, room)

    async def _reply(
        self, stream: Any, numbered: NumberedRequest, sending: anyio.Lock, room: anyio.Semaphore
    ) -> None:
        try:
            answered = await self._receiver.on_ask(numbered.ask, stream.peer.cert())
            async with sending:
                await stream.send_message(replace(answered, number=numbered.number))
        except PEER_CLOSED_ERRORS:
            # The asker closed the stream or died: nobody waits for this reply, and an error
            # here would be logged for every VM that leaves.
            return
        finally:
            room.release()

    async def _forward(self, stream: Any) -> None:
        forward: ForwardRequest = await stream.recv_message()
        async with aclosing(self._receiver.on_forward(forward, stream.peer.cert())) as answer:
            async for parts in answer:
                await stream.send_message(parts)


def _stop_pings(stream: Any) -> None:
    """Send no pings on a connection whose only stream is a conversation.

    Its asker gives every request a timeout, so pings find nothing that is not found anyway;
    they doubled the bytes of membership. The library has no setting for one connection.
    """
    handle = stream._stream.connection._ping_handle
    if handle is not None:
        handle.cancel()
