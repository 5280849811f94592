"""State of each backend server of the region as this VM knows it, and the choice among them."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hickorybeam.policy.backend_choice import Candidate, PeerLoad, choose_backend
from hickorybeam.policy.concurrency import AdaptiveLimit, max_long_jobs
from hickorybeam.policy.drain import accepts_new_work
from hickorybeam.policy.health import HealthTable
from hickorybeam.policy.job import Outcome

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Mapping

    from hickorybeam.model import BackendServer, LoadReport
    from hickorybeam.policy.job import Job

__all__ = ("BackendTable",)

# Prompt length at which the first token takes twice as long as for an empty prompt. Engines
# prefill about 5-10 thousand prompt tokens a second and take some 50 ms for a first step.
DOUBLE_FIRST_TOKEN_PROMPT_TOKENS = 400.0
# How long this VM's past load is kept, to subtract it from a report of that time: reports come
# every 500 ms and lag by up to a few seconds.
HISTORY_MS = 5_000
# A server whose own queue is longer than this share of its slots is congested. A shorter queue is
# normal: a report may catch requests between two steps of the engine.
MAX_QUEUE_SHARE = 0.1
MOSTLY_FAILING_SHARE = 0.5


@dataclass(slots=True)
class Run:
    """A job that runs at a server."""

    job: Job
    long: bool


@dataclass(slots=True)
class Server:
    """A backend server and this VM's own load there.

    ``tokens`` is the cost of this VM's running jobs; ``history`` holds times with the number and
    cost of the jobs that ran then.
    """

    spec: BackendServer
    limit: AdaptiveLimit
    runs: dict[int, Run] = field(default_factory=dict)
    tokens: float = 0.0
    long_runs: int = 0
    peer_load: PeerLoad = field(default_factory=PeerLoad)
    report: LoadReport | None = None
    history: deque[tuple[int, int, float]] = field(default_factory=deque)

    def own_at(self, time: int) -> tuple[int, float]:
        """Return this VM's requests and tokens there at a past time."""
        found = (len(self.runs), self.tokens)
        for at, requests, tokens in reversed(self.history):
            if at <= time:
                return requests, tokens
            found = (requests, tokens)
        return found


class BackendTable:
    """All backend servers of this region, with limits, health and this VM's load in flight."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._servers: dict[str, Server] = {}
        self._pools: dict[str, tuple[str, ...]] = {}
        self._sender_count = 1
        self.health = HealthTable()

    def configure(self, specs: Iterable[BackendServer], *, sender_count: int) -> None:
        """Set the servers of this region and how many VMs send to them.

        A server that is removed is forgotten once its last run has ended.
        """
        self._sender_count = max(1, sender_count)
        wanted = {spec.name: spec for spec in specs}
        for name, spec in wanted.items():
            known = self._servers.get(name)
            if known is None or known.spec.slots != spec.slots:
                limit = AdaptiveLimit(slots=spec.slots, sender_count=self._sender_count)
                self._servers.setdefault(name, Server(spec, limit)).limit = limit
            self._servers[name].spec = spec
        for name in [name for name in self._servers if name not in wanted]:
            if not self._servers[name].runs:
                del self._servers[name]
        self.health.retain(self._servers)
        pools: dict[str, list[str]] = {}
        for name, spec in wanted.items():
            for served in spec.serves:
                pools.setdefault(served, []).append(name)
        self._pools = {served: tuple(names) for served, names in pools.items()}

    def pool(self, served: str) -> tuple[str, ...]:
        """Return the servers of one model or plain service that accept new work."""
        return tuple(name for name in self._pools.get(served, ()) if self._accepts_work(name))

    def names(self) -> tuple[str, ...]:
        """Return all known servers."""
        return tuple(self._servers)

    def update_load(self, report: LoadReport) -> None:
        """Take a server's load report."""
        server = self._servers.get(report.backend)
        if server is None or (server.report and report.at_ms <= server.report.at_ms):
            return
        server.report = report
        as_of = report.at_ms - report.lag_ms
        requests, tokens = server.own_at(as_of)
        reported = report.running + report.waiting
        server.peer_load.update(reported - requests, report.tokens_in_flight - tokens, as_of)
        if report.waiting > MAX_QUEUE_SHARE * server.spec.slots:
            server.limit.record_congestion(report.at_ms)

    def capacity(self, served: str, now: int) -> float:
        """Return the rated tokens a second of a pool, weighted by health."""
        return sum(
            self._servers[name].spec.tokens_per_s * self.health.weight(name, now)
            for name in self.pool(served)
        )

    def all_failing(self, served: str, now: int) -> bool:
        """Return whether no server of a pool works, or there is none."""
        return self.health.all_failing(self.pool(served), now)

    def mostly_failing(self, served: str, now: int) -> bool:
        """Return whether half of a pool fails, so that another attempt would likely fail too."""
        return self.health.failing_share(self.pool(served), now) >= MOSTLY_FAILING_SHARE

    def ms_until_available(self, served: str, now: int) -> float:
        """Return the time in ms until some server of a pool may get work."""
        return self.health.ms_until_available(self.pool(served), now)

    def free_tokens(self, served: str, now: int, *, job_cost: float) -> float:
        """Return how many tokens of ordinary jobs would start at once.

        :param job_cost: tokens of an ordinary job.
        """
        slots = 0.0
        for name in self.pool(served):
            server = self._servers[name]
            if self.health.weight(name, now) <= 0:
                continue
            peer_requests, _ = server.peer_load.at(now)
            # Slots and not the adaptive limit, which stays low on a VM that sends little.
            slots += max(0.0, server.spec.slots - len(server.runs) - peer_requests)
        return slots * job_cost

    def has_slot(self, served: str, now: int, *, long: bool) -> bool:
        """Return whether some server has a free slot for a job."""
        return any(self._has_free_slot(name, now, long=long) for name in self.pool(served))

    def pick(
        self, job: Job, now: int, *, long: bool, tried: frozenset[str] = frozenset()
    ) -> str | None:
        """Return the server to run a job on, ``None`` when none has a free slot.

        :param tried: servers that failed this job already.
        """
        candidates = [
            self._candidate(name, now, long=long)
            for name in self.pool(job.served)
            if name not in tried and self.health.weight(name, now) > 0
        ]
        return choose_backend(
            candidates,
            cost=job.cost,
            prefix=job.prefix,
            prompt_tokens=job.prompt_tokens,
            rng=self._rng,
        )

    def record_start(self, job: Job, name: str, now: int, *, long: bool) -> None:
        """Record the start of a job at a server."""
        server = self._servers[name]
        server.runs[job.id] = Run(job, long)
        server.tokens += job.cost
        server.long_runs += long
        self.health.record_start(
            name, job.id, now, scale=1.0 + job.prompt_tokens / DOUBLE_FIRST_TOKEN_PROMPT_TOKENS
        )

    def record_first_token(self, job: Job, name: str, now: int) -> float | None:
        """Record a first token, and return its time in ms, scaled to an empty prompt."""
        sample = self.health.record_first_token(name, job.id, now, self._pools.get(job.served, ()))
        server = self._servers.get(name)
        if sample is not None and server is not None:
            server.limit.record_first_token(sample, now, in_flight=len(server.runs))
        return sample

    def record_end(
        self, job: Job, name: str, now: int, outcome: Outcome, *, rest_ms: int = 0
    ) -> None:
        """Record the end of a job at a server and update health and limit by its outcome.

        :param rest_ms: for how long a server that refused it wants no calls.
        """
        server = self._servers.get(name)
        run = server.runs.pop(job.id, None) if server is not None else None
        if server is None or run is None:
            return
        server.tokens -= job.cost
        server.long_runs -= run.long
        match outcome:
            case Outcome.OK:
                self.health.discard_job(name, job.id)
                self.health.record_success(name, now)
            case Outcome.FAILED:
                self.health.record_failure(name, job.id, now, self._pools.get(job.served, ()))
            case Outcome.REFUSED:
                server.limit.record_congestion(now)
                self.health.record_failure(name, job.id, now, self._pools.get(job.served, ()))
                self.health.record_rest(name, rest_ms, now)
            case Outcome.CANCELLED:
                self.health.discard_job(name, job.id)

    def tick(self, now: int) -> None:
        """Update health states and history; to be called about ten times a second."""
        for served in self._pools:
            self.health.update_states(now, self.pool(served))
        for server in self._servers.values():
            server.history.append((now, len(server.runs), server.tokens))
            while server.history and server.history[0][0] < now - HISTORY_MS:
                server.history.popleft()

    def take_overdue_jobs(self, now: int) -> list[tuple[Job, str]]:
        """Return, once each, the jobs to cancel at slow servers and run elsewhere."""
        return [
            (server.runs[job_id].job, name)
            for name, server in self._servers.items()
            for job_id in self.health.take_overdue_jobs(name, now, self._pool_of(server))
            if job_id in server.runs
        ]

    def limits(self) -> Mapping[str, int]:
        """Return the present limit of requests in flight at each server."""
        return {name: server.limit.max_in_flight for name, server in self._servers.items()}

    def in_flight(self) -> Mapping[str, int]:
        """Return this VM's requests in flight at each server."""
        return {name: len(server.runs) for name, server in self._servers.items()}

    def _pool_of(self, server: Server) -> tuple[str, ...]:
        return self._pools.get(server.spec.serves[0], ()) if server.spec.serves else ()

    def _accepts_work(self, name: str) -> bool:
        server = self._servers[name]
        return accepts_new_work(server.spec, server.report)

    def _candidate(self, name: str, now: int, *, long: bool) -> Candidate:
        server = self._servers[name]
        _, peer_tokens = server.peer_load.at(now)
        weight = self.health.weight(name, now)
        return Candidate(
            name=name,
            speed=max(1e-6, server.spec.tokens_per_s * weight),
            tokens=server.tokens + peer_tokens,
            free=self._has_free_slot(name, now, long=long),
        )

    def _has_free_slot(self, name: str, now: int, *, long: bool) -> bool:
        server = self._servers[name]
        weight = self.health.weight(name, now)
        if weight <= 0 or self.health.is_backing_off(name, now):
            return False
        allowed = server.limit.max_in_flight
        own_requests = len(server.runs)
        if weight < 1:
            allowed = max(1, int(allowed * weight))
        if self.health.is_suspect(name):
            allowed = 1
        if own_requests >= allowed:
            return False
        if long and server.long_runs >= max_long_jobs(allowed):
            return False
        # A VM may always use its equal share, whatever load others have there. Otherwise a VM that
        # joins while engines are busy would never get a slot; the other VMs then yield as their
        # adaptive limits decrease.
        if own_requests < server.spec.slots // self._sender_count:
            return True
        peer_requests, _ = server.peer_load.at(now)
        return own_requests + peer_requests < server.spec.slots
