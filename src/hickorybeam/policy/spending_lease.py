"""Whether a VM may still spend its shares, and whether it may take over another VM's.

Without this, a VM that is paused, or loses its link to the platform, past the end of its lease
resumes and spends shares that a neighbour has taken over meanwhile. Both deadlines below are
counted from the moment at which this VM *sent* the call that extended them, so they pass before
the platform's lease, or a neighbour's promise, ends.

A data centre that is isolated as a whole keeps spending without limit: its VMs promise each
other, again and again, to take nothing over. Only a VM of the same data centre can take over,
and it does not take over from a VM that is still live.
"""

from __future__ import annotations

from typing import Final

__all__ = ("SpendingLease", "TakeOverMonitor")

# Relative drift between the clocks of two VMs; quartz clocks stay within 0.0002.
MAX_CLOCK_DRIFT: Final = 0.01


class SpendingLease:
    """The time until which no other VM can have taken over this VM's shares.

    Either of two deadlines allows spending: that of the platform's lease, and that of the
    neighbours' promises not to take over.
    """

    __slots__ = ("_lease_until_ms", "_promise_until_ms")

    def __init__(self) -> None:
        self._lease_until_ms = -1
        self._promise_until_ms = -1

    def lease_renewed(self, sent_ms: int, ttl_ms: int) -> None:
        """Extend the lease, renewed by the platform on a call sent at ``sent_ms``."""
        self._lease_until_ms = max(
            self._lease_until_ms, sent_ms + int(ttl_ms * (1 - MAX_CLOCK_DRIFT))
        )

    def neighbours_promised(self, sent_ms: int, promise_ms: int) -> None:
        """Extend the promise, made by every neighbour that responded, not to take over."""
        self._promise_until_ms = max(
            self._promise_until_ms, sent_ms + int(promise_ms * (1 - MAX_CLOCK_DRIFT))
        )

    def revoke(self) -> None:
        """End both deadlines: the lease is gone or a neighbour has taken over."""
        self._lease_until_ms = -1
        self._promise_until_ms = -1

    def lease_valid(self, now_ms: int) -> bool:
        """Return whether the platform's lease is surely still valid."""
        return now_ms < self._lease_until_ms

    def may_spend(self, now_ms: int) -> bool:
        """Return whether this VM may spend its shares without asking its neighbours first."""
        return now_ms < max(self._lease_until_ms, self._promise_until_ms)


class TakeOverMonitor:
    """Since when, without interruption, each holder of this data centre has seemed dead.

    :param settle_ms: how long a holder's lease must have been seen expired, while the holder
        was not live, before its shares are taken over. It covers loans that the holder may have
        granted right before it died, whose tokens are still being spent elsewhere.
    """

    __slots__ = ("_expired_since_ms", "_promised_until_ms", "_settle_ms")

    def __init__(self, *, settle_ms: int) -> None:
        self._settle_ms = settle_ms
        self._expired_since_ms: dict[object, int] = {}
        self._promised_until_ms: dict[object, int] = {}

    def promise(self, vm: object, now_ms: int, promise_ms: int) -> None:
        """Promise a holder not to take over its shares for ``promise_ms``."""
        self._promised_until_ms[vm] = max(self._promised_until_ms.get(vm, 0), now_ms + promise_ms)
        self._expired_since_ms.pop(vm, None)

    def observe(self, vm: object, now_ms: int, *, lease_lapsed: bool, alive: bool) -> bool:
        """Record an observation of a holder and return whether its shares may be taken over.

        :param lease_lapsed: its key at the platform is gone.
        :param alive: membership considers it alive.
        """
        if not lease_lapsed or alive or now_ms < self._promised_until_ms.get(vm, -1):
            self._expired_since_ms.pop(vm, None)
            return False
        return now_ms - self._expired_since_ms.setdefault(vm, now_ms) >= self._settle_ms
