"""Queues of the tasks that wait for a slot at a service's servers, woken in the queue's order."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from hickorybeam.clock import MS_PER_SECOND
from hickorybeam.policy.wait_queue import WaitQueue

if TYPE_CHECKING:
    from hickorybeam.clock import Clock
    from hickorybeam.policy.wait_queue import QueueEntry

__all__ = ("ServiceQueue", "ServiceQueues")

# Slots also come free by other VMs' status reports, which wake no task, so the first tasks poll.
POLL_INTERVAL_MS = 25
# Number of entries at the front that a freed slot wakes: the very first may be unable to use it.
FRONT_ENTRIES = 2


class ServiceQueue:
    """Queue of one service on this VM."""

    def __init__(self, clock: Clock) -> None:
        self.wait_queue = WaitQueue()
        self._clock = clock
        self._wake_events: dict[int, anyio.Event] = {}

    def record_departure(self) -> None:
        """Record that a request left a server, and wake the front entries."""
        self.wait_queue.record_departure(self._clock.now())
        self._wake_front()

    async def wait_for_turn(self, entry: QueueEntry) -> bool:
        """Wait until a search for a slot may succeed, or until the entry expires.

        Only the front entries poll: on a placement coordinator hundreds of tasks wait, and if all
        of them polled, they would use up the CPU that the first ones need.

        :return: whether the entry has not expired yet.
        """
        event = self._wake_events[entry.number] = anyio.Event()
        left_ms = entry.expires_ms - self._clock.now()
        wait_ms = min(POLL_INTERVAL_MS, left_ms) if self.is_near_front(entry) else left_ms
        with anyio.move_on_after(max(0, wait_ms) / MS_PER_SECOND):
            await event.wait()
        return self._clock.now() < entry.expires_ms

    def is_near_front(self, entry: QueueEntry) -> bool:
        """Return whether an entry is among those that may search for a slot."""
        return entry in self.wait_queue.first(FRONT_ENTRIES)

    def leave(self, entry: QueueEntry) -> None:
        """Remove an entry, and wake the front entries."""
        self.wait_queue.leave(entry)
        self._wake_events.pop(entry.number, None)
        self._wake_front()

    def _wake_front(self) -> None:
        for entry in self.wait_queue.first(FRONT_ENTRIES):
            event = self._wake_events.get(entry.number)
            if event is not None:
                event.set()


class ServiceQueues:
    """Queues of all services on this VM."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._queues: dict[str, ServiceQueue] = {}

    def for_service(self, service: str) -> ServiceQueue:
        """Return the queue of a service."""
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = ServiceQueue(self._clock)
        return queue
