"""Whether a request can still be answered whole before its deadline.

Load it answers: more requests than servers can take, whose callers come back with what is left of
their patience. Sent on, a prompt that has less time left than its reading and its answer take is
read for nothing, holds a place until it is cut, and its caller hears of it at the deadline. It is
refused at once instead, as not run.
"""

from __future__ import annotations

__all__ = ("can_finish",)

# Callers tell the most tokens of an answer; many are shorter.
SHORT_ANSWER_SHARE = 0.5


def can_finish(*, left_ms: float, first_event_ms: float, decode_ms: float) -> bool:
    """Return whether an answer may end in time.

    :param left_ms: what is left until the deadline.
    :param first_event_ms: what is foreseen until its first event.
    :param decode_ms: what its server usually takes from there to the end of so long an answer.
    """
    return first_event_ms + SHORT_ANSWER_SHARE * decode_ms <= left_ms
