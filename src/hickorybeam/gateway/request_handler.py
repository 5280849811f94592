"""Handle requests: admit, place and send them, retry where that is safe, and respond."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import anyio

from hickorybeam.clock import MS_PER_SECOND
from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.gateway.admission import Admission
from hickorybeam.gateway.crashes.server_ends import ServerEnds
from hickorybeam.gateway.event_splitter import EventSplitter
from hickorybeam.gateway.final_responses import FinalResponses
from hickorybeam.gateway.forwarding.peer_connections import PeerConnections
from hickorybeam.gateway.placement.client import PlacementClient
from hickorybeam.gateway.placement.coordinator import PlacementCoordinator
from hickorybeam.gateway.placement.local import LocalPlacement
from hickorybeam.gateway.placement.messages import (
    HeldPlacements,
    PlacementRequest,
    PlacementResponse,
    PlacementUpdate,
    SendStatus,
)
from hickorybeam.gateway.placement.service_queue import ServiceQueues
from hickorybeam.gateway.placement.slot_grant import SlotGrant
from hickorybeam.gateway.progress import RequestProgress
from hickorybeam.gateway.region_servers import RegionServers
from hickorybeam.gateway.remote_selector import RemoteSelector
from hickorybeam.gateway.runs.control import RunControl
from hickorybeam.gateway.send_records import is_notable
from hickorybeam.gateway.sender import Sender
from hickorybeam.gateway.server_starts import ServerStarts
from hickorybeam.gateway.settings_limits import retry_limits_of, shutdown_times
from hickorybeam.gateway.stream_messages import StreamAnswer, StreamQuestion
from hickorybeam.gateway.stream_origins import (
    StreamOrigins,
    check_forwarded_version,
    is_taken_up,
)
from hickorybeam.gateway.target_selector import TargetSelector
from hickorybeam.gateway.targets import (
    NoCapacity,
    NoTarget,
    PeerTarget,
    ServerTarget,
    TargetFilter,
    target_name,
)
from hickorybeam.model.routing import Repeat
from hickorybeam.platform import decode_call
from hickorybeam.policy.fleet_retry_budget import FleetRetryBudget

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from hickorybeam.clock import Clock
    from hickorybeam.gateway.crashes.part_blocks import PartBlocksService
    from hickorybeam.gateway.feed import FeedService
    from hickorybeam.gateway.fleet import FleetService
    from hickorybeam.gateway.forwarding.forwarded_runs import ForwardedRun
    from hickorybeam.gateway.held_bytes import HeldBytes
    from hickorybeam.gateway.status_report import WaitForecast
    from hickorybeam.gateway.targets import AdmittedRequest, Target
    from hickorybeam.http1 import IncomingRequest, ResponseWriter, UpstreamPool
    from hickorybeam.settings import GatewaySettings
    from hickorybeam.telemetry import Counters
    from hickorybeam.telemetry.decisions import DecisionLog
    from hickorybeam.telemetry.promise_log import PromiseLog

__all__ = ("RequestHandler",)

# Sends of one request, including those that were certainly not run.
MAX_SENDS = 4
# A VM that has just started reads the configuration within this time: two trips to a store in
# another region and its own start. Until then callers wait; if they were refused, they would retry
# after as long and have no further attempt. After that, a VM without configuration refuses at once.
MAX_CONFIG_WAIT_MS = 1_000


class RequestHandler:
    """Handles callers' requests, and those that other regions' VMs forward."""

    def __init__(
        self,
        *,
        cfg: GatewaySettings,
        clock: Clock,
        counters: Counters,
        feed: FeedService,
        fleet: FleetService,
        pool: UpstreamPool,
        log: DecisionLog,
        promises: PromiseLog,
        part_blocks: PartBlocksService,
        held_bytes: HeldBytes,
    ) -> None:
        self._cfg = cfg
        self._promises = promises
        self._clock = clock
        self._counters = counters
        self._feed = feed
        self._routing_state = feed.routing_state
        self._started_ms = clock.now()
        self._fleet = fleet
        self._part_blocks = part_blocks
        self._retry_budgets: dict[str, FleetRetryBudget] = {}
        self._queues = ServiceQueues(clock, counters, fair=cfg.fair_share)
        self._admission = Admission(
            clock=clock, routing_state=feed.routing_state, quota=fleet.quota
        )
        servers = RegionServers(routing_state=feed.routing_state, fleet=fleet)
        self._remote_selector = RemoteSelector(
            shutdown=shutdown_times(cfg),
            clock=clock,
            routing_state=feed.routing_state,
            fleet=fleet,
            servers=servers,
        )
        self._selector = TargetSelector(
            clock=clock,
            routing_state=feed.routing_state,
            fleet=fleet,
            queues=self._queues,
            remote_selector=self._remote_selector,
            servers=servers,
        )
        self._final_responses = FinalResponses(
            clock=clock,
            counters=counters,
            feed=feed,
            selector=self._selector,
            log=log,
            promises=promises,
        )
        self._local_placement = LocalPlacement(
            clock=clock,
            queues=self._queues,
            selector=self._selector,
            routing_state=feed.routing_state,
        )
        self._placement_client = PlacementClient(
            clock=clock, counters=counters, fleet=fleet, routing_state=feed.routing_state
        )
        self._placement_coordinator = PlacementCoordinator(
            clock=clock, fleet=fleet, selector=self._selector, local_placement=self._local_placement
        )
        self._peer_connections = PeerConnections(fleet=fleet, pool=pool)
        self._stream_origins = StreamOrigins(clock=clock, counters=counters, fleet=fleet, feed=feed)
        self._server_ends = ServerEnds(
            clock=clock,
            counters=counters,
            routing_state=feed.routing_state,
            pool=pool,
            known_vms=fleet.known_vm_count,
            on_end=part_blocks.recorder.record_end,
            on_undecided=part_blocks.recorder.record_undecided,
            on_unheard=part_blocks.recorder.record_unheard,
            on_alive=part_blocks.recorder.record_alive,
            on_outlived=part_blocks.recorder.record_outlived,
            on_proven=part_blocks.recorder.record_proven,
            on_whole=part_blocks.recorder.record_whole,
        )
        self._held_bytes = held_bytes
        self._runs = RunControl(
            clock=clock,
            counters=counters,
            fleet=fleet,
            routing_state=feed.routing_state,
            log=log,
        )
        self._server_starts = ServerStarts(
            clock=clock,
            counters=counters,
            log=log,
            routing_state=feed.routing_state,
            pool=pool,
            reports=self._runs.reports,
            confirmation=feed.confirmation,
        )
        self._sender = Sender(
            clock=clock,
            counters=counters,
            server_notices=fleet.server_notices,
            selector=self._selector,
            pool=pool,
            final_responses=self._final_responses,
            stream_origins=self._stream_origins,
            server_ends=self._server_ends,
            part_blocks=part_blocks,
            held_bytes=self._held_bytes,
            run_cancels=self._runs.cancels,
            server_reports=self._runs.reports,
        )

    async def run_placement(self) -> None:
        """Coordinate placement for other VMs, and use their slot grants, until cancelled."""
        self._fleet.on_message(PlacementRequest, self._placement_coordinator.handle_request)
        self._fleet.on_message(PlacementUpdate, self._placement_coordinator.handle_update)
        self._fleet.on_message(HeldPlacements, self._placement_coordinator.handle_held)
        self._fleet.on_message(PlacementResponse, self._placement_client.handle_response)
        self._fleet.on_message(StreamQuestion, self._stream_origins.handle_question)
        self._fleet.on_message(StreamAnswer, self._stream_origins.handle_answer)
        self._fleet.granted_usage = self._placement_client.granted_usage
        self._fleet.account_leads = self._account_leads
        self._fleet.reports.on_leads = self._apply_leads
        async with anyio.create_task_group() as tg:
            self._server_ends.start(tg)
            self._runs.start(tg)
            tg.start_soon(self._placement_client.run)
            tg.start_soon(self._peer_connections.run)
            tg.start_soon(self._promises.run)
            await self._placement_coordinator.run(tg)

    async def handle(self, req: IncomingRequest, response: ResponseWriter) -> None:
        """Admit and handle one request of a caller."""
        call = decode_call(req)
        if self._routing_state.config is None:
            await self._feed.wait_for_config(
                self._started_ms + MAX_CONFIG_WAIT_MS - self._clock.now()
            )
        try:
            request = self._admission.admit(call)
        except GatewayError as exc:
            self._final_responses.refuse(call, response, exc)
            return
        self._budget(request.service).record_request(
            self._clock.now(), self._fleet.known_vm_count()
        )
        await self.handle_admitted(request, response)

    def check_head(self, head: IncomingRequest) -> Callable[[ResponseWriter], None] | None:
        """Check a request whose body is still to be read.

        :return: what refuses it, ``None`` to read its body.
        """
        call = decode_call(head)
        try:
            self._admission.check_head(call)
        except GatewayError as exc:
            return partial(self._final_responses.refuse, call, exc=exc)
        return None

    async def handle_forwarded(
        self, request: AdmittedRequest, response: ResponseWriter, run_name: str
    ) -> None:
        """Handle a request that another region's VM forwarded, unless it has cancelled it.

        :param run_name: the name that the VM gave the run.
        """
        with self._runs.forwarded.open(run_name) as run:
            if run is None:
                self._final_responses.refuse_cancelled(request.call, response)
            else:
                await self.handle_admitted(request, response, run=run)
                run.left = response.is_disconnected

    async def handle_admitted(
        self,
        request: AdmittedRequest,
        response: ResponseWriter,
        *,
        run: ForwardedRun | None = None,
    ) -> None:
        """Handle an admitted request until its deadline, or until its caller disconnects.

        :param run: another VM forwarded it, and may cancel it: it is run at most once, by a server
            of this region.
        """
        own_region_only = run is not None
        splitter = EventSplitter(hold_partial=request.route.resumable, held=self._held_bytes)
        progress = RequestProgress(
            response, splitter, own_region_only=own_region_only, forwarded_run=run
        )
        left_ms = request.deadline_ms - self._clock.now()
        with anyio.CancelScope() as scope:
            response.on_disconnect(scope.cancel)
            if run is not None:
                run.on_cancel(scope.cancel, is_answering=lambda: response.started)
            with anyio.move_on_after(max(0, left_ms) / MS_PER_SECOND) as limit:
                await self._run_attempts(request, progress)
            if limit.cancelled_caught and not response.done:
                progress.reason = "deadline"
                self._final_responses.give_up(request, progress)
        response.on_disconnect(None)
        splitter.discard_partial()
        if run is not None:
            run.begun, run.runs_on = progress.may_have_run, progress.runs_on
            run.broke_off = progress.broke_off and not progress.outcome_open
        if is_notable(progress.records):
            self._final_responses.log_sends(request, progress, run=run.name if run else "")
        if not progress.may_have_run and request.account is not None and not own_region_only:
            self._fleet.quota.refund(request.account, request.cost, self._clock.now())
        if scope.cancelled_caught:
            self._counters.requests.labels(request.route.name, "left").inc()

    async def _run_attempts(self, request: AdmittedRequest, progress: RequestProgress) -> None:
        """Send a request to one target after the other until it has a final response."""
        try:
            self._part_blocks.check(request, progress)
            if is_taken_up(request):
                await self._stream_origins.bind(request)
            elif progress.own_region_only:
                check_forwarded_version(request)
        except GatewayError as exc:
            self._final_responses.refuse(request.call, progress.response, exc, progress)
            return
        while (target := await self._next_target(request, progress)) is not None:
            if self._is_blocked(request, progress, target):
                return
            if not await self._may_go_on_at(target, request, progress):
                continue
            progress.sends += 1
            progress.tried.add(target_name(target))
            await self._sender.send(
                target,
                request,
                progress,
                should_fail_over=lambda: self._fail_over(target, request, progress),
                find_proof=lambda: self._find_proof(request, progress),
            )
            if progress.response.done or self._is_blocked(request, progress):
                return
            if progress.runs and not progress.may_run_again(request):
                self._final_responses.give_up(request, progress)
                return

    async def _may_go_on_at(
        self, target: Target, request: AdmittedRequest, progress: RequestProgress
    ) -> bool:
        """Return whether a request may be sent to a target, which else counts as tried."""
        may_send = False
        try:
            may_send = await self._server_starts.may_send(target, request)
        finally:
            if not may_send:
                release_grant(target)
        if not may_send:
            progress.reason = "its server may have started again with another version"
            progress.tried.add(target_name(target))
        return may_send

    def _is_blocked(
        self, request: AdmittedRequest, progress: RequestProgress, target: Target | None = None
    ) -> bool:
        """Return whether a request or a part of its prompt is blocked; it then got its response.

        That may become known while it waits for a slot, or after a send.

        :param target: where it was about to be sent; a slot granted there becomes free again.
        """
        try:
            self._part_blocks.check(request, progress)
        except GatewayError as exc:
            release_grant(target)
            self._final_responses.refuse_or_give_up(request, progress, exc)
            return True
        return False

    async def _next_target(
        self, request: AdmittedRequest, progress: RequestProgress
    ) -> Target | None:
        """Return where to send a request now; ``None`` if it got its final response."""
        if progress.next_target is not None:
            target, progress.next_target = progress.next_target, None
            return target
        if progress.may_be_whole:
            self._final_responses.give_up(request, progress)
            return None
        found = await self._place(request, progress)
        if isinstance(found, NoCapacity):
            self._refuse_overloaded(request, progress, found)
            return None
        if found is None or not self._may_send(request, progress):
            self._final_responses.give_up(request, progress)
            return None
        if isinstance(found, PeerTarget):
            return self._peer_connections.prefer_connected(
                found, service=request.service, tried=progress.tried
            )
        return found

    def _find_proof(self, request: AdmittedRequest, progress: RequestProgress) -> bool:
        """Find where a stream may be resumed at once, to show whether it is whole."""
        found = self._selector.choose(request, self._target_filter(request, progress))
        if found is None or isinstance(found, NoCapacity):
            return False
        if not self._may_send(request, progress):
            return False
        progress.next_target = found
        return True

    async def _place(
        self, request: AdmittedRequest, progress: RequestProgress
    ) -> Target | NoCapacity | None:
        """Return a request's target, placed by the coordinator or by this VM itself."""
        started_ms = self._clock.now()
        targets = self._target_filter(request, progress)
        try:
            if self._placement_client.is_remote(request):
                found = await self._placement_client.place(request, targets)
                if isinstance(found, NoTarget):
                    return None
                if found is not None:
                    return found
            return await self._local_placement.place(request, targets)
        finally:
            progress.placement_ms += self._clock.now() - started_ms

    def _fail_over(
        self, target: Target, request: AdmittedRequest, progress: RequestProgress
    ) -> bool:
        """Return whether a request fails over from a silent target, and set its next target.

        It does so only if a server of this region has a free slot now and the retry budget allows
        it. Without another target it would fail while its server may still prefill its prompt
        behind others, and so it would if another region were asked and refused it. It goes to a
        VM of another region only from a VM that is not live any more.
        """
        next_target = self._selector.choose(request, self._target_filter(request, progress))
        if next_target is None or isinstance(next_target, NoCapacity):
            return False
        if isinstance(next_target, PeerTarget) and not self._is_dead_peer(target):
            return False
        if not self._may_send(request, progress):
            return False
        progress.next_target = next_target
        return True

    def _is_dead_peer(self, target: Target) -> bool:
        match target:
            case PeerTarget(peer):
                return not self._fleet.peers.is_live(peer)
            case ServerTarget():
                return False

    def _may_send(self, request: AdmittedRequest, progress: RequestProgress) -> bool:
        if progress.sends == 0:
            return True
        if progress.sends >= MAX_SENDS or progress.runs >= request.route.max_attempts:
            return False
        if not progress.may_have_arrived:
            # No server received it, so this is no retry. If it were charged, full regions that
            # refuse at once would use up the budget meant for servers that fail.
            return True
        if progress.runs and self._part_blocks.is_suspected(request):
            progress.reason += ", it or a part of its prompt may crash servers"
            return False
        if not self._budget(request.service).take(self._clock.now(), self._fleet.known_vm_count()):
            progress.reason += ", no retry budget left"
            return False
        self._counters.retries.labels("repeat").inc()
        return True

    def _target_filter(self, request: AdmittedRequest, progress: RequestProgress) -> TargetFilter:
        retryable = request.route.repeat is Repeat.IDEMPOTENT
        return TargetFilter(
            tried=progress.tried,
            refused_regions=progress.refused_regions,
            retry_tried=retryable and progress.failed_response is not None,
            own_region_only=progress.own_region_only,
        )

    def _refuse_overloaded(
        self, request: AdmittedRequest, progress: RequestProgress, found: NoCapacity
    ) -> None:
        """Refuse a request that gets no slot in time, with a retry-after."""
        if progress.runs or progress.response.started:
            self._final_responses.give_up(request, progress)
            return
        retry_after_ms = self._local_placement.refuse(request, found)
        exc = GatewayError(ErrorKind.OVERLOADED, retry_after_ms=retry_after_ms)
        self._final_responses.refuse(request.call, progress.response, exc, progress)

    def _account_leads(self) -> dict[str, dict[str, float]]:
        """Return accounts' leads at the overloaded services that this VM places for its region."""
        return {
            service: leads
            for service, leads in self._queues.told_leads().items()
            if self._fleet.coordinators.is_coordinator(service)
        }

    def _apply_leads(self, region: str, leads: Mapping[str, Mapping[str, float]]) -> None:
        """Apply the leads that the placement coordinator of this region or another one told."""
        for service, by_account in leads.items():
            if self._routing_state.service_spec(service) is None:
                continue
            queue = self._queues.for_service(service)
            if region != self._fleet.own_vm.region:
                queue.note_leads_elsewhere(region, by_account)
            elif not self._fleet.coordinators.is_coordinator(service):
                queue.take_over_leads(by_account)

    def _budget(self, service: str) -> FleetRetryBudget:
        budget = self._retry_budgets.get(service)
        if budget is None:
            budget = self._retry_budgets[service] = FleetRetryBudget(retry_limits_of(self._cfg))
        return budget

    def forecasts(self) -> dict[str, WaitForecast]:
        """Return the wait forecasts for other regions, by service that has usable servers."""
        return self._selector.forecasts()

    def reload(self, cfg: GatewaySettings) -> None:
        """Apply new retry limits and a new shutdown grace period."""
        self._cfg = cfg
        self._remote_selector.shutdown = shutdown_times(cfg)
        self._queues.set_fair(cfg.fair_share)
        for budget in self._retry_budgets.values():
            budget.reconfigure(retry_limits_of(cfg))

    def accept_until(self, ends_ms: int) -> None:
        """Admit only requests whose deadline lies before the end of this process."""
        self._admission.ends_ms = ends_ms

    def drain(self) -> None:
        """Refuse new requests from now on."""
        self._admission.draining = True


def release_grant(target: Target | None) -> None:
    """Free the slot that another VM granted for a target that gets no request."""
    match target:
        case ServerTarget(grant=SlotGrant() as grant):
            grant.report_end(SendStatus.LEFT)
