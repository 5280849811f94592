"""One attempt at a call, which continues after its caller has disconnected."""

from __future__ import annotations

from contextlib import aclosing
from enum import Enum
from typing import TYPE_CHECKING, Final, cast

import anyio

from hickorybeam.errors import ErrorKind, GatewayError, Ran
from hickorybeam.model import ResponseChunk, ResponseEnd, ResponseHead

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, AsyncIterator

    from hickorybeam.model import Call, ResponsePart
    from hickorybeam.ports import Dispatch

__all__ = ("Attempt", "AttemptOutcome")

# Parts of the response buffered for a slow caller before reading from the backend server pauses.
MAX_BUFFERED_PARTS: Final = 16

# Responses up to this size are stored for replay; those of bookings and orders are far smaller.
MAX_STORED_RESPONSE_BYTES: Final = 65_536


class AttemptOutcome(Enum):
    """How an attempt ended, which decides the state of its key."""

    FINISHED = "finished"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Attempt:
    """A call that runs in a task of the service, independent of its caller's connection.

    When a caller's connection breaks, its booking has usually been sent already. Cancelling it
    would lose the outcome that the caller's retry needs. An idempotent call is cancelled
    instead, as nobody waits for its response.
    """

    def __init__(self, call: Call) -> None:
        self.call = call
        self.outcome = AttemptOutcome.UNKNOWN
        self.status = 0
        self.stored_parts: list[ResponsePart] = []
        self.response_bytes = 0
        streams = anyio.create_memory_object_stream["ResponsePart | GatewayError"](
            MAX_BUFFERED_PARTS
        )
        self._send, self._receive = streams
        self._caller_gone = False

    async def execute(self, dispatch: Dispatch) -> None:
        """Run the call to its end and set ``outcome``; if cancelled, it stays unknown."""
        try:
            self.outcome = await self._run(dispatch)
        except GatewayError as exc:
            if exc.ran is Ran.NO and not self.stored_parts:
                self.outcome = AttemptOutcome.NOT_RUN
            await self._send_to_caller(exc)
        finally:
            self._send.close()

    async def parts(self) -> AsyncGenerator[ResponsePart, None]:
        """Yield the parts to the caller; the attempt continues after this is closed."""
        try:
            async for part in self._receive:
                if isinstance(part, GatewayError):
                    raise part
                yield part
        finally:
            self._caller_gone = True
            self._receive.close()

    async def _run(self, dispatch: Dispatch) -> AttemptOutcome:
        response = cast("AsyncGenerator[ResponsePart, None]", dispatch.run(self.call))
        async with aclosing(response) as parts:
            return await self._forward_parts(parts)

    async def _forward_parts(self, parts: AsyncIterator[ResponsePart]) -> AttemptOutcome:
        async for part in parts:
            self._store_part(part)
            await self._send_to_caller(part)
            if isinstance(part, ResponseEnd):
                return AttemptOutcome.FINISHED
            if self._caller_gone and self.call.idempotent:
                return AttemptOutcome.UNKNOWN
        await self._send_to_caller(GatewayError(ErrorKind.STREAM_BROKEN))
        return AttemptOutcome.UNKNOWN

    def _store_part(self, part: ResponsePart) -> None:
        match part:
            case ResponseHead(status=status):
                self.status = status
            case ResponseChunk(data=data):
                self.response_bytes += len(data)
        if self.response_bytes > MAX_STORED_RESPONSE_BYTES:
            del self.stored_parts[1:]
        else:
            self.stored_parts.append(part)

    async def _send_to_caller(self, part: ResponsePart | GatewayError) -> None:
        if self._caller_gone:
            return
        try:
            await self._send.send(part)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            self._caller_gone = True
