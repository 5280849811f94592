"""One attempt at a call, which goes on when its caller is gone."""

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

__all__ = ("Attempt", "Ending")

# Parts that wait for a slow caller before the backend server's answer is read no further.
PARTS_AHEAD: Final = 16

# Answers up to this size are kept, to be given again; bookings and orders are far smaller.
LARGEST_KEPT: Final = 65_536


class Ending(Enum):
    """How an attempt ended, as far as the key is concerned."""

    FINISHED = "finished"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Attempt:
    """A call that runs in a task of the service, so that the caller's end is not its end.

    A booking whose caller's connection breaks has most often been sent already: cancelled,
    its outcome would be lost to the retry that follows. A call that may be repeated is
    cancelled instead, as nobody waits for what it generates.
    """

    def __init__(self, call: Call) -> None:
        self.call = call
        self.ending = Ending.UNKNOWN
        self.status = 0
        self.kept: list[ResponsePart] = []
        self.size = 0
        streams = anyio.create_memory_object_stream["ResponsePart | GatewayError"](PARTS_AHEAD)
        self._send, self._receive = streams
        self._left = False

    async def execute(self, dispatch: Dispatch) -> None:
        """Run the call to its end; ``ending`` then tells what is known of it.

        Cancelled in the middle, the attempt stays of unknown outcome.
        """
        try:
            self.ending = await self._run(dispatch)
        except GatewayError as exc:
            if exc.ran is Ran.NO and not self.kept:
                self.ending = Ending.NOT_RUN
            await self._hand(exc)
        finally:
            self._send.close()

    async def parts(self) -> AsyncGenerator[ResponsePart, None]:
        """Yield the parts to the caller; closing this leaves the attempt to itself."""
        try:
            async for part in self._receive:
                if isinstance(part, GatewayError):
                    raise part
                yield part
        finally:
            self._left = True
            self._receive.close()

    async def _run(self, dispatch: Dispatch) -> Ending:
        running = cast("AsyncGenerator[ResponsePart, None]", dispatch.run(self.call))
        async with aclosing(running) as parts:
            return await self._follow(parts)

    async def _follow(self, parts: AsyncIterator[ResponsePart]) -> Ending:
        async for part in parts:
            self._keep(part)
            await self._hand(part)
            if isinstance(part, ResponseEnd):
                return Ending.FINISHED
            if self._left and self.call.idempotent:
                return Ending.UNKNOWN
        await self._hand(GatewayError(ErrorKind.STREAM_BROKEN))
        return Ending.UNKNOWN

    def _keep(self, part: ResponsePart) -> None:
        match part:
            case ResponseHead(status=status):
                self.status = status
            case ResponseChunk(data=data):
                self.size += len(data)
        if self.size > LARGEST_KEPT:
            del self.kept[1:]
        else:
            self.kept.append(part)

    async def _hand(self, part: ResponsePart | GatewayError) -> None:
        if self._left:
            return
        try:
            await self._send.send(part)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            self._left = True
