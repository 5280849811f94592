"""Whether a failed call is retried, and after which back-off.

In an outage or a slow period many calls fail at once. If each is retried, several times, the
load on the servers that still work doubles or triples, and the outage outlives its cause (retry
storm). The budget limits retries to a share of the first attempts. The back-off is decorrelated,
so that calls that failed together are not retried together.

A call may be retried if nothing of its response has reached the caller, and it either did not
run or is idempotent.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from hickorybeam.errors import ErrorKind, Ran

if TYPE_CHECKING:
    import random

    from hickorybeam.errors import GatewayError

__all__ = ("RetryBudget", "RetryDenied", "backoff_ms", "may_retry")

# If all calls fail, the servers get 1.1 times the first attempts. A single dead server of six
# fails one call in six until it is ejected after three, well within the saved retries.
RETRY_RATIO = 0.1
# Available to a VM without any traffic yet: several times one dead server's three failures in a
# row.
MAX_SAVED_RETRIES = 10.0
INITIAL_BACKOFF_MS = 10
MAX_BACKOFF_MS = 1_000
MAX_ATTEMPTS = 3

RETRYABLE_KINDS = frozenset(
    {
        ErrorKind.BACKEND_REFUSED,
        ErrorKind.BACKEND_FAILED,
        ErrorKind.BACKEND_SILENT,
        ErrorKind.BACKEND_UNKNOWN,
        ErrorKind.STREAM_BROKEN,
        ErrorKind.NO_BACKEND,
        ErrorKind.PEER_UNREACHABLE,
        ErrorKind.DRAINING,
        ErrorKind.NOT_READY,
        ErrorKind.CONFIG_BEHIND,
        ErrorKind.OVERLOADED,
    }
)


class RetryDenied(Enum):
    """Why a failed call was not retried."""

    NOT_REPEATABLE = "not_repeatable"
    ANSWER_BEGUN = "answer_begun"
    ATTEMPTS = "attempts"
    BUDGET = "budget"
    DEADLINE = "deadline"
    NO_OTHER = "no_other_backend"
    SUSPECTED = "suspected"


def may_retry(exc: GatewayError, *, idempotent: bool) -> bool:
    """Return whether a failed attempt may be followed by another one.

    A call that isn't idempotent is retried only if it is known not to have run.
    """
    return exc.kind in RETRYABLE_KINDS and (idempotent or exc.ran is Ran.NO)


def backoff_ms(previous_ms: int, rng: random.Random) -> int:
    """Return the back-off before the next attempt, given the previous one (0 for none)."""
    if previous_ms <= 0:
        return INITIAL_BACKOFF_MS
    return min(MAX_BACKOFF_MS, rng.randint(INITIAL_BACKOFF_MS, previous_ms * 3))


@dataclass(slots=True)
class RetryBudget:
    """Retries that this VM may still make; every first attempt adds a fraction of one."""

    left: float = MAX_SAVED_RETRIES

    def record_first_attempt(self) -> None:
        """Add the fraction of a retry earned by a first attempt."""
        self.left = min(MAX_SAVED_RETRIES, self.left + RETRY_RATIO)

    def take(self) -> bool:
        """Take one retry if available; return whether it was."""
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True
