"""When a read of the platform is sent again, and after which pause."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

__all__ = ("RetryBudget", "backoff_ms")

FIRST_BACKOFF_MS = 25
LONGEST_BACKOFF_MS = 1_000


class RetryBudget:
    """Bounds the sum of retries to a share of the calls.

    Without it, every client of a service that is full sends each call several times, and the
    service stays full after its first cause is gone.

    :param share: retries earned by each call; 0.1 adds at most a tenth to the load.
    :param burst: retries that may be saved up, enough for a short fault of a quiet client.
    """

    def __init__(self, *, share: float = 0.1, burst: float = 10.0) -> None:
        self._share = share
        self._burst = burst
        self._saved = burst

    def earn(self) -> None:
        """Count one first attempt."""
        self._saved = min(self._burst, self._saved + self._share)

    def spend(self) -> bool:
        """Take one retry if there is one."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True


def backoff_ms(attempt: int, rng: random.Random) -> float:
    """Return the pause before a retry: doubled each time, with full jitter.

    :param attempt: how many attempts have failed, from 1.
    """
    bound = min(LONGEST_BACKOFF_MS, FIRST_BACKOFF_MS << min(attempt, 8))
    return rng.uniform(FIRST_BACKOFF_MS, bound)
