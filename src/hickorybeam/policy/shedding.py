"""What is given up first when there is too much: the order of a brownout.

Load pattern: capacity goes while jobs wait, as when a region's engines are lost. The queue
then holds more than can run in time. First come first served gives up the latest arrivals,
whoever sent them; the small account loses its one question with the rest. Here the account
with the largest backlog for its weight gives first, and of its jobs those of low priority,
then the long ones, then the latest. A small account is reached last, when every larger one
has come down to its size.

A job that is given up gets its refusal at once, with the time to come back.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hickorybeam.policy.fair_queue import FairQueue
    from hickorybeam.policy.job import Job

__all__ = ("BodyMemoryLimit", "jobs_to_shed")


def jobs_to_shed(queue: FairQueue, *, max_backlog_tokens: float) -> list[Job]:
    """Return the jobs to give up so that no more than ``max_backlog_tokens`` tokens wait, in order.

    The jobs are still in the queue; the caller removes them.
    """
    excess = queue.backlog - max_backlog_tokens
    if excess <= 0:
        return []
    chosen: list[Job] = []
    backlog = {}
    waiting: dict[str, list[Job]] = {}
    for job in queue.jobs():
        waiting.setdefault(job.account, []).append(job)
    for account, jobs in waiting.items():
        jobs.sort(key=_kept_longest, reverse=True)
        backlog[account] = sum(job.cost for job in jobs)
    while excess > 0 and backlog:
        account = max(backlog, key=lambda name: backlog[name] / waiting[name][-1].weight)
        job = waiting[account].pop()
        chosen.append(job)
        excess -= job.cost
        backlog[account] -= job.cost
        if not waiting[account]:
            del backlog[account]
    return chosen


def _kept_longest(job: Job) -> tuple[int, int, int]:
    """Sort key: what is given up last comes first when sorted in reverse."""
    return (job.priority, -job.cost, -job.arrived)


class BodyMemoryLimit:
    """Bytes of request bodies that this VM holds, queued and running.

    A burst of large bodies otherwise ends the process, and with it every stream it carries.
    An account may hold at most half of what is free, so that one account's bodies leave room
    for others at every fill level.
    """

    SHARE_OF_FREE = 0.5

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._held = 0
        self._by_account: dict[str, int] = {}

    @property
    def held(self) -> int:
        """Bytes held now."""
        return self._held

    def fits(self, account: str, size: int) -> bool:
        """Whether a body of this size may be held for this account."""
        free = self._limit - self._held
        if size > free:
            return False
        return self._by_account.get(account, 0) + size <= max(size, free * self.SHARE_OF_FREE)

    def reserve(self, account: str, size: int) -> None:
        """Count a body as held."""
        self._held += size
        self._by_account[account] = self._by_account.get(account, 0) + size

    def release(self, account: str, size: int) -> None:
        """Count a body as gone."""
        self._held -= size
        left = self._by_account.get(account, 0) - size
        if left > 0:
            self._by_account[account] = left
        else:
            self._by_account.pop(account, None)
