"""Queue requests for a slot at a service's servers, and refuse at once those that can't wait.

More requests than slots come in a burst or when a region is lost. Sent on, they would wait in the
servers' own queues until their callers have left, and every one of them would be late. Here they
wait in order of urgency, only for as long as they can still meet their latency objective. One that
can't is refused on arrival, with the time after which there will be room.
"""

from __future__ import annotations

import bisect
import itertools
from collections import deque
from dataclasses import dataclass, field

__all__ = ("QueueEntry", "WaitQueue", "max_deferral_ms", "max_queue_wait_ms")

MS_PER_SECOND = 1000
# A request that would be late at any server is deferred until this many times its objective.
MAX_DEFERRAL_IN_TARGETS = 2.5
# No request waits for more than this share of the time left until its deadline.
MAX_WAIT_SHARE_OF_TIME_LEFT = 0.5
# Window in which departures are counted: long enough for a few of them at the least load that
# fills a server, short enough to follow the loss of a server.
RATE_WINDOW_MS = 1_000
# Share of its objective that a request may spend in the queue; the rest is for its prefill.
MAX_WAIT_SHARE_OF_TARGET = 0.5
# A request that has missed its objective already is worth less than one that can meet it.
MAX_LATE_WAIT_MS = 1_500
# Share of the slots coming free that is promised to callers with a retry-after; the rest goes to
# those who come first meanwhile.
PROMISED_SHARE = 0.5
# Assumed at least, so that the first request to wait isn't refused.
MIN_DEPARTURES_PER_S = 4.0


def max_queue_wait_ms(*, target_ms: int, elapsed_ms: int, left_ms: int) -> int:
    """Return how long a request may wait in the queue.

    :param target_ms: its latency objective.
    :param elapsed_ms: time since it arrived.
    :param left_ms: time left until its deadline. One that waited until then would be held for
        nothing, though its caller could have come back meanwhile.
    """
    left = int(target_ms * MAX_WAIT_SHARE_OF_TARGET) - elapsed_ms
    wait_ms = left if left > 0 else MAX_LATE_WAIT_MS
    return min(wait_ms, int(left_ms * MAX_WAIT_SHARE_OF_TIME_LEFT))


def max_deferral_ms(*, target_ms: int, elapsed_ms: int, left_ms: int) -> int:
    """Return how long a request that will miss its objective may wait for its servers to be idle.

    Callers of streams leave after four times their objective without an event.

    :param target_ms: its latency objective.
    :param elapsed_ms: time since it arrived.
    :param left_ms: time left until its deadline.
    """
    return int(
        min(
            target_ms * MAX_DEFERRAL_IN_TARGETS - elapsed_ms,
            left_ms * MAX_WAIT_SHARE_OF_TIME_LEFT,
        )
    )


@dataclass(order=True, slots=True)
class QueueEntry:
    """A waiting request; entries are ordered by urgency (0 first), then by arrival."""

    urgency: int
    number: int
    expires_ms: int = field(compare=False)


class WaitQueue:
    """The requests that wait for one service, and the rate at which slots come free."""

    def __init__(self) -> None:
        self._entries: list[QueueEntry] = []
        self._numbers = itertools.count()
        self._departures: deque[int] = deque()
        self._promised_until_ms = 0.0

    def __len__(self) -> int:
        return len(self._entries)

    def record_departure(self, now_ms: int) -> None:
        """Count a request that has left a server."""
        self._departures.append(now_ms)
        self._drop_old_departures(now_ms)

    def expected_wait_ms(self, urgency: int, now_ms: int) -> float:
        """Return the expected wait of a new request of this urgency."""
        rate = self._departures_per_s(now_ms)
        ahead = sum(entry.urgency <= urgency for entry in self._entries)
        return (ahead + 1) / rate * MS_PER_SECOND

    def retry_after_ms(self, urgency: int, max_ms: int, now_ms: int) -> int:
        """Return when a refused caller should retry, each one later than the one before.

        Given the same time, all callers refused in a burst would return at once and be refused
        again.

        :param max_ms: limit of the returned time.
        """
        rate = self._departures_per_s(now_ms)
        earliest = now_ms + self.expected_wait_ms(urgency, now_ms)
        due = max(earliest, self._promised_until_ms) + MS_PER_SECOND / (rate * PROMISED_SHARE)
        due = min(due, now_ms + max_ms)
        self._promised_until_ms = max(self._promised_until_ms, due)
        return int(due - now_ms)

    def enter(self, urgency: int, max_wait_ms: int, now_ms: int) -> QueueEntry | None:
        """Add a request, or return ``None`` if its expected wait exceeds ``max_wait_ms``."""
        if self.expected_wait_ms(urgency, now_ms) > max_wait_ms:
            return None
        entry = QueueEntry(urgency, next(self._numbers), now_ms + max_wait_ms)
        bisect.insort(self._entries, entry)
        return entry

    def leave(self, entry: QueueEntry) -> None:
        """Remove a request that goes on or is refused."""
        if entry in self._entries:
            self._entries.remove(entry)

    def first(self, count: int) -> list[QueueEntry]:
        """Return the next entries."""
        return self._entries[:count]

    def _departures_per_s(self, now_ms: int) -> float:
        self._drop_old_departures(now_ms)
        return max(MIN_DEPARTURES_PER_S, len(self._departures) * MS_PER_SECOND / RATE_WINDOW_MS)

    def _drop_old_departures(self, now_ms: int) -> None:
        while self._departures and now_ms - self._departures[0] > RATE_WINDOW_MS:
            self._departures.popleft()
