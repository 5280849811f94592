"""Retry budget and back-off for reads of the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

__all__ = ("RetryBudget", "backoff_ms")

MIN_BACKOFF_MS = 25
MAX_BACKOFF_MS = 1_000


class RetryBudget:
    """Limits retries to a share of the calls.

    Without it, all clients of an overloaded service send each call several times, and the
    service stays overloaded after the cause is gone.

    :param share: retries earned per call; 0.1 adds at most a tenth to the load.
    :param burst: maximum of saved retries; lets a client with few calls get over a short fault.
    """

    def __init__(self, *, share: float = 0.1, burst: float = 10.0) -> None:
        self._share = share
        self._burst = burst
        self._available = burst

    def earn(self) -> None:
        """Add the share of one call; called on its first attempt."""
        self._available = min(self._burst, self._available + self._share)

    def spend(self) -> bool:
        """Take one retry from the budget; return ``False`` if there is none."""
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True


def backoff_ms(attempt: int, rng: random.Random) -> float:
    """Return the pause before a retry: full jitter below a bound that doubles each time.

    :param attempt: number of failed attempts, from 1.
    """
    max_pause_ms = min(MAX_BACKOFF_MS, MIN_BACKOFF_MS << min(attempt, 8))
    return rng.uniform(MIN_BACKOFF_MS, max_pause_ms)
