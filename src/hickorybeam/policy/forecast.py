"""Forecast how long a job waits in a queue, from the rate at which the queue drains.

Under sustained overload without a forecast, a job waits up to its limit and is then refused, or
its response comes after its caller has left: the engines work and nobody is served. With one, it
is refused on arrival, while a retry elsewhere still helps.

The rate is learned as an efficiency: tokens of cost drained for each token of rated capacity,
over the time in which jobs were waiting. Reserved cost is mostly larger than what a job really
uses, and other VMs share the engines, so the rated capacity alone is wrong by a factor either
way. With capacity kept apart, the forecast follows at once when an engine is ejected or joins,
before anything is learned about the new size.
"""

from __future__ import annotations

import math

__all__ = ("DrainRate", "RunningMedian")

# Time constant of the learned efficiency, in waiting time. A job runs for 1-3 s in both
# deployments (100-300 tokens at about 100 tokens a second), and jobs start in bunches as others
# end, so an average over less than two such times would follow the bunches.
DECAY_MS = 5_000.0
# Waiting time that the prior (efficiency 1) counts for: short, so that it fades within the first
# second of a queue and only keeps the first forecast from being 0 or infinite.
PRIOR_MS = 500.0
# Relative step of the running median: 5% reaches a tenfold change within 50 jobs.
MEDIAN_STEP = 0.05


class DrainRate:
    """Learned drain rate of one queue, in tokens of cost a second."""

    def __init__(self) -> None:
        self._drained = 0.0
        self._offered = 0.0
        self._updated_ms: int | None = None

    def advance(self, now: int, *, capacity: float, waiting: bool) -> None:
        """Account for the time since the last call.

        :param capacity: rated tokens a second of the usable backend servers.
        :param waiting: whether jobs waited during that time; otherwise nothing is learned.
        """
        last, self._updated_ms = self._updated_ms, now
        if last is None or not waiting or now <= last:
            return
        elapsed = now - last
        fade = math.exp(-elapsed / DECAY_MS)
        self._drained *= fade
        self._offered = self._offered * fade + capacity * elapsed / 1000

    def record_drained(self, tokens: float) -> None:
        """Count a job that left the queue to run while others waited."""
        self._drained += tokens

    def per_second(self, capacity: float) -> float:
        """Return the forecast drain rate at this rated capacity."""
        prior = capacity * PRIOR_MS / 1000
        offered = self._offered + prior
        if offered <= 0:
            return 0.0
        return capacity * (self._drained + prior) / offered

    def wait_ms(self, tokens: float, capacity: float) -> float:
        """Return how long this many tokens take to drain; infinite without capacity."""
        rate = self.per_second(capacity)
        return math.inf if rate <= 0 else tokens * 1000 / rate


class RunningMedian:
    """Running median by small relative steps, in constant memory."""

    def __init__(self) -> None:
        self._value = 0.0

    def add(self, sample: float) -> None:
        """Move a step towards a sample."""
        if self._value == 0.0:
            self._value = sample
        elif sample > self._value:
            self._value *= 1 + MEDIAN_STEP
        elif sample < self._value:
            self._value /= 1 + MEDIAN_STEP

    @property
    def value(self) -> float:
        """The median so far, 0 before the first sample."""
        return self._value
