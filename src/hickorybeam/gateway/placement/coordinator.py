"""Placement coordinator: grants slots at servers to the region's other VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from hickorybeam.gateway.placement.messages import (
    PlacementRequest,
    PlacementResponse,
    PlacementResult,
    SendStatus,
)
from hickorybeam.gateway.targets import (
    AdmittedRequest,
    NoCapacity,
    PeerTarget,
    ServerTarget,
    TargetFilter,
    foreign_route,
)
from hickorybeam.model.routing import PromptPart, RelayCall

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from hickorybeam.clock import Clock
    from hickorybeam.gateway.fleet import FleetService
    from hickorybeam.gateway.in_flight import InFlightRequest
    from hickorybeam.gateway.placement.local import LocalPlacement
    from hickorybeam.gateway.placement.messages import HeldPlacements, PlacementUpdate
    from hickorybeam.gateway.target_selector import TargetSelector
    from hickorybeam.gateway.targets import Target
    from hickorybeam.policy.wait_queue import QueueEntry

__all__ = ("PlacementCoordinator",)

# A slot is freed this long after its request's deadline if the update on its end was lost.
EXPIRY_MARGIN_MS = 500
# A VM may not have received a grant yet that is younger than this.
RESPONSE_TRANSIT_MS = 300
CLEANUP_INTERVAL_MS = 250

# Name of the VM that asked, and the number it gave its request.
PlacementKey = tuple[str, int]


class PlacementCoordinator:
    """Responds to placement requests and tracks the granted slots until they are free again."""

    def __init__(
        self,
        *,
        clock: Clock,
        fleet: FleetService,
        selector: TargetSelector,
        local_placement: LocalPlacement,
    ) -> None:
        self._clock = clock
        self._fleet = fleet
        self._selector = selector
        self._local_placement = local_placement
        # With each granted slot: when it expires.
        self._granted: dict[PlacementKey, tuple[InFlightRequest, int]] = {}
        # With each final response: until when it is kept, for requests that are resent.
        self._responses: dict[PlacementKey, tuple[PlacementResponse, int]] = {}
        self._queued: dict[PlacementKey, anyio.CancelScope] = {}
        self._tasks: TaskGroup | None = None

    async def run(self, tasks: TaskGroup) -> None:
        """Queue requests in tasks of a group, and free lost slots, until cancelled."""
        self._tasks = tasks
        while True:
            await self._clock.sleep(CLEANUP_INTERVAL_MS)
            self._clean_up()

    def handle_request(self, message: PlacementRequest) -> None:
        """Place another VM's request and respond, at once or after a wait in the queue."""
        key = (message.vm, message.number)
        known = self._responses.get(key)
        if known is not None:
            self._fleet.send_message(message.vm, known[0])
            return
        if key in self._queued:
            self._fleet.send_message(
                message.vm, PlacementResponse(message.number, PlacementResult.WAITS)
            )
            return
        request, targets = request_from(message, self._clock.now()), self._filter_from(message)
        found = self._local_placement.search(request, targets)
        if isinstance(found, NoCapacity):
            entry = self._local_placement.enqueue(request, found)
            if entry is not None and self._tasks is not None:
                self._queued[key] = anyio.CancelScope()
                self._fleet.send_message(
                    message.vm, PlacementResponse(message.number, PlacementResult.WAITS)
                )
                self._tasks.start_soon(self._wait, key, request, targets, entry)
                return
            found = self._local_placement.search_without_deferral(request, targets, found)
        self._respond(key, request, found)

    async def _wait(
        self,
        key: PlacementKey,
        request: AdmittedRequest,
        targets: TargetFilter,
        entry: QueueEntry,
    ) -> None:
        with self._queued[key] as scope:
            found = await self._local_placement.wait_for_slot(request, targets, entry)
        del self._queued[key]
        if scope.cancelled_caught:
            return
        self._respond(key, request, found)

    def _respond(
        self, key: PlacementKey, request: AdmittedRequest, found: Target | NoCapacity | None
    ) -> None:
        vm, number = key
        match found:
            case ServerTarget(server_state):
                in_flight = self._selector.start(server_state, request, granted=True)
                self._granted[key] = (in_flight, request.deadline_ms + EXPIRY_MARGIN_MS)
                response = PlacementResponse(
                    number,
                    PlacementResult.SERVER,
                    server_state.server.id,
                    in_flight.copy_from,
                    in_flight.expected_wait_ms,
                )
            case PeerTarget(peer):
                response = PlacementResponse(number, PlacementResult.OTHER_REGION, peer.vm.name)
            case NoCapacity():
                retry_after_ms = self._local_placement.refuse(request, found)
                response = PlacementResponse(number, PlacementResult.FULL, wait_ms=retry_after_ms)
            case None:
                response = PlacementResponse(number, PlacementResult.NOTHING)
        self._responses[key] = (response, request.deadline_ms)
        self._fleet.send_message(vm, response)

    def _filter_from(self, message: PlacementRequest) -> TargetFilter:
        """Return the target filter of another VM's request, as that VM would have it."""
        peer = self._fleet.peers.by_name.get(message.vm)
        return TargetFilter(
            tried=set(message.tried),
            refused_regions=set(message.refused),
            retry_tried=message.again,
            own_region_only=message.here_only,
            origin_data_centre=peer.vm.data_centre if peer else "",
            resting=frozenset(message.resting),
        )

    def handle_update(self, message: PlacementUpdate) -> None:
        """Apply the status of other VMs' requests, in the queue or in granted slots."""
        if message.loads:
            self._fleet.server_notices.loads.apply(message.loads)
        for number, status in message.endings:
            key = (message.vm, number)
            if key in self._queued:
                self._queued[key].cancel()
            found = self._granted.get(key)
            if found is not None:
                found[0].apply_status(status)
                if found[0].ended:
                    del self._granted[key]

    def handle_held(self, message: HeldPlacements) -> None:
        """Free the slots that a VM no longer holds; the updates on their ends were lost."""
        held = set(message.numbers)
        sent_before_ms = self._clock.now() - RESPONSE_TRANSIT_MS
        for key, (in_flight, _) in tuple(self._granted.items()):
            if key[0] == message.vm and key[1] not in held and in_flight.sent_ms < sent_before_ms:
                in_flight.end(SendStatus.LEFT)
                del self._granted[key]

    def _clean_up(self) -> None:
        """Free slots that have expired or whose VM is gone, and drop old responses."""
        now = self._clock.now()
        serving = set(self._fleet.coordinators.serving_vms())
        for key, (in_flight, expires_ms) in tuple(self._granted.items()):
            if expires_ms < now or key[0] not in serving:
                in_flight.end(SendStatus.LEFT)
                del self._granted[key]
        self._responses = {key: it for key, it in self._responses.items() if it[1] > now}


def request_from(message: PlacementRequest, now_ms: int) -> AdmittedRequest:
    """Return another VM's request as far as placement needs it."""
    call = RelayCall(
        request_id="",
        method="",
        target=b"",
        host="",
        path="",
        headers=(),
        body=b"",
        key=None,
        arrived_ms=now_ms - message.gone_ms,
        deadline_ms=now_ms + message.left_ms,
        prompt_tokens=message.prompt_tokens,
        output_tokens=message.output_tokens,
        parts=tuple(PromptPart(id_, tokens) for id_, tokens in message.parts),
    )
    return AdmittedRequest(
        call=call,
        route=foreign_route("placed", target_ms=message.target_ms, homes=frozenset(message.homes)),
        service=message.service,
        account=message.account,
        urgency=message.urgency,
        deadline_ms=call.deadline_ms,
        resume_after=None,
        version_key=message.version_key,
        account_homes=frozenset(message.account_homes),
    )
