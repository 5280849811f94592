"""How many notices a VM may send, of a rate that all VMs share.

Undecided ends of servers look like responses that break off for other reasons. While many servers
break off responses, each VM would tell all others of each: the bytes would grow with the square of
the fleet.
"""

from __future__ import annotations

__all__ = ("NoticeBudget",)

MS_PER_SECOND = 1_000
# A request that ends one server after the other needs three.
BURST = 4.0


class NoticeBudget:
    """The notices that this VM may send now.

    :param fleet_per_s: notices per second that all VMs may send together.
    """

    def __init__(self, *, fleet_per_s: float) -> None:
        self._fleet_per_s = fleet_per_s
        self._left = BURST
        self._at_ms = 0

    def take(self, now_ms: int, vms: int) -> bool:
        """Take one notice if there is one left.

        :param vms: the number of known VMs, this one included.
        """
        per_ms = self._fleet_per_s / vms / MS_PER_SECOND
        self._left = min(BURST, self._left + (now_ms - self._at_ms) * per_ms)
        self._at_ms = now_ms
        if self._left < 1:
            return False
        self._left -= 1
        return True
