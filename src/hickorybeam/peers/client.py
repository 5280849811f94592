"""Calls to peers over one channel: what is sent, what comes back, and what a failure means.

A failure before the request's body went out means that nothing ran. After that the peer may
have acted, and only its own word says otherwise.
"""

from __future__ import annotations

import asyncio
import ssl
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any

import anyio
import h2.exceptions
import msgspec
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

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Iterator

    from hickorybeam.model import ResponsePart, VmId
    from hickorybeam.peers.connections import Address, ConnectionPool, PeerChannel

__all__ = ("TRANSPORT_ERRORS", "PeerClient")

# grpclib reports a connection that ends inside a message by an assertion.
TRANSPORT_ERRORS = (
    OSError,
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    AssertionError,
    h2.exceptions.ProtocolError,
    msgspec.DecodeError,
    TransportEndedError,
)


class CallProgress:
    """How far one call got; ``sent`` from the moment its body may have reached the peer."""

    __slots__ = ("answered", "received_before", "sent")

    def __init__(self, channel: PeerChannel) -> None:
        self.sent = False
        self.answered = False
        self.received_before = channel.received_bytes()

    @property
    def ran(self) -> Ran:
        """What a failure now says about the work."""
        return Ran.UNKNOWN if self.sent else Ran.NO


class PeerClient:
    """Sends calls through the links and turns every failure into a ``GatewayError``.

    :param connect_timeout_ms: how long a forwarded call may take to get a connection; it has
        no timeout of its own after that, since an answer may stream for long.
    :param authenticate: whether peers must show a certificate that names them.
    """

    def __init__(
        self, connections: ConnectionPool, *, connect_timeout_ms: int, authenticate: bool
    ) -> None:
        self._connections = connections
        self._connect_timeout_ms = connect_timeout_ms
        self._authenticate = authenticate

    async def ask(self, address: Address, request: AskRequest, *, timeout_ms: int) -> bytes:
        """Send one request and return the reply's body.

        :param timeout_ms: for the whole call, connecting included.
        """
        with (
            self._connections.channel(address) as channel,
            self._failures(address, channel) as progress,
        ):
            # grpclib's own timeout would put a header on the wire whose value differs each time
            # and pushes the constant ones out of the compression table.
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
        """Send one request on the long-lived stream and return the reply's body."""
        talk = self._connections.shared_stream(address)
        heard = talk.heard
        sent = False
        with _absorb_cancellations():
            try:
                with anyio.fail_after(timeout_ms / MS_PER_SECOND):
                    stream = await talk.open()
                    self._check_peer(stream, request.to)
                    sent = True
                    reply = await talk.ask(stream, request)
            except GatewayError:
                raise
            except ssl.SSLCertVerificationError as exc:
                raise GatewayError(ErrorKind.PEER_REFUSED, str(address), ran=Ran.NO) from exc
            except TRANSPORT_ERRORS as exc:
                # A stream on which nothing came in meanwhile is never used again.
                if talk.heard == heard:
                    talk.end()
                ran = Ran.UNKNOWN if sent else Ran.NO
                raise _unreachable(address, type(exc).__name__, ran) from exc
        return _body(reply)

    async def forward(
        self, address: Address, request: ForwardRequest
    ) -> AsyncGenerator[ResponsePart, None]:
        """Send a call and yield the answer's parts; closing the iterator cancels it there."""
        ended = False
        with (
            self._connections.channel(address) as channel,
            self._failures(address, channel) as progress,
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
                    progress.answered = True
                    for part in _in_order(parts):
                        ended = isinstance(part, ResponseEnd)
                        yield part
                    if parts.error is not None:
                        raise to_error(parts.error)
                    if ended:
                        break
        if not ended:
            # The peer's process can end a stream in good form without the answer's end, for
            # example when its handler dies; the caller would take half an answer for whole.
            raise GatewayError(ErrorKind.STREAM_BROKEN, "the peer's stream has no end marker")

    def _check_peer(self, stream: Any, to: VmId) -> None:
        # Before the body goes out: a peer of the same authority may still be another VM, and
        # a call's content is for the VM that was chosen.
        if self._authenticate:
            check_certificate(stream.peer.cert(), to.name)

    @contextmanager
    def _failures(self, address: Address, channel: PeerChannel) -> Iterator[CallProgress]:
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
                if progress.answered:
                    raise GatewayError(ErrorKind.STREAM_BROKEN, str(address)) from exc
                raise _unreachable(address, type(exc).__name__, progress.ran) from exc


def _body(reply: AskReply) -> bytes:
    if reply.error is not None:
        raise to_error(reply.error)
    return reply.body


def _in_order(parts: ResponseParts) -> Iterator[ResponsePart]:
    if parts.head is not None:
        yield parts.head
    yield from parts.chunks
    if parts.end is not None:
        yield parts.end


def _unreachable(address: Address, why: str, ran: Ran) -> GatewayError:
    return GatewayError(ErrorKind.PEER_UNREACHABLE, f"{address}: {why}", ran=ran)


@contextmanager
def _absorb_cancellations() -> Iterator[None]:
    """Take back the task cancellations by which grpclib wakes a call that has failed.

    It cancels the task, swallows the cancellation and raises its own error, but leaves the
    task's count of cancellations raised; an outer timeout or task group would later read
    that as a cancellation of its own and end the service without an error.
    """
    task = asyncio.current_task()
    before = task.cancelling() if task is not None else 0
    try:
        yield
    except GatewayError:
        while task is not None and task.cancelling() > before:
            task.uncancel()
        raise
