"""The task that owns the load policy's state and turns messages into decisions."""

from __future__ import annotations

from typing import TYPE_CHECKING

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
PUBLISH_EVERY_TICKS = 5


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
        self._ticks = 0

    async def run(self) -> None:
        """Handle messages until cancelled."""
        while True:
            message = await self.mailbox.get()
            self._handle(message)
            for decision in self._scheduler.poll(self._clock.now()):
                self._answer(decision)

    async def run_ticks(self) -> None:
        """Post a tick ten times a second until cancelled."""
        while True:
            self.mailbox.post(Tick())
            await self._clock.sleep(TICK_MS)

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
                self._scheduler.finished(job, backend, now, outcome, used)
            case PeerEnded(region=region, answered=True):
                self._scheduler.regions.succeeded(region)
            case PeerEnded(region=region):
                self._scheduler.regions.failed(region, now)
            case Done(job=job):
                self._scheduler.done(job, now)
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
            self._scheduler.finished(decision.job, decision.backend, now, Outcome.CANCELLED, 0)

    def _tick(self, now: int) -> None:
        self.refresh()
        for name in self._scheduler.backends.names():
            report = self._backends.report(name)
            if report is not None:
                self._scheduler.heard_report(report)
        self._scheduler.heard_regions(self._members.region_loads())
        for decision in self._scheduler.tick(now):
            self._answer(decision)
        for recalled in self._scheduler.recalls(now):
            recall = self._recalls.get(recalled.job.id)
            if recall is not None:
                recall()
        self._ticks += 1
        if self._ticks % PUBLISH_EVERY_TICKS == 1:
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
