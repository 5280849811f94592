"""Clocks in integer milliseconds: the system's, and one that tests advance by hand."""

from __future__ import annotations

import heapq
import itertools
import time
from typing import Protocol

import anyio

__all__ = ("Clock", "ManualClock", "SystemClock")

MS_PER_SECOND = 1000


class Clock(Protocol):
    """Source of time for everything outside ``policy/``, whose functions get times as arguments."""

    def now(self) -> int:
        """Return monotonic milliseconds; use for durations and deadlines."""
        ...

    def wall(self) -> int:
        """Return milliseconds since the epoch; use only for times that leave the process."""
        ...

    async def sleep(self, ms: float) -> None:
        """Sleep for at least this many milliseconds."""
        ...


class SystemClock:
    """The machine's clocks."""

    def now(self) -> int:
        """Return monotonic milliseconds, including time in which the machine was suspended.

        ``time.monotonic`` stops while a VM is suspended. After that, a lease that expired meanwhile
        would still seem valid, and its former holder would act at the same time as the new one.
        """
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    def wall(self) -> int:
        """Return milliseconds since the epoch."""
        return time.time_ns() // 1_000_000

    async def sleep(self, ms: float) -> None:
        """Sleep for at least this many milliseconds."""
        await anyio.sleep(max(0.0, ms) / MS_PER_SECOND)


class ManualClock:
    """A clock that moves only when a test advances it.

    :param start: initial value of ``now()`` in ms.
    :param wall: initial value of ``wall()`` in ms.
    """

    def __init__(self, *, start: int = 1_000, wall: int = 1_700_000_000_000) -> None:
        self._now = start
        self._wall_offset = wall - start
        self._order = itertools.count()
        self._sleepers: list[tuple[int, int, anyio.Event]] = []

    def now(self) -> int:
        """Return the current manual time."""
        return self._now

    def wall(self) -> int:
        """Return the wall time that corresponds to ``now()``."""
        return self._now + self._wall_offset

    async def sleep(self, ms: float) -> None:
        """Sleep until ``advance`` reaches the wake-up time."""
        if ms <= 0:
            await anyio.lowlevel.checkpoint()
            return
        event = anyio.Event()
        heapq.heappush(self._sleepers, (self._now + round(ms), next(self._order), event))
        await event.wait()

    async def advance(self, ms: int) -> None:
        """Advance the time, waking each sleeper at its own time and in order."""
        end = self._now + ms
        while self._sleepers and self._sleepers[0][0] <= end:
            due, _, event = heapq.heappop(self._sleepers)
            self._now = max(self._now, due)
            event.set()
            await anyio.wait_all_tasks_blocked()
        self._now = end
        await anyio.wait_all_tasks_blocked()
