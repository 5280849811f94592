"""Share a backend server's rate limit among the VMs that send to it.

A cold server, one that has just started, takes few requests a second. All VMs of a region find it
back and idle, send it everything that waited, and it crashes under the requests of its first
second. A server in need names the rate that it takes from all VMs; if each VM kept to that rate by
itself, it would get the rate as many times as there are VMs.

So a limited server has a few senders among the region's VMs, found by hashing, which alone may send
to it, each at its share of the rate. The limit then holds without messages between VMs, also while
they disagree briefly on which VMs are live.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from hickorybeam.policy.rendezvous import rendezvous_order

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = (
    "MIN_SENDERS",
    "RateLimit",
    "ShareLimiter",
    "cold_rate_limit",
    "limited_server_senders",
    "named_rate_limit",
    "stricter_limit",
)

MS_PER_SECOND = 1000
# A limited server is still used when one of its senders fails. A VM that knows no other one takes
# no more than half of the rate: others may send as well that it doesn't know yet.
MIN_SENDERS = 2
# Each sender may send one request at once, so their number bounds the burst: here to that of two
# seconds. With fewer senders, those with little traffic would leave their shares unused.
SENDERS_PER_RATE = 2
# A server that takes nothing is still sent a request now and then: its response tells when the
# limit ends.
MIN_NAMED_RATE_PER_S = 0.1


@dataclass(frozen=True, slots=True)
class RateLimit:
    """Requests per second that a server takes from all VMs together, and how many may send."""

    per_s: float
    max_senders: int

    def share_per_s(self, known_vms: int) -> float:
        """Return the rate of each of its senders.

        :param known_vms: the region's VMs, those not live included: they may be cut off from this
            one and go on sending.
        """
        return self.per_s / max(MIN_SENDERS, min(self.max_senders, known_vms))

    def with_few_senders(self) -> RateLimit:
        """Return the limit for a server whose requests one VM places for all others."""
        return replace(self, max_senders=MIN_SENDERS)


def cold_rate_limit(per_s: float) -> RateLimit:
    """Return the limit of a server while it is cold."""
    return RateLimit(per_s, MIN_SENDERS)


def named_rate_limit(per_s: float) -> RateLimit:
    """Return the limit of a server that names the rate which it takes.

    :param per_s: requests per second, 0 or more.
    """
    max_senders = max(MIN_SENDERS, int(per_s * SENDERS_PER_RATE))
    return RateLimit(max(per_s, MIN_NAMED_RATE_PER_S), max_senders)


def stricter_limit(one: RateLimit, other: RateLimit) -> RateLimit:
    """Return a limit that keeps to both."""
    return RateLimit(min(one.per_s, other.per_s), min(one.max_senders, other.max_senders))


def limited_server_senders(server_id: str, vms: Iterable[str], max_senders: int) -> list[str]:
    """Return the VMs that alone may send to a server with a rate limit."""
    return rendezvous_order(server_id, vms)[:max_senders]


class ShareLimiter:
    """Rate limiter for one sender's share of a server's rate, with a burst of one request."""

    def __init__(self, now_ms: int) -> None:
        self._available = 1.0
        self._at_ms = now_ms

    def ready(self, share_per_s: float, now_ms: int) -> bool:
        """Return whether a request may be sent now."""
        gained = (now_ms - self._at_ms) * share_per_s / MS_PER_SECOND
        self._available = min(1.0, self._available + gained)
        self._at_ms = now_ms
        return self._available >= 1.0

    def take(self, share_per_s: float, now_ms: int) -> bool:
        """Count a request as sent if one may be sent; return whether it may."""
        if not self.ready(share_per_s, now_ms):
            return False
        self._available -= 1.0
        return True
