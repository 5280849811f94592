"""Token-weighted fair queueing among client accounts.

A hot caller or account sends several times its share. With one common queue everyone would wait
behind it: the small account that sends one question a minute as long as the one that sent a
thousand. Here each account has its own queue and a virtual time that advances by cost / weight
with each job taken, and the account whose virtual time is furthest behind goes next (start-time
fair queueing). A hot account lengthens only its own queue.

Work is weighed in tokens, since one long job takes as much as a hundred short ones. The
reserved cost is charged when a job starts and corrected when its usage is known, so that a
cautious ``max_tokens`` does not cost an account its turn.

Priority between accounts is a weight factor of two a step and not an absolute order: under
lasting overload an absolute order gives the lowest class nothing at all. Within an account
the calls of higher priority go first; the account itself chose that order.

Long jobs have a lane of their own within each account, so that a short question does not
wait behind the account's own batch of long ones while these wait for a slot (see
``concurrency.LONG_JOB_SHARE``). Both lanes share one virtual time.
"""

from __future__ import annotations

import heapq
import itertools
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from hickorybeam.policy.job import Job

__all__ = ("FairQueue", "effective_weight")

# Two a step and at most three steps: the highest class gets 64 times the lowest one's share,
# so that the lowest still gets a turn within a bounded wait of 10 s on an engine that
# starts a few jobs a second.
PRIORITY_FACTOR = 2.0
MAX_PRIORITY_STEPS = 3

SHORT, LONG = 0, 1


def effective_weight(weight: float, priority: int) -> float:
    """Return an account's weight in the queue, with its priority counted in."""
    steps = max(-MAX_PRIORITY_STEPS, min(MAX_PRIORITY_STEPS, priority))
    return max(weight, 1e-6) * PRIORITY_FACTOR**steps


@dataclass(slots=True)
class Lane:
    """Short or long jobs of one account, by priority, then by arrival.

    The heap may hold jobs that were removed; ``ids`` has those that still wait.
    """

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
class AccountQueue:
    """The queue of one account."""

    account: str
    weight: float
    virtual_time: float = 0.0
    backlog: float = 0.0
    lanes: tuple[Lane, Lane] = field(default_factory=lambda: (Lane(), Lane()))

    @property
    def empty(self) -> bool:
        return not (self.lanes[SHORT].ids or self.lanes[LONG].ids)


class FairQueue:
    """The jobs that wait for one model or plain service at this VM."""

    def __init__(self) -> None:
        self._accounts: dict[str, AccountQueue] = {}
        self._jobs: dict[int, tuple[Job, AccountQueue, int]] = {}
        # One heap for each lane; entries whose time is not the account's are out of date.
        self._order: tuple[list[tuple[float, int, AccountQueue]], ...] = ([], [])
        self._count = itertools.count()
        self._virtual_now = 0.0
        self._waiting_weight = 0.0
        self.backlog = 0.0

    def __len__(self) -> int:
        return len(self._jobs)

    def __contains__(self, job_id: int) -> bool:
        return job_id in self._jobs

    def push(self, job: Job, *, long: bool) -> None:
        """Add a job at the end of its account's queue."""
        queue = self._accounts.get(job.account)
        if queue is None:
            queue = self._accounts[job.account] = AccountQueue(job.account, job.weight)
        if queue.empty:
            # An account that was idle gets no credit for it, or it could save up idle time
            # and then take every slot in one burst.
            queue.virtual_time = max(queue.virtual_time, self._virtual_now)
            queue.weight = job.weight
            self._waiting_weight += queue.weight
        lane = LONG if long else SHORT
        queue.lanes[lane].push(next(self._count), job)
        queue.backlog += job.cost
        self.backlog += job.cost
        self._jobs[job.id] = (job, queue, lane)
        self._schedule(queue, lane)

    def pop(self, *, short: bool, long: bool) -> Job | None:
        """Take the next job among the lanes that have a free slot."""
        tops = [self._top(lane) for lane, wanted in ((SHORT, short), (LONG, long)) if wanted]
        found = [top for top in tops if top is not None]
        if not found:
            return None
        queue, lane = min(found, key=lambda top: (top[0].virtual_time, top[1]))
        job = queue.lanes[lane].pop()
        self._virtual_now = max(self._virtual_now, queue.virtual_time)
        queue.virtual_time += job.cost / queue.weight
        self._forget(job, queue)
        for other in (SHORT, LONG):
            self._schedule(queue, other)
        return job

    def remove(self, job_id: int) -> Job | None:
        """Remove a job whose caller left or was refused; it is charged nothing."""
        found = self._jobs.get(job_id)
        if found is None:
            return None
        job, queue, lane = found
        queue.lanes[lane].ids.discard(job_id)
        self._forget(job, queue)
        return job

    def settle(self, account: str, cost: float, used: float) -> None:
        """Correct an account's virtual time once a job's usage is known.

        :param cost: tokens that were reserved and charged.
        :param used: tokens that were used.
        """
        queue = self._accounts.get(account)
        if queue is None:
            return
        queue.virtual_time -= (cost - used) / queue.weight
        for lane in (SHORT, LONG):
            self._schedule(queue, lane)
        if queue.empty and queue.virtual_time <= self._virtual_now:
            del self._accounts[account]

    def backlog_of(self, account: str) -> float:
        """Return the tokens that wait for one account."""
        queue = self._accounts.get(account)
        return 0.0 if queue is None else queue.backlog

    def tokens_ahead(self, account: str, weight: float) -> float:
        """Return how many tokens drain before a new job of this account starts, at most.

        Behind the account's own backlog every other account takes its share, but never more
        than it has waiting. The smaller of the two bounds is exact for two accounts and
        errs towards a longer wait by the unequal backlogs of the others.
        """
        own = self.backlog_of(account)
        queue = self._accounts.get(account)
        others = self._waiting_weight - (
            queue.weight if queue is not None and not queue.empty else 0.0
        )
        fair = own * (weight + others) / weight
        return min(self.backlog, fair)

    def jobs(self) -> Iterator[Job]:
        """Yield every waiting job, in no order."""
        return (job for job, _, _ in self._jobs.values())

    def jobs_of(self, account: str) -> Iterator[Job]:
        """Yield one account's waiting jobs."""
        queue = self._accounts.get(account)
        if queue is not None:
            for lane in queue.lanes:
                yield from lane.jobs()

    def largest_account(self) -> str | None:
        """Return the account with the largest backlog for its weight."""
        queues = (queue for queue in self._accounts.values() if not queue.empty)
        found = max(queues, key=lambda queue: queue.backlog / queue.weight, default=None)
        return None if found is None else found.account

    def last_job(self) -> Job | None:
        """Return the latest job of the account with the largest backlog for its weight."""
        account = self.largest_account()
        if account is None:
            return None
        return max(self.jobs_of(account), key=lambda job: (job.arrived_ms, job.id))

    def _forget(self, job: Job, queue: AccountQueue) -> None:
        del self._jobs[job.id]
        queue.backlog -= job.cost
        self.backlog -= job.cost
        if queue.empty:
            queue.backlog = 0.0
            self._waiting_weight = max(0.0, self._waiting_weight - queue.weight)
        if not self._jobs:
            self.backlog = self._waiting_weight = 0.0

    def _schedule(self, queue: AccountQueue, lane: int) -> None:
        if queue.lanes[lane].ids:
            heapq.heappush(self._order[lane], (queue.virtual_time, next(self._count), queue))

    def _top(self, lane: int) -> tuple[AccountQueue, int] | None:
        order = self._order[lane]
        while order:
            virtual_time, _, queue = order[0]
            if virtual_time == queue.virtual_time and queue.lanes[lane].ids:
                return queue, lane
            heapq.heappop(order)
        return None
