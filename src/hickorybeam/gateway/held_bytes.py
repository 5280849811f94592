"""Bound on the bytes of servers' answers that a VM holds for all requests together."""

from __future__ import annotations

__all__ = ("MAX_HELD_BYTES", "HeldBytes", "Holding")

# Usual answers take nothing of it.
MAX_HELD_BYTES = 16_777_216
# What each request may hold in any case.
FREE_BYTES = 65_536


class HeldBytes:
    """What all requests of a VM hold beyond the share that each has."""

    def __init__(self, limit: int = MAX_HELD_BYTES) -> None:
        self.limit = limit
        self.taken = 0

    def hold(self) -> Holding:
        """Return a request's account, which holds nothing yet."""
        return Holding(self)


class Holding:
    """What one request holds."""

    __slots__ = ("_held", "_taken")

    def __init__(self, held: HeldBytes) -> None:
        self._held = held
        self._taken = 0

    def resize(self, size: int) -> bool:
        """Hold so many bytes from now on; return whether there is room, else nothing changes."""
        wanted = max(0, size - FREE_BYTES)
        after = self._held.taken + wanted - self._taken
        if wanted > self._taken and after > self._held.limit:
            return False
        self._held.taken, self._taken = after, wanted
        return True
