"""The path of a request: admitted, placed, sent, sent again where that is right, answered."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from hickorybeam.clock import MS_PER_SECOND
from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.gateway.admission import Admission
from hickorybeam.gateway.attempt import ToPeer, ToServer
from hickorybeam.gateway.final_responses import Endings
from hickorybeam.gateway.local_placement import LocalPlacement
from hickorybeam.gateway.placement_client import PlaceAsker
from hickorybeam.gateway.placement_coordinator import PlacementCoordinator
from hickorybeam.gateway.placement_messages import (
    HeldPlacements,
    PlacementRequest,
    PlacementResponse,
    PlacementUpdate,
)
from hickorybeam.gateway.progress import Progress, name_of
from hickorybeam.gateway.sender import Sending
from hickorybeam.gateway.service_queue import ServiceQueues
from hickorybeam.gateway.target_selector import Full, Nowhere, OpenTargets, TargetSelector
from hickorybeam.model.routing import Repeat
from hickorybeam.platform import decode_call
from hickorybeam.policy.fleet_retry_budget import FleetRetryBudget, FleetRetryLimits
from hickorybeam.policy.shutdown import ShutdownSchedule

if TYPE_CHECKING:
    from hickorybeam.clock import Clock
    from hickorybeam.gateway.attempt import AdmittedRequest, Target
    from hickorybeam.gateway.feed import FeedService
    from hickorybeam.gateway.fleet import FleetService
    from hickorybeam.gateway.status_report import WaitForecast
    from hickorybeam.http1 import IncomingRequest, ResponseWriter, UpstreamPool
    from hickorybeam.settings import GatewaySettings
    from hickorybeam.telemetry import Counters
    from hickorybeam.telemetry.decisions import DecisionLog

__all__ = ("RequestHandler", "shutdown_times")

# Sends of one request, those included that were surely not run.
MOST_SENDS = 4
# A VM that has just started reads the configuration within this time, in ms: two ways to a store
# in another region and a start of its own. Until then its callers wait here; refused, they would
# come back after as long and have no further try. One that still knows none refuses at once.
STARTING_MS = 1_000


class RequestHandler:
    """Answers requests of callers, and those that other regions' VMs hand over."""

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
    ) -> None:
        self._cfg = cfg
        self._clock = clock
        self._counters = counters
        self._feed = feed
        self._routing_state = feed.routing_state
        self._started_ms = clock.now()
        self._fleet = fleet
        self._budgets: dict[str, FleetRetryBudget] = {}
        self._lines = ServiceQueues(clock)
        self._admission = Admission(
            clock=clock, routing_state=feed.routing_state, quota=fleet.quota
        )
        self._placing = TargetSelector(
            shutdown=shutdown_times(cfg),
            clock=clock,
            routing_state=feed.routing_state,
            fleet=fleet,
            queues=self._lines,
        )
        self._endings = Endings(
            clock=clock, counters=counters, feed=feed, placing=self._placing, log=log
        )
        self._queueing = LocalPlacement(clock=clock, queues=self._lines, selector=self._placing)
        self._asker = PlaceAsker(
            clock=clock, counters=counters, fleet=fleet, routing_state=feed.routing_state
        )
        self._grants = PlacementCoordinator(
            clock=clock, fleet=fleet, selector=self._placing, local_placement=self._queueing
        )
        self._sending = Sending(
            clock=clock,
            counters=counters,
            routing_state=feed.routing_state,
            placing=self._placing,
            pool=pool,
            endings=self._endings,
        )

    async def run_placement(self) -> None:
        """Give places to other VMs, and take those that they give, until cancelled."""
        self._fleet.on_message(PlacementRequest, self._grants.handle_request)
        self._fleet.on_message(PlacementUpdate, self._grants.handle_update)
        self._fleet.on_message(HeldPlacements, self._grants.handle_held)
        self._fleet.on_message(PlacementResponse, self._asker.placed)
        self._fleet.granted_usage = self._asker.granted
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._asker.run)
            await self._grants.run(tg)

    async def handle(self, req: IncomingRequest, reply: ResponseWriter) -> None:
        """Answer one request of a caller."""
        call = decode_call(req)
        if self._routing_state.config is None:
            await self._feed.wait_for_config(self._started_ms + STARTING_MS - self._clock.now())
        try:
            errand = self._admission.admit(call)
        except GatewayError as exc:
            self._endings.refuse(call, reply, exc)
            return
        self._budget(errand.service).record_request(self._clock.now(), self._fleet.known_vm_count())
        await self.handle_admitted(errand, reply)

    async def handle_admitted(
        self, errand: AdmittedRequest, reply: ResponseWriter, *, local_only: bool = False
    ) -> None:
        """Run an admitted request within its deadline, until its caller leaves.

        :param local_only: it came from another VM: one run, by a server of this region.
        """
        progress = Progress(reply, here_only=local_only)
        left_ms = errand.deadline_ms - self._clock.now()
        with anyio.CancelScope() as scope:
            reply.on_disconnect(scope.cancel)
            with anyio.move_on_after(max(0, left_ms) / MS_PER_SECOND) as limit:
                await self._attempts(errand, progress)
            if limit.cancelled_caught and not reply.done:
                progress.why = "deadline"
                self._endings.give_up(errand, progress)
        reply.on_disconnect(None)
        if not progress.ran and errand.account is not None and not local_only:
            self._fleet.quota.refund(errand.account, errand.cost, self._clock.now())
        if scope.cancelled_caught:
            self._counters.requests.labels(errand.route.name, "left").inc()

    async def _attempts(self, errand: AdmittedRequest, progress: Progress) -> None:
        while (target := await self._next(errand, progress)) is not None:
            progress.sends += 1
            progress.tried.add(name_of(target))
            await self._sending.send(
                target, errand, progress, leave=lambda: self._leaves(target, errand, progress)
            )
            if progress.reply.done:
                return
            if progress.runs and (progress.here_only or not errand.route.repeatable):
                self._endings.give_up(errand, progress)
                return

    async def _next(self, errand: AdmittedRequest, progress: Progress) -> Target | None:
        """Return where to send it now; with ``None`` it has got its final answer."""
        if progress.onward is not None:
            target, progress.onward = progress.onward, None
            return target
        found = await self._placed(errand, progress)
        if isinstance(found, Full):
            self._overloaded(errand, progress, found)
            return None
        if found is None or not self._may_send(errand, progress):
            self._endings.give_up(errand, progress)
            return None
        return found

    async def _placed(self, errand: AdmittedRequest, progress: Progress) -> Target | Full | None:
        """Return where it goes, as the VM says that places for the region, or as this one does."""
        began = self._clock.now()
        targets = self._open(errand, progress)
        try:
            if self._asker.applies(errand):
                found = await self._asker.place(errand, targets)
                if isinstance(found, Nowhere):
                    return None
                if found is not None:
                    return found
            return await self._queueing.place(errand, targets)
        finally:
            progress.waited_ms += self._clock.now() - began

    def _leaves(self, target: Target, errand: AdmittedRequest, progress: Progress) -> bool:
        """Whether a request leaves a target that has been silent for long.

        Only where a server of this region has room for it now and the budget allows it. With
        nowhere to go, it would be answered as failed while its server still reads its prompt
        behind others; so it would where another region is asked and refuses. One VM leaves for
        another only if the silent one is heard no more.
        """
        onward = self._placing.choose(errand, self._open(errand, progress))
        if onward is None or isinstance(onward, Full):
            return False
        if isinstance(onward, ToPeer) and not self._is_gone(target):
            return False
        if not self._may_send(errand, progress):
            return False
        progress.onward = onward
        return True

    def _is_gone(self, target: Target) -> bool:
        match target:
            case ToPeer(peer):
                return not self._fleet.peers.is_live(peer)
            case ToServer():
                return False

    def _may_send(self, errand: AdmittedRequest, progress: Progress) -> bool:
        if progress.sends == 0:
            return True
        if progress.sends >= MOST_SENDS or progress.runs >= errand.route.max_attempts:
            return False
        if not progress.arrived:
            # No server has got it yet, so this is no repeat of anything: charged for, full
            # regions that refused at once used up the budget for servers that failed.
            return True
        if not self._budget(errand.service).take(self._clock.now(), self._fleet.known_vm_count()):
            progress.why += ", no budget to repeat"
            return False
        self._counters.retries.labels("repeat").inc()
        return True

    def _open(self, errand: AdmittedRequest, progress: Progress) -> OpenTargets:
        repeatable = errand.route.repeat is Repeat.IDEMPOTENT
        return OpenTargets(
            tried=progress.tried,
            refused=progress.refused,
            again=repeatable and progress.failed is not None,
            here_only=progress.here_only,
        )

    def _overloaded(self, errand: AdmittedRequest, progress: Progress, found: Full) -> None:
        """Refuse a request for which there is no room in time, and say when there will be."""
        if progress.runs or progress.reply.started:
            self._endings.give_up(errand, progress)
            return
        after_ms = found.come_back_ms
        if after_ms is None:
            after_ms = self._queueing.come_back_ms(errand)
        exc = GatewayError(ErrorKind.OVERLOADED, retry_after_ms=after_ms)
        self._endings.refuse(errand.call, progress.reply, exc, progress)

    def _budget(self, service: str) -> FleetRetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = FleetRetryBudget(bounds_of(self._cfg))
        return budget

    def forecasts(self) -> dict[str, WaitForecast]:
        """Return what other regions are told of this one, by service that has servers."""
        return self._placing.forecasts()

    def reload(self, cfg: GatewaySettings) -> None:
        """Take over other bounds on repeats, and other times of a shutdown."""
        self._cfg = cfg
        self._placing.shutdown = shutdown_times(cfg)
        for budget in self._budgets.values():
            budget.reconfigure(bounds_of(cfg))

    def accept_until(self, ends_ms: int) -> None:
        """Take only requests whose deadline lies before the end of this process."""
        self._admission.ends_ms = ends_ms

    def drain(self) -> None:
        """Refuse new requests from now on."""
        self._admission.draining = True


def shutdown_times(cfg: GatewaySettings) -> ShutdownSchedule:
    """Return the times of a shutdown that the settings give."""
    return ShutdownSchedule(cfg.grace_s * MS_PER_SECOND)


def bounds_of(cfg: GatewaySettings) -> FleetRetryLimits:
    """Return the bounds on repeats that the settings give."""
    return FleetRetryLimits(
        ratio=cfg.repeat_ratio,
        allowance=cfg.repeat_allowance,
        window_ms=round(cfg.repeat_window_s * MS_PER_SECOND),
    )
