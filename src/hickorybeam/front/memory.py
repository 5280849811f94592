"""Bounds the memory that requests in flight take on this VM."""

from __future__ import annotations

from hickorybeam.errors import ErrorKind, GatewayError

__all__ = ("REQUEST_OVERHEAD_BYTES", "MemoryBudget")

# What one open stream takes beside its body: both connections' buffers, parsers and tasks.
# Source: bench/relay.py, 2,000 open streams (docs/design/relay.md), rounded up.
REQUEST_OVERHEAD_BYTES = 65_536


class MemoryBudget:
    """Counts reserved bytes; without it a burst of large bodies would end the process.

    :param limit: bytes that requests may hold at once.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self.used = 0

    def reserve(self, size: int) -> None:
        """Take bytes or raise ``VM_FULL``."""
        if self.used + size > self._limit:
            raise GatewayError(ErrorKind.VM_FULL)
        self.used += size

    def release(self, size: int) -> None:
        """Give bytes back."""
        self.used -= size
