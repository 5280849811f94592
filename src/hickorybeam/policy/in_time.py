"""Whether a request can still be answered whole before its deadline.

Load it answers: more requests than servers can take, whose callers come back with what is left of
their patience. Sent on, a prompt that has less time left than its reading and its answer take is
read for nothing, holds a place until it is cut, and its caller hears of it at the deadline. It is
refused at once instead, as not run.
"""

from __future__ import annotations

__all__ = ("can_end",)

# Callers tell the most tokens of an answer; many are shorter.
SHORT_ANSWER_SHARE = 0.5


def can_end(*, left_ms: float, first_ms: float, writing_ms: float) -> bool:
    """Return whether an answer may end in time.

    :param left_ms: what is left until the deadline.
    :param first_ms: what is foreseen until its first event.
    :param writing_ms: what its server usually takes from there to the end of so long an answer.
    """
    return first_ms + SHORT_ANSWER_SHARE * writing_ms <= left_ms
