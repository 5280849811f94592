"""The attempts of one call: on a backend server here, or in another region."""

from __future__ import annotations

from contextlib import aclosing
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, cast

import anyio

from hickorybeam.dispatch.messages import Begun, Ended, Offer, PeerEnded, Retry
from hickorybeam.errors import ErrorKind, GatewayError, Ran
from hickorybeam.kernel import Reply
from hickorybeam.model import ResponseChunk, ResponseEnd, ResponseHead, VmState
from hickorybeam.policy.job import Outcome, Refuse, Spill, Start
from hickorybeam.policy.retry import MAX_ATTEMPTS, RetryDenied, backoff_ms, may_retry

if TYPE_CHECKING:
    import random
    from collections.abc import AsyncGenerator, AsyncIterator

    from hickorybeam.clock import Clock
    from hickorybeam.dispatch.load_task import LoadTask
    from hickorybeam.dispatch.metrics import LoadMetrics
    from hickorybeam.dispatch.running import RunningCall
    from hickorybeam.model import EntryVm, ResponsePart
    from hickorybeam.policy.job import Decision, Job
    from hickorybeam.policy.retry import RetryBudget
    from hickorybeam.ports import BackendClient, ConfigView, Members, Peers
    from hickorybeam.telemetry import Counters

__all__ = ("Attempts", "Neighbours", "close_parts")

CLOSE_TIMEOUT_S = 1.0
FIRST_SERVER_ERROR = 500
REGION_HEADER = "x-hickorybeam-region"

# What another VM may answer that leaves this region's own queue as the way out: it did not
# run the call, and the reason is its own state, not the call.
FALL_BACK = frozenset(
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
FAILED_KINDS = frozenset(
    {
        ErrorKind.BACKEND_FAILED,
        ErrorKind.BACKEND_SILENT,
        ErrorKind.BACKEND_UNKNOWN,
        ErrorKind.STREAM_BROKEN,
    }
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Neighbours:
    """What the attempts of every call share."""

    clock: Clock
    config: ConfigView
    members: Members
    backends: BackendClient
    peers: Peers | None
    load: LoadTask
    retries: RetryBudget
    rng: random.Random
    counters: Counters
    metrics: LoadMetrics


class Attempts:
    """Carries out the decisions for one call until it is answered or refused for good.

    :param running: the call in flight.
    :param job: the call as the load policy sees it.
    :param deadline: absolute, in ms of the clock.
    """

    def __init__(self, near: Neighbours, running: RunningCall, job: Job, *, deadline: int) -> None:
        self._near = near
        self._running = running
        self._job = job
        self._deadline = deadline
        self._tried: frozenset[str] = frozenset()
        self._count = 0
        self._pause = 0
        self._used = 0

    async def run(self, first: Decision) -> AsyncGenerator[ResponsePart, None]:
        """Yield the answer's parts, starting from the first decision."""
        decision = first
        while True:
            self._count += 1
            try:
                async with aclosing(self._carry_out(decision)) as parts:
                    async for part in parts:
                        self._running.begun = True
                        yield part
                return
            except GatewayError as exc:
                decision = await self._next(decision, exc)

    def _carry_out(self, decision: Decision) -> AsyncGenerator[ResponsePart, None]:
        match decision:
            case Start(backend=backend):
                return self._on_backend(backend)
            case Spill(region=region):
                return self._in_region(region)
            case Refuse():
                raise refusal(decision)

    async def _on_backend(self, name: str) -> AsyncGenerator[ResponsePart, None]:
        near, running, job = self._near, self._running, self._job
        outcome = Outcome.CANCELLED
        self._used = 0
        parts: AsyncIterator[ResponsePart] | None = None
        try:
            server = near.config.current().backends.get(name)
            if server is None:
                raise GatewayError(ErrorKind.BACKEND_REFUSED, "a ticket removed it")
            # What the queue took is gone: the engine plans with what is left.
            call = replace(running.call, deadline_ms=self._left_ms())
            parts = near.backends.run(call, server)
            failed = begun = False
            async for part in self._parts(parts):
                if isinstance(part, ResponseHead):
                    failed = part.status >= FIRST_SERVER_ERROR
                    yield replace(part, headers=(*part.headers, (REGION_HEADER, server.region)))
                    continue
                if not begun:
                    begun = True
                    near.load.mailbox.post(Begun(job, name))
                if isinstance(part, ResponseEnd):
                    outcome = Outcome.FAILED if failed else Outcome.OK
                yield part
        except GatewayError as exc:
            outcome = self._blame(exc)
            raise
        finally:
            near.load.mailbox.post(Ended(job, name, outcome, self._used))
            if parts is not None:
                await close_parts(parts)

    async def _in_region(self, region: str) -> AsyncGenerator[ResponsePart, None]:
        near, running = self._near, self._running
        vm = self._vm_in(region)
        call = replace(
            running.call,
            deadline_ms=self._left_ms(),
            position=max(running.call.position, near.config.current().position),
            # The receiver would take an idempotency key for one of its own issue.
            idempotency_key="",
        )
        parts: AsyncIterator[ResponsePart] | None = None
        answered = False
        running.region = region
        try:
            if vm is None or near.peers is None:
                raise GatewayError(ErrorKind.PEER_UNREACHABLE, ran=Ran.NO)
            parts = near.peers.forward(call, vm)
            async for part in self._parts(parts):
                answered = True
                yield part
        except GatewayError as exc:
            answered = answered or exc.kind not in FALL_BACK
            raise
        finally:
            near.load.mailbox.post(PeerEnded(region, answered))
            if parts is not None:
                await close_parts(parts)

    def _left_ms(self) -> int:
        return max(0, self._deadline - self._near.clock.now())

    async def _parts(
        self, parts: AsyncIterator[ResponsePart]
    ) -> AsyncGenerator[ResponsePart, None]:
        """Yield the parts, the head together with the first part that follows it.

        An engine sends its head long before its first token. Held until then, a call whose
        engine fails or is slow in between can still run elsewhere; the caller loses nothing,
        since the head alone tells it nothing.
        """
        running, clock = self._running, self._near.clock
        running.sent = True
        head = await running.first_part(parts, clock=clock, deadline=self._deadline)
        part = head
        if isinstance(head, ResponseHead):
            part = await running.first_part(parts, clock=clock, deadline=self._deadline)
            yield head
        while not isinstance(part, ResponseEnd):
            if isinstance(part, ResponseChunk):
                self._used += part.tokens
            yield part
            part = await running.next_part(parts)
        self._used = self._job.cost if part.usage is None else part.usage.total
        yield part

    async def _next(self, last: Decision, exc: GatewayError) -> Decision:
        """Return what to do after a failed attempt, or raise its error."""
        match last:
            case Refuse():
                raise exc
            case Spill() if not self._running.begun and exc.ran is Ran.NO and exc.kind in FALL_BACK:
                self._running.sent = False
                self._near.counters.retries.labels(exc.kind.value).inc()
                stay = replace(self._job, may_spill=False)
                self._job = stay
                return await self._running.wait(ask_offer(self._near.load, stay, self._running))
            case Start(backend=backend):
                self._tried |= {backend}
            case Spill():
                pass
        denied = self._denied(exc)
        if denied is None:
            decision = await self._again(exc)
            if decision is not None:
                self._near.counters.retries.labels(exc.kind.value).inc()
                return decision
            denied = RetryDenied.NO_OTHER
        self._near.metrics.not_retried.labels(denied.value).inc()
        raise exc

    def _denied(self, exc: GatewayError) -> RetryDenied | None:
        if self._running.begun:
            return RetryDenied.ANSWER_BEGUN
        if not may_retry(exc, idempotent=self._running.call.idempotent):
            return RetryDenied.NOT_REPEATABLE
        if self._count >= MAX_ATTEMPTS:
            return RetryDenied.ATTEMPTS
        self._pause = backoff_ms(self._pause, self._near.rng)
        if self._near.clock.now() + self._pause >= self._deadline:
            return RetryDenied.DEADLINE
        if not self._near.retries.take():
            return RetryDenied.BUDGET
        return None

    async def _again(self, exc: GatewayError) -> Decision | None:
        self._running.recalled = False
        if exc.ran is Ran.NO:
            self._running.sent = False
        await self._running.wait(self._near.clock.sleep(self._pause))
        reply: Reply[Decision | None] = Reply()
        self._near.load.mailbox.post(Retry(self._job, self._tried, reply))
        return await self._running.wait(reply.wait())

    def _blame(self, exc: GatewayError) -> Outcome:
        if self._running.ended or self._running.recalled:
            return Outcome.CANCELLED
        if exc.kind is ErrorKind.BACKEND_REFUSED:
            return Outcome.REFUSED
        return Outcome.FAILED if exc.kind in FAILED_KINDS else Outcome.CANCELLED

    def _vm_in(self, region: str) -> EntryVm | None:
        found = [
            vm
            for vm in self._near.members.vms()
            if vm.region == region and vm.state is VmState.SERVING
        ]
        return self._near.rng.choice(found) if found else None


def refusal(decision: Refuse) -> GatewayError:
    """Return the error for a refusal of the load policy."""
    return GatewayError(
        decision.kind, decision.reason.value, retry_after_ms=decision.retry_after_ms
    )


async def ask_offer(load: LoadTask, job: Job, running: RunningCall) -> Decision:
    """Offer a job and wait for the decision."""
    reply: Reply[Decision] = Reply()
    load.mailbox.post(Offer(job, reply, running.recall))
    return await reply.wait()


async def close_parts(parts: AsyncIterator[ResponsePart]) -> None:
    """Close an answer, which cancels it at the engine if it still runs there.

    Shielded, since it mostly happens while the caller's task is being cancelled: unshielded,
    the engine would never hear of it and go on generating for nobody. Bounded, so that an
    engine that hangs cannot keep the task.
    """
    with anyio.move_on_after(CLOSE_TIMEOUT_S, shield=True):
        await cast("AsyncGenerator[ResponsePart, None]", parts).aclose()
