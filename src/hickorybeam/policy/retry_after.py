"""When a caller that nothing can serve now should come back.

Load it answers: a data centre is evacuated, the only servers of a service are gone, or all VMs
have just started while the store is out. Every caller is refused at once. Told the same short
time, all of them would come back together and find it unchanged, and most have no further try.
What has been away for some time is away for about as long again, so each one is told the time
that it has been away: the longer it lasts, the later they come, one after the other.
"""

from __future__ import annotations

__all__ = ("clamp_retry_after_ms", "outage_retry_after_ms", "max_retry_after_ms")

# The least that a caller is told, in ms: a server that starts or a watch that reads anew
# takes about that.
LEAST_MS = 300
# Callers wait for at most this share of the time that they have left.
SHARE_OF_TIME_LEFT = 1 / 3


def max_retry_after_ms(left_ms: float) -> int:
    """Return the longest time that a caller can be told.

    :param left_ms: what is left until its deadline.
    """
    return max(LEAST_MS, int(left_ms * SHARE_OF_TIME_LEFT))


def clamp_retry_after_ms(wanted_ms: float, left_ms: float) -> int:
    """Return the time that a caller is told, within what it can be told.

    :param left_ms: what is left until its deadline.
    """
    return min(int(max(LEAST_MS, wanted_ms)), max_retry_after_ms(left_ms))


def outage_retry_after_ms(*, outage_ms: float, recovery_ms: float, left_ms: float) -> int:
    """Return in how many ms a caller should come back.

    :param outage_ms: for how long nothing has been able to serve it.
    :param recovery_ms: how long entries of servers that lapsed with the store may still take to
        come back.
    :param left_ms: what is left until its deadline.
    """
    return clamp_retry_after_ms(recovery_ms + outage_ms, left_ms)
