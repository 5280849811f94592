"""The task that owns the load policy's state and turns messages into decisions."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from hickorybeam.dispatch.messages import Begun, Done, Ended, Offer, PeerEnded, Retry, Tick
from hickorybeam.kernel import Mailbox
from hickorybeam.model import VmState
from hickorybeam.policy.job import Outcome, Start

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorybeam.clock import Clock
    from hickorybeam.dispatch.messages import Message
    from hickorybeam.dispatch.metrics import LoadMetrics
    from hickorybeam.kernel import Reply
    from hickorybeam.model import ConfigState
    from hickorybeam.policy.job import Decision
    from hickorybeam.policy.scheduler import Scheduler
    from hickorybeam.ports import BackendClient, ConfigView, Members

__all__ = ("TICK_MS", "LoadTask")

# Ten times a second: an ejection waits for up to a tick, and 100 ms is small against the
# seconds that the policy's time constants span.
TICK_MS = 100
# With nothing waiting or running only reports and forecasts are to be taken over.
IDLE_TICK_MS = 500
PUBLISH_EVERY_MS = 500


class LoadTask:
    """Serialises everything that reads or changes the scheduler.

    :param region: this VM's region.
    """

    def __init__(
        self,
        *,
        region: str,
        clock: Clock,
        scheduler: Scheduler,
        metrics: LoadMetrics,
        config: ConfigView,
        members: Members,
        backends: BackendClient,
    ) -> None:
        self.mailbox: Mailbox[Message] = Mailbox()
        self._region = region
        self._clock = clock
        self._scheduler = scheduler
        self._metrics = metrics
        self._config = config
        self._members = members
        self._backends = backends
        self._waiting: dict[int, Reply[Decision]] = {}
        self._recalls: dict[int, Callable[[], None]] = {}
        self._seen: tuple[int, int] | None = None
        self._published: int | None = None
        self._offered = anyio.Event()
        self._taken_in = 0

    async def run(self) -> None:
        """Handle messages until cancelled."""
        while True:
            message = await self.mailbox.get()
            self._handle(message)
            for decision in self._scheduler.poll(self._clock.now()):
                self._answer(decision)

    async def run_ticks(self) -> None:
        """Post ticks, fewer while nothing waits or runs, until cancelled."""
        while True:
            self.mailbox.post(Tick())
            if not self._recalls:
                await self._rest()
            await self._clock.sleep(TICK_MS)

    async def _rest(self) -> None:
        """Wait until there is work, or for as long as an idle VM goes without a tick."""
        self._offered = anyio.Event()
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._end_rest, tg.cancel_scope)
            await self._offered.wait()
            tg.cancel_scope.cancel()

    async def _end_rest(self, scope: anyio.CancelScope) -> None:
        await self._clock.sleep(IDLE_TICK_MS - TICK_MS)
        scope.cancel()

    def catch_up(self) -> None:
        """Hear the latest before the first call after a rest is judged.

        What is known then is up to ``IDLE_TICK_MS`` old: a call would be refused although
        another region has told of room meanwhile. A configuration that came into force since
        counts at once: within a tick after the ticket that brought a model's first engine, calls
        would be refused as without any.
        """
        if self._seen is None or self._seen[0] != self._config.current().position:
            self.refresh()
        now = self._clock.now()
        if now - self._taken_in >= TICK_MS:
            self._take_in(now)

    def refresh(self) -> None:
        """Take over the configuration in force and the number of VMs that share it."""
        state = self._config.current()
        sharing = self._sharing()
        if (state.position, sharing) == self._seen:
            return
        self._seen = (state.position, sharing)
        here = [spec for spec in state.backends.values() if spec.region == self._region]
        costs = {name: region.cost for name, region in state.regions.items()}
        self._scheduler.configure(here, sharing=sharing, costs=costs)

    def _handle(self, message: Message) -> None:
        now = self._clock.now()
        match message:
            case Offer(job=job, reply=reply, recall=recall):
                self.refresh()
                self._recalls[job.id] = recall
                self._offered.set()
                decision = self._scheduler.offer(job, now)
                if decision is None:
                    self._waiting[job.id] = reply
                else:
                    reply.set(decision)
            case Retry(job=job, tried=tried, reply=retried):
                retried.set(self._scheduler.retry(job, now, tried))
            case Begun(job=job, backend=backend):
                self._scheduler.first_token(job, backend, now)
            case Ended(job=job, backend=backend, outcome=outcome, used=used):
                self._scheduler.run_ended(job, backend, now, outcome, used)
            case PeerEnded(region=region, answered=True):
                self._scheduler.regions.record_success(region)
            case PeerEnded(region=region):
                self._scheduler.regions.record_failure(region, now)
            case Done(job=job):
                self._scheduler.call_ended(job, now)
                self._waiting.pop(job.id, None)
                self._recalls.pop(job.id, None)
            case Tick():
                self._tick(now)

    def _answer(self, decision: Decision) -> None:
        reply = self._waiting.pop(decision.job.id, None)
        if reply is not None:
            reply.set(decision)
        elif isinstance(decision, Start):
            # Its caller left in the same turn; the slot must not stay taken.
            now = self._clock.now()
            self._scheduler.run_ended(decision.job, decision.backend, now, Outcome.CANCELLED, 0)

    def _take_in(self, now: int) -> None:
        """Hear what reports and other regions say."""
        self._taken_in = now
        self.refresh()
        for name in self._scheduler.backends.names():
            report = self._backends.report(name)
            if report is not None:
                self._scheduler.update_backend_load(report)
        self._scheduler.update_region_loads(self._members.region_loads())

    def _tick(self, now: int) -> None:
        self._take_in(now)
        for decision in self._scheduler.tick(now):
            self._answer(decision)
        for recalled in self._scheduler.recalls(now):
            recall = self._recalls.get(recalled.job.id)
            if recall is not None:
                recall()
        if self._published is None or now - self._published >= PUBLISH_EVERY_MS:
            self._published = now
            self._publish(now)

    def _publish(self, now: int) -> None:
        served = self._served_here(self._config.current())
        loads = tuple(self._scheduler.region_load(name, now) for name in served)
        self._members.report_load(loads)
        self._metrics.show(self._scheduler, now)

    def _served_here(self, state: ConfigState) -> list[str]:
        return [
            name
            for name, backends in state.backends_by_served.items()
            if any(backend.region == self._region for backend in backends)
        ]

    def _sharing(self) -> int:
        serving = (VmState.SERVING, VmState.JOINING)
        here = [vm for vm in self._members.vms() if vm.region == self._region]
        return max(1, sum(vm.state in serving for vm in here))
