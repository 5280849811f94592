"""Whether a job joins the queue or is refused at once.

Load pattern: overload. A job that will not run in time is refused on arrival, with the time
at which a retry is forecast to be taken. Without this, queues hold work whose callers are
gone by the time it runs, and goodput falls although every engine is busy. A refusal costs
one look at sums that are kept anyway, so that ten times the load is refused cheaply.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

__all__ = ("WaitLimit", "retry_after_ms")

SHORTEST_RETRY_MS = 250
LONGEST_RETRY_MS = 30_000
# Callers that were refused together come back spread over half of the pause more, or they
# would meet again.
RETRY_SPREAD = 0.5


@dataclass(frozen=True, slots=True)
class WaitLimit:
    """How long a job may wait: the profile's bound or its own deadline, if nearer.

    :param max_wait_ms: the profile's bound in ms.
    :param remaining_ms: ms to the job's deadline.
    :param first_token_ms: ms from its start to its first token, forecast.
    """

    max_wait_ms: float
    remaining_ms: float
    first_token_ms: float

    @property
    def limited_by_deadline(self) -> bool:
        """Whether the deadline is the nearer bound."""
        return self.remaining_ms - self.first_token_ms < self.max_wait_ms

    @property
    def ms(self) -> float:
        """The bound itself; below 0 when even a start now would be too late."""
        return min(self.max_wait_ms, self.remaining_ms - self.first_token_ms)


def retry_after_ms(wait: float, bound: float, rng: random.Random) -> int:
    """Return when a refused job is forecast to be taken: once the excess has drained."""
    excess = LONGEST_RETRY_MS if math.isinf(wait) else wait - max(0.0, bound)
    pause = min(LONGEST_RETRY_MS, max(SHORTEST_RETRY_MS, excess))
    return round(pause * (1.0 + RETRY_SPREAD * rng.random()))
