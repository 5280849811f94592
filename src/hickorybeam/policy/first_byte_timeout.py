"""How long a request waits for a server's first byte before it is sent to another one.

Load it answers: a server that hangs or has gone dark under requests that it took. What may be
repeated goes elsewhere while its caller still waits; what may not waits until its deadline,
since nobody knows whether it runs.
"""

from __future__ import annotations

from hickorybeam.model.routing import Repeat, Route

__all__ = ("first_byte_timeout_ms",)

# A stream's first event may come late because its prompt is read behind others; sent again, it
# would be read twice. So it waits for longer than its objective and than was foreseen.
STREAM_SHARE_OF_TARGET = 1.2
FORESEEN_TIMES = 2.0
STREAM_MARGIN_MS = 400.0


def first_byte_timeout_ms(route: Route, *, attempts_left: int, expected_ms: float) -> float | None:
    """Return the patience in ms, or ``None`` to wait until the deadline.

    :param attempts_left: runs that the request may still have after this one.
    :param expected_ms: the wait that the server promised when it was chosen.
    """
    if attempts_left <= 0 or not route.repeatable:
        return None
    if route.repeat is Repeat.IDEMPOTENT:
        return route.target_ms
    return max(
        route.target_ms * STREAM_SHARE_OF_TARGET,
        expected_ms * FORESEEN_TIMES + STREAM_MARGIN_MS,
    )
