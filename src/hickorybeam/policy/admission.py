"""Admission control: whether a job joins the queue or is refused at once.

In overload, a job that is expected not to run in time is refused on arrival, with the time after
which a retry is expected to be accepted. Without this, queues hold work whose callers are gone
by the time it runs, and goodput falls although every engine is busy. A refusal only reads sums
that are maintained anyway, so that ten times the load is refused cheaply.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

__all__ = ("WaitLimit", "retry_after_ms")

MIN_RETRY_AFTER_MS = 250
MAX_RETRY_AFTER_MS = 30_000
# Up to this proportion of the retry-after time is added at random, so that callers refused
# together don't retry together.
RETRY_AFTER_JITTER = 0.5


@dataclass(frozen=True, slots=True)
class WaitLimit:
    """How long a job may wait: the profile's limit, or less if its deadline comes first.

    :param max_wait_ms: the profile's limit.
    :param remaining_ms: time until the job's deadline.
    :param first_token_ms: expected time from the job's start to its first token.
    """

    max_wait_ms: float
    remaining_ms: float
    first_token_ms: float

    @property
    def limited_by_deadline(self) -> bool:
        """Whether the deadline, not the profile, limits the wait."""
        return self.remaining_ms - self.first_token_ms < self.max_wait_ms

    @property
    def ms(self) -> float:
        """The limit in ms; negative if even a start now would be too late."""
        return min(self.max_wait_ms, self.remaining_ms - self.first_token_ms)


def retry_after_ms(wait_ms: float, max_wait_ms: float, rng: random.Random) -> int:
    """Return the ms after which a refused job should be accepted: once the excess has drained."""
    excess_ms = MAX_RETRY_AFTER_MS if math.isinf(wait_ms) else wait_ms - max(0.0, max_wait_ms)
    clamped_ms = min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, excess_ms))
    return round(clamped_ms * (1.0 + RETRY_AFTER_JITTER * rng.random()))
