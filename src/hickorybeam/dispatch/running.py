"""Calls in flight at this VM, and their termination when a change ticket forbids them."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import anyio

from hickorybeam.dispatch.checks import termination_error
from hickorybeam.errors import ErrorKind, GatewayError, Ran

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable

    from hickorybeam.clock import Clock
    from hickorybeam.model import Call, ConfigState, ResponsePart

__all__ = ("RunningCall", "RunningCalls")

T = TypeVar("T")


class RunningCall:
    """One call in flight; ``terminate`` interrupts whatever it waits for.

    :param region: the region that processes its data now.
    """

    def __init__(self, call: Call, region: str) -> None:
        self.call = call
        self.region = region
        self.sent = False
        self.response_started = False
        self.recalled = False
        self._error: GatewayError | None = None
        self._scope: anyio.CancelScope | None = None

    @property
    def terminated(self) -> bool:
        """Whether a ticket ended the call."""
        return self._error is not None

    def terminate(self, error: GatewayError) -> None:
        """Raise this error from the current wait, or else from the next one."""
        if self._error is None:
            self._error = error
        if self._scope is not None:
            self._scope.cancel()

    def recall(self) -> None:
        """Cancel the attempt at a slow server, if the call may run again elsewhere.

        Ignored once any part has reached the caller, and for a call that isn't idempotent.
        """
        if self.response_started or not self.call.idempotent or self._scope is None:
            return
        self.recalled = True
        self._scope.cancel()

    async def wait(self, step: Awaitable[T]) -> T:
        """Await one step; raise the error if the call is terminated or recalled meanwhile.

        The cancel scope spans one step only. If it stayed open across a ``yield``, it would
        belong to whichever task resumes the generator, and cancelling it could interrupt a
        task that is unrelated to this call.
        """
        with anyio.CancelScope() as scope:
            self._scope = scope
            if self._error is not None:
                scope.cancel()
            try:
                result = await step
            finally:
                self._scope = None
            if self._error is None and not self.recalled:
                return result
        if self._error is not None:
            raise self._error
        raise GatewayError(ErrorKind.BACKEND_SILENT, "recalled from a slow server")

    async def next_part(self, parts: AsyncIterator[ResponsePart]) -> ResponsePart:
        """Return the next part, or raise ``STREAM_BROKEN`` if the response ends early."""
        try:
            return await self.wait(parts.__anext__())
        except StopAsyncIteration:
            raise GatewayError(ErrorKind.STREAM_BROKEN) from None

    async def first_part(
        self, parts: AsyncIterator[ResponsePart], *, clock: Clock, deadline_ms: int
    ) -> ResponsePart:
        """Return the first part, or raise ``DEADLINE`` if it does not arrive in time."""
        remaining_ms = deadline_ms - clock.now()
        with anyio.move_on_after(max(0, remaining_ms) / 1000):
            return await self.next_part(parts)
        raise GatewayError(ErrorKind.DEADLINE, "no answer began in time", ran=Ran.UNKNOWN)


class RunningCalls:
    """All calls in flight at this VM.

    :param own_region: this VM's region, through which the data of every call passes.
    """

    def __init__(self, own_region: str) -> None:
        self._own_region = own_region
        self._calls: set[RunningCall] = set()

    def __len__(self) -> int:
        return len(self._calls)

    def add(self, running: RunningCall) -> None:
        """Add a call in flight."""
        self._calls.add(running)

    def remove(self, running: RunningCall) -> None:
        """Remove a call that has ended."""
        self._calls.discard(running)

    def terminate_forbidden(self, state: ConfigState) -> int:
        """Terminate all calls that this state forbids.

        A call that isn't idempotent and may have reached its backend server runs to its end:
        terminating it would leave its caller with an operation of unknown outcome, which is
        worse than one response to a key revoked a moment ago.

        :return: the number of calls terminated.
        """
        terminated = 0
        for running in tuple(self._calls):
            if running.sent and not running.call.idempotent:
                continue
            regions = {self._own_region, running.region}
            error = termination_error(running.call, state, regions=regions)
            if error is not None:
                running.terminate(error)
                terminated += 1
        return terminated
