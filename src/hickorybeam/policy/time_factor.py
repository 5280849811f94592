"""Estimate how long work takes at a backend server at the moment, from what the server says.

Servers share their machines with others, so that the same work may take twice as long from one
half second to the next. What a server says of that in its responses loses weight as it ages: the
older it is, the more likely work takes as long as on average. The learned speed of the server
(``policy/server_speed.py``) is its usual one; this factor is kept apart from it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

__all__ = ("MAX_TIME_FACTOR", "TimeFactor")

# A larger factor is taken for an invalid figure.
MAX_TIME_FACTOR = 50.0
# After so long what a server said has a weight of 1 / e, and its average the rest.
WEIGHT_DECAY_MS = 400.0
# Averaging time of what a server says.
AVERAGING_MS = 5_000.0


@dataclass(slots=True)
class TimeFactor:
    """How long work takes at one incarnation of a server, relative to usual; 1 is usual.

    ``heard_ms`` is when the server said ``heard``, ``None`` if it has never said anything.
    ``average`` and ``spread`` are the average of what it says, and its usual distance from it.
    """

    heard: float = 1.0
    heard_ms: int | None = None
    average: float = 1.0
    spread: float = 0.0

    def record(self, factor: float, heard_ms: int) -> bool:
        """Record what the server said, to this VM or another one.

        :return: whether it was recorded; what was said earlier than the latest is not.
        """
        if not 0 < factor <= MAX_TIME_FACTOR:
            return False
        if self.heard_ms is None:
            self.average = factor
        elif heard_ms <= self.heard_ms:
            return False
        else:
            weight = 1 - math.exp((self.heard_ms - heard_ms) / AVERAGING_MS)
            self.average += weight * (factor - self.average)
            self.spread += weight * (abs(factor - self.average) - self.spread)
        self.heard, self.heard_ms = factor, heard_ms
        return True

    def at(self, now_ms: int) -> float:
        """Return the expected factor now."""
        if self.heard_ms is None:
            return 1.0
        weight = math.exp(min(0, self.heard_ms - now_ms) / WEIGHT_DECAY_MS)
        return self.average + weight * (self.heard - self.average)

    def is_slow(self, now_ms: int) -> bool:
        """Return whether work takes longer now than it does on average."""
        return self.heard_ms is not None and self.at(now_ms) > self.average

    def age_ms(self, now_ms: int) -> float:
        """Return the age of what the server said, infinite if it has never said anything."""
        return math.inf if self.heard_ms is None else now_ms - self.heard_ms
