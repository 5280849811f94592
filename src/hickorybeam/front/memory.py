"""Limit on the memory of requests in flight."""

from __future__ import annotations

from hickorybeam.errors import ErrorKind, GatewayError

__all__ = ("REQUEST_OVERHEAD_BYTES", "MemoryBudget")

# Memory of one open stream besides its body: buffers, parsers and tasks of both connections.
# Taken from bench/relay.py with 2,000 open streams (docs/design/relay.md), rounded up.
REQUEST_OVERHEAD_BYTES = 65_536


class MemoryBudget:
    """Counts reserved bytes, so that a burst of large bodies cannot exhaust the process's memory.

    :param limit: bytes that requests may reserve together.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self.used = 0

    def reserve(self, size: int) -> None:
        """Reserve bytes.

        :raises GatewayError: ``VM_FULL``.
        """
        if self.used + size > self._limit:
            raise GatewayError(ErrorKind.VM_FULL)
        self.used += size

    def release(self, size: int) -> None:
        """Release reserved bytes."""
        self.used -= size
