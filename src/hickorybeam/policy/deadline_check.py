"""Decide whether a response can still be complete before its request's deadline.

Under overload, callers retry with what is left of their time. A prompt with less time left than
its prefill and decoding take would be prefilled for nothing and hold a slot until it is cut off,
and its caller would learn of it only at the deadline. It is refused at once instead, as not run.
"""

from __future__ import annotations

__all__ = ("can_finish",)

# Callers declare the maximum output tokens; many responses are shorter.
SHORT_RESPONSE_SHARE = 0.5


def can_finish(*, left_ms: float, first_event_ms: float, decode_ms: float) -> bool:
    """Return whether a response may be complete in time.

    :param left_ms: time left until the deadline.
    :param first_event_ms: expected time to the first event.
    :param decode_ms: time that the server usually takes from there to the end of a response of the
        declared maximum length.
    """
    return first_event_ms + SHORT_RESPONSE_SHARE * decode_ms <= left_ms
