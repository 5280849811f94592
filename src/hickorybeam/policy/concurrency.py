"""How many requests this VM keeps at one backend server at once.

Load pattern: several VMs send to the same engines and have no common queue. With the rated
slots as each VM's limit, three VMs put three times the slots at an engine: the excess waits
inside the engine, first come first served, out of reach of fair queueing, deadlines and
priorities. With a fixed third each, two thirds of an engine idle when one VM has all the
traffic. Here the limit adapts: additive increase while requests are at the limit and first
tokens come in normal time, multiplicative decrease when they take much longer than the best
seen lately, or the engine reports waiting requests or refuses one. Additive increase with
multiplicative decrease is what makes several senders drift to equal shares with no talk.

Long jobs among short ones: slots are not preempted, so a batch of long jobs that fills all
of them makes short ones wait for the length of a long job. Long jobs get at most a share.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

__all__ = ("LONG_FACTOR", "LONG_JOB_SHARE", "AdaptiveLimit", "is_long_job", "max_long_jobs")

# A job is long when it costs over 4 times the median: below that, a slot is held no longer
# than two or three ordinary ones in a row.
LONG_FACTOR = 4.0
# Half of the slots: the other half turns over at the pace of short jobs, and a batch of
# long ones alone still uses half of the engine's slots.
LONG_JOB_SHARE = 0.5

# First tokens over twice the best seen lately mean a queue at the engine: batching alone
# lengthens a decode step by less than that at the slots' number. The floor keeps timer noise
# of fast engines from counting.
TOLERANCE = 4.0
FLOOR_MS = 100.0
DECREASE = 0.85
SMOOTHING = 0.2
# The best time is forgotten over this long, so that a prompt mix that grew slower for good
# becomes the new normal and does not hold the limit at 1 for ever.
BEST_MEMORY_MS = 30_000
SHORTEST_PAUSE_MS = 200


def is_long_job(cost: float, median_cost: float) -> bool:
    """Whether a job is long against the median cost seen so far."""
    return median_cost > 0 and cost > LONG_FACTOR * median_cost


def max_long_jobs(limit: int) -> int:
    """Return how many of an engine's slots long jobs may hold, at least one."""
    return max(1, math.floor(limit * LONG_JOB_SHARE))


@dataclass(slots=True)
class AdaptiveLimit:
    """The limit of one VM at one backend server.

    :param slots: how many requests the server takes at once, the upper bound.
    :param sender_count: how many VMs send to it; the limit starts at an equal share.
    """

    slots: int
    sender_count: int = 1
    limit: float = 0.0
    smoothed: float = 0.0
    best: float = math.inf
    best_at: int = 0
    decreased_at: int = -SHORTEST_PAUSE_MS

    def __post_init__(self) -> None:
        if self.limit == 0.0:
            self.limit = max(1.0, self.slots / max(1, self.sender_count))

    @property
    def max_in_flight(self) -> int:
        """How many requests may be at the server."""
        return max(1, min(self.slots, math.floor(self.limit)))

    def record_first_token(self, sample: float, now: int, *, in_flight: int) -> None:
        """Learn from a first-token time in ms, scaled to a short prompt.

        :param in_flight: how many of this VM's requests are there, this one included.
        """
        if self.smoothed == 0.0:
            self.smoothed = sample
        self.smoothed += SMOOTHING * (sample - self.smoothed)
        if self.smoothed <= self.best or now - self.best_at > BEST_MEMORY_MS:
            self.best = self.smoothed
            self.best_at = now
        if self.smoothed > max(TOLERANCE * self.best, self.best + FLOOR_MS):
            self.record_congestion(now)
        elif in_flight >= self.max_in_flight:
            self.limit = min(float(self.slots), self.limit + 1.0 / self.limit)

    def record_congestion(self, now: int) -> None:
        """Cut the limit, once for each time in which the cut can show its effect."""
        if now - self.decreased_at < max(SHORTEST_PAUSE_MS, self.smoothed):
            return
        self.decreased_at = now
        self.limit = max(1.0, self.limit * DECREASE)
