"""Adaptive limit on the requests that this VM has in flight at one backend server.

Several VMs send to the same engines without a common queue. With the rated slots as each VM's
limit, three VMs put three times the slots at an engine: the excess waits inside the engine, first
come first served, out of reach of fair queueing, deadlines and priorities. With a fixed third
each, two thirds of an engine idle when one VM has all the traffic. So the limit adapts: additive
increase while requests are at the limit and first tokens arrive in normal time, multiplicative
decrease when they take much longer than the best recent time, or the engine reports waiting
requests or refuses one. This makes several senders converge to equal shares without
communication.

Slots are not preempted, so a batch of long jobs that fills all of them makes short jobs wait for
the duration of a long one. Long jobs get at most a share of the slots.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

__all__ = ("LONG_JOB_FACTOR", "LONG_JOB_SHARE", "AdaptiveLimit", "is_long_job", "max_long_jobs")

# A job is long above this multiple of the median cost: below it, it holds a slot no longer than
# two or three ordinary jobs in a row.
LONG_JOB_FACTOR = 4.0
# The other half of the slots turns over at the rate of short jobs, and a batch of only long jobs
# still uses half of the engine's slots.
LONG_JOB_SHARE = 0.5

# First tokens slower than this multiple of the best recent time mean a queue at the engine:
# batching with all slots in use less than doubles a decode step. The minimum delay excludes timer
# noise of fast engines.
CONGESTION_FACTOR = 4.0
MIN_CONGESTION_DELAY_MS = 100.0
DECREASE_FACTOR = 0.85
SAMPLE_WEIGHT = 0.2
# The best time is replaced after this time, so that a permanently slower prompt mix becomes the
# new normal and does not hold the limit at 1 forever.
BEST_TIME_MEMORY_MS = 30_000
MIN_DECREASE_INTERVAL_MS = 200


def is_long_job(cost: float, median_cost: float) -> bool:
    """Return whether a job is long compared with the median cost so far."""
    return median_cost > 0 and cost > LONG_JOB_FACTOR * median_cost


def max_long_jobs(limit: int) -> int:
    """Return how many of an engine's slots long jobs may occupy, at least one."""
    return max(1, math.floor(limit * LONG_JOB_SHARE))


@dataclass(slots=True)
class AdaptiveLimit:
    """The limit of one VM at one backend server.

    :param slots: requests that the server runs at once; the upper limit.
    :param sender_count: number of VMs that send to it; the limit starts at an equal share.
    """

    slots: int
    sender_count: int = 1
    limit: float = 0.0
    smoothed_ms: float = 0.0
    best_ms: float = math.inf
    best_at_ms: int = 0
    decreased_at_ms: int = -MIN_DECREASE_INTERVAL_MS

    def __post_init__(self) -> None:
        if self.limit == 0.0:
            self.limit = max(1.0, self.slots / max(1, self.sender_count))

    @property
    def max_in_flight(self) -> int:
        """The number of requests that may be at the server."""
        return max(1, min(self.slots, math.floor(self.limit)))

    def record_first_token(self, sample_ms: float, now_ms: int, *, in_flight: int) -> None:
        """Adapt the limit to a first-token time in ms, scaled to a short prompt.

        :param in_flight: number of this VM's requests at the server, this one included.
        """
        if self.smoothed_ms == 0.0:
            self.smoothed_ms = sample_ms
        self.smoothed_ms += SAMPLE_WEIGHT * (sample_ms - self.smoothed_ms)
        if self.smoothed_ms <= self.best_ms or now_ms - self.best_at_ms > BEST_TIME_MEMORY_MS:
            self.best_ms = self.smoothed_ms
            self.best_at_ms = now_ms
        if self.smoothed_ms > max(
            CONGESTION_FACTOR * self.best_ms, self.best_ms + MIN_CONGESTION_DELAY_MS
        ):
            self.record_congestion(now_ms)
        elif in_flight >= self.max_in_flight:
            self.limit = min(float(self.slots), self.limit + 1.0 / self.limit)

    def record_congestion(self, now_ms: int) -> None:
        """Decrease the limit, at most once in the time that a decrease takes to show effect."""
        if now_ms - self.decreased_at_ms < max(MIN_DECREASE_INTERVAL_MS, self.smoothed_ms):
            return
        self.decreased_at_ms = now_ms
        self.limit = max(1.0, self.limit * DECREASE_FACTOR)
