"""Place requests by what this VM knows, queueing them while no server has a free slot."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorybeam.gateway.targets import NoCapacity
from hickorybeam.policy.retry_after import clamp_retry_after_ms, max_retry_after_ms
from hickorybeam.policy.wait_queue import max_deferral_ms, max_queue_wait_ms

if TYPE_CHECKING:
    from hickorybeam.clock import Clock
    from hickorybeam.gateway.service_queue import ServiceQueues
    from hickorybeam.gateway.target_selector import TargetSelector
    from hickorybeam.gateway.targets import AdmittedRequest, Target, TargetFilter
    from hickorybeam.policy.wait_queue import QueueEntry

__all__ = ("LocalPlacement",)


class LocalPlacement:
    """Places this VM's own requests, and those of VMs that ask it as placement coordinator."""

    def __init__(self, *, clock: Clock, queues: ServiceQueues, selector: TargetSelector) -> None:
        self._clock = clock
        self._queues = queues
        self._selector = selector

    async def place(
        self, request: AdmittedRequest, targets: TargetFilter
    ) -> Target | NoCapacity | None:
        """Return a request's target; ``NoCapacity`` if it got no slot within its maximum wait."""
        found = self._selector.choose(request, targets)
        if not isinstance(found, NoCapacity):
            return found
        entry = self.enqueue(request, found)
        if entry is not None:
            found = await self.wait_for_slot(request, targets, entry)
        return (
            self.choose_without_deferral(request, targets, found)
            if isinstance(found, NoCapacity)
            else found
        )

    def enqueue(self, request: AdmittedRequest, found: NoCapacity) -> QueueEntry | None:
        """Enter the service's queue; ``None`` if the wait would exceed the request's maximum.

        :param found: why the request was not placed at once.
        """
        if found.misses_deadline:
            return None
        now = self._clock.now()
        max_wait = max_wait_ms(request, now, deferred=found.deferred)
        return self._queues.for_service(request.service).wait_queue.enter(
            request.urgency, max_wait, now
        )

    async def wait_for_slot(
        self, request: AdmittedRequest, targets: TargetFilter, entry: QueueEntry
    ) -> Target | NoCapacity | None:
        """Wait in the queue until a target is found or the entry expires."""
        queue = self._queues.for_service(request.service)
        try:
            while await queue.wait_for_turn(entry):
                if queue.is_near_front(entry):
                    target = self._selector.choose(request, targets)
                    if not isinstance(target, NoCapacity) or target.misses_deadline:
                        return target
            return NoCapacity(queue.wait_queue.expected_wait_ms(request.urgency, self._clock.now()))
        finally:
            queue.leave(entry)

    def choose_without_deferral(
        self, request: AdmittedRequest, targets: TargetFilter, found: NoCapacity
    ) -> Target | NoCapacity | None:
        """Choose once more, now without deferring a request that will miss its objective."""
        if found.misses_deadline:
            return found
        return self._selector.choose(request, targets.without_deferral())

    def retry_after_ms(self, request: AdmittedRequest) -> int:
        """Return the retry-after for a request that no server has a slot for."""
        now = self._clock.now()
        left_ms = request.deadline_ms - now
        wait_queue = self._queues.for_service(request.service).wait_queue
        retry_after_ms = wait_queue.retry_after_ms(
            request.urgency, max_retry_after_ms(left_ms), now
        )
        return clamp_retry_after_ms(retry_after_ms, left_ms)


def max_wait_ms(request: AdmittedRequest, now_ms: int, *, deferred: bool) -> int:
    """Return how long a request may wait in the queue.

    :param deferred: it waits because it would miss its objective at any server.
    """
    target_ms, elapsed_ms = request.route.target_ms, now_ms - request.call.arrived_ms
    left_ms = request.deadline_ms - now_ms
    usual_ms = max_queue_wait_ms(target_ms=target_ms, elapsed_ms=elapsed_ms, left_ms=left_ms)
    if not deferred:
        return usual_ms
    deferral_ms = max_deferral_ms(target_ms=target_ms, elapsed_ms=elapsed_ms, left_ms=left_ms)
    return max(usual_ms, deferral_ms)
