"""The dispatch service: where and when each call runs, and what its caller gets."""

from __future__ import annotations

import itertools
import random
from contextlib import aclosing
from dataclasses import replace
from typing import TYPE_CHECKING, ClassVar

import anyio

from hickorybeam.dispatch.attempts import Attempts, Neighbours, ask_offer, refusal
from hickorybeam.dispatch.checks import check_call
from hickorybeam.dispatch.load_task import LoadTask
from hickorybeam.dispatch.messages import Done
from hickorybeam.dispatch.metrics import Explanation, Explanations, LoadMetrics
from hickorybeam.dispatch.running import RunningCall, RunningCalls
from hickorybeam.dispatch.spend import Spend
from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.kernel import Service
from hickorybeam.model import ResponseHead
from hickorybeam.policy.fair_queue import effective_weight
from hickorybeam.policy.job import Job, Refuse, Spill, Start
from hickorybeam.policy.profile import profile_named
from hickorybeam.policy.retry import RetryBudget
from hickorybeam.policy.scheduler import Scheduler
from hickorybeam.ports import (
    BACKENDS,
    BUDGET,
    CONFIG,
    DISPATCH,
    MEMBERS,
    PEERS,
    BackendClient,
    Budget,
    ConfigView,
    Members,
    Peers,
)

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, AsyncIterator

    from hickorybeam.clock import Clock
    from hickorybeam.dispatch.checks import Permit
    from hickorybeam.kernel import Kernel, Started
    from hickorybeam.model import Call, ConfigState, ResponsePart
    from hickorybeam.policy.job import Decision
    from hickorybeam.settings import Settings
    from hickorybeam.telemetry import Counters

__all__ = ("DispatchService",)

# A forwarded call names the log position its sender acted on; this is how long the receiver
# tries to catch up before it refuses as not run: two heartbeats (500 ms each by default).
CATCH_UP_MS = 1_000
DRAIN_POLL_MS = 50
LOST_AFTER_MS = 500


class DispatchService(Service):
    """Runs calls on this region's backend servers, or through a VM of another region."""

    name: ClassVar[str] = DISPATCH
    needs: ClassVar[tuple[str, ...]] = (CONFIG, MEMBERS, BUDGET, BACKENDS)

    def __init__(self, *, cfg: Settings, clock: Clock, counters: Counters) -> None:
        self._clock = clock
        self._counters = counters
        self._region = cfg.vm.region
        self._running = RunningCalls(self._region)
        self._metrics = LoadMetrics(counters)
        self._explanations = Explanations()
        self._ids = itertools.count(1)
        self._retries = RetryBudget()
        self._rng = random.Random()
        self._draining = False
        self._scheduler = Scheduler(
            region=self._region,
            profile=profile_named(cfg.load.profile),
            memory=cfg.front.memory_bytes,
            rng=self._rng,
            max_wait_ms=cfg.load.max_wait_ms,
        )

    def bind(self, kernel: Kernel) -> None:
        """Look up neighbours."""
        self._config = kernel.find(CONFIG, ConfigView)  # type: ignore[type-abstract]
        self._budget = kernel.find(BUDGET, Budget)  # type: ignore[type-abstract]
        members = kernel.find(MEMBERS, Members)  # type: ignore[type-abstract]
        backends = kernel.find(BACKENDS, BackendClient)  # type: ignore[type-abstract]
        peers = kernel.find(PEERS, Peers) if kernel.has(PEERS) else None  # type: ignore[type-abstract]
        self._load = LoadTask(
            region=self._region,
            clock=self._clock,
            scheduler=self._scheduler,
            metrics=self._metrics,
            config=self._config,
            members=members,
            backends=backends,
        )
        self._near = Neighbours(
            clock=self._clock,
            config=self._config,
            members=members,
            backends=backends,
            peers=peers,
            load=self._load,
            retries=self._retries,
            rng=self._rng,
            counters=self._counters,
            metrics=self._metrics,
        )

    async def main(self, started: Started) -> None:
        """Run the load policy's task, and end calls that a ticket forbids."""
        self._load.refresh()
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._load.run)
            tg.start_soon(self._load.run_ticks)
            started()
            await self._watch_tickets()

    async def drain(self) -> None:
        """Refuse new calls and let the ones in flight run out."""
        self._draining = True
        while len(self._running):
            await self._clock.sleep(DRAIN_POLL_MS)

    def status(self) -> dict[str, object]:
        """Return queues, limits and the last reasons of each account, for operators."""
        table = self._scheduler.backends
        waiting = self._scheduler.waiting()
        return {
            "running": len(self._running),
            "waiting": {n: {"calls": jobs, "tokens": t} for n, (jobs, t) in waiting.items()},
            "limits": dict(table.limits()),
            "in_flight": dict(table.in_flight()),
            "standing": {name: table.health.state(name).name for name in table.names()},
            "retries_left": self._retries.left,
            "accounts": self._explanations.as_dict(),
        }

    async def run(self, call: Call) -> AsyncIterator[ResponsePart]:
        """Run a call and yield its answer's parts."""
        arrived = self._clock.now()
        if call.idempotency_key:
            # It runs at most once; a second attempt after a byte was sent would break that.
            call = replace(call, idempotent=False)
        try:
            if self._draining:
                raise GatewayError(ErrorKind.DRAINING)
            state = await self._caught_up(call)
            permit = check_call(call, state, region=self._region)
            job = self._job_of(call, permit, arrived)
            self._refuse_early(job)
            async with aclosing(self._run(call, job)) as parts:
                async for part in parts:
                    if isinstance(part, ResponseHead):
                        self._note_first_part(arrived, call)
                    yield part
        except GatewayError as exc:
            self._counters.refusals.labels(exc.kind.value).inc()
            raise

    async def _run(self, call: Call, job: Job) -> AsyncGenerator[ResponsePart, None]:
        """Run a call that passed the checks; settles and cleans up whatever the ending.

        The queue is asked only after the account paid, so that a call waiting for a loan
        holds no place; the early refusal before it keeps overload from reaching the budget.
        """
        running = RunningCall(call, self._region)
        spend = Spend(call, self._budget)
        self._running.add(running)
        try:
            await running.wait(spend.take())
            self._retries.record_first_attempt()
            decision = await self._decide(running, job)
            self._note(job, decision)
            if isinstance(decision, Refuse):
                raise refusal(decision)
            attempts = Attempts(self._near, running, job, deadline=job.deadline_ms)
            async with aclosing(attempts.run(decision)) as parts:
                async for part in parts:
                    spend.saw(part)
                    yield part
        finally:
            self._running.remove(running)
            self._load.mailbox.post(Done(job))
            spend.settle()

    async def _decide(self, running: RunningCall, job: Job) -> Decision:
        """Wait for the load policy's decision, bounded a little past the call's deadline.

        The policy answers every job in time unless its task crashed while it held the job.
        The message is then lost; without this bound its caller would wait for ever.
        """
        left = max(0, job.deadline_ms - self._clock.now()) + LOST_AFTER_MS
        with anyio.move_on_after(left / 1000):
            return await running.wait(ask_offer(self._load, job, running))
        raise GatewayError(ErrorKind.DEADLINE, retry_after_ms=LOST_AFTER_MS)

    async def _caught_up(self, call: Call) -> ConfigState:
        state = self._config.current()
        if call.position <= state.position:
            return state
        return await self._config.wait_for(call.position, timeout_ms=CATCH_UP_MS)

    def _job_of(self, call: Call, permit: Permit, arrived: int) -> Job:
        account = permit.account
        return Job(
            id=next(self._ids),
            account=account.name,
            served=call.served,
            cost=max(1, call.cost),
            arrived_ms=arrived,
            deadline_ms=arrived + call.deadline_ms,
            weight=effective_weight(account.weight, account.priority),
            priority=call.priority,
            prompt_tokens=call.prompt_tokens,
            prefix=call.prefix,
            body_bytes=len(call.body),
            may_spill=call.hops == 0,
            regions=permit.regions,
        )

    def _refuse_early(self, job: Job) -> None:
        self._load.catch_up()
        refused = self._scheduler.early_refusal(job, self._clock.now())
        if refused is not None:
            self._note(job, refused)
            raise refusal(refused)

    def _note(self, job: Job, decision: Decision) -> None:
        """Count a decision and keep its reason for the operator."""
        waited = self._clock.now() - job.arrived_ms
        long = self._scheduler.is_long(job)
        match decision:
            case Start():
                self._metrics.waited(waited, long=long, outcome="started")
            case Spill(region=region, reason=reason):
                self._metrics.waited(waited, long=long, outcome="spilled")
                self._metrics.spilled.labels(region, reason.value).inc()
                self._explain(job, "spilled", reason.value, region=region)
            case Refuse(kind=kind, reason=reason, retry_after_ms=after):
                self._metrics.waited(waited, long=long, outcome="refused")
                self._metrics.refused.labels(reason.value).inc()
                self._explain(job, kind.value, reason.value, retry_after_ms=after)

    def _explain(
        self,
        job: Job,
        kind: str,
        reason: str,
        *,
        region: str = "",
        retry_after_ms: int | None = None,
    ) -> None:
        explanation = Explanation(
            at=self._clock.wall(),
            served=job.served,
            kind=kind,
            reason=reason,
            region=region,
            retry_after_ms=retry_after_ms,
        )
        self._explanations.add(job.account, explanation)

    def _note_first_part(self, arrived: int, call: Call) -> None:
        place = "forwarded" if call.hops else "entry"
        seconds = (self._clock.now() - arrived) / 1000
        self._metrics.first_part.labels(place).observe(seconds)

    async def _watch_tickets(self) -> None:
        position = -1
        while True:
            state = await self._config.wait_past(position)
            position = state.position
            self._metrics.ended_by_ticket.inc(self._running.apply(state))
