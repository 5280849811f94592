"""Whether a VM may still act on its fractions, or must ask first.

Failure answered: a VM is paused (or its link to the platform is cut) past its lease, a
neighbour takes its fractions over, the VM wakes and spends them a second time. Both clocks
below run from the moment at which this VM *sent* the call that extended them, so they end
before the platform's lease, or a neighbour's promise, does.

A data centre that is cut off as a whole keeps spending with no deadline: its VMs promise each
other, again and again, to take nothing over. Only a VM of the same data centre can take over,
and none of them takes over from a VM that it can still hear.
"""

from __future__ import annotations

from typing import Final

__all__ = ("SpendingLease", "TakeOverMonitor")

# Clocks of two VMs may drift apart by this part of a time; crystal clocks keep to 0.0002.
DRIFT: Final = 0.01


class SpendingLease:
    """How long this VM knows that nobody took its fractions over."""

    __slots__ = ("_lease_until", "_promise_until", "alone")

    def __init__(self) -> None:
        self._lease_until = -1
        self._promise_until = -1
        self.alone = False

    def lease_renewed(self, sent_ms: int, ttl_ms: int) -> None:
        """Note that the platform renewed the lease on a call sent at this time."""
        self._lease_until = max(self._lease_until, sent_ms + int(ttl_ms * (1 - DRIFT)))

    def neighbours_promised(self, sent_ms: int, promise_ms: int) -> None:
        """Note that every neighbour that answered promised not to take over."""
        self._promise_until = max(self._promise_until, sent_ms + int(promise_ms * (1 - DRIFT)))

    def revoke(self) -> None:
        """Note that the lease is gone or that a neighbour took over."""
        self._lease_until = -1
        self._promise_until = -1

    def lease_valid(self, now_ms: int) -> bool:
        """Whether the platform's lease surely stands."""
        return now_ms < self._lease_until

    def may_spend(self, now_ms: int) -> bool:
        """Whether the fractions may be spent without asking first."""
        return now_ms < max(self._lease_until, self._promise_until)


class TakeOverMonitor:
    """Which holders of this data centre seem dead, and since when without a break.

    :param settle_ms: how long a holder's lease must have been seen lapsed, with nothing heard
        of it, before its fractions are taken over. It covers the loans that the holder may
        have granted right before it died, whose tokens are still being spent elsewhere.
    """

    __slots__ = ("_promised", "_settle_ms", "_since")

    def __init__(self, *, settle_ms: int) -> None:
        self._settle_ms = settle_ms
        self._since: dict[object, int] = {}
        self._promised: dict[object, int] = {}

    def promise(self, vm: object, now_ms: int, promise_ms: int) -> None:
        """Promise a holder that this VM takes nothing over from it for a while."""
        self._promised[vm] = max(self._promised.get(vm, 0), now_ms + promise_ms)
        self._since.pop(vm, None)

    def observe(self, vm: object, now_ms: int, *, lease_lapsed: bool, alive: bool) -> bool:
        """Take in one look at a holder.

        :param lease_lapsed: its key at the platform is gone.
        :param alive: it is believed alive by membership.
        :return: whether its fractions may be taken over now.
        """
        if not lease_lapsed or alive or now_ms < self._promised.get(vm, -1):
            self._since.pop(vm, None)
            return False
        return now_ms - self._since.setdefault(vm, now_ms) >= self._settle_ms
