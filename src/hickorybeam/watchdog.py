"""Deadlines for many connections at once, kept by one task.

A timer per read costs a cancel scope for every relayed token; a deadline here costs one
attribute write, and one task looks over all of them a few times a second.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorybeam.clock import Clock

__all__ = ("Watch", "Watchdog")

NEVER_MS = 1 << 62


class Watch:
    """One deadline; ``expired`` is set just before ``on_expiry`` is called."""

    __slots__ = ("_on_expiry", "due_ms", "expired")

    def __init__(self, due_ms: int, on_expiry: Callable[[], None]) -> None:
        self.due_ms = due_ms
        self.expired = False
        self._on_expiry = on_expiry

    def expire(self) -> None:
        """Mark the deadline as passed and say so."""
        self.expired = True
        self._on_expiry()


class Watchdog:
    """The deadlines of one service.

    :param tick_ms: how often they are looked over; a deadline is noticed up to this much late.
    """

    def __init__(self, clock: Clock, *, tick_ms: int) -> None:
        self._clock = clock
        self._tick_ms = tick_ms
        self._watches: set[Watch] = set()
        self._added = anyio.Event()

    def __len__(self) -> int:
        return len(self._watches)

    def add(self, limit_ms: int, on_expiry: Callable[[], None]) -> Watch:
        """Start a deadline; ``on_expiry`` must not wait."""
        watch = Watch(self._clock.now() + limit_ms, on_expiry)
        self._watches.add(watch)
        self._added.set()
        return watch

    def extend(self, watch: Watch, limit_ms: int) -> None:
        """Move a deadline to this long from now."""
        watch.due_ms = self._clock.now() + limit_ms

    def pause(self, watch: Watch) -> None:
        """Let a deadline rest, while the other end is not the one to wait for."""
        watch.due_ms = NEVER_MS

    def remove(self, watch: Watch) -> None:
        """Forget a deadline."""
        self._watches.discard(watch)

    async def run(self) -> None:
        """Look over the deadlines until cancelled."""
        while True:
            if not self._watches:
                # An idle VM would otherwise wake for nothing, which at the target size is a
                # good part of the processor time allowed for control.
                self._added = anyio.Event()
                await self._added.wait()
            await self._clock.sleep(self._tick_ms)
            now = self._clock.now()
            for watch in [found for found in self._watches if found.due_ms <= now]:
                self._watches.discard(watch)
                watch.expire()
