"""Select a VM of another region for a request that would wait much longer in its own."""

from __future__ import annotations

import random
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hickorybeam.gateway.targets import NoCapacity, PeerTarget
from hickorybeam.policy.deadline_check import can_finish
from hickorybeam.policy.region_path import REGION_ROUND_TRIP_MS
from hickorybeam.policy.remote_work import RemoteWork
from hickorybeam.policy.server_choice import interference_ms
from hickorybeam.policy.server_speed import INITIAL_PREFILL_TOKENS_PER_MS

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from hickorybeam.clock import Clock
    from hickorybeam.gateway.fleet import FleetService
    from hickorybeam.gateway.peers import RemoteCandidate
    from hickorybeam.gateway.region_servers import RegionServers
    from hickorybeam.gateway.routing_state import RoutingState
    from hickorybeam.gateway.targets import AdmittedRequest, TargetFilter
    from hickorybeam.policy.shutdown import ShutdownSchedule

__all__ = ("RemoteSelector",)

# Another region is used only if its wait is shorter by more than this.
SPILL_MARGIN_MS = 150.0
# A request that waits no longer than this in its own region stays there, however idle others are.
MIN_HOME_WAIT_MS = REGION_ROUND_TRIP_MS + SPILL_MARGIN_MS
# Forecasts come each 0.4 s at most, so a list of them may be used for this long.
MAX_LIST_AGE_MS = 20


@dataclass(frozen=True, slots=True)
class _CandidateList:
    """VMs of other regions that accept requests, by region, the latest forecast first."""

    listed_ms: int
    by_region: dict[str, list[RemoteCandidate]]


class RemoteSelector:
    """Selects VMs of other regions by their forecasts and by what was sent there since.

    :param shutdown: what VMs that are shutting down still accept.
    """

    def __init__(
        self,
        *,
        shutdown: ShutdownSchedule,
        clock: Clock,
        routing_state: RoutingState,
        fleet: FleetService,
        servers: RegionServers,
    ) -> None:
        self.shutdown = shutdown
        self._clock = clock
        self._routing_state = routing_state
        self._fleet = fleet
        self._rng = random.Random()
        self._work = RemoteWork()
        self._servers = servers
        self._listed: dict[str, _CandidateList] = {}

    def choose(
        self, request: AdmittedRequest, targets: TargetFilter, *, home_ms: float
    ) -> PeerTarget | NoCapacity | None:
        """Return a VM of another region, ``None`` if the request stays in its own.

        :param home_ms: its cost in its own region, infinite if it can't be run there.
        """
        if home_ms <= MIN_HOME_WAIT_MS:
            return None
        candidates = self._candidates(request, targets)
        if not candidates:
            return None
        costs_ms = self._costs_ms(request, candidates)
        region = min(costs_ms, key=lambda it: (costs_ms[it], it))
        if home_ms <= costs_ms[region] + SPILL_MARGIN_MS:
            return None
        if not self._can_finish(request):
            return NoCapacity(0.0, final=True)
        self._record_sent(request, region)
        return PeerTarget(self._rng.choice(candidates[region]).peer)

    def _candidates(
        self, request: AdmittedRequest, targets: TargetFilter
    ) -> dict[str, list[RemoteCandidate]]:
        """Return the VMs that a request may go to, by region, the latest forecast first."""
        found = self._eligible(request, targets, self._list(request.service))
        if found:
            return found
        return self._eligible(request, targets, by_region(self._leaving_candidates(request)))

    def _list(self, service: str) -> dict[str, list[RemoteCandidate]]:
        """Return the VMs that accept requests for a service, by region."""
        now = self._clock.now()
        listed = self._listed.get(service)
        if listed is None or now - listed.listed_ms >= MAX_LIST_AGE_MS:
            found = by_region(self._fleet.remote_candidates(service))
            listed = self._listed[service] = _CandidateList(now, found)
        return listed.by_region

    def _eligible(
        self,
        request: AdmittedRequest,
        targets: TargetFilter,
        regions: dict[str, list[RemoteCandidate]],
    ) -> dict[str, list[RemoteCandidate]]:
        """Return the candidates that a request may go to, by region."""
        found = {}
        for region, candidates in regions.items():
            if region in targets.refused_regions:
                continue
            if not self._routing_state.may_run_in(request, region):
                continue
            if request.version_key is not None and not self._servers.has_version(
                request.service, region, request.version_key
            ):
                continue
            usable = [
                it
                for it in candidates
                if it.peer.forecasts is not None and it.peer.vm.name not in targets.tried
            ]
            if usable:
                found[region] = usable
        return found

    def _leaving_candidates(self, request: AdmittedRequest) -> list[RemoteCandidate]:
        """Return VMs of other regions that are shutting down but will finish a request first.

        While a region's VMs are replaced in turn, all of them may be shutting down. Requests that
        may run nowhere else would be refused for seconds, though these VMs still accept them.
        """
        now = self._clock.now()
        left_ms = request.deadline_ms - now
        return [
            it
            for it in self._fleet.remote_candidates(request.service, leaving=True)
            if self.shutdown.accepts(since_ms=now - it.peer.leaving_since_ms, left_ms=left_ms)
        ]

    def _costs_ms(
        self, request: AdmittedRequest, candidates: dict[str, list[RemoteCandidate]]
    ) -> dict[str, float]:
        """Return the cost of a request in each region, comparable with one in its own."""
        return {
            region: self._cost_ms(
                request, region, found, servers=self._servers.count(request.service, region)
            )
            for region, found in candidates.items()
        }

    def _cost_ms(
        self,
        request: AdmittedRequest,
        region: str,
        candidates: Sequence[RemoteCandidate],
        *,
        servers: int,
    ) -> float:
        """Return the cost of a request in one region, with the way there and back.

        All VMs of a region forecast the same servers, so the latest forecast counts: the shortest
        one is often the oldest.

        :param candidates: the region's VMs, the latest forecast first.
        """
        latest = candidates[0]
        unseen_ms = self._work.unseen_ms(
            request.service,
            region,
            age_ms=latest.age_ms,
            servers=servers,
            now_ms=self._clock.now(),
        )
        prefill_ms = remote_prefill_ms(request)
        others_ms = interference_ms(prefill_ms, latest.running)
        return latest.wait_ms + unseen_ms + prefill_ms + others_ms + REGION_ROUND_TRIP_MS

    def _can_finish(self, request: AdmittedRequest) -> bool:
        """Return whether an idle other region could finish a request before its deadline."""
        unshared_tokens = (
            request.call.parts[-1].tokens if request.call.parts else request.call.prompt_tokens
        )
        prefill_ms = unshared_tokens / INITIAL_PREFILL_TOKENS_PER_MS
        return can_finish(
            left_ms=request.deadline_ms - self._clock.now(),
            first_event_ms=REGION_ROUND_TRIP_MS + prefill_ms,
            decode_ms=0.0,
        )

    def _record_sent(self, request: AdmittedRequest, region: str) -> None:
        """Record the prefill work that this region's VMs send to another one.

        A placement coordinator sends for all of them; otherwise each sends about as much as this
        one.
        """
        senders = 1
        if not self._fleet.coordinators.is_coordinator(request.service):
            senders = max(1, len(self._fleet.region_vms(self._fleet.own_vm.region)))
        work_ms = remote_prefill_ms(request) * senders
        self._work.record(request.service, region, work_ms, self._clock.now())


def by_region(candidates: Iterable[RemoteCandidate]) -> dict[str, list[RemoteCandidate]]:
    """Return candidates by region, the latest forecast first."""
    found: defaultdict[str, list[RemoteCandidate]] = defaultdict(list)
    for candidate in sorted(candidates, key=lambda it: (it.age_ms, it.peer.vm.name)):
        found[candidate.peer.vm.region].append(candidate)
    return found


def remote_prefill_ms(request: AdmittedRequest) -> float:
    """Return how long another region's server takes to prefill a prompt that it has no part of."""
    return request.call.prompt_tokens / INITIAL_PREFILL_TOKENS_PER_MS
