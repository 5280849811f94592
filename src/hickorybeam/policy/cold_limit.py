"""What a backend server that has just started may get.

Load it answers: all VMs of a region find a server that is back and idle, send it what waited,
and it crashes under the first second's requests. Each cold server has a few owners among the
region's VMs, found by hashing, which alone may send to it, each at its part of the rate: the
bound holds without a word between VMs, also where they disagree for a moment on who is up.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ("OWNERS_PER_COLD_SERVER", "ColdServerLimiter", "cold_server_owners", "rendezvous_order")

MS_PER_SECOND = 1000
OWNERS_PER_COLD_SERVER = 2


def rendezvous_order(key: str, names: Iterable[str]) -> list[str]:
    """Return names in the order in which they take a key; the same on every VM."""
    return sorted(
        names, key=lambda name: hashlib.blake2b(f"{key}|{name}".encode(), digest_size=8).digest()
    )


def cold_server_owners(server_id: str, vms: Iterable[str]) -> list[str]:
    """Return the VMs that may send to a cold server."""
    return rendezvous_order(server_id, vms)[:OWNERS_PER_COLD_SERVER]


class ColdServerLimiter:
    """One VM's part of a cold server's rate; at most one request is saved up."""

    def __init__(self, *, rate_per_s: float, now_ms: int) -> None:
        self._per_ms = rate_per_s / OWNERS_PER_COLD_SERVER / MS_PER_SECOND
        self._saved = 1.0
        self._at_ms = now_ms

    def ready(self, now_ms: int) -> bool:
        """Whether a request may be sent now."""
        self._saved = min(1.0, self._saved + (now_ms - self._at_ms) * self._per_ms)
        self._at_ms = now_ms
        return self._saved >= 1.0

    def take(self, now_ms: int) -> bool:
        """Send one if it may be sent."""
        if not self.ready(now_ms):
            return False
        self._saved -= 1.0
        return True
