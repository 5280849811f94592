"""A token bucket that never creates a token, whatever is done to its size.

Load pattern answered: bursts within an account's allowance pass at once, while a steady
excess is refused. Without it one account's burst takes the engines from the others.

Three things set this bucket apart from the usual one:

* its capacity shrinks and grows while it is in use (fractions move between VMs, loans carry
  capacity with them): what no longer fits is dropped and new capacity starts empty;
* a request takes its estimated cost and gives back the rest at its end. The rest counts as
  never taken *at the time of admission*: had it not been taken then, the bucket might have
  been full since and the tokens would have been lost. Giving it all back later would let an
  account save up outstanding requests and spend their refunds in one burst above its own.
  So the refund is limited by the least room there was since the admission;
* a request that used more than it took leaves a debt, which is paid before anything else.
"""

from __future__ import annotations

from typing import Final

__all__ = ("TokenBucket",)

MS_PER_SECOND: Final = 1000.0

# Room since each admission is kept for this many admissions one by one; older ones are
# merged, which only makes their refunds smaller. 64 covers the requests that one account has
# running on one VM in the users' sizes, and a refund then costs a few microseconds.
MAX_MARKS: Final = 64


class _Mark:
    """The least room seen from one admission on, until the next mark."""

    __slots__ = ("admission", "room")

    def __init__(self, admission: int, room: float) -> None:
        self.admission = admission
        self.room = room


class TokenBucket:
    """Tokens that one VM may spend of one account.

    :param capacity: tokens that fit when nothing is lent.
    :param rate: tokens that arrive each second.
    :param now_ms: time of creation; the bucket starts empty.
    """

    __slots__ = ("_at_ms", "_level", "_marks", "capacity", "lent_capacity", "rate")

    def __init__(self, *, capacity: float, rate: float, now_ms: int) -> None:
        self.capacity = capacity
        self.rate = rate
        self.lent_capacity = 0.0
        self._level = 0.0
        self._at_ms = now_ms
        self._marks: list[_Mark] = []

    def level(self, now_ms: int) -> float:
        """Return the tokens held; negative while a debt is being paid."""
        self._refill(now_ms)
        return self._level

    def take(self, tokens: float, now_ms: int, admission: int) -> bool:
        """Take tokens if they are there.

        :param admission: grows with every call; names the request to :meth:`refund`.
        """
        self._refill(now_ms)
        if tokens > 0 and self._level < tokens:
            return False
        self.take_unchecked(tokens, now_ms, admission)
        return True

    def take_unchecked(self, tokens: float, now_ms: int, admission: int) -> None:
        """Take tokens that the caller has found to be there, together with others elsewhere."""
        self._refill(now_ms)
        self._level -= tokens
        self._marks.append(_Mark(admission, self._room()))
        if len(self._marks) > MAX_MARKS:
            oldest = self._marks.pop(0)
            self._marks[0].room = min(self._marks[0].room, oldest.room)
            self._marks[0].admission = oldest.admission

    def refund(self, tokens: float, now_ms: int, admission: int) -> float:
        """Give back what a request did not use.

        :return: the tokens that came back, at most the least room since the admission.
        """
        self._refill(now_ms)
        first = self._mark_of(admission)
        since = self._marks[first:]
        given = min([tokens, self._room(), *(mark.room for mark in since)])
        given = max(0.0, given)
        self._level += given
        for mark in since:
            mark.room -= given
        return given

    def charge(self, tokens: float, now_ms: int) -> None:
        """Take what a request used beyond its cost, into debt if need be."""
        self._refill(now_ms)
        self._level -= tokens

    def resize(self, *, capacity: float, rate: float, now_ms: int) -> None:
        """Change size; tokens that no longer fit are dropped, new capacity starts empty."""
        self._refill(now_ms)
        self.capacity = capacity
        self.rate = rate
        self._clip()

    def fill(self, tokens: float, now_ms: int) -> None:
        """Start with tokens in hand: only for a fraction that nobody held before."""
        self._refill(now_ms)
        self._level = max(self._level, tokens)
        self._clip()

    def credit(self, tokens: float, now_ms: int) -> None:
        """Put in tokens that another bucket parted with; what does not fit is dropped."""
        self._refill(now_ms)
        self._level += tokens
        self._clip()

    def lend(self, tokens: float, now_ms: int) -> float:
        """Part with tokens and with the capacity that they fill.

        :return: the tokens lent, at most those held.
        """
        self._refill(now_ms)
        lent = max(0.0, min(tokens, self._level))
        self._level -= lent
        self.lent_capacity += lent
        return lent

    def restore(self, tokens: float, returned: float, now_ms: int) -> None:
        """Take lent capacity back, with those of its tokens that were returned."""
        self._refill(now_ms)
        self.lent_capacity = max(0.0, self.lent_capacity - tokens)
        self._level += min(tokens, returned)
        self._clip()

    def wait_ms(self, tokens: float, now_ms: int) -> int | None:
        """Return how long until this many tokens are held, ``None`` when they never fit."""
        missing = tokens - self.level(now_ms)
        if missing <= 0:
            return 0
        if self.rate <= 0 or tokens > self._fits():
            return None
        return int(missing / self.rate * MS_PER_SECOND) + 1

    def _fits(self) -> float:
        return max(0.0, self.capacity - self.lent_capacity)

    def _room(self) -> float:
        return self._fits() - self._level

    def _refill(self, now_ms: int) -> None:
        elapsed = now_ms - self._at_ms
        if elapsed > 0:
            self._at_ms = now_ms
            self._level += self.rate * elapsed / MS_PER_SECOND
        self._clip()

    def _clip(self) -> None:
        self._level = min(self._level, self._fits())
        if self._marks:
            self._marks[-1].room = min(self._marks[-1].room, self._room())

    def _mark_of(self, admission: int) -> int:
        """Return the index of the mark that covers an admission, the oldest if none does."""
        for index in range(len(self._marks) - 1, -1, -1):
            if self._marks[index].admission <= admission:
                return index
        return 0
