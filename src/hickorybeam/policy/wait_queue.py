"""Who waits for a place at a service's servers, how long, and who is refused at once.

Load it answers: more requests than the servers have slots, in a burst or after a region was
lost. Sent on, they would wait in the servers' own queues until their callers have left, and
every one of them would be late. Here they wait in order of urgency, only for as long as they
can still be answered within their objective, and whoever cannot is refused on arrival with
the time after which there will be room.
"""

from __future__ import annotations

import bisect
import itertools
from collections import deque
from dataclasses import dataclass, field

__all__ = ("QueueEntry", "WaitQueue", "max_deferral_ms", "max_queue_wait_ms")

MS_PER_SECOND = 1000
# One that can only be late at its servers waits until this many times its objective, and for no
# more than this share of what is left.
LATE_TIMES_TARGET = 2.5
LATE_SHARE_OF_LEFT = 0.5
# Departures are counted over this span, in ms: long enough for a few of them at the least
# load that fills a server, short enough to follow a server that is lost.
SPAN_MS = 1_000
# Of its objective a request may spend this much waiting for a place; the rest is for reading
# its prompt.
SHARE_OF_TARGET = 0.5
# One that is late already is worth less and waits this long, in ms.
LATE_PATIENCE_MS = 1_500
# Of the places that come free, this share is promised to callers who are told to come back; the
# rest goes to those who come first meanwhile.
PROMISED_SHARE = 0.5
# At least this many departures a second are assumed, so that the first to wait isn't refused.
LEAST_RATE = 4.0


def max_queue_wait_ms(*, target_ms: int, elapsed_ms: int) -> int:
    """Return how long a request may wait for a place.

    :param elapsed_ms: how long ago it arrived.
    """
    left = int(target_ms * SHARE_OF_TARGET) - elapsed_ms
    return left if left > 0 else LATE_PATIENCE_MS


def max_deferral_ms(*, target_ms: int, elapsed_ms: int, left_ms: int) -> int:
    """Return how long a request that can only be late may wait for its servers to be idle.

    Callers of streams leave after four times their objective without an event.

    :param elapsed_ms: how long ago it arrived.
    :param left_ms: what is left until its deadline.
    """
    return int(min(target_ms * LATE_TIMES_TARGET - elapsed_ms, left_ms * LATE_SHARE_OF_LEFT))


@dataclass(order=True, slots=True)
class QueueEntry:
    """One waiting request; the least comes first."""

    urgency: int
    number: int
    expires_ms: int = field(compare=False)


class WaitQueue:
    """The requests that wait for one service, and how quickly places come free."""

    def __init__(self) -> None:
        self._places: list[QueueEntry] = []
        self._numbers = itertools.count()
        self._departures: deque[int] = deque()
        self._promised_ms = 0.0

    def __len__(self) -> int:
        return len(self._places)

    def record_departure(self, now_ms: int) -> None:
        """Count a request that left a server."""
        self._departures.append(now_ms)
        self._forget(now_ms)

    def expected_wait_ms(self, urgency: int, now_ms: int) -> float:
        """Return how long a request of this urgency would wait."""
        rate = self._rate(now_ms)
        ahead = sum(place.urgency <= urgency for place in self._places)
        return (ahead + 1) / rate * MS_PER_SECOND

    def retry_after_ms(self, urgency: int, most_ms: int, now_ms: int) -> int:
        """Return when a refused caller should come back, each one later than the last.

        Told the same time, all that a burst refused would return at once and be refused again.

        :param most_ms: the longest that the caller can be told.
        """
        rate = self._rate(now_ms)
        soonest = now_ms + self.expected_wait_ms(urgency, now_ms)
        due = max(soonest, self._promised_ms) + MS_PER_SECOND / (rate * PROMISED_SHARE)
        due = min(due, now_ms + most_ms)
        self._promised_ms = max(self._promised_ms, due)
        return int(due - now_ms)

    def enter(self, urgency: int, patience: int, now_ms: int) -> QueueEntry | None:
        """Take a place, or none where the wait would be longer than the patience."""
        if self.expected_wait_ms(urgency, now_ms) > patience:
            return None
        place = QueueEntry(urgency, next(self._numbers), now_ms + patience)
        bisect.insort(self._places, place)
        return place

    def leave(self, place: QueueEntry) -> None:
        """Give a place up, to go on or to be refused."""
        if place in self._places:
            self._places.remove(place)

    def first(self, count: int) -> list[QueueEntry]:
        """Return the places that are next."""
        return self._places[:count]

    def _rate(self, now_ms: int) -> float:
        self._forget(now_ms)
        return max(LEAST_RATE, len(self._departures) * MS_PER_SECOND / SPAN_MS)

    def _forget(self, now_ms: int) -> None:
        while self._departures and now_ms - self._departures[0] > SPAN_MS:
            self._departures.popleft()
