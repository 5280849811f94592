"""Deadlines of many connections, checked by one task.

A timer per read would need a cancel scope for every relayed token. Moving a deadline here is one
attribute write, and one task checks all deadlines a few times a second.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorybeam.clock import Clock

__all__ = ("Deadline", "Watchdog")

NEVER_MS = 1 << 62


class Deadline:
    """One deadline; ``expired`` is set just before ``on_expiry`` is called."""

    __slots__ = ("_on_expiry", "due_ms", "expired")

    def __init__(self, due_ms: int, on_expiry: Callable[[], None]) -> None:
        self.due_ms = due_ms
        self.expired = False
        self._on_expiry = on_expiry

    def expire(self) -> None:
        """Mark the deadline as expired and call ``on_expiry``."""
        self.expired = True
        self._on_expiry()


class Watchdog:
    """The deadlines of one service.

    :param tick_ms: interval of the checks; an expiry is noticed up to this much late.
    """

    def __init__(self, clock: Clock, *, tick_ms: int) -> None:
        self._clock = clock
        self._tick_ms = tick_ms
        self._deadlines: set[Deadline] = set()
        self._added = anyio.Event()

    def __len__(self) -> int:
        return len(self._deadlines)

    def now(self) -> int:
        """Return the time on the deadlines' clock, in ms."""
        return self._clock.now()

    def add(self, limit_ms: int, on_expiry: Callable[[], None]) -> Deadline:
        """Add a deadline; ``on_expiry`` must not block."""
        deadline = Deadline(self._clock.now() + limit_ms, on_expiry)
        self._deadlines.add(deadline)
        self._added.set()
        return deadline

    def extend(self, deadline: Deadline, limit_ms: int) -> None:
        """Set a deadline to this long from now."""
        deadline.due_ms = self._clock.now() + limit_ms

    def pause(self, deadline: Deadline) -> None:
        """Suspend a deadline while nothing is expected from the other end."""
        deadline.due_ms = NEVER_MS

    def remove(self, deadline: Deadline) -> None:
        """Remove a deadline."""
        self._deadlines.discard(deadline)

    async def run(self) -> None:
        """Check the deadlines until cancelled."""
        while True:
            if not self._deadlines:
                # An idle VM would otherwise wake up for nothing, which at the target size takes a
                # good part of the CPU time allowed for control.
                self._added = anyio.Event()
                await self._added.wait()
            expected_ms = self._clock.now() + self._tick_ms
            await self._clock.sleep(self._tick_ms)
            now_ms = self._clock.now()
            self._extend_by_stall(now_ms - expected_ms)
            for deadline in [found for found in self._deadlines if found.due_ms <= now_ms]:
                self._deadlines.discard(deadline)
                deadline.expire()

    def _extend_by_stall(self, late_ms: int) -> None:
        """Extend all deadlines by the time for which this process did not run.

        While frozen, or not scheduled on a busy machine, the process reads nothing: bytes wait in
        its sockets, and all deadlines have passed when it runs again. Taken for silence of the
        other ends, this would abort all streams at once: with a process stopped for 0.6 s at
        random moments, it aborted 4 of about 140 responses, and none with this extension.
        """
        if late_ms <= self._tick_ms:
            return
        for deadline in self._deadlines:
            deadline.due_ms += late_ms
