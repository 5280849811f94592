"""The task that owns the scheduler and turns messages into decisions."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from hickorybeam.dispatch.messages import (
    CallEnded,
    FirstToken,
    ForwardEnded,
    Offer,
    Retry,
    RunEnded,
    Tick,
)
from hickorybeam.kernel import Mailbox
from hickorybeam.model import VmState
from hickorybeam.policy.job import Outcome, Start

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorybeam.clock import Clock
    from hickorybeam.dispatch.messages import SchedulerMessage
    from hickorybeam.dispatch.metrics import DispatchMetrics
    from hickorybeam.kernel import Reply
    from hickorybeam.model import ConfigState
    from hickorybeam.policy.job import Decision
    from hickorybeam.policy.scheduler import Scheduler
    from hickorybeam.ports import BackendClient, ConfigView, Members

__all__ = ("TICK_INTERVAL_MS", "SchedulerTask")

# An ejection is delayed by up to one tick, which is small against the policy's time constants of
# seconds.
TICK_INTERVAL_MS = 100
# With nothing queued or running, only load reports and forecasts need updating.
IDLE_TICK_INTERVAL_MS = 500
PUBLISH_INTERVAL_MS = 500


class SchedulerTask:
    """Serialises all access to the scheduler.

    :param region: this VM's region.
    """

    def __init__(
        self,
        *,
        region: str,
        clock: Clock,
        scheduler: Scheduler,
        metrics: DispatchMetrics,
        config: ConfigView,
        members: Members,
        backends: BackendClient,
    ) -> None:
        self.mailbox: Mailbox[SchedulerMessage] = Mailbox()
        self._region = region
        self._clock = clock
        self._scheduler = scheduler
        self._metrics = metrics
        self._config = config
        self._members = members
        self._backends = backends
        self._pending_replies: dict[int, Reply[Decision]] = {}
        self._recall_callbacks: dict[int, Callable[[], None]] = {}
        self._applied: tuple[int, int] | None = None
        self._published_ms: int | None = None
        self._job_offered = anyio.Event()
        self._refreshed_ms = 0

    async def run(self) -> None:
        """Handle messages until cancelled."""
        while True:
            message = await self.mailbox.get()
            self._handle(message)
            for decision in self._scheduler.poll(self._clock.now()):
                self._reply(decision)

    async def run_ticks(self) -> None:
        """Post ticks until cancelled, fewer while nothing is queued or running."""
        while True:
            self.mailbox.post(Tick())
            if not self._recall_callbacks:
                await self._wait_for_work()
            await self._clock.sleep(TICK_INTERVAL_MS)

    async def _wait_for_work(self) -> None:
        """Wait until a job is offered, or for as long as an idle VM needs no tick."""
        self._job_offered = anyio.Event()
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._end_wait, tg.cancel_scope)
            await self._job_offered.wait()
            tg.cancel_scope.cancel()

    async def _end_wait(self, scope: anyio.CancelScope) -> None:
        await self._clock.sleep(IDLE_TICK_INTERVAL_MS - TICK_INTERVAL_MS)
        scope.cancel()

    def refresh_if_stale(self) -> None:
        """Update the scheduler before the first call after an idle period.

        Its state may be ``IDLE_TICK_INTERVAL_MS`` old: the call would be refused although another
        region has reported free capacity meanwhile. A new configuration is applied at once:
        otherwise, within a tick after the ticket that adds a model's first engine, calls would be
        refused as if there were none.
        """
        if self._applied is None or self._applied[0] != self._config.current().position:
            self.refresh_config()
        now = self._clock.now()
        if now - self._refreshed_ms >= TICK_INTERVAL_MS:
            self._refresh_all(now)

    def refresh_config(self) -> None:
        """Apply the configuration in force and the number of VMs that share the servers."""
        state = self._config.current()
        vm_count = self._vm_count()
        if (state.position, vm_count) == self._applied:
            return
        self._applied = (state.position, vm_count)
        own_backends = [spec for spec in state.backends.values() if spec.region == self._region]
        costs = {name: region.cost for name, region in state.regions.items()}
        self._scheduler.configure(own_backends, sharing=vm_count, costs=costs)

    def _handle(self, message: SchedulerMessage) -> None:
        now = self._clock.now()
        match message:
            case Offer(job=job, reply=reply, recall=recall):
                self.refresh_config()
                self._recall_callbacks[job.id] = recall
                self._job_offered.set()
                decision = self._scheduler.offer(job, now)
                if decision is None:
                    self._pending_replies[job.id] = reply
                else:
                    reply.set(decision)
            case Retry(job=job, tried=tried, reply=retry_reply):
                retry_reply.set(self._scheduler.retry(job, now, tried))
            case FirstToken(job=job, backend=backend):
                self._scheduler.first_token(job, backend, now)
            case RunEnded(
                job=job, backend=backend, outcome=outcome, used_tokens=used, rest_ms=rest
            ):
                self._scheduler.run_ended(job, backend, now, outcome, used, rest_ms=rest)
            case ForwardEnded(region=region, responded=True):
                self._scheduler.regions.record_success(region)
            case ForwardEnded(region=region):
                self._scheduler.regions.record_failure(region, now)
            case CallEnded(job=job):
                self._scheduler.call_ended(job, now)
                self._pending_replies.pop(job.id, None)
                self._recall_callbacks.pop(job.id, None)
            case Tick():
                self._tick(now)

    def _reply(self, decision: Decision) -> None:
        reply = self._pending_replies.pop(decision.job.id, None)
        if reply is not None:
            reply.set(decision)
        elif isinstance(decision, Start):
            # Its caller left in the same turn; free the slot.
            now = self._clock.now()
            self._scheduler.run_ended(decision.job, decision.backend, now, Outcome.CANCELLED, 0)

    def _refresh_all(self, now: int) -> None:
        """Update configuration, load reports and the forecasts of other regions."""
        self._refreshed_ms = now
        self.refresh_config()
        for name in self._scheduler.backends.names():
            report = self._backends.report(name)
            if report is not None:
                self._scheduler.update_backend_load(report)
        self._scheduler.update_region_loads(self._members.region_loads())

    def _tick(self, now: int) -> None:
        self._refresh_all(now)
        for decision in self._scheduler.tick(now):
            self._reply(decision)
        for recall in self._scheduler.recalls(now):
            callback = self._recall_callbacks.get(recall.job.id)
            if callback is not None:
                callback()
        if self._published_ms is None or now - self._published_ms >= PUBLISH_INTERVAL_MS:
            self._published_ms = now
            self._publish_loads(now)

    def _publish_loads(self, now: int) -> None:
        served = self._served_in_region(self._config.current())
        loads = tuple(self._scheduler.region_load(name, now) for name in served)
        self._members.report_load(loads)
        self._metrics.update_gauges(self._scheduler, now)

    def _served_in_region(self, state: ConfigState) -> list[str]:
        return [
            name
            for name, backends in state.backends_by_served.items()
            if any(backend.region == self._region for backend in backends)
        ]

    def _vm_count(self) -> int:
        serving = (VmState.SERVING, VmState.JOINING)
        own_vms = [vm for vm in self._members.vms() if vm.region == self._region]
        return max(1, sum(vm.state in serving for vm in own_vms))
