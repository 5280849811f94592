"""Where a request goes now, after a wait in line where there is no room yet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorybeam.gateway.target_selector import Full
from hickorybeam.policy.retry_after import clamp_retry_after_ms, max_retry_after_ms
from hickorybeam.policy.wait_queue import max_deferral_ms, max_queue_wait_ms

if TYPE_CHECKING:
    from hickorybeam.clock import Clock
    from hickorybeam.gateway.attempt import AdmittedRequest, Target
    from hickorybeam.gateway.service_queue import ServiceQueues
    from hickorybeam.gateway.target_selector import OpenTargets, TargetSelector
    from hickorybeam.policy.wait_queue import QueueEntry

__all__ = ("LocalPlacement",)


class LocalPlacement:
    """Places requests by what this VM knows, its own and those of VMs that ask it to."""

    def __init__(self, *, clock: Clock, queues: ServiceQueues, selector: TargetSelector) -> None:
        self._clock = clock
        self._lines = queues
        self._placing = selector

    async def place(self, errand: AdmittedRequest, targets: OpenTargets) -> Target | Full | None:
        """Return where it goes; ``Full`` if it found no room within what it may wait."""
        found = self._placing.choose(errand, targets)
        if not isinstance(found, Full):
            return found
        place = self.enter(errand, found)
        if place is not None:
            found = await self.wait(errand, targets, place)
        return self.at_last(errand, targets, found) if isinstance(found, Full) else found

    def enter(self, errand: AdmittedRequest, found: Full) -> QueueEntry | None:
        """Take a place in line, or none where the wait would be longer than it may wait.

        :param found: why it was not placed at once.
        """
        if found.in_vain:
            return None
        now = self._clock.now()
        patience = patience_of(errand, now, late=found.late)
        return self._lines.of(errand.service).policy.enter(errand.urgency, patience, now)

    async def wait(
        self, errand: AdmittedRequest, targets: OpenTargets, place: QueueEntry
    ) -> Target | Full | None:
        """Wait in line for room."""
        line = self._lines.of(errand.service)
        try:
            while await line.pause(place):
                if line.is_next(place):
                    target = self._placing.choose(errand, targets)
                    if not isinstance(target, Full) or target.in_vain:
                        return target
            return Full(line.policy.expected_wait_ms(errand.urgency, self._clock.now()))
        finally:
            line.leave(place)

    def at_last(
        self, errand: AdmittedRequest, targets: OpenTargets, found: Full
    ) -> Target | Full | None:
        """Choose once more for one that need not wait any longer for being late."""
        if found.in_vain:
            return found
        return self._placing.choose(errand, targets.without_patience())

    def come_back_ms(self, errand: AdmittedRequest) -> int:
        """Return when a caller for whom there is no room should come back."""
        now = self._clock.now()
        left_ms = errand.deadline_ms - now
        line = self._lines.of(errand.service).policy
        after = line.retry_after_ms(errand.urgency, max_retry_after_ms(left_ms), now)
        return clamp_retry_after_ms(after, left_ms)


def patience_of(errand: AdmittedRequest, now_ms: int, *, late: bool) -> int:
    """Return how long a request may wait in line.

    :param late: it waits since it could only be late.
    """
    target_ms, elapsed_ms = errand.route.target_ms, now_ms - errand.call.arrived_ms
    usual = max_queue_wait_ms(target_ms=target_ms, elapsed_ms=elapsed_ms)
    if not late:
        return usual
    left_ms = errand.deadline_ms - now_ms
    longer = max_deferral_ms(target_ms=target_ms, elapsed_ms=elapsed_ms, left_ms=left_ms)
    return max(usual, longer)
