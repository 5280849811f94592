"""Decide which job runs next, on which server or in which region, and which is refused.

One scheduler is the whole of a VM's load policy. It is called with each event (jobs, first
tokens, ends, reports) and its time, and returns decisions; it reads no clock and does no
I/O. The daemon's dispatch task and bench/load_policy.py both drive this same class.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hickorybeam.errors import ErrorKind
from hickorybeam.model import RegionLoad
from hickorybeam.policy.admission import WaitLimit, retry_after_ms
from hickorybeam.policy.backend_table import BackendTable
from hickorybeam.policy.concurrency import is_long_job
from hickorybeam.policy.fair_queue import FairQueue
from hickorybeam.policy.forecast import DrainRate, RunningMedian
from hickorybeam.policy.job import Decision, Outcome, Reason, Recall, Refuse, Spill, Start
from hickorybeam.policy.region_choice import RegionChoice
from hickorybeam.policy.shedding import BodyMemoryLimit, jobs_to_shed

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from hickorybeam.model import BackendServer, LoadReport
    from hickorybeam.policy.job import Job
    from hickorybeam.policy.profile import Profile

__all__ = ("Scheduler",)

# Waiting jobs are shed when the backlog exceeds what drains within the maximum wait by this
# factor. Above 1, because the forecast varies by some tens of percent between bunches of starts,
# and a job that was admitted should not lose its turn to noise.
SHED_FACTOR = 1.5
# Weight of a new sample in the average time to the first token.
FIRST_TOKEN_WEIGHT = 0.1


@dataclass(slots=True)
class Pool:
    """The jobs that wait for one model or plain service.

    ``first_token_ms`` is the average time to the first token, scaled to an empty prompt.
    """

    served: str
    queue: FairQueue = field(default_factory=FairQueue)
    drain_rate: DrainRate = field(default_factory=DrainRate)
    median_cost: RunningMedian = field(default_factory=RunningMedian)
    first_token_ms: float = 0.0

    def is_long(self, job: Job) -> bool:
        return is_long_job(job.cost, self.median_cost.value)


class Scheduler:
    """The load policy of one entry VM.

    :param region: this VM's region.
    :param profile: margins and limits.
    :param memory: bytes of request bodies that this VM may hold.
    :param rng: source of every random choice, seeded by tests.
    :param max_wait_ms: lowers the profile's limit on waits.
    """

    def __init__(
        self,
        *,
        region: str,
        profile: Profile,
        memory: int,
        rng: random.Random,
        max_wait_ms: int | None = None,
    ) -> None:
        limits = [profile.max_wait_ms]
        if max_wait_ms is not None:
            limits.append(max_wait_ms)
        self._max_wait_ms = min(limits)
        self._region = region
        self._rng = rng
        self._pools: dict[str, Pool] = {}
        self._running: dict[int, str] = {}
        self._holding_memory: set[int] = set()
        self._memory = BodyMemoryLimit(memory)
        self.backends = BackendTable(rng=rng)
        self.regions = RegionChoice(here=region, profile=profile)

    # Configuration and load reports.

    def configure(
        self, specs: Iterable[BackendServer], *, sharing: int, costs: dict[str, float]
    ) -> None:
        """Set this region's backend servers, how many VMs share them, and region prices."""
        self.backends.configure(specs, sender_count=sharing)
        self.regions.configure(costs=costs, senders=sharing)

    def update_backend_load(self, report: LoadReport) -> None:
        """Take a backend server's load report."""
        self.backends.update_load(report)

    def update_region_loads(self, loads: Iterable[RegionLoad]) -> None:
        """Take other regions' load reports."""
        for load in loads:
            self.regions.update_loads(
                (load,), job_cost=self._pool(load.served).median_cost.value or 1.0
            )

    # Jobs.

    def early_refusal(self, job: Job, now: int) -> Refuse | None:
        """Return the refusal that ``offer`` would return, without changing anything.

        Called before an account's tokens are taken, so that under overload a refusal costs no
        call to the budget and no loan.
        """
        if not self._memory.fits(job.account, job.body_bytes):
            return self._refuse(job, ErrorKind.VM_FULL, Reason.MEMORY, 0.0, 0.0)
        pool = self._pool(job.served)
        refusal = self._local_refusal(pool, job, now)
        if refusal is None or self._choose_region(job, now, math.inf) is not None:
            return None
        return refusal

    def offer(self, job: Job, now: int) -> Decision | None:
        """Accept a new job; return ``None`` if it waits for ``poll`` to start it."""
        if not self._memory.fits(job.account, job.body_bytes):
            return self._refuse(job, ErrorKind.VM_FULL, Reason.MEMORY, 0.0, 0.0)
        pool = self._pool(job.served)
        pool.median_cost.add(job.cost)
        refusal = self._local_refusal(pool, job, now)
        failing = self.backends.all_failing(job.served, now)
        wait = math.inf if refusal is not None or failing else self.expected_wait_ms(job, now)
        region = self._choose_region(job, now, wait)
        if region is not None:
            self._reserve_memory(job)
            return self._spill(pool, job, region, wait, now)
        if refusal is not None:
            return refusal
        self.regions.record_local(job)
        self._advance(pool, now)
        self._reserve_memory(job)
        pool.queue.push(job, long=pool.is_long(job))
        return None

    def retry(self, job: Job, now: int, tried: frozenset[str]) -> Decision | None:
        """Start a job again at another server, at once; return ``None`` if there is none.

        It has waited its turn already, so it may exceed the adaptive limit.

        :param tried: servers that failed it; it is not sent to them again.
        """
        pool = self._pool(job.served)
        if self.backends.mostly_failing(job.served, now):
            region = self._choose_region(job, now, math.inf)
            if region is not None:
                return self._spill(pool, job, region, math.inf, now)
        name = self.backends.pick(job, now, long=False, tried=tried)
        if name is None:
            untried = [it for it in self.backends.pool(job.served) if it not in tried]
            serving = [it for it in untried if self.backends.health.weight(it, now) > 0]
            name = self._rng.choice(serving) if serving else None
        if name is None:
            region = self._choose_region(job, now, math.inf)
            return None if region is None else self._spill(pool, job, region, math.inf, now)
        return self._start(pool, job, name, now)

    def poll(self, now: int) -> list[Decision]:
        """Start every waiting job for which there is a free slot."""
        decisions: list[Decision] = []
        for pool in self._pools.values():
            if len(pool.queue):
                self._advance(pool, now)
                self._start_waiting(pool, now, decisions)
        return decisions

    def first_token(self, job: Job, backend: str, now: int) -> None:
        """Record the first token of a response."""
        sample = self.backends.record_first_token(job, backend, now)
        if sample is not None:
            pool = self._pool(job.served)
            pool.first_token_ms += FIRST_TOKEN_WEIGHT * (sample - pool.first_token_ms)

    def run_ended(
        self, job: Job, backend: str, now: int, outcome: Outcome, used: int, *, rest_ms: int = 0
    ) -> None:
        """Record the end of a run on a server.

        :param used: tokens that the job used.
        :param rest_ms: for how long a server that refused it wants no calls.
        """
        if self._running.pop(job.id, None) is None:
            return
        self._pool(job.served).queue.settle(job.account, job.cost, used)
        self.backends.record_end(job, backend, now, outcome, rest_ms=rest_ms)

    def call_ended(self, job: Job, now: int) -> None:
        """Release what a call holds, however it ended; safe to call twice."""
        pool = self._pool(job.served)
        self._advance(pool, now)
        pool.queue.remove(job.id)
        if job.id in self._holding_memory:
            self._holding_memory.discard(job.id)
            self._memory.release(job.account, job.body_bytes)

    def tick(self, now: int) -> list[Decision]:
        """Update health states, drop jobs that cannot run in time, and start those that can.

        To be called about ten times a second.
        """
        self.backends.tick(now)
        decisions: list[Decision] = []
        for pool in self._pools.values():
            self._advance(pool, now)
            for job, kind, reason in self._jobs_to_drop(pool, now):
                decisions.append(self._drop(pool, job, kind, reason, now))
            self._spill_waiting(pool, now, decisions)
        decisions.extend(self.poll(now))
        return decisions

    def recalls(self, now: int) -> list[Recall]:
        """Return the jobs to cancel at slow servers and run elsewhere; called after ``tick``."""
        return [Recall(job, name) for job, name in self.backends.take_overdue_jobs(now)]

    # Forecasts.

    def expected_wait_ms(self, job: Job, now: int) -> float:
        """Return the expected wait of a new job here."""
        pool = self._pool(job.served)
        if not len(pool.queue) and self.backends.has_slot(job.served, now, long=pool.is_long(job)):
            return 0.0
        capacity = self.backends.capacity(job.served, now)
        ahead = pool.queue.tokens_ahead(job.account, job.weight) + job.cost
        drained = pool.drain_rate.wait_ms(ahead, capacity)
        return max(drained, self.backends.ms_until_available(job.served, now))

    def region_load(self, served: str, now: int) -> RegionLoad:
        """Return this region's load report for the others, as this VM sees it."""
        pool = self._pool(served)
        capacity = self.backends.capacity(served, now)
        job_cost = pool.median_cost.value or 1.0
        failing = self.backends.all_failing(served, now)
        wait = math.inf if failing else pool.drain_rate.wait_ms(pool.queue.backlog, capacity)
        free = 0.0 if failing else self.backends.free_tokens(served, now, job_cost=job_cost)
        return RegionLoad(
            region=self._region,
            served=served,
            wait_ms=wait if math.isfinite(wait) else float(self._max_wait_ms * 10),
            free_tokens=max(0.0, free - pool.queue.backlog),
            at_ms=now,
        )

    def is_long(self, job: Job) -> bool:
        """Return whether a job counts as long among those so far."""
        return self._pool(job.served).is_long(job)

    def waiting(self) -> dict[str, tuple[int, float]]:
        """Return the number of waiting jobs and their tokens, by model or plain service."""
        return {name: (len(pool.queue), pool.queue.backlog) for name, pool in self._pools.items()}

    @property
    def memory_held(self) -> int:
        """Bytes of request bodies that this VM holds."""
        return self._memory.held

    def _reserve_memory(self, job: Job) -> None:
        self._holding_memory.add(job.id)
        self._memory.reserve(job.account, job.body_bytes)

    def _pool(self, served: str) -> Pool:
        found = self._pools.get(served)
        if found is None:
            found = self._pools[served] = Pool(served)
        return found

    def _advance(self, pool: Pool, now: int) -> None:
        capacity = self.backends.capacity(pool.served, now)
        pool.drain_rate.advance(now, capacity=capacity, waiting=len(pool.queue) > 0)

    def _wait_limit(self, pool: Pool, job: Job, now: int) -> WaitLimit:
        return WaitLimit(
            max_wait_ms=float(self._max_wait_ms - (now - job.arrived_ms)),
            remaining_ms=float(job.deadline_ms - now),
            first_token_ms=pool.first_token_ms,
        )

    def _local_refusal(self, pool: Pool, job: Job, now: int) -> Refuse | None:
        if not self.backends.pool(job.served) or self._region not in job.regions:
            return self._refuse(job, ErrorKind.NO_BACKEND, Reason.NO_BACKEND, math.inf, 0.0)
        wait = self.expected_wait_ms(job, now)
        limit = self._wait_limit(pool, job, now)
        if wait <= limit.ms:
            return None
        if limit.limited_by_deadline and limit.ms < 0:
            return self._refuse(job, ErrorKind.DEADLINE, Reason.DEADLINE, wait, limit.ms)
        reason = Reason.DEADLINE if limit.limited_by_deadline else Reason.WAIT
        return self._refuse(job, ErrorKind.OVERLOADED, reason, wait, limit.ms)

    def _refuse(
        self, job: Job, kind: ErrorKind, reason: Reason, wait: float, max_wait_ms: float
    ) -> Refuse:
        return Refuse(job, kind, reason, retry_after_ms(wait, max_wait_ms, self._rng))

    def _choose_region(self, job: Job, now: int, wait: float) -> str | None:
        if not job.may_spill or wait <= 0:
            return None
        return self.regions.choose(job, local_wait_ms=wait, now=now)

    def _spill(self, pool: Pool, job: Job, region: str, wait: float, now: int) -> Spill:
        self.regions.record_sent(job, region, now)
        served_here = bool(self.backends.pool(pool.served))
        return Spill(job, region, self.regions.spill_reason(wait, served_here=served_here))

    def _spill_waiting(self, pool: Pool, now: int, decisions: list[Decision]) -> None:
        """Send waiting jobs to other regions, whose quotas are renewed while the jobs wait.

        The latest job of the largest backlog goes, since it has the longest wait ahead of it.
        """
        failing = self.backends.all_failing(pool.served, now)
        while (job := pool.queue.last_job()) is not None:
            wait = math.inf if failing else self.expected_wait_ms(job, now)
            region = self._choose_region(job, now, wait)
            if region is None:
                return
            pool.queue.remove(job.id)
            decisions.append(self._spill(pool, job, region, wait, now))

    def _start_waiting(self, pool: Pool, now: int, decisions: list[Decision]) -> None:
        while len(pool.queue):
            short = self.backends.has_slot(pool.served, now, long=False)
            long = short and self.backends.has_slot(pool.served, now, long=True)
            job = pool.queue.pop(short=short, long=long)
            if job is None:
                return
            backend = self.backends.pick(job, now, long=pool.is_long(job))
            if backend is None:
                # The median moved since the job was queued, and it counts as long only now.
                backend = self.backends.pick(job, now, long=False)
            assert backend is not None
            if job.arrived_ms < now or len(pool.queue):
                pool.drain_rate.record_drained(job.cost)
            decisions.append(self._start(pool, job, backend, now))

    def _start(self, pool: Pool, job: Job, backend: str, now: int) -> Start:
        self.backends.record_start(job, backend, now, long=pool.is_long(job))
        self._running[job.id] = backend
        return Start(job, backend)

    def _jobs_to_drop(self, pool: Pool, now: int) -> list[tuple[Job, ErrorKind, Reason]]:
        late = [
            (job, ErrorKind.DEADLINE, Reason.DEADLINE)
            if limit.limited_by_deadline
            else (job, ErrorKind.OVERLOADED, Reason.WAIT)
            for job in pool.queue.jobs()
            if (limit := self._wait_limit(pool, job, now)).ms < 0
        ]
        if late:
            return late
        if not self.backends.pool(pool.served):
            return [(job, ErrorKind.NO_BACKEND, Reason.NO_BACKEND) for job in pool.queue.jobs()]
        capacity = self.backends.capacity(pool.served, now)
        max_backlog_tokens = (
            pool.drain_rate.per_second(capacity) * self._max_wait_ms * SHED_FACTOR / 1000
        )
        shed = jobs_to_shed(pool.queue, max_backlog_tokens=max_backlog_tokens)
        return [(job, ErrorKind.OVERLOADED, Reason.SHED) for job in shed]

    def _drop(self, pool: Pool, job: Job, kind: ErrorKind, reason: Reason, now: int) -> Decision:
        pool.queue.remove(job.id)
        region = self._choose_region(job, now, math.inf)
        if region is not None and job.deadline_ms > now:
            return self._spill(pool, job, region, math.inf, now)
        capacity = self.backends.capacity(pool.served, now)
        wait = pool.drain_rate.wait_ms(pool.queue.backlog, capacity)
        return self._refuse(job, kind, reason, wait, float(self._max_wait_ms))
