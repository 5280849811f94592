"""Messages to the scheduler task, which owns the load policy's state."""

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
    """A new job; the reply comes when it starts, is spilled or is refused.

    ``recall`` cancels its run on a server that turns out to be slow.
    """

    job: Job
    reply: Reply[Decision]
    recall: Callable[[], None]


@dataclass(frozen=True, slots=True)
class Retry:
    """A failed job to start elsewhere; the reply is ``None`` if nothing else accepts it."""

    job: Job
    tried: frozenset[str]
    reply: Reply[Decision | None]


@dataclass(frozen=True, slots=True)
class FirstToken:
    """The first token of a job's response arrived."""

    job: Job
    backend: str


@dataclass(frozen=True, slots=True)
class RunEnded:
    """A run on a backend server ended; it wants no calls for ``rest_ms``."""

    job: Job
    backend: str
    outcome: Outcome
    used_tokens: int
    rest_ms: int = 0


@dataclass(frozen=True, slots=True)
class ForwardEnded:
    """A forwarded call ended; ``responded`` is false if its region could not handle it."""

    region: str
    responded: bool


@dataclass(frozen=True, slots=True)
class CallEnded:
    """A call ended, for whatever reason."""

    job: Job


@dataclass(frozen=True, slots=True)
class Tick:
    """Triggers the periodic check of configuration, load reports and queued jobs."""


SchedulerMessage = Offer | Retry | FirstToken | RunEnded | ForwardEnded | CallEnded | Tick
