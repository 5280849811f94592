"""Entry VMs, engines and callers on simulated time, driving the real policy classes.

Scaffolding for bench/load_policy.py and no more: events in a heap, delays as constants, one
model. Times are floats in ms; the scheduler is given whole ms, as in the daemon.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from dataclasses import dataclass, field, replace
from functools import partial
from typing import TYPE_CHECKING

from bench.load.baselines import LeastRequests, RoundRobin
from bench.load.engines import Engine, Work

from hickorybeam.policy.fair_queue import effective_weight
from hickorybeam.policy.job import Job, Outcome, Reason, Recall, Refuse, Spill, Start
from hickorybeam.policy.profile import profile_named
from hickorybeam.policy.retry import MAX_ATTEMPTS, RetryBudget, backoff_ms
from hickorybeam.policy.scheduler import Scheduler

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorybeam.policy.job import Decision

MODEL = "model"
ENGINE_MS = 1.0
FAILURE_MS = 3.0
TICK_MS = 100.0
REPORT_MS = 500.0
FOREVER = 1e12


@dataclass(frozen=True, slots=True, kw_only=True)
class Source:
    """One account's callers in one region: a Poisson process between two times.

    :param rate: requests a second.
    :param output: mean tokens of an answer.
    :param most: ``max_tokens`` of a request.
    :param hot_prefix: share of requests that carry the same prefix.
    :param vm: index of the only VM asked, -1 for all in turn.
    """

    account: str
    rate: float
    region: str = "a"
    begin: float = 0.0
    end: float = FOREVER
    prompt: int = 200
    output: int = 80
    most: int = 256
    weight: float = 1.0
    priority: int = 0
    deadline: float = 15_000.0
    hot_prefix: float = 0.0
    vm: int = -1
    long: bool = False


@dataclass(slots=True)
class Request:
    """One request and what its caller received."""

    source: Source
    arrived: float
    prompt: int
    output: int
    prefix: str
    first: float = 0.0
    end: float = 0.0
    outcome: str = ""
    reason: str = ""
    region: str = ""
    attempts: int = 0
    tried: frozenset[str] = frozenset()
    work: Work | None = None
    idle_slots: int = 0


@dataclass(slots=True)
class Vm:
    """One entry VM."""

    region: str
    sched: Scheduler | RoundRobin | LeastRequests
    budget: RetryBudget
    rng: random.Random
    jobs: dict[int, tuple[Request, Vm | None]] = field(default_factory=dict)


class World:
    """All VMs and engines of one run.

    :param policy: ``cheap``, ``fast``, ``round-robin`` or ``least-requests``.
    :param regions: engines in each region.
    """

    def __init__(
        self,
        *,
        policy: str,
        seed: int,
        regions: dict[str, int],
        vms: int = 3,
        one_way: float = 80.0,
        report_lag: float = 300.0,
        costs: dict[str, float] | None = None,
    ) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.one_way = one_way
        self.report_lag = report_lag
        self.requests: list[Request] = []
        self.policy = policy
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._seq = itertools.count()
        self._ids = itertools.count()
        self._turn = itertools.count()
        self.costs = costs or dict.fromkeys(regions, 1.0)
        self.engines = {
            region: [Engine(f"{region}{i}", region) for i in range(count)]
            for region, count in regions.items()
        }
        self._by_name = {e.name: e for engines in self.engines.values() for e in engines}
        self.vms = {region: [self._make_vm(region, i) for i in range(vms)] for region in regions}
        for region in regions:
            self.configure(region)
        self.at(0.0, self._ticks)
        self.at(0.0, self._reports)

    def configure(self, region: str) -> None:
        """Apply a ticket that names this region's present engines."""
        specs = [engine.spec() for engine in self.engines[region]]
        for vm in self.vms[region]:
            vm.sched.configure(specs, sharing=len(self.vms[region]), costs=self.costs)

    def at(self, when: float, event: Callable[[], None]) -> None:
        """Schedule an event."""
        heapq.heappush(self._events, (max(when, self.now), next(self._seq), event))

    def run(self, until: float) -> None:
        """Run events up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, event = heapq.heappop(self._events)
            event()
        self.now = until

    def add(self, source: Source, until: float) -> None:
        """Schedule a source's requests."""
        rng = random.Random(f"{source.account}{source.region}{self.rng.random()}")
        when = source.begin
        while True:
            when += rng.expovariate(source.rate) * 1000
            if when >= min(source.end, until):
                return
            self.at(when, partial(self._arrive, self._request(source, when, rng)))

    def kill(self, engine: Engine) -> None:
        """Kill an engine and cut off what it runs."""
        for work in engine.kill():
            work.end(self.now, False)

    # Callers.

    def _request(self, source: Source, when: float, rng: random.Random) -> Request:
        output = min(source.most, max(1, round(source.output * rng.lognormvariate(-0.125, 0.5))))
        prompt = max(1, round(source.prompt * rng.lognormvariate(-0.125, 0.5)))
        prefix = f"{source.account}/{rng.randrange(20)}"
        if rng.random() < source.hot_prefix:
            prefix = "hot"
        return Request(source, when, prompt, output, prefix)

    def _arrive(self, request: Request) -> None:
        self.requests.append(request)
        vms = self.vms[request.source.region]
        index = request.source.vm if request.source.vm >= 0 else next(self._turn) % len(vms)
        job = Job(
            id=next(self._ids),
            account=request.source.account,
            served=MODEL,
            cost=request.prompt + request.source.most,
            arrived_ms=int(self.now),
            deadline_ms=int(self.now + request.source.deadline),
            weight=effective_weight(request.source.weight, request.source.priority),
            priority=request.source.priority,
            prompt_tokens=request.prompt,
            prefix=request.prefix,
            body_bytes=4 * request.prompt,
            regions=frozenset(self.engines),
        )
        request.idle_slots = self._idle_slots()
        vm = vms[index]
        vm.budget.record_first_attempt()
        self.at(self.now + request.source.deadline, lambda: self._leave(request))
        self._offer(vm, job, request, None)

    def _idle_slots(self) -> int:
        return sum(
            engine.slots - len(engine.batch) - len(engine.queue)
            for engines in self.engines.values()
            for engine in engines
            if not (engine.dead or engine.fails_fast or engine.slowdown > 1)
        )

    def _leave(self, request: Request) -> None:
        if not request.outcome:
            self._close(request, "late")

    def _close(self, request: Request, outcome: str, reason: str = "") -> None:
        request.outcome = outcome
        request.reason = reason
        request.end = self.now
        if request.work is not None and outcome != "ok":
            request.work.gone = True
        for vms in self.vms.values():
            for vm in vms:
                for job_id in [i for i, (other, _) in vm.jobs.items() if other is request]:
                    del vm.jobs[job_id]

    # VMs.

    def _make_vm(self, region: str, index: int) -> Vm:
        rng = random.Random(f"{region}{index}{self.rng.random()}")
        sched: Scheduler | RoundRobin | LeastRequests
        if self.policy == "round-robin":
            sched = RoundRobin()
        elif self.policy == "least-requests":
            sched = LeastRequests()
        else:
            profile = profile_named(self.policy)
            sched = Scheduler(region=region, profile=profile, memory=256_000_000, rng=rng)
        return Vm(region, sched, RetryBudget(), rng)

    def _offer(self, vm: Vm, job: Job, request: Request, origin: Vm | None) -> None:
        if request.outcome:
            return
        vm.jobs[job.id] = (request, origin)
        self._leave_watch(vm, job, request)
        decision = vm.sched.offer(job, int(self.now))
        if decision is not None:
            self._carry_out(vm, decision)
        self._poll(vm)

    def _leave_watch(self, vm: Vm, job: Job, request: Request) -> None:
        def check() -> None:
            vm.sched.call_ended(job, int(self.now))

        self.at(request.arrived + request.source.deadline + 0.001, check)

    def _poll(self, vm: Vm) -> None:
        for decision in vm.sched.poll(int(self.now)):
            self._carry_out(vm, decision)

    def _carry_out(self, vm: Vm, decision: Decision) -> None:
        request, origin = vm.jobs.get(decision.job.id, (None, None))
        if request is None:
            if isinstance(decision, Start):
                now = int(self.now)
                vm.sched.run_ended(decision.job, decision.backend, now, Outcome.CANCELLED, 0)
            return
        match decision:
            case Start(job=job, backend=backend):
                self._send(vm, job, request, backend)
            case Spill(job=job, region=region):
                self._forward(vm, job, request, region)
            case Refuse(job=job, reason=reason):
                vm.sched.call_ended(job, int(self.now))
                if origin is None:
                    self._close(request, "refused", reason.value)
                else:
                    del vm.jobs[job.id]
                    when = self.now + self.one_way
                    self.at(when, lambda: self._came_back(origin, vm.region, job, request))

    def _forward(self, vm: Vm, job: Job, request: Request, region: str) -> None:
        far = self.vms[region][next(self._turn) % len(self.vms[region])]
        moved = replace(job, id=next(self._ids), may_spill=False)
        self.at(self.now + self.one_way, lambda: self._offer(far, moved, request, vm))

    def _came_back(self, vm: Vm, region: str, job: Job, request: Request) -> None:
        if request.outcome:
            return
        vm.sched.regions.record_failure(region, int(self.now))
        self._offer(vm, replace(job, id=next(self._ids)), request, None)

    # Runs on engines.

    def _send(self, vm: Vm, job: Job, request: Request, backend: str) -> None:
        engine = self._by_name[backend]
        request.attempts += 1
        if engine.dead or engine.fails_fast:
            self.at(self.now + FAILURE_MS, lambda: self._failed(vm, job, request, backend))
            return
        begun = False

        def first(now: float) -> None:
            nonlocal begun
            begun = True
            vm.sched.first_token(job, backend, int(now))
            far = vm.region != request.source.region
            if not request.outcome and not request.first:
                request.first = now + (self.one_way if far else 0.0)

        def end(now: float, whole: bool) -> None:
            if whole:
                vm.sched.run_ended(
                    job, backend, int(now), Outcome.OK, job.prompt_tokens + work.made
                )
                vm.sched.call_ended(job, int(now))
                if not request.outcome:
                    request.region = vm.region
                    self._close(request, "ok")
                self._poll(vm)
            elif begun:
                vm.sched.run_ended(job, backend, int(now), Outcome.FAILED, work.made)
                if not request.outcome:
                    self._close(request, "failed", "cut")
            else:
                self._failed(vm, job, request, backend)

        work = Work(job.id, request.prompt, request.output, job.cost, request.prefix, first, end)
        request.work = work
        self.at(self.now + ENGINE_MS, lambda: self._accept(engine, work, request, vm, job))

    def _accept(self, engine: Engine, work: Work, request: Request, vm: Vm, job: Job) -> None:
        if engine.dead:
            work.end(self.now, False)
            return
        engine.accept(work)

        def watch_gone() -> None:
            now = int(self.now)
            vm.sched.run_ended(job, engine.name, now, Outcome.CANCELLED, work.made)
            self._poll(vm)

        self.at(request.arrived + request.source.deadline + 0.002, watch_gone)
        if not engine.stepping:
            engine.stepping = True
            self._step(engine)

    def _step(self, engine: Engine) -> None:
        if engine.dead or not (engine.batch or engine.queue):
            engine.stepping = False
            return
        took, first, last = engine.step()

        def end() -> None:
            if not engine.dead:
                for work in first:
                    work.first(self.now)
                for work in last:
                    work.end(self.now, True)
            self._step(engine)

        self.at(self.now + took, end)

    def _recall(self, vm: Vm, recall: Recall) -> None:
        request, _ = vm.jobs.get(recall.job.id, (None, None))
        if request is None or request.work is None or request.first:
            return
        if request.attempts >= MAX_ATTEMPTS or not vm.budget.take():
            return
        request.work.gone = True
        request.tried |= {recall.backend}
        vm.sched.run_ended(recall.job, recall.backend, int(self.now), Outcome.CANCELLED, 0)
        self._again(vm, recall.job, request)

    def _failed(self, vm: Vm, job: Job, request: Request, backend: str) -> None:
        now = int(self.now)
        vm.sched.run_ended(job, backend, now, Outcome.FAILED, 0)
        request.tried |= {backend}
        if request.outcome:
            return
        budget_left = not isinstance(vm.sched, Scheduler) or vm.budget.take()
        if request.attempts >= MAX_ATTEMPTS or not budget_left:
            self._close(request, "failed", "attempts" if budget_left else "budget")
            return
        pause = backoff_ms(0, vm.rng)
        self.at(self.now + pause, lambda: self._again(vm, job, request))

    def _again(self, vm: Vm, job: Job, request: Request) -> None:
        if request.outcome:
            return
        decision = vm.sched.retry(job, int(self.now), request.tried)
        if decision is None:
            self._close(request, "failed", "no other")
        else:
            self._carry_out(vm, decision)

    # What VMs hear.

    def _ticks(self) -> None:
        for vms in self.vms.values():
            for vm in vms:
                for decision in vm.sched.tick(int(self.now)):
                    self._carry_out(vm, decision)
                if isinstance(vm.sched, Scheduler):
                    for recall in vm.sched.recalls(int(self.now)):
                        self._recall(vm, recall)
        self.at(self.now + TICK_MS, self._ticks)

    def _reports(self) -> None:
        for region, engines in self.engines.items():
            for engine in engines:
                if not engine.dead:
                    self._deliver(region, engine)
            load = self.vms[region][0].sched.region_load(MODEL, int(self.now))
            if load is not None:
                self._spread(region, load)
        self.at(self.now + REPORT_MS, self._reports)

    def _deliver(self, region: str, engine: Engine) -> None:
        report = engine.report(self.now, self.report_lag)
        for vm in self.vms[region]:
            self.at(self.now + self.report_lag, lambda vm=vm: vm.sched.update_backend_load(report))

    def _spread(self, region: str, load: object) -> None:
        when = self.now + self.one_way
        arrived = replace(load, at_ms=int(when))
        for other, vms in self.vms.items():
            if other != region:
                for vm in vms:
                    self.at(when, lambda vm=vm: vm.sched.update_region_loads((arrived,)))


def percentile(values: list[float], share: float) -> float:
    """Return a percentile, infinite for no values."""
    if not values:
        return math.inf
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


__all__ = ("MODEL", "Reason", "Request", "Source", "World", "percentile")
