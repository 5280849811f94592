"""Limit the requests to a cold backend server, one that has just started.

Otherwise all VMs of a region find a server that is back and idle, send it everything that waited,
and it crashes under the requests of its first second. Each cold server has a few owners among the
region's VMs, found by hashing, which alone may send to it, each at its share of the rate. So the
limit holds without messages between VMs, also while they disagree briefly on which VMs are live.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = (
    "OWNERS_PER_COLD_SERVER",
    "ColdServerLimiter",
    "cold_server_owners",
    "rendezvous_first",
    "rendezvous_order",
)

MS_PER_SECOND = 1000
OWNERS_PER_COLD_SERVER = 2


def rendezvous_order(key: str, names: Iterable[str]) -> list[str]:
    """Return names in the order of their rendezvous hashes for a key, the same on every VM."""
    return sorted(names, key=lambda name: rendezvous_hash(key, name))


def rendezvous_first(key: str, names: Iterable[str]) -> str:
    """Return the first name in that order, without sorting the others.

    :raises ValueError: there are no names.
    """
    return min(names, key=lambda name: rendezvous_hash(key, name))


def rendezvous_hash(key: str, name: str) -> bytes:
    """Return the hash that orders names for a key."""
    return hashlib.blake2b(f"{key}|{name}".encode(), digest_size=8).digest()


def cold_server_owners(server_id: str, vms: Iterable[str]) -> list[str]:
    """Return the VMs that alone may send to a cold server."""
    return rendezvous_order(server_id, vms)[:OWNERS_PER_COLD_SERVER]


class ColdServerLimiter:
    """Rate limiter for one owner's share of a cold server's rate, with a burst of one request."""

    def __init__(self, *, rate_per_s: float, now_ms: int) -> None:
        self._per_ms = rate_per_s / OWNERS_PER_COLD_SERVER / MS_PER_SECOND
        self._available = 1.0
        self._at_ms = now_ms

    def ready(self, now_ms: int) -> bool:
        """Return whether a request may be sent now."""
        self._available = min(1.0, self._available + (now_ms - self._at_ms) * self._per_ms)
        self._at_ms = now_ms
        return self._available >= 1.0

    def take(self, now_ms: int) -> bool:
        """Count a request as sent if one may be sent; return whether it may."""
        if not self.ready(now_ms):
            return False
        self._available -= 1.0
        return True
