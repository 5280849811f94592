"""Which requests a VM still accepts during shutdown, and for how long.

VMs are replaced in turn while callers still hold lists that name them, and VMs of other regions
forward requests to them that may run nowhere else. At first all requests are accepted, then only
those that surely end before the process does; one accepted later would be cut off in the middle.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ("ShutdownSchedule",)

# Ends of the two phases, as proportions of the grace period.
ACCEPT_ALL_RATIO = 0.3
ACCEPT_RATIO = 0.57
# All requests end this long before the process is killed.
END_MARGIN_MS = 400


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """The phases of a shutdown, in ms since it began.

    :param grace_ms: grace period, after which the process is killed.
    """

    grace_ms: float

    @property
    def accept_all_until_ms(self) -> float:
        """The time until which all requests are accepted: callers' lists still name the VM."""
        return self.grace_ms * ACCEPT_ALL_RATIO

    @property
    def accept_until_ms(self) -> float:
        """The time until which requests that surely end in time are accepted.

        The last VM of a caller's home regions is used until then.
        """
        return self.grace_ms * ACCEPT_RATIO

    @property
    def finish_by_ms(self) -> float:
        """The time at which all requests have to be finished."""
        return self.grace_ms - END_MARGIN_MS

    def accepts(self, *, since_ms: float, left_ms: float) -> bool:
        """Return whether a request is accepted and surely ends in time.

        :param since_ms: time since the shutdown began.
        :param left_ms: time until the request's deadline.
        """
        return since_ms < self.accept_until_ms and since_ms + left_ms <= self.finish_by_ms
