"""Steady topics on a long-lived stream: one for each peer, for small requests that come often.

Each unary call sends and reads two blocks of headers, which is most of its processor time:
a request costs about half on a stream that is already open (docs/design/membership.md).
Large replies would hold up the small ones behind them and so keep to calls of their own.
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
    from hickorybeam.peers.connections import PeerChannel
    from hickorybeam.peers.wire import AskRequest

__all__ = ("SharedStream",)


class SharedStream:
    """One stream to a peer; its task owns the stream, askers wait for their replies.

    :param channel: a connection of its own, which ends with the conversation.
    """

    def __init__(self, channel: PeerChannel) -> None:
        self.ended = False
        self.heard = 0
        self._channel = channel
        self._opened: Reply[Any] = Reply()
        self._waiting: dict[int, Reply[AskReply]] = {}
        self._number = 0
        self._sending = anyio.Lock()
        self._scope = anyio.CancelScope()

    @property
    def idle(self) -> bool:
        """Whether nobody waits for a reply."""
        return not self._waiting

    async def run(self, connect_timeout_ms: int, errors: tuple[type[Exception], ...]) -> None:
        """Open the stream and hand out replies until it ends.

        :param errors: what the transport raises when it fails.
        """
        failure: Exception = TransportEndedError("the conversation ended")
        try:
            with self._scope:
                await self._converse(connect_timeout_ms)
        except errors as exc:
            failure = exc
        finally:
            self.ended = True
            self._opened.fail(failure)
            for waiting in self._waiting.values():
                waiting.fail(TransportEndedError("the conversation ended"))
            self._channel.abort()

    def end(self) -> None:
        """End the stream; whoever waits for a reply gets an error."""
        self.ended = True
        self._scope.cancel()

    async def open(self) -> Any:
        """Wait for the stream and return it, or raise why it did not open."""
        return await self._opened.wait()

    async def ask(self, stream: Any, ask: AskRequest) -> AskReply:
        """Send one request and wait for its reply."""
        self._number += 1
        number = self._number
        reply = self._waiting[number] = Reply()
        try:
            async with self._sending:
                await self._send(stream, NumberedRequest(number=number, ask=ask))
            return await reply.wait()
        finally:
            self._waiting.pop(number, None)

    async def _send(self, stream: Any, message: NumberedRequest) -> None:
        try:
            await stream.send_message(message)
        except BaseException:
            # A message cut short by a timeout would run together with the next one.
            self.end()
            raise

    async def _converse(self, connect_timeout_ms: int) -> None:
        call = self._channel.request(
            SHARED_STREAM_METHOD, Cardinality.STREAM_STREAM, NumberedRequest, AskReply
        )
        async with call as stream:
            with anyio.fail_after(connect_timeout_ms / MS_PER_SECOND):
                await stream.send_request()
            self._opened.set(stream)
            async for answered in stream:
                self.heard += 1
                waiting = self._waiting.pop(answered.number, None)
                if waiting is not None:
                    waiting.set(answered)
