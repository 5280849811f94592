"""Compute the retry-after of a caller whom no server can serve now.

A data centre is evacuated, a service has lost its only servers, or all VMs have just started while
the store is unavailable: every caller is refused at once. With one short retry-after for all, they
would come back together, find the outage unchanged, and most have no third attempt. An outage that
has lasted for some time lasts about as long again, so the retry-after is its duration so far: the
longer it lasts, the later callers retry, one after the other.
"""

from __future__ import annotations

__all__ = ("clamp_retry_after_ms", "max_retry_after_ms", "outage_retry_after_ms")

# About the time that a server takes to start, or a watch to read all entries again.
MIN_RETRY_AFTER_MS = 300
# Callers wait for at most this share of the time left until their deadline.
MAX_SHARE_OF_TIME_LEFT = 1 / 3


def max_retry_after_ms(left_ms: float) -> int:
    """Return the longest retry-after that is of use to a caller.

    :param left_ms: time left until its deadline.
    """
    return max(MIN_RETRY_AFTER_MS, int(left_ms * MAX_SHARE_OF_TIME_LEFT))


def clamp_retry_after_ms(wanted_ms: float, left_ms: float) -> int:
    """Return a retry-after within its limits.

    :param left_ms: time left until the caller's deadline.
    """
    return min(int(max(MIN_RETRY_AFTER_MS, wanted_ms)), max_retry_after_ms(left_ms))


def outage_retry_after_ms(*, outage_ms: float, recovery_ms: float, left_ms: float) -> int:
    """Return the retry-after during an outage.

    :param outage_ms: time for which nothing has been able to serve the request.
    :param recovery_ms: time that servers whose entries expired with the store may still take to
        register again.
    :param left_ms: time left until the caller's deadline.
    """
    return clamp_retry_after_ms(recovery_ms + outage_ms, left_ms)
