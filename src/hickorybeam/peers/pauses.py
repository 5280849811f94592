"""Notices pauses of this process by ticks that come late.

A process that gets no CPU time on a busy machine reads nothing: heartbeats wait in its sockets.
What it believes of other VMs just then is older than it seems.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from hickorybeam.clock import Clock

__all__ = ("PauseWatch",)

# Of ``silent_after_ms``: a tick that is late by more means that the process was paused for long
# enough to miss replies. Shorter delays are usual on a busy machine, which must still detect
# failures of others.
PAUSE_THRESHOLD_FRACTION = 1 / 8


class PauseWatch:
    """The ticks of a service, and when the process was last paused.

    :param silent_after_ms: the time without a message after which a VM may count as silent.
    """

    def __init__(self, clock: Clock, *, silent_after_ms: int) -> None:
        self._clock = clock
        self._threshold_ms = PAUSE_THRESHOLD_FRACTION * silent_after_ms
        self._next_tick_ms = float(clock.now())
        self._last_pause_ms = clock.now()
        self._tick_done = anyio.Event()

    async def sleep(self, ms: float) -> float:
        """Sleep until the next tick is due; return how late it is, in ms."""
        self._next_tick_ms = self._clock.now() + ms
        await self._clock.sleep(ms)
        return self._clock.now() - self._next_tick_ms

    def record_tick(self, late_ms: float) -> bool:
        """Record a tick that came late; return whether the process was paused."""
        was_paused = late_ms > self._threshold_ms
        if was_paused:
            self._last_pause_ms = self._clock.now()
        return was_paused

    def end_tick(self) -> None:
        """Wake those who wait for the tick, once what it tells has been recorded."""
        self._tick_done.set()
        self._tick_done = anyio.Event()

    async def paused_since(self, started_ms: int) -> bool:
        """Return whether this process was paused at any time since then."""
        await self.wait_for_overdue_tick()
        return self._last_pause_ms >= started_ms

    async def wait_for_overdue_tick(self) -> None:
        """Wait for the tick that records a pause, if one has just ended.

        After a pause, calls that timed out end before the messages of others are read: a VM to
        which only some can connect would be marked as silent and vanish from all views.
        """
        if self._clock.now() - self._next_tick_ms > self._threshold_ms:
            await self._tick_done.wait()
