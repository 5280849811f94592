"""Ask the placement coordinator of this region for targets, and report how requests go on."""

from __future__ import annotations

import itertools
import random
from collections import defaultdict, deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio

from hickorybeam.clock import MS_PER_SECOND
from hickorybeam.gateway.placement.messages import (
    HeldPlacements,
    PlacementRequest,
    PlacementResponse,
    PlacementResult,
    PlacementUpdate,
    SendStatus,
)
from hickorybeam.gateway.placement.slot_grant import SlotGrant
from hickorybeam.gateway.status_report import NO_USAGE, add_usage
from hickorybeam.gateway.targets import NoCapacity, NoTarget, PeerTarget, ServerTarget

if TYPE_CHECKING:
    from hickorybeam.clock import Clock
    from hickorybeam.gateway.fleet import FleetService
    from hickorybeam.gateway.routing_state import RoutingState
    from hickorybeam.gateway.status_report import GrantedUsage, ReportedLoad
    from hickorybeam.gateway.targets import AdmittedRequest, Target, TargetFilter
    from hickorybeam.policy.server_choice import ServerState
    from hickorybeam.telemetry import Counters

__all__ = ("PlacementClient",)

# A response takes a few ms; after this long the request or the response was lost.
RESPONSE_TIMEOUT_MS = 40
# A request that is queued at the coordinator is resent after this long, in case that its response
# was lost.
QUEUED_RESPONSE_TIMEOUT_MS = 300
# After so many requests without a response the VM places by itself, and skips the coordinator for
# UNRESPONSIVE_MS: later requests go to the next one in the ranking.
MAX_UNANSWERED = 3
UNRESPONSIVE_MS = 2_000
# If so many coordinators are unresponsive, this VM is the isolated one and asks none. Asking one
# after the other would delay each request by a tenth of a second.
MIN_UNRESPONSIVE_WHEN_ISOLATED = 2
# All held grants are listed this often, in case that the update on an end was lost.
HELD_REPORT_INTERVAL_MS = 800
INITIAL_NUMBER_BITS = 40
# Each update on an end repeats the ends before it. A slot whose end was lost would stay taken
# until the held grants are listed, and other prompts would be refused for it.
ENDS_PER_UPDATE = 4


@dataclass(slots=True)
class PendingRequest:
    """A placement request that waits for a response."""

    response: PlacementResponse | None = None
    responded: anyio.Event = field(default_factory=anyio.Event)

    def set_response(self, response: PlacementResponse) -> None:
        """Store a response and wake the task that waits for it."""
        self.response = response
        self.responded.set()

    async def wait(self, timeout_ms: float) -> PlacementResponse | None:
        """Return the next response, or ``None`` after the timeout."""
        with anyio.move_on_after(timeout_ms / MS_PER_SECOND):
            await self.responded.wait()
        found, self.response, self.responded = self.response, None, anyio.Event()
        return found


class PlacementClient:
    """Sends placement requests, and reports the status of the requests that were granted a slot."""

    def __init__(
        self,
        *,
        clock: Clock,
        counters: Counters,
        fleet: FleetService,
        routing_state: RoutingState,
    ) -> None:
        self._clock = clock
        self._fleet = fleet
        self._routing_state = routing_state
        # Random, so that a later incarnation of this VM doesn't reuse an earlier one's numbers.
        self._numbers = itertools.count(random.getrandbits(INITIAL_NUMBER_BITS))
        self._pending: dict[int, PendingRequest] = {}
        self._grants: dict[int, SlotGrant] = {}
        self._recent_ends: defaultdict[str, deque[tuple[int, SendStatus]]] = defaultdict(
            lambda: deque(maxlen=ENDS_PER_UPDATE)
        )
        self._unresponsive_until_ms: dict[str, int] = {}
        self._services: set[str] = set()
        self._results = counters.counter("places", "Placement requests by result", ("answer",))

    def is_remote(self, request: AdmittedRequest) -> bool:
        """Return whether another VM places a request: prompts, if the region has several VMs."""
        return (
            bool(request.call.parts)
            and self.coordinator(request.service) != self._fleet.own_vm.name
        )

    def coordinator(self, service: str) -> str:
        """Return the VM to ask for a service, this one if it places by itself."""
        if self._unresponsive_until_ms:
            now = self._clock.now()
            self._unresponsive_until_ms = {
                vm: until for vm, until in self._unresponsive_until_ms.items() if until > now
            }
        if len(self._unresponsive_until_ms) >= MIN_UNRESPONSIVE_WHEN_ISOLATED:
            return self._fleet.own_vm.name
        return self._fleet.coordinators.coordinator(
            service, unresponsive=self._unresponsive_until_ms
        )

    async def run(self) -> None:
        """List the held grants in intervals, until cancelled."""
        while True:
            await self._clock.sleep(HELD_REPORT_INTERVAL_MS)
            self._report_held()

    def _report_held(self) -> None:
        """Send the coordinators all numbers that are pending or hold a grant."""
        numbers = [*self._pending, *self._grants]
        for coordinator in {self.coordinator(service) for service in self._services}:
            if coordinator != self._fleet.own_vm.name:
                self._fleet.send_message(
                    coordinator, HeldPlacements(self._fleet.own_vm.name, numbers)
                )

    async def place(
        self, request: AdmittedRequest, targets: TargetFilter
    ) -> Target | NoCapacity | NoTarget | None:
        """Ask the coordinator for a request's target.

        :return: a target, or that there is none or no capacity; ``None`` if this VM has to place
            the request by itself.
        """
        coordinator = self.coordinator(request.service)
        self._services.add(request.service)
        number = next(self._numbers)
        pending = self._pending[number] = PendingRequest()
        done = False
        try:
            response = await self._ask(coordinator, number, pending, request, targets)
            done = response is not None
            if response is None:
                return None
            return self._target_of(response, coordinator, number, request.version_key)
        finally:
            del self._pending[number]
            if not done:
                # The caller has left or no response came: a slot granted later must not stay taken.
                self._report_end(coordinator, number, SendStatus.LEFT)

    async def _ask(
        self,
        coordinator: str,
        number: int,
        pending: PendingRequest,
        request: AdmittedRequest,
        targets: TargetFilter,
    ) -> PlacementResponse | None:
        """Return the final response, resending as needed; ``None`` if none comes."""
        unanswered, timeout_ms = 0, RESPONSE_TIMEOUT_MS
        while unanswered < MAX_UNANSWERED:
            self._fleet.send_message(coordinator, self._message(number, request, targets))
            response = await pending.wait(timeout_ms)
            while response is not None and response.verdict is PlacementResult.WAITS:
                unanswered, timeout_ms = 0, QUEUED_RESPONSE_TIMEOUT_MS
                response = await pending.wait(timeout_ms)
            if response is not None:
                self._results.labels(response.verdict.value).inc()
                return response
            unanswered += 1
        self._unresponsive_until_ms[coordinator] = self._clock.now() + UNRESPONSIVE_MS
        self._results.labels("silent").inc()
        return None

    def _message(
        self, number: int, request: AdmittedRequest, targets: TargetFilter
    ) -> PlacementRequest:
        now, call = self._clock.now(), request.call
        return PlacementRequest(
            vm=self._fleet.own_vm.name,
            number=number,
            service=request.service,
            account=request.account,
            homes=sorted(request.route.homes),
            account_homes=sorted(request.account_homes),
            parts=[(part.id, part.tokens) for part in call.parts],
            prompt_tokens=call.prompt_tokens,
            output_tokens=call.output_tokens,
            urgency=request.urgency,
            target_ms=request.route.target_ms,
            gone_ms=now - call.arrived_ms,
            left_ms=request.deadline_ms - now,
            tried=sorted(targets.tried),
            refused=sorted(targets.refused_regions),
            again=targets.retry_tried,
            here_only=targets.own_region_only,
            resting=sorted(self._routing_state.resting_servers(request.service, now)),
            version_key=request.version_key,
        )

    def _target_of(
        self,
        response: PlacementResponse,
        coordinator: str,
        number: int,
        version_key: bytes | None,
    ) -> Target | NoCapacity | NoTarget | None:
        match response.verdict:
            case PlacementResult.SERVER:
                return self._accept_grant(response, coordinator, number, version_key)
            case PlacementResult.OTHER_REGION:
                peer = self._fleet.peers.by_name.get(response.target)
                return PeerTarget(peer) if peer else None
            case PlacementResult.FULL:
                return NoCapacity(response.wait_ms, retry_after_ms=round(response.wait_ms))
            case _:
                return NoTarget()

    def _accept_grant(
        self,
        response: PlacementResponse,
        coordinator: str,
        number: int,
        version_key: bytes | None,
    ) -> Target | None:
        server_state = self._routing_state.server_states.get(response.target)
        if server_state is None or not self._may_use(server_state, version_key):
            # This VM's state of the server is newer than the coordinator's.
            self._report_end(coordinator, number, SendStatus.LEFT)
            return None
        grant = SlotGrant(
            reporter=self,
            coordinator=coordinator,
            number=number,
            server_state=server_state,
            copy_from=response.copy_from,
            expected_wait_ms=response.wait_ms,
        )
        self._grants[number] = grant
        return ServerTarget(server_state, grant)

    def _may_use(self, server_state: ServerState, version_key: bytes | None) -> bool:
        if version_key not in (None, server_state.version_key):
            return False
        return self._routing_state.is_available(server_state) and not server_state.is_resting(
            self._clock.now()
        )

    def handle_response(self, message: PlacementResponse) -> None:
        """Pass a coordinator's response to the request that waits for it."""
        pending = self._pending.get(message.number)
        if pending is not None:
            pending.set_response(message)

    def report_status(self, grant: SlotGrant, status: SendStatus) -> None:
        """Report the status of a request that goes on, and what its server said of itself."""
        server_state = grant.server_state
        notice = self._fleet.server_notices.loads.notice_of(server_state)
        loads = {} if notice is None else {server_state.server.id: notice}
        self._send_update(grant.coordinator, [(grant.number, status)], loads)

    def report_end(self, grant: SlotGrant, status: SendStatus) -> None:
        """Report how a request's send ended; further calls do nothing."""
        if self._grants.pop(grant.number, None) is not None:
            self._report_end(grant.coordinator, grant.number, status)

    def granted_usage(self) -> GrantedUsage:
        """Return this VM's usage of servers in slots that other VMs granted."""
        found: GrantedUsage = {}
        for grant in self._grants.values():
            usage = found.setdefault(grant.coordinator, {})
            server = grant.server_state.server.id
            usage[server] = add_usage(usage.get(server, NO_USAGE), grant.usage)
        return found

    def _report_end(self, coordinator: str, number: int, status: SendStatus) -> None:
        """Report an end, together with the ends before it."""
        ends = self._recent_ends[coordinator]
        ends.append((number, status))
        self._send_update(coordinator, list(ends))

    def _send_update(
        self,
        coordinator: str,
        statuses: list[tuple[int, SendStatus]],
        loads: dict[str, ReportedLoad] | None = None,
    ) -> None:
        update = PlacementUpdate(self._fleet.own_vm.name, statuses, loads or {})
        self._fleet.send_message(coordinator, update)
