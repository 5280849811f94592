"""Select the target of a request: a server of this region, or a VM of another one."""

from __future__ import annotations

import math
import random
from collections import defaultdict
from typing import TYPE_CHECKING

from hickorybeam.gateway.in_flight import InFlightRequest
from hickorybeam.gateway.prefix_copies import PrefixCopies
from hickorybeam.gateway.targets import NoCapacity, ServerTarget
from hickorybeam.policy.account_shares import server_time_ms
from hickorybeam.policy.deadline_check import can_finish
from hickorybeam.policy.deferral import should_defer
from hickorybeam.policy.server_choice import (
    ServerState,
    choose_server,
    expected_wait_ms,
    placement_cost_ms,
    uncached_prompt_tokens,
)
from hickorybeam.policy.shortlist import Shortlist
from hickorybeam.policy.stale_load import WorkRate
from hickorybeam.policy.stream_versions import UNKNOWN_VERSION

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Sequence

    from hickorybeam.clock import Clock
    from hickorybeam.gateway.fleet import FleetService
    from hickorybeam.gateway.placement.service_queue import ServiceQueues
    from hickorybeam.gateway.placement.slot_grant import SlotGrant
    from hickorybeam.gateway.region_servers import RegionServers
    from hickorybeam.gateway.remote_selector import RemoteSelector
    from hickorybeam.gateway.routing_state import RoutingState
    from hickorybeam.gateway.status_report import WaitForecast
    from hickorybeam.gateway.targets import AdmittedRequest, PeerTarget, Target, TargetFilter
    from hickorybeam.model.routing import RelayCall

__all__ = ("TargetSelector", "held_tokens_of")

# Added to the forecast wait of a region without a free slot: other regions then send it only what
# would wait much longer at home.
NO_CAPACITY_PENALTY_MS = 500.0
# The last part of a prompt is its own; those before it are shared.
MIN_PARTS_WITH_SHARED = 2


class TargetSelector:
    """Selects targets by what this VM knows now."""

    def __init__(
        self,
        *,
        clock: Clock,
        routing_state: RoutingState,
        fleet: FleetService,
        queues: ServiceQueues,
        remote_selector: RemoteSelector,
        servers: RegionServers,
    ) -> None:
        self._clock = clock
        self._routing_state = routing_state
        self._fleet = fleet
        self._queues = queues
        self._rng = random.Random()
        self._work_rates: defaultdict[str, WorkRate] = defaultdict(WorkRate)
        self._remote_selector = remote_selector
        self._servers = servers
        self._prefix_copies = PrefixCopies(clock=clock, routing_state=routing_state, fleet=fleet)
        self._shortlists: defaultdict[str, Shortlist] = defaultdict(Shortlist)
        self._no_target_since_ms: dict[str, int] = {}

    def choose(self, request: AdmittedRequest, targets: TargetFilter) -> Target | NoCapacity | None:
        """Choose a server of this region, or a VM of another one whose wait is much shorter."""
        now = self._clock.now()
        found = self._choose(request, targets, now)
        if found is not None:
            self._no_target_since_ms.pop(request.service, None)
        elif not targets.tried:
            self._no_target_since_ms.setdefault(request.service, now)
        return found

    def choose_elsewhere(
        self, request: AdmittedRequest, targets: TargetFilter, *, wait_ms: float
    ) -> PeerTarget | NoCapacity:
        """Choose a VM of another region for a request that would have to wait here.

        The servers here are not looked at: those that wait go first.

        :param wait_ms: its expected wait in this region.
        """
        here = NoCapacity(wait_ms)
        if targets.own_region_only:
            return here
        home_ms = wait_ms if self._may_run_here(request) else math.inf
        return self._remote_selector.choose(request, targets, home_ms=home_ms) or here

    def outage_ms(self, service: str, now_ms: int) -> int:
        """Return for how long there has been no target for a service's requests."""
        return now_ms - self._no_target_since_ms.get(service, now_ms)

    def _choose(
        self, request: AdmittedRequest, targets: TargetFilter, now: int
    ) -> Target | NoCapacity | None:
        server: ServerState | NoCapacity | None = None
        if targets.own_region_only or self._may_run_here(request):
            server = self._choose_server(request, targets, now)
        if not targets.own_region_only:
            home_ms = self._own_region_cost_ms(server, request, now)
            found = self._remote_selector.choose(request, targets, home_ms=home_ms)
            if found is not None:
                return found
        if server is None or isinstance(server, NoCapacity):
            return server
        if not self._can_finish_at(server, request, now):
            return NoCapacity(0.0, final=True)
        self._fleet.server_rates.record_send(server, now)
        return ServerTarget(server)

    def _may_run_here(self, request: AdmittedRequest) -> bool:
        region = self._fleet.own_vm.region
        return self._routing_state.may_run_in(request, region)

    def _own_region_cost_ms(
        self, server: ServerState | NoCapacity | None, request: AdmittedRequest, now_ms: int
    ) -> float:
        """Return a request's cost in this region, infinite if it can't be run here."""
        if server is None:
            return math.inf
        if isinstance(server, NoCapacity):
            return server.wait_ms
        call = request.call
        return placement_cost_ms(
            server, uncached_prompt_tokens(server, call.parts, call.prompt_tokens), now_ms
        )

    def _can_finish_at(
        self, server_state: ServerState, request: AdmittedRequest, now_ms: int
    ) -> bool:
        """Return whether a server could finish a request before its deadline."""
        call, speed = request.call, server_state.speed
        prefill_tokens = server_state.pending_prefill_tokens() + uncached_prompt_tokens(
            server_state, call.parts, call.prompt_tokens
        )
        return can_finish(
            left_ms=request.deadline_ms - now_ms,
            first_event_ms=server_state.prefill_ms(prefill_tokens, now_ms),
            decode_ms=speed.decode_ms(call.output_tokens) * server_state.time_factor.average,
        )

    def _choose_server(
        self, request: AdmittedRequest, targets: TargetFilter, now_ms: int
    ) -> ServerState | NoCapacity | None:
        call = request.call
        untried, with_room = self._servers_with_room(request, targets, now_ms)
        if untried and not with_room:
            queue = self._queues.for_version(request.service, request.version_key)
            return NoCapacity(queue.wait_queue.expected_wait_ms(request.urgency, now_ms))
        data_centre = targets.origin_data_centre or self._fleet.own_vm.data_centre
        found = choose_server(
            with_room,
            parts=call.parts,
            prompt_tokens=call.prompt_tokens,
            now_ms=now_ms,
            rng=self._rng,
            unreported_ms=self._unreported_ms(request.service, now_ms),
            data_centre=data_centre,
            ranking=self._ranking(request, data_centre),
        )
        if found is None or targets.own_region_only or not targets.may_defer:
            return found
        return self._defer_if_late(found, request, now_ms)

    def _servers_with_room(
        self, request: AdmittedRequest, targets: TargetFilter, now_ms: int
    ) -> tuple[list[ServerState], list[ServerState]]:
        """Return the servers that a request may be sent to now, and those of them with room."""
        held_tokens = held_tokens_of(request.call)
        if request.version_key is not None:
            servers = self._servers.own_of_version(request.service, request.version_key)
            untried = self._untried(servers, targets, now_ms)
            with_room = [it for it in untried if it.has_room(held_tokens, now_ms)]
            return untried, with_room or [it for it in untried if it.may_take_begun(now_ms)]
        untried = self._untried(self._listed_servers(request), targets, now_ms)
        with_room = [it for it in untried if it.has_room(held_tokens, now_ms)]
        servers = self._servers.own(request.service)
        shortlist = self._shortlists[request.service]
        if not with_room and shortlist.may_miss(servers, any_usable=bool(untried)):
            untried = self._untried(servers, targets, now_ms)
            with_room = [it for it in untried if it.has_room(held_tokens, now_ms)]
        return untried, with_room

    def _listed_servers(self, request: AdmittedRequest) -> Sequence[ServerState]:
        """Return the servers that a request is held against.

        These are the least loaded ones, and those that probably hold its prompt's shared parts.
        """
        service = request.service
        servers = self._servers.own(service)
        listed = self._shortlists[service].candidates(servers, self._clock.now())
        parts = request.call.parts
        if listed is servers or len(parts) < MIN_PARTS_WITH_SHARED:
            return listed
        holder = self._fleet.prefix_holders.find_holder(parts, self._clock.now())
        names = {holder, *self._ranking(request, self._fleet.own_vm.data_centre)[:1]}
        held = [self._routing_state.server_states.get(name or "") for name in names]
        more = [it for it in held if it is not None and it in servers and it not in listed]
        return [*listed, *more] if more else listed

    def _untried(
        self, servers: Sequence[ServerState], targets: TargetFilter, now_ms: int
    ) -> list[ServerState]:
        """Return the servers that a request may be sent to now."""
        usable = self._usable_servers(servers, now_ms, resting=targets.resting)
        untried = [it for it in usable if it.server.id not in targets.tried]
        return usable if not untried and targets.retry_tried else untried

    def _ranking(self, request: AdmittedRequest, data_centre: str) -> Sequence[str]:
        """Return the servers that a prompt's last shared part prefers, best first."""
        parts = request.call.parts
        if len(parts) < MIN_PARTS_WITH_SHARED:
            return ()
        return self._servers.ranking(request.service, parts[-2].id, data_centre)

    def _defer_if_late(
        self, server_state: ServerState, request: AdmittedRequest, now_ms: int
    ) -> ServerState | NoCapacity:
        """Return the server, or how long a prompt that will miss its objective waits there."""
        call = request.call
        if not call.parts:
            return server_state
        backlog_ms = server_state.prefill_ms(server_state.pending_prefill_tokens(), now_ms)
        uncached_tokens = server_state.prefixes.uncached_tokens(call.parts)
        prefill_ms = server_state.prefill_ms(uncached_tokens, now_ms)
        deferred = should_defer(
            target_ms=request.route.target_ms,
            elapsed_ms=now_ms - call.arrived_ms,
            backlog_ms=backlog_ms,
            prefill_ms=prefill_ms,
        )
        return NoCapacity(backlog_ms + prefill_ms, deferred=True) if deferred else server_state

    def start(
        self,
        server_state: ServerState,
        request: AdmittedRequest,
        *,
        granted: bool = False,
        grant: SlotGrant | None = None,
    ) -> InFlightRequest:
        """Count a request at the server that it is sent to, from now on.

        :param granted: another VM sends it, in a slot that this one grants.
        :param grant: the slot grant, if another VM granted the slot.
        """
        call, now = request.call, self._clock.now()
        prefill_tokens = uncached_prompt_tokens(server_state, call.parts, call.prompt_tokens)
        if grant is None:
            wait_ms = expected_wait_ms(server_state, prefill_tokens, now)
            copy_from = self._prefix_copies.source(server_state, request)
        else:
            wait_ms, copy_from = grant.expected_wait_ms, grant.copy_from
        in_flight = InFlightRequest(
            clock=self._clock,
            queue=self._queues.for_service(request.service),
            shortlist=self._shortlists[request.service],
            server_state=server_state,
            granted=granted,
            held_tokens=held_tokens_of(call),
            prefill_tokens=prefill_tokens,
            backlog_tokens=server_state.pending_prefill_tokens() + prefill_tokens,
            sent_ms=now,
            expected_wait_ms=wait_ms,
            queue_wait_ms=server_state.queue_wait_ms(server_state.in_flight(now)),
            copy_from=copy_from,
            max_output_tokens=call.output_tokens,
            sent_factor=server_state.time_factor.at(now),
            grant=grant,
        )
        if not granted:
            self._work_rates[request.service].record(
                server_state.prefill_ms(prefill_tokens, now), now
            )
        in_flight.start()
        self._prefix_copies.record_sent(server_state, request)
        return in_flight

    def _unreported_ms(self, service: str, now_ms: int) -> float:
        """Return the prefill work that the region's other VMs sent since their last reports.

        It is extrapolated from this VM's own: the VMs of a region get about the same load, since
        callers choose them at random. A placement coordinator knows what the others send.
        """
        if self._fleet.coordinators.is_coordinator(service):
            return 0.0
        return self._work_rates[service].rate(now_ms) * self._fleet.report_lag_ms

    def _usable_servers(
        self,
        servers: Iterable[ServerState],
        now_ms: int,
        *,
        resting: Collection[str] | None = None,
    ) -> list[ServerState]:
        """Return the servers of this region that may get a request now.

        :param resting: servers that asked the VM which sends for rest; ``None`` if this VM sends.
        """
        found = []
        for server_state in servers:
            if server_state.backoff_until_ms > now_ms:
                continue
            # Written out, since a coordinator looks at every server hundreds of times a second.
            if resting is None:
                if server_state.rest_until_ms > now_ms:
                    continue
            elif server_state.server.id in resting:
                continue
            limited = self._routing_state.is_rate_limited(server_state, now_ms)
            if not limited or self._fleet.server_rates.may_send(server_state, now_ms):
                found.append(server_state)
        return found

    def has_version(self, request: AdmittedRequest) -> bool:
        """Return whether a request is bound to no version, or some region has servers of it."""
        if request.version_key is None:
            return True
        return any(
            it.version_key == request.version_key != UNKNOWN_VERSION
            for it in self._routing_state.available_servers(request.service)
        )

    def rest_left_ms(self, service: str, now_ms: int) -> int:
        """Return when the first server of this region wants requests again; 0 if one does now."""
        return min(
            (max(0, it.rest_until_ms - now_ms) for it in self._servers.own(service)),
            default=0,
        )

    def server_time_ms(self, request: AdmittedRequest) -> float:
        """Return the server time that a request takes, in ms; 1 where no server is known."""
        servers = self._servers.own(request.service)
        if not servers:
            return 1.0
        call, server_state = request.call, servers[0]
        own_tokens = call.parts[-1].tokens if call.parts else call.prompt_tokens
        return server_time_ms(
            server_state.speed,
            slots=server_state.server.slots,
            prompt_tokens=own_tokens,
            output_tokens=call.output_tokens,
        )

    def forecasts(self) -> dict[str, WaitForecast]:
        """Return the wait forecasts for other regions, by service that has usable servers.

        Servers that limit their rate have no room for what other regions could keep.
        """
        config = self._routing_state.config
        now = self._clock.now()
        found: dict[str, WaitForecast] = {}
        for service in config.services if config else ():
            usable = self._usable_servers(self._servers.own(service), now)
            with_room = [it for it in usable if it.has_room(0, now) and not it.names_limit]
            if with_room:
                found[service] = min(
                    (round(expected_wait_ms(it, 0, now)), it.in_flight(now)) for it in with_room
                )
            elif usable:
                wait_ms = (
                    self._queues.for_service(service).wait_queue.expected_wait_ms(0, now)
                    + NO_CAPACITY_PENALTY_MS
                )
                found[service] = (round(wait_ms), min(it.in_flight(now) for it in usable))
        return found


def held_tokens_of(call: RelayCall) -> int:
    """Return the tokens that a request holds in a server's memory, beyond its shared parts."""
    unshared_tokens = call.parts[-1].tokens if call.parts else call.prompt_tokens
    return unshared_tokens + call.output_tokens
