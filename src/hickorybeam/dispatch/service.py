"""The dispatch service: decides where and when each call runs, and returns its response."""

from __future__ import annotations

import itertools
import random
from contextlib import aclosing
from dataclasses import replace
from typing import TYPE_CHECKING, ClassVar

import anyio

from hickorybeam.dispatch.attempts import Attempts, AttemptServices, offer_job, refusal_error
from hickorybeam.dispatch.checks import check_call
from hickorybeam.dispatch.crashed_calls import CrashedCalls
from hickorybeam.dispatch.messages import CallEnded
from hickorybeam.dispatch.metrics import DispatchMetrics, Explanation, Explanations
from hickorybeam.dispatch.reservation import TokenReservation
from hickorybeam.dispatch.running import RunningCall, RunningCalls
from hickorybeam.dispatch.scheduler_task import SchedulerTask
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

# A forwarded call carries the log position of its sender's configuration. The receiver waits this
# long to catch up before it refuses the call as not run: two heartbeats (500 ms each by default).
MAX_CATCH_UP_MS = 1_000
DRAIN_POLL_INTERVAL_MS = 50
DECISION_MARGIN_MS = 500


class DispatchService(Service):
    """Runs calls on this region's backend servers, or through a VM of another region."""

    name: ClassVar[str] = DISPATCH
    needs: ClassVar[tuple[str, ...]] = (CONFIG, MEMBERS, BUDGET, BACKENDS)

    def __init__(self, *, cfg: Settings, clock: Clock, counters: Counters) -> None:
        self._clock = clock
        self._counters = counters
        self._region = cfg.vm.region
        self._running_calls = RunningCalls(self._region)
        self._metrics = DispatchMetrics(counters)
        self._explanations = Explanations()
        self._ids = itertools.count(1)
        self._retries = RetryBudget()
        self._rng = random.Random()
        self._draining = False
        self._crashed_calls = CrashedCalls(
            clock=clock,
            counters=counters,
            backends=lambda: self._attempt_services.backends,
            members=lambda: self._attempt_services.members,
        )
        self._scheduler = Scheduler(
            region=self._region,
            profile=profile_named(cfg.load.profile),
            memory=cfg.front.memory_bytes,
            rng=self._rng,
            max_wait_ms=cfg.load.max_wait_ms,
        )

    def bind(self, kernel: Kernel) -> None:
        """Look up the services that this one uses."""
        self._config = kernel.find(CONFIG, ConfigView)  # type: ignore[type-abstract]
        self._budget = kernel.find(BUDGET, Budget)  # type: ignore[type-abstract]
        members = kernel.find(MEMBERS, Members)  # type: ignore[type-abstract]
        backends = kernel.find(BACKENDS, BackendClient)  # type: ignore[type-abstract]
        peers = kernel.find(PEERS, Peers) if kernel.has(PEERS) else None  # type: ignore[type-abstract]
        self._scheduler_task = SchedulerTask(
            region=self._region,
            clock=self._clock,
            scheduler=self._scheduler,
            metrics=self._metrics,
            config=self._config,
            members=members,
            backends=backends,
        )
        self._attempt_services = AttemptServices(
            clock=self._clock,
            config=self._config,
            members=members,
            backends=backends,
            peers=peers,
            scheduler=self._scheduler_task,
            retries=self._retries,
            rng=self._rng,
            counters=self._counters,
            metrics=self._metrics,
            crashed_calls=self._crashed_calls,
        )
        self._crashed_calls.subscribe()

    async def main(self, started: Started) -> None:
        """Run the scheduler task, and terminate calls that a ticket forbids."""
        self._scheduler_task.refresh_config()
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._scheduler_task.run)
            tg.start_soon(self._scheduler_task.run_ticks)
            tg.start_soon(self._crashed_calls.run)
            started()
            await self._watch_tickets()

    async def drain(self) -> None:
        """Refuse new calls and wait until those in flight have ended."""
        self._draining = True
        while len(self._running_calls):
            await self._clock.sleep(DRAIN_POLL_INTERVAL_MS)

    def status(self) -> dict[str, object]:
        """Return queues, limits and each account's latest explanations, for operators."""
        table = self._scheduler.backends
        waiting = self._scheduler.waiting()
        return {
            "running": len(self._running_calls),
            "waiting": {n: {"calls": jobs, "tokens": t} for n, (jobs, t) in waiting.items()},
            "limits": dict(table.limits()),
            "in_flight": dict(table.in_flight()),
            "standing": {name: table.health.state(name).name for name in table.names()},
            "retries_left": self._retries.left,
            "accounts": self._explanations.as_dict(),
        }

    async def run(self, call: Call) -> AsyncIterator[ResponsePart]:
        """Run a call and yield the parts of its response."""
        arrived_ms = self._clock.now()
        if call.idempotency_key:
            # It must run at most once, so there may be no second attempt after a byte was sent.
            call = replace(call, idempotent=False)
        try:
            if self._draining:
                raise GatewayError(ErrorKind.DRAINING)
            state = await self._config_for(call)
            permit = check_call(call, state, region=self._region)
            is_trial = self._crashed_calls.check(call)
            job = self._make_job(call, permit, arrived_ms)
            self._raise_early_refusal(job)
            async with aclosing(self._run(call, job, is_trial=is_trial)) as parts:
                async for part in parts:
                    if isinstance(part, ResponseHead):
                        self._observe_first_part(arrived_ms, call)
                    yield part
        except GatewayError as exc:
            self._counters.refusals.labels(exc.kind.value).inc()
            raise

    async def _run(
        self, call: Call, job: Job, *, is_trial: bool
    ) -> AsyncGenerator[ResponsePart, None]:
        """Run a call that passed the checks; settle and clean up however it ends.

        The call is queued only after its tokens are reserved, so that it holds no queue entry
        while it waits for a loan. The early refusal keeps overload from reaching the budget.
        """
        running = RunningCall(call, self._region)
        reservation = TokenReservation(call, self._budget)
        self._running_calls.add(running)
        try:
            await running.wait(reservation.reserve())
            self._retries.record_first_attempt()
            decision = await self._decide(running, job)
            self._record_decision(job, decision)
            if isinstance(decision, Refuse):
                raise refusal_error(decision)
            if not is_trial:
                # Servers may have ended under it while it waited.
                self._crashed_calls.check(call)
            attempts = Attempts(
                self._attempt_services,
                running,
                job,
                deadline_ms=job.deadline_ms,
                is_trial=is_trial,
            )
            async with aclosing(attempts.run(decision)) as parts:
                async for part in parts:
                    reservation.record_part(part)
                    yield part
        finally:
            self._running_calls.remove(running)
            self._scheduler_task.mailbox.post(CallEnded(job))
            reservation.settle()

    async def _decide(self, running: RunningCall, job: Job) -> Decision:
        """Wait for the scheduler's decision until shortly after the call's deadline.

        The scheduler decides each job in time unless its task crashes while handling the job.
        The message is then lost; without this limit the caller would wait for ever.
        """
        remaining_ms = max(0, job.deadline_ms - self._clock.now()) + DECISION_MARGIN_MS
        with anyio.move_on_after(remaining_ms / 1000):
            return await running.wait(offer_job(self._scheduler_task, job, running))
        raise GatewayError(ErrorKind.DEADLINE, retry_after_ms=DECISION_MARGIN_MS)

    async def _config_for(self, call: Call) -> ConfigState:
        state = self._config.current()
        if call.position <= state.position:
            return state
        return await self._config.wait_for(call.position, timeout_ms=MAX_CATCH_UP_MS)

    def _make_job(self, call: Call, permit: Permit, arrived_ms: int) -> Job:
        account = permit.account
        return Job(
            id=next(self._ids),
            account=account.name,
            served=call.served,
            cost=max(1, call.cost),
            arrived_ms=arrived_ms,
            deadline_ms=arrived_ms + call.deadline_ms,
            weight=effective_weight(account.weight, account.priority),
            priority=call.priority,
            prompt_tokens=call.prompt_tokens,
            prefix=call.prefix,
            body_bytes=len(call.body),
            may_spill=call.hops == 0,
            regions=permit.regions,
        )

    def _raise_early_refusal(self, job: Job) -> None:
        self._scheduler_task.refresh_if_stale()
        refused = self._scheduler.early_refusal(job, self._clock.now())
        if refused is not None:
            self._record_decision(job, refused)
            raise refusal_error(refused)

    def _record_decision(self, job: Job, decision: Decision) -> None:
        """Count a decision and keep its explanation for operators."""
        waited_ms = self._clock.now() - job.arrived_ms
        long = self._scheduler.is_long(job)
        match decision:
            case Start():
                self._metrics.observe_wait(waited_ms, long=long, outcome="started")
            case Spill(region=region, reason=reason):
                self._metrics.observe_wait(waited_ms, long=long, outcome="spilled")
                self._metrics.spilled.labels(region, reason.value).inc()
                self._record_explanation(job, "spilled", reason.value, region=region)
            case Refuse(kind=kind, reason=reason, retry_after_ms=retry_after_ms):
                self._metrics.observe_wait(waited_ms, long=long, outcome="refused")
                self._metrics.refused.labels(reason.value).inc()
                self._record_explanation(
                    job, kind.value, reason.value, retry_after_ms=retry_after_ms
                )

    def _record_explanation(
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

    def _observe_first_part(self, arrived_ms: int, call: Call) -> None:
        hop_label = "forwarded" if call.hops else "entry"
        seconds = (self._clock.now() - arrived_ms) / 1000
        self._metrics.first_part.labels(hop_label).observe(seconds)

    async def _watch_tickets(self) -> None:
        position = -1
        while True:
            state = await self._config.wait_past(position)
            position = state.position
            self._metrics.ended_by_ticket.inc(self._running_calls.terminate_forbidden(state))
