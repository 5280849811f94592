"""Shared streams: one long-lived gRPC stream to each peer for small, frequent requests.

Each unary call sends and reads two blocks of headers, which take most of its CPU time: a request on
an open stream takes about half (docs/design/membership.md). Large replies would delay the small
ones behind them, so their topics use separate calls.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio
from grpclib.const import Cardinality

from hickorybeam.clock import MS_PER_SECOND
from hickorybeam.kernel import Reply
from hickorybeam.peers.wire import (
    SHARED_STREAM_METHOD,
    AskReply,
    NumberedRequest,
    TransportEndedError,
)

if TYPE_CHECKING:
    from hickorybeam.peers.channel import PeerChannel
    from hickorybeam.peers.wire import AskRequest

__all__ = ("SharedStream",)


class SharedStream:
    """A stream to a peer on which concurrent requests wait for their replies by number.

    :param channel: connection of this stream only; closed with it.
    """

    def __init__(self, channel: PeerChannel) -> None:
        self.closed = False
        self.received_replies = 0
        self._channel = channel
        self._opened: Reply[Any] = Reply()
        self._pending: dict[int, Reply[AskReply]] = {}
        self._last_number = 0
        self._send_lock = anyio.Lock()
        self._scope = anyio.CancelScope()

    @property
    def idle(self) -> bool:
        """Whether no request waits for a reply."""
        return not self._pending

    async def run(self, connect_timeout_ms: int, errors: tuple[type[Exception], ...]) -> None:
        """Open the stream and dispatch replies until it ends.

        :param errors: exceptions that the transport raises on failure.
        """
        failure: Exception = TransportEndedError("the shared stream ended")
        try:
            with self._scope:
                await self._dispatch_replies(connect_timeout_ms)
        except errors as exc:
            failure = exc
        finally:
            self.closed = True
            self._opened.fail(failure)
            for pending in self._pending.values():
                pending.fail(TransportEndedError("the shared stream ended"))
            self._channel.abort()

    def close(self) -> None:
        """Close the stream; requests that wait for a reply fail."""
        self.closed = True
        self._scope.cancel()

    async def open(self) -> Any:
        """Wait until the stream is open and return it, or raise the error that prevented it."""
        return await self._opened.wait()

    async def ask(self, stream: Any, ask: AskRequest) -> AskReply:
        """Send one request and wait for its reply."""
        self._last_number += 1
        number = self._last_number
        reply = self._pending[number] = Reply()
        try:
            async with self._send_lock:
                await self._send(stream, NumberedRequest(number=number, ask=ask))
            return await reply.wait()
        finally:
            self._pending.pop(number, None)

    async def _send(self, stream: Any, message: NumberedRequest) -> None:
        try:
            await stream.send_message(message)
        except BaseException:
            # After a message cut short by a timeout, the next one would be read as its rest.
            self.close()
            raise

    async def _dispatch_replies(self, connect_timeout_ms: int) -> None:
        call = self._channel.request(
            SHARED_STREAM_METHOD, Cardinality.STREAM_STREAM, NumberedRequest, AskReply
        )
        async with call as stream:
            with anyio.fail_after(connect_timeout_ms / MS_PER_SECOND):
                await stream.send_request()
            self._opened.set(stream)
            async for message in stream:
                self.received_replies += 1
                pending = self._pending.pop(message.number, None)
                if pending is not None:
                    pending.set(message)
