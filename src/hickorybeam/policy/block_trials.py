"""When a blocked request, or one with a blocked part, may try whether it still crashes servers.

A part may be blocked though it is sound: a rare one that was open at servers which crashed for
other reasons. Refused everywhere, it could never be cleared. So after a while one request of the
whole fleet goes out, which clears the part or confirms it; few in all, as each may cost a server.
A blocked request waits longer: its block concerns nobody else.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ("MAX_TRIALS", "UndecidedTrials", "trial_due_ms")

MAX_TRIALS = 2
FIRST_TRIAL_AFTER_MS = 60_000
FIRST_TRIAL_OF_REQUEST_AFTER_MS = 600_000
# A part that has crashed a server again probably will the next time.
TRIAL_BACKOFF = 8
# What the trial of an undecided part tells is known to all VMs by then. One that tells nothing, as
# its server's crash was not noticed, is tried again later, and not for ever.
FIRST_UNDECIDED_PAUSE_MS = 2_000
UNDECIDED_BACKOFF = 4
MAX_UNDECIDED_TRIALS = 3


def trial_due_ms(*, trials: int, last_ms: int, of_request: bool = False) -> int | None:
    """Return when the next trial may go out, ``None`` if there have been enough.

    :param trials: how many there have been.
    :param last_ms: time of the last crash or trial, on the clock of the result.
    :param of_request: a request is blocked, not a part.
    """
    if trials >= MAX_TRIALS:
        return None
    first_ms = FIRST_TRIAL_OF_REQUEST_AFTER_MS if of_request else FIRST_TRIAL_AFTER_MS
    return last_ms + first_ms * int(TRIAL_BACKOFF**trials)


@dataclass(slots=True)
class UndecidedTrials:
    """The trials of an undecided part at one VM; its next one may go out from ``due_ms`` on."""

    count: int = 0
    due_ms: int = 0

    def take(self, now_ms: int) -> bool:
        """Take a trial if one is due."""
        if self.count >= MAX_UNDECIDED_TRIALS or now_ms < self.due_ms:
            return False
        self.due_ms = now_ms + FIRST_UNDECIDED_PAUSE_MS * int(UNDECIDED_BACKOFF**self.count)
        self.count += 1
        return True
