"""Where a request goes: a server of this region, or a VM of another one."""

from __future__ import annotations

import random
from collections import defaultdict
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from hickorybeam.gateway.attempt import ToPeer, ToServer
from hickorybeam.gateway.in_flight import Burden
from hickorybeam.policy.deadline_check import can_finish
from hickorybeam.policy.deferral import should_defer
from hickorybeam.policy.server_choice import (
    ServerState,
    choose_server,
    expected_wait_ms,
    interference_ms,
    placement_cost_ms,
    uncached_prompt_tokens,
)
from hickorybeam.policy.server_speed import INITIAL_PREFILL_TOKENS_PER_MS
from hickorybeam.policy.stale_load import WorkRate

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from hickorybeam.clock import Clock
    from hickorybeam.gateway.attempt import AdmittedRequest, Target
    from hickorybeam.gateway.fleet import FleetService
    from hickorybeam.gateway.peers import RemoteCandidate
    from hickorybeam.gateway.placement_client import Grant
    from hickorybeam.gateway.routing_state import RoutingState
    from hickorybeam.gateway.service_queue import ServiceQueues
    from hickorybeam.gateway.status_report import WaitForecast
    from hickorybeam.model.routing import RelayCall
    from hickorybeam.policy.cold_limit import ColdServerLimiter
    from hickorybeam.policy.shutdown import ShutdownSchedule

__all__ = ("Full", "Nowhere", "OpenTargets", "TargetSelector", "size_of")

# The way to another region and back, in ms, and by how much its wait has to be shorter.
REGION_WAY_MS = 160.0
SPILL_MARGIN_MS = 150.0
# VMs of one region tell waits that differ by less than this for the same servers, in ms.
SAME_WAIT_MS = 20
# What a region without room adds to the wait that it tells others, in ms: they send there
# only what would wait much longer at home.
FULL_MS = 500.0
# Cache of one server in tokens, where its service doesn't tell.
DEFAULT_CACHE_TOKENS = 200_000


@dataclass(frozen=True, slots=True)
class Full:
    """Servers that may take a request have no room; about when there will be.

    ``late``: they have, but it could only be late there, and gives way to others. ``in_vain``:
    it couldn't end before its deadline, so no wait helps.
    ``come_back_ms``: when its caller should come back, where another VM has said so.
    """

    wait_ms: float
    late: bool = False
    in_vain: bool = False
    come_back_ms: int | None = None


@dataclass(frozen=True, slots=True)
class Nowhere:
    """The VM that places says that nothing can take a request."""


@dataclass(frozen=True, slots=True, kw_only=True)
class OpenTargets:
    """Which targets are open to a request.

    ``tried`` names those that it was sent to before; ``again``: one of them may be tried again
    where there is no other. ``refused`` names regions that have refused it: another VM of one
    has the same servers. ``here_only``: it came from another VM, so it is run in this region or
    not at all. ``late_waits``: if it can only be late, it waits for a server with little to read.
    ``sent_from`` is the data centre whose servers are preferred, that of the VM which sends it.
    """

    tried: Collection[str] = ()
    refused: Collection[str] = ()
    again: bool = False
    here_only: bool = False
    late_waits: bool = True
    sent_from: str = ""

    def without_patience(self) -> OpenTargets:
        """Return the same for a request that doesn't wait for being late."""
        return replace(self, late_waits=False)


class TargetSelector:
    """Chooses targets by what this VM knows now.

    :param shutdown: what VMs that shut down still take.
    """

    def __init__(
        self,
        *,
        shutdown: ShutdownSchedule,
        clock: Clock,
        routing_state: RoutingState,
        fleet: FleetService,
        queues: ServiceQueues,
    ) -> None:
        self.shutdown = shutdown
        self._clock = clock
        self._routing_state = routing_state
        self._fleet = fleet
        self._lines = queues
        self._rng = random.Random()
        self._recent: defaultdict[str, WorkRate] = defaultdict(WorkRate)
        self._nothing_since: dict[str, int] = {}

    def choose(self, errand: AdmittedRequest, targets: OpenTargets) -> Target | Full | None:
        """Pick a server of this region, or a VM of another one whose wait is much shorter."""
        now = self._clock.now()
        found = self._chosen(errand, targets, now)
        if found is not None:
            self._nothing_since.pop(errand.service, None)
        elif not targets.tried:
            self._nothing_since.setdefault(errand.service, now)
        return found

    def away_ms(self, service: str, now_ms: int) -> int:
        """Return for how long nothing has been found that could take a service's requests."""
        return now_ms - self._nothing_since.get(service, now_ms)

    def _chosen(
        self, errand: AdmittedRequest, targets: OpenTargets, now: int
    ) -> Target | Full | None:
        here: ServerState | Full | None = None
        if targets.here_only or self._allowed(errand, self._fleet.own_vm.region):
            here = self._choose_here(errand, targets, now)
        away = None if targets.here_only else self._choose_away(errand, targets)
        if away is not None and (
            here is None or self._cost_here(here, errand, now) > away[1] + SPILL_MARGIN_MS
        ):
            return away[0] if self._in_time_away(errand, now) else Full(0.0, in_vain=True)
        if here is None or isinstance(here, Full):
            return here
        if not self._in_time(here, errand, now):
            return Full(0.0, in_vain=True)
        if self._routing_state.is_cold(here.server.id, now):
            self._cold_limit(here, now).take(now)
        return ToServer(here)

    def _cost_here(self, here: ServerState | Full, errand: AdmittedRequest, now_ms: int) -> float:
        if isinstance(here, Full):
            return here.wait_ms
        call = errand.call
        return placement_cost_ms(
            here, uncached_prompt_tokens(here, call.parts, call.prompt_tokens), now_ms
        )

    def _in_time(self, standing: ServerState, errand: AdmittedRequest, now_ms: int) -> bool:
        """Whether a server could answer a request before its deadline."""
        call, pace = errand.call, standing.speed
        to_read = standing.pending_prefill_tokens() + uncached_prompt_tokens(
            standing, call.parts, call.prompt_tokens
        )
        return can_finish(
            left_ms=errand.deadline_ms - now_ms,
            first_event_ms=pace.prefill_ms(to_read),
            decode_ms=pace.decode_ms(call.output_tokens),
        )

    def _in_time_away(self, errand: AdmittedRequest, now_ms: int) -> bool:
        """Whether another region could answer a request before its deadline, if it is idle."""
        own = errand.call.parts[-1].tokens if errand.call.parts else errand.call.prompt_tokens
        reading_ms = own / INITIAL_PREFILL_TOKENS_PER_MS
        return can_finish(
            left_ms=errand.deadline_ms - now_ms,
            first_event_ms=REGION_WAY_MS + reading_ms,
            decode_ms=0.0,
        )

    def _choose_here(
        self, errand: AdmittedRequest, targets: OpenTargets, now_ms: int
    ) -> ServerState | Full | None:
        usable = self._usable(errand.service, now_ms)
        fresh = [it for it in usable if it.server.id not in targets.tried]
        if not fresh and targets.again:
            fresh = usable
        call = errand.call
        size = size_of(call)
        with_room = [it for it in fresh if it.has_room(size, now_ms)]
        if fresh and not with_room:
            return Full(
                self._lines.of(errand.service).policy.expected_wait_ms(errand.urgency, now_ms)
            )
        found = choose_server(
            with_room,
            parts=call.parts,
            prompt_tokens=call.prompt_tokens,
            now_ms=now_ms,
            rng=self._rng,
            unreported_ms=self._unseen_ms(errand.service, now_ms),
            data_centre=targets.sent_from or self._fleet.own_vm.data_centre,
        )
        if found is None or targets.here_only or not targets.late_waits:
            return found
        return self._unless_late(found, errand, now_ms)

    def _unless_late(
        self, standing: ServerState, errand: AdmittedRequest, now_ms: int
    ) -> ServerState | Full:
        """Return the server, or for how long a prompt that can only be late would wait there."""
        call, pace = errand.call, standing.speed
        if not call.parts:
            return standing
        ahead_ms = pace.prefill_ms(standing.pending_prefill_tokens())
        reading_ms = pace.prefill_ms(standing.prefixes.uncached_tokens(call.parts))
        late = should_defer(
            target_ms=errand.route.target_ms,
            elapsed_ms=now_ms - call.arrived_ms,
            backlog_ms=ahead_ms,
            prefill_ms=reading_ms,
        )
        return Full(ahead_ms + reading_ms, late=True) if late else standing

    def begin(
        self,
        standing: ServerState,
        errand: AdmittedRequest,
        *,
        given: bool = False,
        grant: Grant | None = None,
    ) -> Burden:
        """Count a request that is sent to a server from now on.

        :param given: another VM sends it.
        :param grant: the place that another VM gave it.
        """
        call, now = errand.call, self._clock.now()
        missing = uncached_prompt_tokens(standing, call.parts, call.prompt_tokens)
        if grant is None:
            foreseen_ms = expected_wait_ms(standing, missing, now)
            copy_from = self.copy_from(standing, errand)
        else:
            foreseen_ms, copy_from = grant.wait_ms, grant.copy_from
        burden = Burden(
            clock=self._clock,
            line=self._lines.of(errand.service),
            standing=standing,
            given=given,
            size=size_of(call),
            reading=missing,
            ahead=standing.pending_prefill_tokens() + missing,
            sent_ms=now,
            wait_ms=foreseen_ms,
            copy_from=copy_from,
            output=call.output_tokens,
            grant=grant,
        )
        if not given:
            self._recent[errand.service].record(standing.speed.prefill_ms(missing), now)
        burden.begin()
        self._remember(standing, errand, now)
        return burden

    def _remember(self, standing: ServerState, errand: AdmittedRequest, now_ms: int) -> None:
        """Take note of the parts that a server holds from now on."""
        parts = errand.call.parts
        config = self._routing_state.config
        spec = config.services.get(errand.service) if config else None
        room = spec.engine.cache_tokens if spec and spec.engine else 0
        standing.cache_tokens = room
        standing.prefixes.add(parts, room or DEFAULT_CACHE_TOKENS)
        self._fleet.prefix_holders.record_sent(parts, standing.server.id, now_ms)

    def _unseen_ms(self, service: str, now_ms: int) -> float:
        """Return the reading that the region's other VMs sent since they were heard.

        VMs of a region get about as much each, since callers choose them at random. One that
        places for the others knows what they send.
        """
        if self._fleet.coordinators.is_coordinator(service):
            return 0.0
        return self._recent[service].rate(now_ms) * self._fleet.report_lag_ms

    def _usable(self, service: str, now_ms: int) -> list[ServerState]:
        """Return this region's servers that may get a request now."""
        found = []
        for standing in self._routing_state.available_servers(service):
            if not self._fleet.in_own_region(standing.server.data_centre):
                continue
            if standing.backoff_until_ms > now_ms:
                continue
            cold = self._routing_state.is_cold(standing.server.id, now_ms)
            if not cold or self._may_warm(standing, now_ms):
                found.append(standing)
        return found

    def _may_warm(self, standing: ServerState, now_ms: int) -> bool:
        owners = self._fleet.coordinators.cold_server_senders(standing.server)
        return self._fleet.own_vm.name in owners and self._cold_limit(standing, now_ms).ready(
            now_ms
        )

    def _cold_limit(self, standing: ServerState, now_ms: int) -> ColdServerLimiter:
        return self._routing_state.cold_limit(standing.server, now_ms)

    def _choose_away(
        self, errand: AdmittedRequest, targets: OpenTargets
    ) -> tuple[ToPeer, float] | None:
        found = self._elsewhere(errand, targets, self._fleet.remote_candidates(errand.service))
        if not found:
            found = self._elsewhere(errand, targets, self._finishing(errand))
        if not found:
            return None
        # Peers of one region tell nearly the same wait; the same one for all would be flooded.
        best = [it for it in found if it.wait_ms <= found[0].wait_ms + SAME_WAIT_MS]
        pick = self._rng.choice(best)
        reading_ms = errand.call.prompt_tokens / INITIAL_PREFILL_TOKENS_PER_MS
        others_ms = interference_ms(reading_ms, pick.running)
        return ToPeer(pick.peer), pick.wait_ms + reading_ms + others_ms + REGION_WAY_MS

    def _elsewhere(
        self, errand: AdmittedRequest, targets: OpenTargets, told: Iterable[RemoteCandidate]
    ) -> list[RemoteCandidate]:
        """Return those other regions' VMs that a request may go to."""
        return [
            it
            for it in told
            if self._allowed(errand, it.peer.vm.region)
            and it.peer.vm.name not in targets.tried
            and it.peer.vm.region not in targets.refused
        ]

    def _finishing(self, errand: AdmittedRequest) -> list[RemoteCandidate]:
        """Return VMs of other regions that shut down and surely end a request before they do.

        While a region's VMs are replaced in turn, all of them may be shutting down. Requests that
        may run nowhere else would be refused for seconds, though these VMs still take them.
        """
        now = self._clock.now()
        left_ms = errand.deadline_ms - now
        return [
            it
            for it in self._fleet.remote_candidates(errand.service, leaving=True)
            if self.shutdown.accepts(since_ms=now - it.peer.leaving_since_ms, left_ms=left_ms)
        ]

    def _allowed(self, errand: AdmittedRequest, region: str) -> bool:
        homes = [errand.route.homes]
        config = self._routing_state.config
        terms = config.accounts.get(errand.account or "") if config else None
        if terms is not None:
            homes.append(terms.homes)
        return all(not home or region in home for home in homes)

    def copy_from(self, standing: ServerState | None, errand: AdmittedRequest) -> str | None:
        """Return the address of a server from which a prompt's shared parts can be copied."""
        parts = errand.call.parts
        if standing is None or len(parts) < 2 or not standing.prefixes.uncached_tokens(parts[:-1]):
            return None
        now = self._clock.now()
        holder = self._routing_state.server_states.get(
            self._fleet.prefix_holders.find_holder(parts, now) or ""
        )
        if holder is None or holder is standing or holder.backoff_until_ms > now:
            return None
        if holder.server.leaving or holder.server.service != standing.server.service:
            return None
        return f"{holder.server.host}:{holder.server.port}"

    def forecasts(self) -> dict[str, WaitForecast]:
        """Return what other regions are told of this one, by service that has servers."""
        config = self._routing_state.config
        now = self._clock.now()
        found: dict[str, WaitForecast] = {}
        for service in config.services if config else ():
            usable = self._usable(service, now)
            free = [it for it in usable if it.has_room(0, now)]
            if free:
                found[service] = min(
                    (round(expected_wait_ms(it, 0, now)), it.in_flight(now)) for it in free
                )
            elif usable:
                wait = self._lines.of(service).policy.expected_wait_ms(0, now) + FULL_MS
                found[service] = (round(wait), min(it.in_flight(now) for it in usable))
        return found


def size_of(call: RelayCall) -> int:
    """Return the tokens that a request holds in a server's memory, beyond its shared parts."""
    own = call.parts[-1].tokens if call.parts else call.prompt_tokens
    return own + call.output_tokens
