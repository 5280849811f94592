"""The tasks that wait in a line, woken in its order."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from hickorybeam.clock import MS_PER_SECOND
from hickorybeam.policy.wait_queue import WaitQueue

if TYPE_CHECKING:
    from hickorybeam.clock import Clock
    from hickorybeam.policy.wait_queue import QueueEntry

__all__ = ("ServiceQueue", "ServiceQueues")

# Places also come free by what other VMs tell, which wakes nobody; so a waiting task looks
# again after this long, in ms.
LOOK_AGAIN_MS = 25
# How many of the first are woken by one place that comes free: the very first may not be able
# to use it.
WOKEN = 2


class ServiceQueue:
    """One service's line on this VM."""

    def __init__(self, clock: Clock) -> None:
        self.policy = WaitQueue()
        self._clock = clock
        self._events: dict[int, anyio.Event] = {}

    def departed(self) -> None:
        """Count a departure and wake who is next."""
        self.policy.record_departure(self._clock.now())
        self._wake()

    async def pause(self, place: QueueEntry) -> bool:
        """Wait until it is worth looking for room; :return: whether there is patience left.

        Only the first look again by themselves: on a VM that places for its region hundreds
        wait, and all of them looking would take the processor that the first need.
        """
        event = self._events[place.number] = anyio.Event()
        left_ms = place.expires_ms - self._clock.now()
        wait_ms = min(LOOK_AGAIN_MS, left_ms) if self.is_next(place) else left_ms
        with anyio.move_on_after(max(0, wait_ms) / MS_PER_SECOND):
            await event.wait()
        return self._clock.now() < place.expires_ms

    def is_next(self, place: QueueEntry) -> bool:
        """Whether a place is among those that may look for room."""
        return place in self.policy.first(WOKEN)

    def leave(self, place: QueueEntry) -> None:
        """Give a place up; who comes up behind it looks."""
        self.policy.leave(place)
        self._events.pop(place.number, None)
        self._wake()

    def _wake(self) -> None:
        for place in self.policy.first(WOKEN):
            event = self._events.get(place.number)
            if event is not None:
                event.set()


class ServiceQueues:
    """The lines of all services on this VM."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lines: dict[str, ServiceQueue] = {}

    def of(self, service: str) -> ServiceQueue:
        """Return a service's line."""
        line = self._lines.get(service)
        if line is None:
            line = self._lines[service] = ServiceQueue(self._clock)
        return line
