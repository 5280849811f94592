"""How many requests may be sent once more, over all VMs and without asking any.

Load it answers: backend servers fail part of their requests, and each failure would be sent
again, by every VM, just when the servers have the least room. The fleet's budget is a share of
the requests and a fixed allowance in each window; a VM earns the share by its own requests and
has its part of the allowance, so that the parts sum to less than the whole.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ("FleetRetryBudget", "FleetRetryLimits")

# Of the allowance this much is given out; the rest covers VMs that are added before all know.
SAFE_SHARE = 0.75


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetRetryLimits:
    """What all VMs together may repeat.

    ``ratio`` repeats for each request, and ``allowance`` besides in each ``window_ms``.
    """

    ratio: float
    allowance: float
    window_ms: int


class FleetRetryBudget:
    """The budget of one service on one VM: a bucket that requests fill."""

    def __init__(self, bounds: FleetRetryLimits) -> None:
        self._saved: float | None = None
        self._at_ms = 0
        self.reconfigure(bounds)

    def reconfigure(self, bounds: FleetRetryLimits) -> None:
        """Take over other bounds; what was saved up stays, up to the new most."""
        self._ratio = bounds.ratio * SAFE_SHARE
        self._allowance = bounds.allowance * SAFE_SHARE
        self._window_ms = bounds.window_ms

    def record_request(self, now_ms: int, vms: int) -> None:
        """Count one request of a caller."""
        self._refill(now_ms, vms)
        self._saved = min(self._most(vms), (self._saved or 0.0) + self._ratio)

    def take(self, now_ms: int, vms: int) -> bool:
        """Take one repeat if there is one."""
        self._refill(now_ms, vms)
        if (self._saved or 0.0) < 1.0:
            return False
        self._saved = (self._saved or 0.0) - 1.0
        return True

    def _most(self, vms: int) -> float:
        # Half of the part may be saved up and half comes back in a window, so that no window
        # sees more than the part.
        return max(1.0, self._allowance / vms / 2)

    def _refill(self, now_ms: int, vms: int) -> None:
        most = self._most(vms)
        if self._saved is None:
            self._saved, self._at_ms = most, now_ms
            return
        gained = most * (now_ms - self._at_ms) / self._window_ms
        self._saved = min(most, self._saved + gained)
        self._at_ms = now_ms
