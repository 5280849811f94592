"""A token bucket that never creates a token, however its size changes.

Bursts within an account's limit pass at once, while a sustained excess is refused. Without it
one account's burst takes the engines from the others.

It differs from the usual token bucket in three ways:

* its capacity shrinks and grows while it is in use (shares move between VMs, loans carry
  capacity with them): tokens that no longer fit are dropped and new capacity starts empty;
* a request takes its estimated cost and gets the unused rest refunded at its end. The rest
  counts as never taken *at the time of admission*: had it not been taken then, the bucket might
  have been full since and the tokens would have been lost. Refunding all of it later would let
  an account accumulate outstanding requests and spend their refunds in one burst above its own.
  So a refund is limited by the least room since the admission;
* a request that used more than it took leaves a debt, which is paid before anything else.
"""

from __future__ import annotations

from typing import Final

__all__ = ("TokenBucket",)

MS_PER_SECOND: Final = 1000.0

# The least room is recorded separately for this many admissions; older ones are merged, which
# only makes their refunds smaller. 64 covers the requests that one account has running on one VM
# in the users' deployments, and a refund then costs a few microseconds.
MAX_ROOM_RECORDS: Final = 64


class _RoomRecord:
    """The least room in the bucket from one admission until the next record."""

    __slots__ = ("admission", "room")

    def __init__(self, admission: int, room: float) -> None:
        self.admission = admission
        self.room = room


class TokenBucket:
    """The tokens of one account that one VM may spend.

    :param capacity: tokens that fit when nothing is lent.
    :param rate: tokens added each second.
    :param now_ms: time of creation; the bucket starts empty.
    """

    __slots__ = ("_at_ms", "_level", "_records", "capacity", "lent_capacity", "rate")

    def __init__(self, *, capacity: float, rate: float, now_ms: int) -> None:
        self.capacity = capacity
        self.rate = rate
        self.lent_capacity = 0.0
        self._level = 0.0
        self._at_ms = now_ms
        self._records: list[_RoomRecord] = []

    def level(self, now_ms: int) -> float:
        """Return the tokens held; negative while a debt is being paid."""
        self._refill(now_ms)
        return self._level

    def take(self, tokens: float, now_ms: int, admission: int) -> bool:
        """Take tokens if the bucket holds them; return whether it did.

        :param admission: a number that grows with every call and identifies the request to
            :meth:`refund`.
        """
        self._refill(now_ms)
        if tokens > 0 and self._level < tokens:
            return False
        self.take_unchecked(tokens, now_ms, admission)
        return True

    def take_unchecked(self, tokens: float, now_ms: int, admission: int) -> None:
        """Take tokens whose availability, with others elsewhere, the calling code has checked."""
        self._refill(now_ms)
        self._level -= tokens
        self._records.append(_RoomRecord(admission, self._room()))
        if len(self._records) > MAX_ROOM_RECORDS:
            oldest = self._records.pop(0)
            self._records[0].room = min(self._records[0].room, oldest.room)
            self._records[0].admission = oldest.admission

    def refund(self, tokens: float, now_ms: int, admission: int) -> float:
        """Refund tokens that a request did not use.

        :return: the tokens refunded, at most the least room since the admission.
        """
        self._refill(now_ms)
        first = self._record_of(admission)
        since = self._records[first:]
        given = min([tokens, self._room(), *(record.room for record in since)])
        given = max(0.0, given)
        self._level += given
        for record in since:
            record.room -= given
        return given

    def charge(self, tokens: float, now_ms: int) -> None:
        """Take what a request used beyond its cost, into debt if necessary."""
        self._refill(now_ms)
        self._level -= tokens

    def resize(self, *, capacity: float, rate: float, now_ms: int) -> None:
        """Change the size; drop tokens that no longer fit, start new capacity empty."""
        self._refill(now_ms)
        self.capacity = capacity
        self.rate = rate
        self._clip()

    def fill(self, tokens: float, now_ms: int) -> None:
        """Raise the level to ``tokens``: only for a share that no VM held before."""
        self._refill(now_ms)
        self._level = max(self._level, tokens)
        self._clip()

    def credit(self, tokens: float, now_ms: int) -> None:
        """Add tokens that another bucket transferred; drop those that don't fit."""
        self._refill(now_ms)
        self._level += tokens
        self._clip()

    def lend(self, tokens: float, now_ms: int) -> float:
        """Take out tokens together with the capacity that they fill.

        :return: the tokens lent, at most those held.
        """
        self._refill(now_ms)
        lent = max(0.0, min(tokens, self._level))
        self._level -= lent
        self.lent_capacity += lent
        return lent

    def restore(self, tokens: float, returned: float, now_ms: int) -> None:
        """Take back lent capacity, with those of its tokens that were returned."""
        self._refill(now_ms)
        self.lent_capacity = max(0.0, self.lent_capacity - tokens)
        self._level += min(tokens, returned)
        self._clip()

    def wait_ms(self, tokens: float, now_ms: int) -> int | None:
        """Return the ms until this many tokens are held, ``None`` if they never fit."""
        missing = tokens - self.level(now_ms)
        if missing <= 0:
            return 0
        if self.rate <= 0 or tokens > self._usable_capacity():
            return None
        return int(missing / self.rate * MS_PER_SECOND) + 1

    def _usable_capacity(self) -> float:
        return max(0.0, self.capacity - self.lent_capacity)

    def _room(self) -> float:
        return self._usable_capacity() - self._level

    def _refill(self, now_ms: int) -> None:
        elapsed = now_ms - self._at_ms
        if elapsed > 0:
            self._at_ms = now_ms
            self._level += self.rate * elapsed / MS_PER_SECOND
        self._clip()

    def _clip(self) -> None:
        self._level = min(self._level, self._usable_capacity())
        if self._records:
            self._records[-1].room = min(self._records[-1].room, self._room())

    def _record_of(self, admission: int) -> int:
        """Return the index of the record that covers an admission, the oldest if none does."""
        for index in range(len(self._records) - 1, -1, -1):
            if self._records[index].admission <= admission:
                return index
        return 0
