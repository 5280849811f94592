"""Place requests by what this VM knows, queueing them while no server has a free slot."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorybeam.gateway.placement.service_queue import SlotRequest
from hickorybeam.gateway.targets import NoCapacity, ServerTarget
from hickorybeam.policy.retry_after import clamp_retry_after_ms, max_retry_after_ms
from hickorybeam.policy.return_promises import Promise
from hickorybeam.policy.wait_queue import max_deferral_ms, max_queue_wait_ms

if TYPE_CHECKING:
    from hickorybeam.clock import Clock
    from hickorybeam.gateway.placement.service_queue import ServiceQueue, ServiceQueues
    from hickorybeam.gateway.routing_state import RoutingState
    from hickorybeam.gateway.target_selector import TargetSelector
    from hickorybeam.gateway.targets import AdmittedRequest, Target, TargetFilter
    from hickorybeam.policy.return_promises import PromiseKey
    from hickorybeam.policy.wait_queue import QueueEntry

__all__ = ("LocalPlacement",)


class LocalPlacement:
    """Places this VM's own requests, and those of VMs that ask it as placement coordinator."""

    def __init__(
        self,
        *,
        clock: Clock,
        queues: ServiceQueues,
        selector: TargetSelector,
        routing_state: RoutingState,
    ) -> None:
        self._clock = clock
        self._queues = queues
        self._selector = selector
        self._routing_state = routing_state

    async def place(
        self, request: AdmittedRequest, targets: TargetFilter
    ) -> Target | NoCapacity | None:
        """Return a request's target; ``NoCapacity`` if it got no slot within its maximum wait."""
        found = self.search(request, targets)
        if not isinstance(found, NoCapacity):
            return found
        entry = self.enqueue(request, found)
        if entry is not None:
            return await self.wait_for_slot(request, targets, entry)
        return self.search_without_deferral(request, targets, found)

    def search(self, request: AdmittedRequest, targets: TargetFilter) -> Target | NoCapacity | None:
        """Search for a target now, unless others that wait go first or the caller is too early."""
        queue = self._queue(request)
        slot_request = self._slot_request(request)
        if queue.must_wait(slot_request):
            early_ms = self._early_ms(request)
            if early_ms:
                return NoCapacity(early_ms, final=True, retry_after_ms=early_ms)
            wait_ms = queue.expected_wait_ms(slot_request)
            return self._selector.choose_elsewhere(request, targets, wait_ms=wait_ms)
        found = self._selector.choose(request, targets)
        if isinstance(found, ServerTarget):
            queue.record_start(slot_request)
            queue.promises.redeem(promise_key(request))
        return found

    def enqueue(self, request: AdmittedRequest, found: NoCapacity) -> QueueEntry | None:
        """Enter the service's queue; ``None`` if the wait would exceed the request's maximum.

        :param found: why the request was not placed at once.
        """
        if found.final:
            return None
        slot_request = self._slot_request(request)
        # Who comes back has no further attempt, and would rather be late than refused again.
        may_be_late = found.deferred or slot_request.promise is not None
        max_wait = max_wait_ms(request, self._clock.now(), may_be_late=may_be_late)
        queue = self._queue(request)
        return queue.enter(slot_request, max_wait, deferred=found.deferred)

    async def wait_for_slot(
        self, request: AdmittedRequest, targets: TargetFilter, entry: QueueEntry
    ) -> Target | NoCapacity | None:
        """Wait in the queue until a target is found, the entry expires or is evicted."""
        queue = self._queue(request)
        slot_request = self._slot_request(request)
        target: Target | NoCapacity | None = NoCapacity(0.0)
        try:
            target = await self._search_in_turn(request, targets, entry)
        finally:
            queue.leave(entry)
            if isinstance(target, ServerTarget):
                queue.record_start(slot_request, entry)
                queue.promises.redeem(promise_key(request))
            else:
                queue.record_no_slot(slot_request, entry)
        if isinstance(target, NoCapacity) and not entry.evicted:
            return self.search_without_deferral(request, targets, target)
        return target

    async def _search_in_turn(
        self, request: AdmittedRequest, targets: TargetFilter, entry: QueueEntry
    ) -> Target | NoCapacity | None:
        queue = self._queue(request)
        while await queue.wait_for_turn(entry):
            if queue.is_near_front(entry):
                target = self._selector.choose(request, targets)
                if not isinstance(target, NoCapacity) or target.final:
                    return target
                queue.pass_on(entry)
        wait_ms = queue.wait_queue.expected_wait_ms(request.urgency, self._clock.now())
        # A deferred request may be sent late once its wait is over.
        return NoCapacity(wait_ms, deferred=True)

    def search_without_deferral(
        self, request: AdmittedRequest, targets: TargetFilter, found: NoCapacity
    ) -> Target | NoCapacity | None:
        """Search once more without deferring a request that will miss its objective.

        :param found: why the request was not placed.
        """
        if found.final or not found.deferred:
            return found
        target = self._selector.choose(request, targets.without_deferral())
        if isinstance(target, ServerTarget):
            self._queue(request).record_start(self._slot_request(request))
        return target

    def refuse(self, request: AdmittedRequest, found: NoCapacity) -> int:
        """Record that a request gets no slot, and return the retry-after for its caller, in ms.

        In an overload the retry-after is a promise: whoever comes back then keeps its turn.
        """
        if found.retry_after_ms is not None:
            return found.retry_after_ms
        now = self._clock.now()
        left_ms = request.deadline_ms - now
        queue = self._queue(request)
        max_ms = max_retry_after_ms(left_ms)
        retry_after_ms = queue.wait_queue.retry_after_ms(request.urgency, max_ms, now)
        if not found.final:
            slot_request = self._slot_request(request)
            queue.record_refusal(slot_request)
            due_ms = now + retry_after_ms if retry_after_ms < max_ms else None
            self._promise(request, queue, slot_request, due_ms)
        return clamp_retry_after_ms(retry_after_ms, left_ms)

    def _promise(
        self,
        request: AdmittedRequest,
        queue: ServiceQueue,
        slot_request: SlotRequest,
        due_ms: int | None,
    ) -> None:
        """Promise a refused caller its turn, once, if it can be recognised when it returns.

        :param due_ms: when it is to return; ``None`` if more are promised a slot already than come
            free until then.
        """
        key = promise_key(request)
        if slot_request.promise is not None:
            queue.promises.redeem(key)
        elif due_ms is not None and queue.overloaded and request.call.parts:
            queue.promises.add(key, Promise(due_ms, queue.turn_of(slot_request)))

    def _queue(self, request: AdmittedRequest) -> ServiceQueue:
        return self._queues.for_version(request.service, request.version_key)

    def _slot_request(self, request: AdmittedRequest) -> SlotRequest:
        queue = self._queue(request)
        if not queue.fair:
            return SlotRequest(account=request.account or "", urgency=request.urgency)
        promise = self._find_promise(request)
        if promise is not None and promise.early_ms(self._clock.now()):
            promise = None
        return SlotRequest(
            account=request.account or "",
            urgency=request.urgency,
            weight=self._routing_state.account_weight(request.account),
            cost_ms=self._selector.server_time_ms(request),
            promise=promise,
        )

    def _find_promise(self, request: AdmittedRequest) -> Promise | None:
        queue = self._queue(request)
        if not request.call.parts or not queue.overloaded:
            return None
        return queue.promises.find(promise_key(request), self._clock.now())

    def _early_ms(self, request: AdmittedRequest) -> int:
        """Return how much earlier a caller comes back than it was told, 0 if it doesn't."""
        promise = self._find_promise(request)
        return promise.early_ms(self._clock.now()) if promise else 0


def promise_key(request: AdmittedRequest) -> PromiseKey:
    """Return by what a refused caller is recognised when it comes back."""
    parts = request.call.parts
    return (request.account or "", parts[-1].id if parts else "")


def max_wait_ms(request: AdmittedRequest, now_ms: int, *, may_be_late: bool) -> int:
    """Return how long a request may wait in the queue.

    :param may_be_late: it would miss its objective at any server, or has no further attempt.
    """
    target_ms, elapsed_ms = request.route.target_ms, now_ms - request.call.arrived_ms
    left_ms = request.deadline_ms - now_ms
    usual_ms = max_queue_wait_ms(target_ms=target_ms, elapsed_ms=elapsed_ms, left_ms=left_ms)
    if not may_be_late:
        return usual_ms
    deferral_ms = max_deferral_ms(target_ms=target_ms, elapsed_ms=elapsed_ms, left_ms=left_ms)
    return max(usual_ms, deferral_ms)
