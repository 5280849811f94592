"""Client side of calls to peers, and what a failure says about whether the call ran.

A failure before the request's body was sent means that nothing ran. After that the call may have
run, unless the peer's reply says otherwise.
"""

from __future__ import annotations

import asyncio
import ssl
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any

import anyio
import h2.exceptions
from grpclib.const import Cardinality
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from hickorybeam.clock import MS_PER_SECOND
from hickorybeam.errors import ErrorKind, GatewayError, Ran
from hickorybeam.model import ResponseEnd
from hickorybeam.peers.tls import check_certificate
from hickorybeam.peers.wire import (
    ASK_METHOD,
    FORWARD_METHOD,
    AskReply,
    AskRequest,
    ForwardRequest,
    ResponseParts,
    TransportEndedError,
    to_error,
)
from hickorybeam.untrusted import InvalidBytesError

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Iterator

    from hickorybeam.model import ResponsePart, VmId
    from hickorybeam.peers.channel import Address, PeerChannel
    from hickorybeam.peers.connections import ConnectionPool

__all__ = ("TRANSPORT_ERRORS", "PeerClient")

# grpclib raises ``AssertionError`` when a connection ends inside a message.
TRANSPORT_ERRORS = (
    OSError,
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    AssertionError,
    h2.exceptions.ProtocolError,
    InvalidBytesError,
    TransportEndedError,
)


class CallProgress:
    """The state of one call; ``sent`` is set once its body may have reached the peer."""

    __slots__ = ("received_before", "response_started", "sent")

    def __init__(self, channel: PeerChannel) -> None:
        self.sent = False
        self.response_started = False
        self.received_before = channel.received_bytes()

    @property
    def ran(self) -> Ran:
        """Whether the call may have run if it fails now."""
        return Ran.UNKNOWN if self.sent else Ran.NO


class PeerClient:
    """Sends calls over the connection pool and maps every failure to a ``GatewayError``.

    :param connect_timeout_ms: timeout for connecting a forwarded call; it has no other timeout,
        since a response may stream for long.
    :param authenticate: whether peers must present a certificate that names them.
    """

    def __init__(
        self, connections: ConnectionPool, *, connect_timeout_ms: int, authenticate: bool
    ) -> None:
        self._connections = connections
        self._connect_timeout_ms = connect_timeout_ms
        self._authenticate = authenticate

    async def ask(self, address: Address, request: AskRequest, *, timeout_ms: int) -> bytes:
        """Send one request and return the reply's body.

        :param timeout_ms: timeout of the whole call, including the time to connect.
        """
        with (
            self._connections.channel(address) as channel,
            self._map_failures(address, channel) as progress,
        ):
            # grpclib's own timeout would send a header whose value differs each time, which evicts
            # the constant ones from the compression table.
            call = channel.request(ASK_METHOD, Cardinality.UNARY_UNARY, AskRequest, AskReply)
            with anyio.fail_after(timeout_ms / MS_PER_SECOND):
                async with call as stream:
                    await stream.send_request()
                    self._check_peer(stream, request.to)
                    progress.sent = True
                    await stream.send_message(request, end=True)
                    reply: AskReply | None = await stream.recv_message()
        if reply is None:
            raise _unreachable(address, "no reply", progress.ran)
        return _body(reply)

    async def ask_on_shared_stream(
        self, address: Address, request: AskRequest, *, timeout_ms: int
    ) -> bytes:
        """Send one request on the shared stream and return the reply's body."""
        shared = self._connections.shared_stream(address)
        received_before = shared.received_replies
        sent = False
        with _absorb_cancellations():
            try:
                with anyio.fail_after(timeout_ms / MS_PER_SECOND):
                    stream = await shared.open()
                    self._check_peer(stream, request.to)
                    sent = True
                    reply = await shared.ask(stream, request)
            except GatewayError:
                raise
            except ssl.SSLCertVerificationError as exc:
                raise GatewayError(ErrorKind.PEER_REFUSED, str(address), ran=Ran.NO) from exc
            except TRANSPORT_ERRORS as exc:
                # A stream on which no reply arrived meanwhile is never used again.
                if shared.received_replies == received_before:
                    shared.close()
                ran = Ran.UNKNOWN if sent else Ran.NO
                raise _unreachable(address, type(exc).__name__, ran) from exc
        return _body(reply)

    async def forward(
        self, address: Address, request: ForwardRequest
    ) -> AsyncGenerator[ResponsePart, None]:
        """Send a call and yield the response's parts; closing the iterator cancels the call."""
        ended = False
        with (
            self._connections.channel(address) as channel,
            self._map_failures(address, channel) as progress,
        ):
            call = channel.request(
                FORWARD_METHOD, Cardinality.UNARY_STREAM, ForwardRequest, ResponseParts
            )
            async with call as stream:
                with anyio.fail_after(self._connect_timeout_ms / MS_PER_SECOND):
                    await stream.send_request()
                self._check_peer(stream, request.to)
                progress.sent = True
                await stream.send_message(request, end=True)
                async for parts in stream:
                    progress.response_started = True
                    for part in _in_stream_order(parts):
                        ended = isinstance(part, ResponseEnd)
                        yield part
                    if parts.error is not None:
                        raise to_error(parts.error)
                    if ended:
                        break
        if not ended:
            # A peer can end a stream cleanly without the response's end part, for example when its
            # handler dies; the caller would take a partial response for a whole one.
            raise GatewayError(ErrorKind.STREAM_BROKEN, "the peer's stream has no end marker")

    def _check_peer(self, stream: Any, to: VmId) -> None:
        # Called before the body is sent: a peer of the same authority may still be another VM, and
        # only the chosen VM may see a call's content.
        if self._authenticate:
            check_certificate(stream.peer.cert(), to.name)

    @contextmanager
    def _map_failures(self, address: Address, channel: PeerChannel) -> Iterator[CallProgress]:
        progress = CallProgress(channel)
        with _absorb_cancellations():
            try:
                yield progress
            except GatewayError:
                raise
            except ssl.SSLCertVerificationError as exc:
                raise GatewayError(ErrorKind.PEER_REFUSED, str(address), ran=Ran.NO) from exc
            except TimeoutError as exc:
                if channel.received_bytes() == progress.received_before:
                    self._connections.retire(address, channel)
                raise _unreachable(address, "timeout", progress.ran) from exc
            except TRANSPORT_ERRORS as exc:
                if progress.response_started:
                    raise GatewayError(ErrorKind.STREAM_BROKEN, str(address)) from exc
                raise _unreachable(address, type(exc).__name__, progress.ran) from exc


def _body(reply: AskReply) -> bytes:
    if reply.error is not None:
        raise to_error(reply.error)
    return reply.body


def _in_stream_order(parts: ResponseParts) -> Iterator[ResponsePart]:
    if parts.head is not None:
        yield parts.head
    yield from parts.chunks
    if parts.end is not None:
        yield parts.end


def _unreachable(address: Address, why: str, ran: Ran) -> GatewayError:
    return GatewayError(ErrorKind.PEER_UNREACHABLE, f"{address}: {why}", ran=ran)


@contextmanager
def _absorb_cancellations() -> Iterator[None]:
    """Undo the task cancellations by which grpclib wakes a call that has failed.

    grpclib cancels the task, swallows the cancellation and raises its own error, but the task's
    count of cancellations stays raised. An outer timeout or task group would later take it for a
    cancellation of its own and end the service without an error.
    """
    task = asyncio.current_task()
    before = task.cancelling() if task is not None else 0
    try:
        yield
    except GatewayError:
        while task is not None and task.cancelling() > before:
            task.uncancel()
        raise
