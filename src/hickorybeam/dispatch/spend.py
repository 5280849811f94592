"""What one call takes from its account's budget and gives back."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorybeam.model import ResponseChunk, ResponseEnd, ResponseHead

if TYPE_CHECKING:
    from hickorybeam.model import Call, ResponsePart
    from hickorybeam.ports import Budget

__all__ = ("Spend",)


class Spend:
    """The tokens of one call: taken once at the entry VM and settled whatever the ending.

    A forwarded call (``hops`` above 0) was paid for at its entry VM and spends nothing here,
    but for one that came to the issuer of its idempotency key: that is paid for where it runs.
    """

    def __init__(self, call: Call, budget: Budget) -> None:
        self._call = call
        self._budget = budget
        self._taken = 0
        self._admission = 0
        self._used: int | None = None
        self._streamed = 0
        self._began = False

    async def take(self) -> None:
        """Take the call's estimated cost, or raise ``RATE_LIMITED``."""
        if self._call.hops and not self._call.idempotency_key:
            return
        self._admission = await self._budget.take(self._call.account, self._call.cost)
        self._taken = self._call.cost

    def saw(self, part: ResponsePart) -> None:
        """Note what a part of the answer says about tokens."""
        match part:
            case ResponseHead():
                self._began = True
            case ResponseChunk(tokens=tokens):
                self._streamed += tokens
            case ResponseEnd(usage=usage):
                self._used = self._call.cost if usage is None else usage.total

    @property
    def used(self) -> int:
        """Tokens that the account received.

        An answer cut off before its end has no usage from the engine: what reached the caller
        and the prompt that was read for it count, the output that never came does not. A
        call with no answer at all costs nothing, so a refusal gives everything back.
        """
        if self._used is not None:
            return self._used
        if not self._began:
            return 0
        return min(self._call.cost, self._call.prompt_tokens + self._streamed)

    def settle(self) -> None:
        """Give back what was not used; safe to call twice."""
        if self._taken:
            self._budget.settle(
                self._call.account, self._taken, self.used, admission=self._admission
            )
            self._taken = 0
