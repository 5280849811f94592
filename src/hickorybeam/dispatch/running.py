"""Calls in flight at this VM, and how a change ticket ends the ones it forbids."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import anyio

from hickorybeam.dispatch.checks import fault_of_running
from hickorybeam.errors import ErrorKind, GatewayError, Ran

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable

    from hickorybeam.clock import Clock
    from hickorybeam.model import Call, ConfigState, ResponsePart

__all__ = ("RunningCall", "RunningCalls")

T = TypeVar("T")


class RunningCall:
    """One call in flight; ``end`` interrupts whatever it waits for.

    :param call: the call.
    :param region: where its data is processed now.
    """

    def __init__(self, call: Call, region: str) -> None:
        self.call = call
        self.region = region
        self.sent = False
        self.begun = False
        self.recalled = False
        self._fault: GatewayError | None = None
        self._scope: anyio.CancelScope | None = None

    @property
    def ended(self) -> bool:
        """Whether a ticket ended the call."""
        return self._fault is not None

    def end(self, fault: GatewayError) -> None:
        """Make the current wait, or else the next one, raise this fault."""
        if self._fault is None:
            self._fault = fault
        if self._scope is not None:
            self._scope.cancel()

    def recall(self) -> None:
        """Take the call back from a slow server, if it may run again elsewhere.

        Ignored once anything reached the caller, and for a call that may run only once.
        """
        if self.begun or not self.call.idempotent or self._scope is None:
            return
        self.recalled = True
        self._scope.cancel()

    async def wait(self, step: Awaitable[T]) -> T:
        """Await one step, or raise the fault that ended the call meanwhile.

        The cancel scope lives within one step only. A scope that stayed open over a ``yield``
        would belong to whichever task resumes the generator, and cancelling it could strike
        a task that has nothing to do with this call.
        """
        with anyio.CancelScope() as scope:
            self._scope = scope
            if self._fault is not None:
                scope.cancel()
            try:
                result = await step
            finally:
                self._scope = None
            if self._fault is None and not self.recalled:
                return result
        if self._fault is not None:
            raise self._fault
        raise GatewayError(ErrorKind.BACKEND_SILENT, "recalled from a slow server")

    async def next_part(self, parts: AsyncIterator[ResponsePart]) -> ResponsePart:
        """Return the next part; an answer that stops without its end is an error."""
        try:
            return await self.wait(parts.__anext__())
        except StopAsyncIteration:
            raise GatewayError(ErrorKind.STREAM_BROKEN) from None

    async def first_part(
        self, parts: AsyncIterator[ResponsePart], *, clock: Clock, deadline: int
    ) -> ResponsePart:
        """Return the first part, or raise ``DEADLINE`` if it does not come in time."""
        left = deadline - clock.now()
        with anyio.move_on_after(max(0, left) / 1000):
            return await self.next_part(parts)
        raise GatewayError(ErrorKind.DEADLINE, "no answer began in time", ran=Ran.UNKNOWN)


class RunningCalls:
    """Every call in flight at this VM.

    :param here: this VM's region, through which the data of every call passes.
    """

    def __init__(self, here: str) -> None:
        self._here = here
        self._calls: set[RunningCall] = set()

    def __len__(self) -> int:
        return len(self._calls)

    def add(self, running: RunningCall) -> None:
        """Register a call for its time in flight."""
        self._calls.add(running)

    def remove(self, running: RunningCall) -> None:
        """Forget a call that has ended."""
        self._calls.discard(running)

    def apply(self, state: ConfigState) -> int:
        """End every call that this state forbids.

        A call that may not be repeated and may already have reached its backend server runs
        out: ending it would leave its caller with an order of unknown outcome, which is worse
        than one answer to a key withdrawn a moment ago.

        :return: how many calls were ended.
        """
        ended = 0
        for running in tuple(self._calls):
            if running.sent and not running.call.idempotent:
                continue
            regions = {self._here, running.region}
            fault = fault_of_running(running.call, state, regions=regions)
            if fault is not None:
                running.end(fault)
                ended += 1
        return ended
