"""Whether a failed call is sent again, and after how long.

Load pattern: an outage or a slow spell makes many calls fail at once. If each is sent again,
and again, the load at the servers that still work doubles or triples just then, and the
outage outlives its cause (retry storm). The budget bounds the sum of retries to a share of
the first attempts. The backoff is decorrelated, so that calls that failed together do not
come back together.

What may be sent again at all: a call of which nothing reached its caller yet, and that
either did not run or may run twice.
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

# A tenth: at 100% failures the servers see 1.1 times the first attempts. A single dead server
# of six fails one call in six until its ejection after three, well within the reserve.
RATIO = 0.1
# What a quiet VM may retry with no history: enough for one dead server's three failures in a
# row, several times over.
RESERVE = 10.0
FIRST_PAUSE_MS = 10
LONGEST_PAUSE_MS = 1_000
MAX_ATTEMPTS = 3

REPEATABLE = frozenset(
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
    """Why a failed call was not sent again."""

    NOT_REPEATABLE = "not_repeatable"
    ANSWER_BEGUN = "answer_begun"
    ATTEMPTS = "attempts"
    BUDGET = "budget"
    DEADLINE = "deadline"
    NO_OTHER = "no_other_backend"


def may_retry(exc: GatewayError, *, idempotent: bool) -> bool:
    """Whether the failed attempt may be followed by another one.

    A call that may not be repeated goes again only when it is known not to have run.
    """
    return exc.kind in REPEATABLE and (idempotent or exc.ran is Ran.NO)


def backoff_ms(previous: int, rng: random.Random) -> int:
    """Return the pause before the next attempt, given the one before (0 for none)."""
    if previous <= 0:
        return FIRST_PAUSE_MS
    return min(LONGEST_PAUSE_MS, rng.randint(FIRST_PAUSE_MS, previous * 3))


@dataclass(slots=True)
class RetryBudget:
    """Retries that this VM may still make; every first attempt adds a share of one."""

    left: float = RESERVE

    def record_first_attempt(self) -> None:
        """Count a first attempt."""
        self.left = min(RESERVE, self.left + RATIO)

    def take(self) -> bool:
        """Take one retry, if there is one."""
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True
