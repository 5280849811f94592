"""The tokens that one call takes from its account's budget."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorybeam.model import ResponseChunk, ResponseEnd, ResponseHead

if TYPE_CHECKING:
    from hickorybeam.model import Call, ResponsePart
    from hickorybeam.ports import Budget

__all__ = ("TokenReservation",)


class TokenReservation:
    """Reserves the tokens of one call and settles them, however the call ends.

    A call is charged once, at its entry VM, so a forwarded one (``hops`` above 0) reserves
    nothing here. Only a call forwarded to the issuer of its idempotency key is charged where
    it runs.
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
        """Reserve the call's estimated cost, or raise ``RATE_LIMITED``."""
        if self._call.hops and not self._call.idempotency_key:
            return
        self._admission = await self._budget.take(self._call.account, self._call.cost)
        self._reserved = self._call.cost

    def record_part(self, part: ResponsePart) -> None:
        """Update the token counts from a part of the response."""
        match part:
            case ResponseHead():
                self._response_started = True
            case ResponseChunk(tokens=tokens):
                self._streamed_tokens += tokens
            case ResponseEnd(usage=usage):
                self._reported_tokens = self._call.cost if usage is None else usage.total

    @property
    def used_tokens(self) -> int:
        """Tokens to charge to the account.

        For a response that was cut off, the engine reports no usage: the prompt, which was
        prefilled, and the tokens that reached the caller are charged, the missing output is
        not. A call without any response costs nothing, so a refusal refunds everything.
        """
        if self._reported_tokens is not None:
            return self._reported_tokens
        if not self._response_started:
            return 0
        return min(self._call.cost, self._call.prompt_tokens + self._streamed_tokens)

    def settle(self) -> None:
        """Refund the tokens that were not used; safe to call twice."""
        if self._reserved:
            self._budget.settle(
                self._call.account, self._reserved, self.used_tokens, admission=self._admission
            )
            self._reserved = 0
