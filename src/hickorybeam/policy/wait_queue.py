"""Queue requests for a slot at a service's servers, and refuse at once those that can't wait.

More requests than slots come in a burst or when a region is lost. Sent on, they would wait in the
servers' own queues until their callers have left, and every one of them would be late. Here they
wait in order of urgency, only for as long as they can still meet their latency objective. One that
can't is refused on arrival, with the time after which there will be room.

While the service is overloaded, requests of one urgency wait in the turns of their accounts
(``policy/account_shares.py``) rather than in the order of arrival. One whose turn is pushed back so
far by others that it can't come in time gives up its place at once.
"""

from __future__ import annotations

import bisect
import itertools
import math
from collections import deque
from dataclasses import dataclass, field
from operator import attrgetter

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
# While both wait, the more urgent get at most so many times the server time of the next urgency, so
# that none is starved.
MAX_TIMES_PASSED = 15
# Entries at the front that may all be deferred; a search behind more of them costs more than it
# saves.
MAX_LOOKED_AT = 16
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
    """A waiting request; entries are ordered by urgency (0 first), then by turn and arrival.

    ``turn`` is the same for all unless the service is overloaded. ``deferred``: it waits though
    there are free slots, so others may pass it. ``keeps_place``: it was promised its place.
    ``may_be_passed``: its account has used more than others that may come. ``evicted``: its turn
    can't come in time any more. ``expected_ms`` is the wait that was expected when it entered.
    """

    urgency: int
    turn: float
    number: int
    entered_ms: int = field(compare=False)
    expires_ms: int = field(compare=False)
    expected_ms: float = field(default=0.0, compare=False)
    cost_ms: float = field(default=1.0, compare=False)
    deferred: bool = field(default=False, compare=False)
    keeps_place: bool = field(default=False, compare=False)
    may_be_passed: bool = field(default=False, compare=False)
    evicted: bool = field(default=False, compare=False)

    def waited_share(self, now_ms: int) -> float:
        """Return how long it has waited, as a share of the longest wait that it bears."""
        return (now_ms - self.entered_ms) / max(1, self.expires_ms - self.entered_ms)


class WaitQueue:
    """The requests that wait for one service, and the rate at which slots come free.

    While ``sharing``, each urgency gets its part of the server time, however many urgent requests
    come.
    """

    def __init__(self) -> None:
        self.sharing = False
        self._entries: list[QueueEntry] = []
        self._numbers = itertools.count()
        self._departures: deque[int] = deque()
        self._promised_until_ms = 0.0
        # Server time of requests that got a slot while less urgent ones waited.
        self._passed_ms = 0.0

    def __len__(self) -> int:
        return len(self._entries)

    def record_departure(self, now_ms: int) -> None:
        """Count a request that has left a server."""
        self._departures.append(now_ms)
        self._drop_old_departures(now_ms)

    def expected_wait_ms(self, urgency: int, now_ms: int, *, turn: float = math.inf) -> float:
        """Return the expected wait of a new request of this urgency.

        :param turn: its turn among those of the same urgency; behind all of them by default.
        """
        ahead = bisect.bisect_right(
            self._entries, (urgency, turn), key=attrgetter("urgency", "turn")
        )
        return self._wait_ms(ahead, urgency, now_ms)

    def _wait_ms(self, ahead: int, urgency: int, now_ms: int) -> float:
        """Return the expected wait of a request with so many others ahead of it."""
        slots = ahead + 1
        if self.sharing:
            ahead_at_level = ahead - self._count_until(urgency - 1)
            slots = min(slots, (ahead_at_level + 1) * (MAX_TIMES_PASSED + 1))
        return slots / self._departures_per_s(now_ms) * MS_PER_SECOND

    def _count_until(self, urgency: int) -> int:
        """Return how many entries are at least as urgent."""
        return bisect.bisect_right(self._entries, urgency, key=attrgetter("urgency"))

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

    def enter(
        self,
        urgency: int,
        max_wait_ms: int,
        now_ms: int,
        *,
        turn: float = 0.0,
        cost_ms: float = 1.0,
        deferred: bool = False,
        keeps_place: bool = False,
        may_be_passed: bool = False,
    ) -> QueueEntry | None:
        """Add a request, or return ``None`` if its expected wait exceeds ``max_wait_ms``.

        :param turn: orders requests of one urgency.
        :param cost_ms: server time that it takes.
        :param keeps_place: it enters whatever its expected wait.
        :param may_be_passed: others that come later may go first.
        """
        entry = QueueEntry(
            urgency=urgency,
            turn=turn,
            number=next(self._numbers),
            entered_ms=now_ms,
            expires_ms=now_ms + max_wait_ms,
            cost_ms=cost_ms,
            deferred=deferred,
            keeps_place=keeps_place,
            may_be_passed=may_be_passed,
        )
        index = bisect.bisect_left(self._entries, entry)
        entry.expected_ms = self._wait_ms(index, urgency, now_ms)
        if not keeps_place and entry.expected_ms > max_wait_ms:
            return None
        self._entries.insert(index, entry)
        return entry

    def evict_unservable(self, now_ms: int) -> list[QueueEntry]:
        """Remove the last entries as far as their turns can't come in time, and return them.

        They are refused now rather than when their time is over.
        """
        evicted: list[QueueEntry] = []
        while self._entries:
            last = self._entries[-1]
            wait_ms = self._wait_ms(len(self._entries) - 1, last.urgency, now_ms)
            if last.keeps_place or last.deferred or now_ms + wait_ms <= last.expires_ms:
                break
            last.evicted = True
            evicted.append(self._entries.pop())
        return evicted

    def leave(self, entry: QueueEntry) -> None:
        """Remove a request that goes on or is refused."""
        index = bisect.bisect_left(self._entries, entry)
        if index < len(self._entries) and self._entries[index] is entry:
            del self._entries[index]

    def must_wait(self, urgency: int, turn: float) -> bool:
        """Return whether a new request has to let waiting ones go first."""
        for entry in self._entries[:MAX_LOOKED_AT]:
            if not entry.deferred:
                return (entry.urgency, entry.turn) <= (urgency, turn) or self._owes_turn()
        return False

    def record_start(self, urgency: int, cost_ms: float) -> None:
        """Count a request that got a slot, for the turns of the less urgent that wait.

        :param cost_ms: server time that it takes.
        """
        if self._count_until(urgency) < len(self._entries):
            self._passed_ms += cost_ms
        else:
            self._passed_ms = max(0.0, self._passed_ms - MAX_TIMES_PASSED * cost_ms)

    def _owes_turn(self) -> bool:
        """Return whether the most urgent have passed the less urgent for long enough."""
        if not self.sharing or not self._entries:
            return False
        index = self._count_until(self._entries[0].urgency)
        if index == len(self._entries):
            return False
        return self._passed_ms >= MAX_TIMES_PASSED * self._entries[index].cost_ms

    def first(self, count: int) -> list[QueueEntry]:
        """Return the next entries."""
        if self._owes_turn():
            index = self._count_until(self._entries[0].urgency)
            return [self._entries[index], *self._entries[: count - 1]]
        return self._entries[:count]

    def _departures_per_s(self, now_ms: int) -> float:
        self._drop_old_departures(now_ms)
        return max(MIN_DEPARTURES_PER_S, len(self._departures) * MS_PER_SECOND / RATE_WINDOW_MS)

    def _drop_old_departures(self, now_ms: int) -> None:
        while self._departures and now_ms - self._departures[0] > RATE_WINDOW_MS:
            self._departures.popleft()
