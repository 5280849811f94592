"""What one call takes from its account's budget and gives back."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorybeam.model import ResponseChunk, ResponseEnd, ResponseHead

if TYPE_CHECKING:
    from hickorybeam.model import Call, ResponsePart
    from hickorybeam.ports import Budget

__all__ = ("TokenReservation",)


class TokenReservation:
    """The tokens of one call: taken once at the entry VM and settled whatever the ending.

    A forwarded call (``hops`` above 0) was paid for at its entry VM and spends nothing here,
    but for one that came to the issuer of its idempotency key: that is paid for where it runs.
    """

    def __init__(self, call: Call, budget: Budget) -> None:
        self._call = call
        self._budget = budget
        self._reserved = 0
        self._admission = 0
        self._reported_tokens: int | None = None
        self._streamed_tokens = 0
        self._response_started = False

    async def reserve(self) -> None:
        """Take the call's estimated cost, or raise ``RATE_LIMITED``."""
        if self._call.hops and not self._call.idempotency_key:
            return
        self._admission = await self._budget.take(self._call.account, self._call.cost)
        self._reserved = self._call.cost

    def record_part(self, part: ResponsePart) -> None:
        """Note what a part of the answer says about tokens."""
        match part:
            case ResponseHead():
                self._response_started = True
            case ResponseChunk(tokens=tokens):
                self._streamed_tokens += tokens
            case ResponseEnd(usage=usage):
                self._reported_tokens = self._call.cost if usage is None else usage.total

    @property
    def used_tokens(self) -> int:
        """Tokens that the account received.

        An answer cut off before its end has no usage from the engine: what reached the caller
        and the prompt that was read for it count, the output that never came does not. A
        call with no answer at all costs nothing, so a refusal gives everything back.
        """
        if self._reported_tokens is not None:
            return self._reported_tokens
        if not self._response_started:
            return 0
        return min(self._call.cost, self._call.prompt_tokens + self._streamed_tokens)

    def settle(self) -> None:
        """Give back what was not used; safe to call twice."""
        if self._reserved:
            self._budget.settle(
                self._call.account, self._reserved, self.used_tokens, admission=self._admission
            )
            self._reserved = 0
