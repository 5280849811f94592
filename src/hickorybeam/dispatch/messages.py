"""Messages to the task that owns the load policy's state."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorybeam.kernel import Reply
    from hickorybeam.policy.job import Decision, Job, Outcome

__all__ = (
    "CallEnded",
    "FirstToken",
    "ForwardEnded",
    "Offer",
    "Retry",
    "RunEnded",
    "SchedulerMessage",
    "Tick",
)


@dataclass(frozen=True, slots=True)
class Offer:
    """A new job; the reply comes when it starts, is sent elsewhere or is refused.

    ``recall`` interrupts its run on a server that turns out to be slow.
    """

    job: Job
    reply: Reply[Decision]
    recall: Callable[[], None]


@dataclass(frozen=True, slots=True)
class Retry:
    """A job to start again elsewhere; the reply is ``None`` when nothing else takes it."""

    job: Job
    tried: frozenset[str]
    reply: Reply[Decision | None]


@dataclass(frozen=True, slots=True)
class FirstToken:
    """A job's first token came."""

    job: Job
    backend: str


@dataclass(frozen=True, slots=True)
class RunEnded:
    """A run on a backend server ended."""

    job: Job
    backend: str
    outcome: Outcome
    used_tokens: int


@dataclass(frozen=True, slots=True)
class ForwardEnded:
    """A forwarded call was answered by its region, or not."""

    region: str
    responded: bool


@dataclass(frozen=True, slots=True)
class CallEnded:
    """A call is over, however it ended."""

    job: Job


@dataclass(frozen=True, slots=True)
class Tick:
    """Time to look at configuration, reports and what waits."""


SchedulerMessage = Offer | Retry | FirstToken | RunEnded | ForwardEnded | CallEnded | Tick
