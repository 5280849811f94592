"""The two baselines: what most small gateways do. They take the place of the scheduler.

Both keep one first-come-first-served queue for each VM, start a job when some engine of the
region is below its rated slots by this VM's own count, and drop a job whose deadline has
passed when its turn comes. They differ in the engine they choose.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from hickorybeam.errors import ErrorKind
from hickorybeam.policy.job import Decision, Outcome, Reason, Refuse, Start

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hickorybeam.model import BackendServer, LoadReport, RegionLoad
    from hickorybeam.policy.job import Job

QUEUE_LIMIT = 1_000
RETRY_AFTER_MS = 1_000


class FifoScheduler:
    """One queue for all; the engine is chosen by ``_choose``."""

    def __init__(self) -> None:
        self._queue: deque[Job] = deque()
        self._slots: dict[str, int] = {}
        self._mine: dict[str, int] = {}
        self._running: dict[int, str] = {}
        self._turn = 0
        self._gone: set[int] = set()

    def configure(
        self, specs: Iterable[BackendServer], *, sharing: int, costs: dict[str, float]
    ) -> None:
        """Set the engines."""
        self._slots = {spec.name: spec.slots for spec in specs}
        for name in self._slots:
            self._mine.setdefault(name, 0)

    def update_backend_load(self, report: LoadReport) -> None:
        """Ignore load reports."""

    def update_region_loads(self, loads: Iterable[RegionLoad]) -> None:
        """Ignore other regions."""

    def offer(self, job: Job, now: int) -> Decision | None:
        """Queue a job."""
        if len(self._queue) >= QUEUE_LIMIT or not self._slots:
            return Refuse(job, ErrorKind.OVERLOADED, Reason.WAIT, RETRY_AFTER_MS)
        self._queue.append(job)
        return None

    def retry(self, job: Job, now: int, tried: frozenset[str]) -> Decision | None:
        """Start a job again at another engine."""
        names = [name for name in self._slots if name not in tried]
        return self._start(job, self._choose(names)) if names else None

    def poll(self, now: int) -> list[Decision]:
        """Start jobs in order of arrival."""
        decisions: list[Decision] = []
        while self._queue:
            free = [name for name, slots in self._slots.items() if self._mine[name] < slots]
            if not free:
                break
            job = self._queue.popleft()
            if job.id in self._gone:
                continue
            if job.deadline_ms <= now:
                decisions.append(Refuse(job, ErrorKind.DEADLINE, Reason.DEADLINE, 0))
            else:
                decisions.append(self._start(job, self._choose(free)))
        return decisions

    def tick(self, now: int) -> list[Decision]:
        """Start what can start."""
        return self.poll(now)

    def first_token(self, job: Job, backend: str, now: int) -> None:
        """Learn nothing."""

    def run_ended(self, job: Job, backend: str, now: int, outcome: Outcome, used: int) -> None:
        """Free the slot."""
        if self._running.pop(job.id, None) is not None:
            self._mine[backend] -= 1

    def call_ended(self, job: Job, now: int) -> None:
        """Take out a job whose caller has left."""
        self._gone.add(job.id)

    def region_load(self, served: str, now: int) -> RegionLoad | None:
        """Tell other regions nothing."""
        return None

    def _start(self, job: Job, name: str) -> Start:
        self._mine[name] += 1
        self._running[job.id] = name
        return Start(job, name)

    def _choose(self, names: list[str]) -> str:
        raise NotImplementedError


class RoundRobin(FifoScheduler):
    """Engines in turn."""

    def _choose(self, names: list[str]) -> str:
        self._turn += 1
        return names[self._turn % len(names)]


class LeastRequests(FifoScheduler):
    """The engine with the fewest requests of this VM."""

    def _choose(self, names: list[str]) -> str:
        return min(names, key=lambda name: self._mine[name])
