"""Token-weighted fair queueing among client accounts.

Load pattern: a hot caller or account sends several times its share. With one common queue
everyone waits behind it: the small account that sends one question a minute waits as long
as the one that sent a thousand. Here each account has its own queue and a virtual time that
advances by cost / weight with each job taken, and the account that is furthest behind goes
next (start-time fair queueing). A hot account lengthens only its own queue.

Work is weighed in tokens, since one long job takes as much as a hundred short ones. The
reserved cost is charged when a job starts and corrected when its usage is known, so that a
cautious ``max_tokens`` does not cost an account its turn.

Priority between accounts is a weight factor of two a step and not an absolute order: under
lasting overload an absolute order gives the lowest class nothing at all. Within an account
the calls of higher priority go first; the account itself chose that order.

Long jobs have a lane of their own within each account, so that a short question does not
wait behind the account's own batch of long ones while these wait for a slot (see
``concurrency.LONG_JOB_SHARE``). Both lanes spend the same virtual time.
"""

from __future__ import annotations

import heapq
import itertools
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from hickorybeam.policy.job import Job

__all__ = ("FairQueue", "share_weight")

# Two a step and at most three steps: the highest class gets 64 times the lowest one's share,
# so that the lowest still gets a turn within a bounded wait of 10 s on an engine that
# starts a few jobs a second.
PRIORITY_FACTOR = 2.0
PRIORITY_STEPS = 3

SHORT, LONG = 0, 1


def share_weight(weight: float, priority: int) -> float:
    """Return an account's weight in the queue."""
    steps = max(-PRIORITY_STEPS, min(PRIORITY_STEPS, priority))
    return max(weight, 1e-6) * PRIORITY_FACTOR**steps


@dataclass(slots=True)
class Lane:
    """Jobs of one account and one length, by priority, then by arrival."""

    heap: list[tuple[int, int, Job]] = field(default_factory=list)
    ids: set[int] = field(default_factory=set)

    def push(self, order: int, job: Job) -> None:
        heapq.heappush(self.heap, (-job.priority, order, job))
        self.ids.add(job.id)

    def pop(self) -> Job:
        while True:
            job = heapq.heappop(self.heap)[2]
            if job.id in self.ids:
                self.ids.discard(job.id)
                return job

    def jobs(self) -> Iterator[Job]:
        return (job for _, _, job in self.heap if job.id in self.ids)


@dataclass(slots=True)
class Flow:
    """The queue of one account."""

    account: str
    weight: float
    time: float = 0.0
    backlog: float = 0.0
    lanes: tuple[Lane, Lane] = field(default_factory=lambda: (Lane(), Lane()))

    @property
    def empty(self) -> bool:
        return not (self.lanes[SHORT].ids or self.lanes[LONG].ids)


class FairQueue:
    """The jobs that wait for one model or service at this VM."""

    def __init__(self) -> None:
        self._flows: dict[str, Flow] = {}
        self._jobs: dict[int, tuple[Job, Flow, int]] = {}
        # One heap for each lane; entries whose time is not the flow's are out of date.
        self._order: tuple[list[tuple[float, int, Flow]], ...] = ([], [])
        self._count = itertools.count()
        self._now = 0.0
        self._weight = 0.0
        self.backlog = 0.0

    def __len__(self) -> int:
        return len(self._jobs)

    def __contains__(self, job_id: int) -> bool:
        return job_id in self._jobs

    def push(self, job: Job, *, long: bool) -> None:
        """Put a job at the end of its account's queue."""
        flow = self._flows.get(job.account)
        if flow is None:
            flow = self._flows[job.account] = Flow(job.account, job.weight)
        if flow.empty:
            # An account that was away gets no credit for it, or it could save up idle time
            # and then take every slot in one burst.
            flow.time = max(flow.time, self._now)
            flow.weight = job.weight
            self._weight += flow.weight
        lane = LONG if long else SHORT
        flow.lanes[lane].push(next(self._count), job)
        flow.backlog += job.cost
        self.backlog += job.cost
        self._jobs[job.id] = (job, flow, lane)
        self._enter(flow, lane)

    def pop(self, *, short: bool, long: bool) -> Job | None:
        """Take the next job among the lanes that have a free slot."""
        tops = [self._top(lane) for lane, wanted in ((SHORT, short), (LONG, long)) if wanted]
        found = [top for top in tops if top is not None]
        if not found:
            return None
        flow, lane = min(found, key=lambda top: (top[0].time, top[1]))
        job = flow.lanes[lane].pop()
        self._now = max(self._now, flow.time)
        flow.time += job.cost / flow.weight
        self._forget(job, flow)
        for other in (SHORT, LONG):
            self._enter(flow, other)
        return job

    def remove(self, job_id: int) -> Job | None:
        """Take out a job whose caller left or was refused; it is charged nothing."""
        found = self._jobs.get(job_id)
        if found is None:
            return None
        job, flow, lane = found
        flow.lanes[lane].ids.discard(job_id)
        self._forget(job, flow)
        return job

    def settle(self, account: str, cost: float, used: float) -> None:
        """Correct an account's virtual time once a job's usage is known."""
        flow = self._flows.get(account)
        if flow is None:
            return
        flow.time -= (cost - used) / flow.weight
        for lane in (SHORT, LONG):
            self._enter(flow, lane)
        if flow.empty and flow.time <= self._now:
            del self._flows[account]

    def backlog_of(self, account: str) -> float:
        """Return the tokens that wait for one account."""
        flow = self._flows.get(account)
        return 0.0 if flow is None else flow.backlog

    def tokens_ahead(self, account: str, weight: float) -> float:
        """Return how many tokens drain before a new job of this account starts, at most.

        Behind the account's own backlog every other account takes its share, but never more
        than it has waiting. The smaller of the two bounds is exact for two accounts and
        errs towards a longer wait by the unequal backlogs of the others.
        """
        own = self.backlog_of(account)
        flow = self._flows.get(account)
        others = self._weight - (flow.weight if flow is not None and not flow.empty else 0.0)
        fair = own * (weight + others) / weight
        return min(self.backlog, fair)

    def jobs(self) -> Iterator[Job]:
        """Yield every waiting job, in no order."""
        return (job for job, _, _ in self._jobs.values())

    def jobs_of(self, account: str) -> Iterator[Job]:
        """Yield one account's waiting jobs."""
        flow = self._flows.get(account)
        if flow is not None:
            for lane in flow.lanes:
                yield from lane.jobs()

    def heaviest(self) -> str | None:
        """Return the account with the largest backlog for its weight."""
        flows = (flow for flow in self._flows.values() if not flow.empty)
        found = max(flows, key=lambda flow: flow.backlog / flow.weight, default=None)
        return None if found is None else found.account

    def last(self) -> Job | None:
        """Return the latest job of the account with the largest backlog for its weight."""
        account = self.heaviest()
        if account is None:
            return None
        return max(self.jobs_of(account), key=lambda job: (job.arrived, job.id))

    def _forget(self, job: Job, flow: Flow) -> None:
        del self._jobs[job.id]
        flow.backlog -= job.cost
        self.backlog -= job.cost
        if flow.empty:
            flow.backlog = 0.0
            self._weight = max(0.0, self._weight - flow.weight)
        if not self._jobs:
            self.backlog = self._weight = 0.0

    def _enter(self, flow: Flow, lane: int) -> None:
        if flow.lanes[lane].ids:
            heapq.heappush(self._order[lane], (flow.time, next(self._count), flow))

    def _top(self, lane: int) -> tuple[Flow, int] | None:
        order = self._order[lane]
        while order:
            time, _, flow = order[0]
            if time == flow.time and flow.lanes[lane].ids:
                return flow, lane
            heapq.heappop(order)
        return None
