"""Learn how much longer than expected requests wait that others pass.

A request's expected wait counts those ahead of it. While a service is shared between accounts, more
will come that go before those of an account which has used more than its share: its requests wait
for longer, and many in vain. How much longer is learned from those that waited before.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ("WaitStretch",)

# Weight of the latest request in the average.
REQUEST_WEIGHT = 0.1
# One request that was passed by a whole burst shows no more than this.
MAX_RATIO = 10.0
# A shorter wait is a matter of chance.
MIN_EXPECTED_MS = 5.0


@dataclass(slots=True)
class WaitStretch:
    """Average ratio of the wait of such requests to what was expected, at least 1."""

    ratio: float = 1.0

    def record(self, expected_ms: float, waited_ms: float) -> None:
        """Record a request that got its slot, or waited in vain."""
        measured = waited_ms / max(MIN_EXPECTED_MS, expected_ms)
        measured = min(MAX_RATIO, max(1.0, measured))
        self.ratio += REQUEST_WEIGHT * (measured - self.ratio)
