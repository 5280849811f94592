"""Limit retries over all VMs without communication between them.

When backend servers fail part of their requests, every VM would retry each failure just when the
servers have the least capacity. The fleet's budget is a ratio of the requests plus a fixed
allowance in each window. A VM earns retries by its own requests and has its share of the
allowance, so that the VMs' budgets sum to less than the fleet's.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ("FleetRetryBudget", "FleetRetryLimits")

# The rest covers VMs that have joined and aren't known to all others yet.
USABLE_SHARE = 0.75


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetRetryLimits:
    """Limits for all VMs together.

    ``ratio`` is the number of retries for each request, ``allowance`` the number of further
    retries in each window of ``window_ms``.
    """

    ratio: float
    allowance: float
    window_ms: int


class FleetRetryBudget:
    """The retry budget of one service on one VM: a bucket that requests and time fill."""

    def __init__(self, limits: FleetRetryLimits) -> None:
        self._available: float | None = None
        self._at_ms = 0
        self.reconfigure(limits)

    def reconfigure(self, limits: FleetRetryLimits) -> None:
        """Apply other limits; keep the available retries, up to the new maximum."""
        self._ratio = limits.ratio * USABLE_SHARE
        self._allowance = limits.allowance * USABLE_SHARE
        self._window_ms = limits.window_ms

    def record_request(self, now_ms: int, vms: int) -> None:
        """Add the retries earned by one request of a caller."""
        self._refill(now_ms, vms)
        self._available = min(self._max_available(vms), (self._available or 0.0) + self._ratio)

    def take(self, now_ms: int, vms: int) -> bool:
        """Take one retry if available; return whether it was."""
        self._refill(now_ms, vms)
        if (self._available or 0.0) < 1.0:
            return False
        self._available = (self._available or 0.0) - 1.0
        return True

    def _max_available(self, vms: int) -> float:
        # Half of the VM's share may accumulate and half is added in a window, so that no window
        # has more retries than the share.
        return max(1.0, self._allowance / vms / 2)

    def _refill(self, now_ms: int, vms: int) -> None:
        max_available = self._max_available(vms)
        if self._available is None:
            self._available, self._at_ms = max_available, now_ms
            return
        added = max_available * (now_ms - self._at_ms) / self._window_ms
        self._available = min(max_available, self._available + added)
        self._at_ms = now_ms
