"""Load shedding: which queued jobs and request bodies are refused when there are too many.

When capacity is lost while jobs wait, as when a region loses its engines, the queue holds more
than can run in time. First come first served would shed the latest arrivals of any account, and a
small account would lose its only job with the rest. Here the account with the largest backlog for
its weight is shed first, and of its jobs those of low priority, then the long ones, then the
latest. A small account is reached last, when every larger one is down to its size.

A shed job is refused at once, with a retry-after time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hickorybeam.policy.fair_queue import FairQueue
    from hickorybeam.policy.job import Job

__all__ = ("BodyMemoryLimit", "jobs_to_shed")


def jobs_to_shed(queue: FairQueue, *, max_backlog_tokens: float) -> list[Job]:
    """Return the jobs to shed, in order, so that at most ``max_backlog_tokens`` tokens wait.

    The jobs stay in the queue; the calling code removes them.
    """
    excess_tokens = queue.backlog - max_backlog_tokens
    if excess_tokens <= 0:
        return []
    shed: list[Job] = []
    backlog_tokens = {}
    waiting: dict[str, list[Job]] = {}
    for job in queue.jobs():
        waiting.setdefault(job.account, []).append(job)
    for account, jobs in waiting.items():
        jobs.sort(key=_retention_order, reverse=True)
        backlog_tokens[account] = sum(job.cost for job in jobs)
    while excess_tokens > 0 and backlog_tokens:
        account = max(
            backlog_tokens, key=lambda name: backlog_tokens[name] / waiting[name][-1].weight
        )
        job = waiting[account].pop()
        shed.append(job)
        excess_tokens -= job.cost
        backlog_tokens[account] -= job.cost
        if not waiting[account]:
            del backlog_tokens[account]
    return shed


def _retention_order(job: Job) -> tuple[int, int, int]:
    """Return a sort key by which the job to shed last comes first in reverse order."""
    return (job.priority, -job.cost, -job.arrived_ms)


class BodyMemoryLimit:
    """Limit on the bytes of request bodies that this VM holds, queued and running.

    Without it, a burst of large bodies ends the process and with it every stream. An account may
    hold at most half of the free memory, so that one account's bodies always leave room for
    others.
    """

    MAX_SHARE_OF_FREE = 0.5

    def __init__(self, limit: int) -> None:
        self._limit_bytes = limit
        self._held_bytes = 0
        self._bytes_by_account: dict[str, int] = {}

    @property
    def held(self) -> int:
        """The bytes held now."""
        return self._held_bytes

    def fits(self, account: str, size_bytes: int) -> bool:
        """Return whether a body of this size may be held for an account."""
        free_bytes = self._limit_bytes - self._held_bytes
        if size_bytes > free_bytes:
            return False
        return self._bytes_by_account.get(account, 0) + size_bytes <= max(
            size_bytes, free_bytes * self.MAX_SHARE_OF_FREE
        )

    def reserve(self, account: str, size_bytes: int) -> None:
        """Count a body as held."""
        self._held_bytes += size_bytes
        self._bytes_by_account[account] = self._bytes_by_account.get(account, 0) + size_bytes

    def release(self, account: str, size_bytes: int) -> None:
        """Count a body as released."""
        self._held_bytes -= size_bytes
        left_bytes = self._bytes_by_account.get(account, 0) - size_bytes
        if left_bytes > 0:
            self._bytes_by_account[account] = left_bytes
        else:
            self._bytes_by_account.pop(account, None)
