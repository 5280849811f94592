"""Remember which refused callers were told to come back, and when.

A caller that is refused in an overload comes back once, at the time that it was given. Treated as
a newcomer, it is refused again as often as any, and has no further attempt. Here its time is a
promise: it keeps the turn that it had, and whoever comes back before its time is told the rest
of it, without a search for a slot. A promise is kept once.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

__all__ = ("Promise", "PromiseKey", "ReturnPromises")

# A caller's clock and the way to it may make it appear so much too early.
EARLY_TOLERANCE_MS = 50
# A caller that comes later than this is a newcomer.
VALID_AFTER_DUE_MS = 2_000
MAX_PROMISES = 8_192

# Account, and id of the prompt's last part, which is the same for each attempt.
PromiseKey = tuple[str, str]


@dataclass(frozen=True, slots=True)
class Promise:
    """A caller may come back at ``due_ms``, with the turn that it had then."""

    due_ms: int
    turn: float

    def early_ms(self, now_ms: int) -> int:
        """Return how much too early the caller is; 0 if it comes in its time."""
        left_ms = self.due_ms - now_ms
        return left_ms if left_ms > EARLY_TOLERANCE_MS else 0


class ReturnPromises:
    """The promises of one service's placing VM, the oldest first."""

    def __init__(self) -> None:
        self._promises: OrderedDict[PromiseKey, Promise] = OrderedDict()

    def __len__(self) -> int:
        return len(self._promises)

    def add(self, key: PromiseKey, promise: Promise) -> None:
        """Record a promise; the oldest ones make room for it."""
        self._promises[key] = promise
        self._promises.move_to_end(key)
        if len(self._promises) > MAX_PROMISES:
            self._promises.popitem(last=False)

    def find(self, key: PromiseKey, now_ms: int) -> Promise | None:
        """Return a caller's promise unless it has expired."""
        promise = self._promises.get(key)
        if promise is not None and now_ms > promise.due_ms + VALID_AFTER_DUE_MS:
            del self._promises[key]
            return None
        return promise

    def redeem(self, key: PromiseKey) -> None:
        """End a promise, since its caller has come back in time."""
        self._promises.pop(key, None)

    def clear(self) -> None:
        """Drop all promises."""
        self._promises.clear()
