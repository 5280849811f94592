"""What one request holds of the memory that the VM has for callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorybeam.errors import ErrorKind, GatewayError

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorybeam.policy.memory_budget import MemoryBudget

__all__ = ("REQUEST_OVERHEAD_BYTES", "RequestMemory")

# Memory of one open stream besides its body: buffers, parsers and tasks of both connections.
# Taken from bench/relay.py with 2,000 open streams (docs/design/relay.md), rounded up.
REQUEST_OVERHEAD_BYTES = 65_536


class RequestMemory:
    """The bytes of one request: those of a body that is being read, and those it runs with.

    :param origin: the caller's address.
    """

    def __init__(self, budget: MemoryBudget, origin: str) -> None:
        self._budget = budget
        self._origin = origin
        self._holding = budget.hold(self, origin)
        self._running: list[int] = []
        # Ends the reading of the body.
        self.on_yield: Callable[[], None] | None = None
        self.has_yielded = False

    def reserve(self, size: int) -> None:
        """Reserve what the request runs with.

        :raises GatewayError: ``VM_FULL``.
        """
        if not self._budget.start_running(size, self._origin):
            raise GatewayError(ErrorKind.VM_FULL)
        self._running.append(size)

    def read(self, size: int) -> None:
        """Hold so many bytes of a body that is being read.

        :raises GatewayError: ``VM_FULL``.
        """
        if not self._holding.resize(size):
            raise GatewayError(ErrorKind.VM_FULL)

    def finish_reading(self, size: int) -> None:
        """Reserve the whole body for the request to run with.

        :raises GatewayError: ``VM_FULL``.
        """
        self._holding.release()
        self.reserve(size)

    def yield_room(self) -> None:
        """Stop reading the body, as others need the memory."""
        self.has_yielded = True
        if self.on_yield is not None:
            self.on_yield()

    def release(self) -> None:
        """Release everything."""
        self._holding.release()
        for size in self._running:
            self._budget.end_running(size)
        self._running.clear()
