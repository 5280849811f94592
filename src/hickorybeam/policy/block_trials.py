"""When one request with a blocked part may try again whether it still crashes servers.

A part may be blocked though it is sound: a rare one that was open at servers which crashed for
other reasons. Refused everywhere, it could never be cleared. So after a while one request of the
whole fleet goes out, which clears the part or confirms it; few in all, as each may cost a server.
"""

from __future__ import annotations

__all__ = ("MAX_TRIALS", "trial_due_ms")

MAX_TRIALS = 2
FIRST_TRIAL_AFTER_MS = 60_000
# A part that has crashed a server again probably will the next time.
TRIAL_BACKOFF = 8


def trial_due_ms(*, trials: int, last_ms: int) -> int | None:
    """Return when the next trial of a part may go out, ``None`` if there have been enough.

    :param trials: how many there have been.
    :param last_ms: time of the last crash or trial, on the clock of the result.
    """
    if trials >= MAX_TRIALS:
        return None
    return last_ms + FIRST_TRIAL_AFTER_MS * int(TRIAL_BACKOFF**trials)
