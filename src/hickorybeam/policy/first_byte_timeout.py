"""Compute how long a request waits for a server's first byte before it is sent to another one.

A server may hang or become unreachable under requests that it has accepted. A request that may be
retried goes elsewhere while its caller still waits. One that may not waits until its deadline,
since nobody knows whether the server runs it.
"""

from __future__ import annotations

from hickorybeam.model.routing import Repeat, Route

__all__ = ("first_byte_timeout_ms",)

# A stream's first event may be late because its prompt is prefilled behind others; retried, it
# would be prefilled twice. So its timeout exceeds both its objective and the expected wait.
STREAM_TIMEOUT_IN_TARGETS = 1.2
STREAM_TIMEOUT_IN_EXPECTED_WAITS = 2.0
STREAM_MARGIN_MS = 400.0


def first_byte_timeout_ms(route: Route, *, attempts_left: int, expected_ms: float) -> float | None:
    """Return the timeout, or ``None`` to wait until the deadline.

    :param attempts_left: attempts that the request may still make after this one.
    :param expected_ms: wait that was expected when the server was chosen.
    """
    if attempts_left <= 0 or not route.repeatable:
        return None
    if route.repeat is Repeat.IDEMPOTENT:
        return route.target_ms
    return max(
        route.target_ms * STREAM_TIMEOUT_IN_TARGETS,
        expected_ms * STREAM_TIMEOUT_IN_EXPECTED_WAITS + STREAM_MARGIN_MS,
    )
