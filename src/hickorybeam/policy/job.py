"""The unit of work that the load policy decides on, and its decisions."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hickorybeam.errors import ErrorKind

__all__ = ("Decision", "Job", "Outcome", "Reason", "Recall", "Refuse", "Spill", "Start")


@dataclass(frozen=True, slots=True, kw_only=True)
class Job:
    """One call as the load policy sees it: figures and names, no content.

    :param served: name of the model or plain service.
    :param cost: tokens reserved for it: estimated prompt plus maximum output.
    :param arrived_ms: time of arrival on the monotonic clock.
    :param deadline_ms: time when its caller stops waiting, on the same clock.
    :param prefix: digest of the prompt's start, empty for none.
    :param body_bytes: memory that its body holds.
    :param may_spill: whether it may go to another region; a forwarded call may not.
    :param regions: regions allowed by residency and placement.
    """

    id: int
    account: str
    served: str
    cost: int
    arrived_ms: int
    deadline_ms: int
    weight: float = 1.0
    priority: int = 0
    prompt_tokens: int = 0
    prefix: str = ""
    body_bytes: int = 0
    may_spill: bool = True
    regions: frozenset[str] = frozenset()


class Outcome(Enum):
    """How a run on a backend server ended, as it counts for the server's health."""

    OK = "ok"
    FAILED = "failed"
    REFUSED = "refused"
    CANCELLED = "cancelled"


class Reason(Enum):
    """Why a call was refused or sent to another region."""

    WAIT = "wait_too_long"
    DEADLINE = "deadline_too_near"
    NO_BACKEND = "no_backend"
    MEMORY = "vm_memory"
    SHED = "shed"
    LOCAL_WAIT = "local_wait_longer"
    LOCAL_FULL = "local_full"
    LOCAL_NONE = "no_local_backend"


@dataclass(frozen=True, slots=True)
class Start:
    """Run the job on this backend server now."""

    job: Job
    backend: str


@dataclass(frozen=True, slots=True)
class Spill:
    """Forward the job to this region now."""

    job: Job
    region: str
    reason: Reason


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse the job now; it was not run.

    ``retry_after_ms`` is the time after which a retry is expected to be accepted.
    """

    job: Job
    kind: ErrorKind
    reason: Reason
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class Recall:
    """Cancel a job at a slow server and run it elsewhere, if it may run twice."""

    job: Job
    backend: str


Decision = Start | Spill | Refuse
