"""The attempts of one call: on a backend server of this region, or in another region."""

from __future__ import annotations

from contextlib import aclosing
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, cast

import anyio

from hickorybeam.dispatch.messages import FirstToken, ForwardEnded, Offer, Retry, RunEnded
from hickorybeam.errors import ErrorKind, GatewayError, Ran
from hickorybeam.kernel import Reply
from hickorybeam.model import ResponseChunk, ResponseEnd, ResponseHead, VmState
from hickorybeam.policy.job import Outcome, Refuse, Spill, Start
from hickorybeam.policy.retry import MAX_ATTEMPTS, RetryDenied, backoff_ms, may_retry

if TYPE_CHECKING:
    import random
    from collections.abc import AsyncGenerator, AsyncIterator

    from hickorybeam.clock import Clock
    from hickorybeam.dispatch.crashed_calls import CrashedCalls
    from hickorybeam.dispatch.metrics import DispatchMetrics
    from hickorybeam.dispatch.running import RunningCall
    from hickorybeam.dispatch.scheduler_task import SchedulerTask
    from hickorybeam.model import EntryVm, ResponsePart
    from hickorybeam.policy.job import Decision, Job
    from hickorybeam.policy.retry import RetryBudget
    from hickorybeam.ports import BackendClient, ConfigView, Members, Peers
    from hickorybeam.telemetry import Counters

__all__ = ("AttemptServices", "Attempts", "close_parts")

CLOSE_TIMEOUT_S = 1.0
FIRST_SERVER_ERROR = 500
REGION_HEADER = "x-hickorybeam-region"

# Errors of another VM after which the call is offered to this region's own queue: that VM did not
# run the call, and the reason is its own state, not the call.
FALLBACK_KINDS = frozenset(
    {
        ErrorKind.OVERLOADED,
        ErrorKind.VM_FULL,
        ErrorKind.NO_BACKEND,
        ErrorKind.DRAINING,
        ErrorKind.NOT_READY,
        ErrorKind.CONFIG_BEHIND,
        ErrorKind.CONFIG_STALE,
        ErrorKind.PEER_UNREACHABLE,
        ErrorKind.PEER_REFUSED,
        ErrorKind.HOP_LIMIT,
        ErrorKind.RESIDENCY,
        ErrorKind.BACKEND_REFUSED,
    }
)
SERVER_FAILURE_KINDS = frozenset(
    {
        ErrorKind.BACKEND_FAILED,
        ErrorKind.BACKEND_SILENT,
        ErrorKind.BACKEND_UNKNOWN,
        ErrorKind.STREAM_BROKEN,
    }
)


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptServices:
    """The services and state that the attempts of all calls share."""

    clock: Clock
    config: ConfigView
    members: Members
    backends: BackendClient
    peers: Peers | None
    scheduler: SchedulerTask
    retries: RetryBudget
    rng: random.Random
    counters: Counters
    metrics: DispatchMetrics
    crashed_calls: CrashedCalls


class Attempts:
    """Executes the decisions for one call until it is answered or finally refused.

    :param job: the call as the load policy sees it.
    :param deadline_ms: time on the monotonic clock.
    :param is_trial: it is sent to see whether it still ends servers.
    """

    def __init__(
        self,
        services: AttemptServices,
        running: RunningCall,
        job: Job,
        *,
        deadline_ms: int,
        is_trial: bool = False,
    ) -> None:
        self._is_trial = is_trial
        self._services = services
        self._running = running
        self._job = job
        self._deadline_ms = deadline_ms
        self._tried: frozenset[str] = frozenset()
        self._attempt_count = 0
        self._backoff_ms = 0
        self._used_tokens = 0

    async def run(self, first: Decision) -> AsyncGenerator[ResponsePart, None]:
        """Yield the parts of the response, starting with the first decision."""
        decision = first
        while True:
            self._attempt_count += 1
            try:
                async with aclosing(self._run_attempt(decision)) as parts:
                    async for part in parts:
                        self._running.response_started = True
                        yield part
                return
            except GatewayError as exc:
                decision = await self._decide_next(decision, exc)

    def _run_attempt(self, decision: Decision) -> AsyncGenerator[ResponsePart, None]:
        match decision:
            case Start(backend=backend):
                return self._run_on_backend(backend)
            case Spill(region=region):
                return self._run_in_region(region)
            case Refuse():
                raise refusal_error(decision)

    async def _run_on_backend(self, name: str) -> AsyncGenerator[ResponsePart, None]:
        services, running, job = self._services, self._running, self._job
        outcome, rest_ms = Outcome.CANCELLED, 0
        self._used_tokens = 0
        parts: AsyncIterator[ResponsePart] | None = None
        server, sent_ms = services.config.current().backends.get(name), services.clock.now()
        try:
            if server is None:
                raise GatewayError(ErrorKind.BACKEND_REFUSED, "a ticket removed it")
            # The engine schedules by the time that remains after queueing.
            call = replace(running.call, deadline_ms=self._remaining_ms())
            parts = services.backends.run(call, server)
            failed = first_token_reported = False
            async for part in self._hold_head(parts):
                if isinstance(part, ResponseHead):
                    failed = part.status >= FIRST_SERVER_ERROR
                    yield replace(part, headers=(*part.headers, (REGION_HEADER, server.region)))
                    continue
                if not first_token_reported:
                    first_token_reported = True
                    services.scheduler.mailbox.post(FirstToken(job, name))
                if isinstance(part, ResponseEnd):
                    outcome = Outcome.FAILED if failed else Outcome.OK
                    services.crashed_calls.record_whole(call, server, is_trial=self._is_trial)
                yield part
        except GatewayError as exc:
            outcome = self._outcome_of(exc)
            if outcome is Outcome.REFUSED:
                rest_ms = exc.retry_after_ms or 0
            if outcome is Outcome.FAILED and server is not None:
                # A repeat sent sooner, by this VM or by the caller, could reach the next server.
                await services.crashed_calls.record_broken(running.call, server, sent_ms)
            raise
        finally:
            services.scheduler.mailbox.post(
                RunEnded(job, name, outcome, self._used_tokens, rest_ms)
            )
            if outcome is Outcome.CANCELLED and parts is not None and server is not None:
                services.crashed_calls.record_left(running.call, server, sent_ms)
            if parts is not None:
                await close_parts(parts)

    async def _run_in_region(self, region: str) -> AsyncGenerator[ResponsePart, None]:
        services, running = self._services, self._running
        vm = self._choose_vm(region)
        call = replace(
            running.call,
            deadline_ms=self._remaining_ms(),
            position=max(running.call.position, services.config.current().position),
            # The receiver would treat the idempotency key as issued by itself.
            idempotency_key="",
        )
        parts: AsyncIterator[ResponsePart] | None = None
        responded = False
        running.region = region
        try:
            if vm is None or services.peers is None:
                raise GatewayError(ErrorKind.PEER_UNREACHABLE, ran=Ran.NO)
            parts = services.peers.forward(call, vm)
            async for part in self._hold_head(parts):
                responded = True
                yield part
        except GatewayError as exc:
            responded = responded or exc.kind not in FALLBACK_KINDS
            raise
        finally:
            services.scheduler.mailbox.post(ForwardEnded(region, responded))
            if parts is not None:
                await close_parts(parts)

    def _remaining_ms(self) -> int:
        return max(0, self._deadline_ms - self._services.clock.now())

    async def _hold_head(
        self, parts: AsyncIterator[ResponsePart]
    ) -> AsyncGenerator[ResponsePart, None]:
        """Yield the parts, holding the head back until the first part after it.

        An engine sends its head long before its first token. While the head is held, a call
        whose engine fails or is slow can still run elsewhere. The caller loses nothing, since
        it can't use the head alone.
        """
        running, clock = self._running, self._services.clock
        running.sent = True
        head = await running.first_part(parts, clock=clock, deadline_ms=self._deadline_ms)
        part = head
        if isinstance(head, ResponseHead):
            part = await running.first_part(parts, clock=clock, deadline_ms=self._deadline_ms)
            yield head
        while not isinstance(part, ResponseEnd):
            if isinstance(part, ResponseChunk):
                self._used_tokens += part.tokens
            yield part
            part = await running.next_part(parts)
        self._used_tokens = self._job.cost if part.usage is None else part.usage.total
        yield part

    async def _decide_next(self, last: Decision, exc: GatewayError) -> Decision:
        """Return the decision after a failed attempt, or raise its error."""
        match last:
            case Refuse():
                raise exc
            case Spill() if (
                not self._running.response_started
                and exc.ran is Ran.NO
                and exc.kind in FALLBACK_KINDS
            ):
                self._running.sent = False
                self._services.counters.retries.labels(exc.kind.value).inc()
                own_region_job = replace(self._job, may_spill=False)
                self._job = own_region_job
                return await self._running.wait(
                    offer_job(self._services.scheduler, own_region_job, self._running)
                )
            case Start(backend=backend):
                self._tried |= {backend}
            case Spill():
                pass
        denied = self._retry_denied(exc)
        if denied is None:
            decision = await self._retry(exc)
            if decision is not None:
                self._services.counters.retries.labels(exc.kind.value).inc()
                return decision
            denied = RetryDenied.NO_OTHER
        self._services.metrics.retries_denied.labels(denied.value).inc()
        raise exc

    def _retry_denied(self, exc: GatewayError) -> RetryDenied | None:
        if self._running.response_started:
            return RetryDenied.ANSWER_BEGUN
        if not may_retry(exc, idempotent=self._running.call.idempotent):
            return RetryDenied.NOT_REPEATABLE
        if self._attempt_count >= MAX_ATTEMPTS:
            return RetryDenied.ATTEMPTS
        if self._services.crashed_calls.is_suspected(self._running.call):
            return RetryDenied.SUSPECTED
        self._backoff_ms = backoff_ms(self._backoff_ms, self._services.rng)
        if self._services.clock.now() + self._backoff_ms >= self._deadline_ms:
            return RetryDenied.DEADLINE
        if not self._services.retries.take():
            return RetryDenied.BUDGET
        return None

    async def _retry(self, exc: GatewayError) -> Decision | None:
        self._running.recalled = False
        if exc.ran is Ran.NO:
            self._running.sent = False
        await self._running.wait(self._services.clock.sleep(self._backoff_ms))
        reply: Reply[Decision | None] = Reply()
        self._services.scheduler.mailbox.post(Retry(self._job, self._tried, reply))
        return await self._running.wait(reply.wait())

    def _outcome_of(self, exc: GatewayError) -> Outcome:
        if self._running.terminated or self._running.recalled:
            return Outcome.CANCELLED
        if exc.kind is ErrorKind.BACKEND_REFUSED:
            return Outcome.REFUSED
        return Outcome.FAILED if exc.kind in SERVER_FAILURE_KINDS else Outcome.CANCELLED

    def _choose_vm(self, region: str) -> EntryVm | None:
        candidates = [
            vm
            for vm in self._services.members.vms()
            if vm.region == region and vm.state is VmState.SERVING
        ]
        return self._services.rng.choice(candidates) if candidates else None


def refusal_error(decision: Refuse) -> GatewayError:
    """Return the error for a refusal by the load policy."""
    return GatewayError(
        decision.kind, decision.reason.value, retry_after_ms=decision.retry_after_ms
    )


async def offer_job(scheduler: SchedulerTask, job: Job, running: RunningCall) -> Decision:
    """Offer a job to the scheduler and wait for its decision."""
    reply: Reply[Decision] = Reply()
    scheduler.mailbox.post(Offer(job, reply, running.recall))
    return await reply.wait()


async def close_parts(parts: AsyncIterator[ResponsePart]) -> None:
    """Close a response, which cancels it at the engine if it still runs there.

    Shielded, because this mostly happens while the caller's task is being cancelled: otherwise
    the engine would not get the cancel and go on generating for nobody. Bounded, so that an
    engine that hangs cannot block the task.
    """
    with anyio.move_on_after(CLOSE_TIMEOUT_S, shield=True):
        await cast("AsyncGenerator[ResponsePart, None]", parts).aclose()
