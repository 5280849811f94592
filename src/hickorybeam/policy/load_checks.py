"""Which idle server is asked how long work takes there at the moment.

A server says so in its responses. One that gets no requests says nothing, and is taken for average
though it may be the fastest or the slowest: prompts pass it, or go to it and are late. It is asked
only where the answer could change to which server the next prompt goes, since each question is paid
for and takes a connection.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from hickorybeam.policy.server_choice import ServerState

__all__ = ("LOAD_CHECK_INTERVAL_MS", "server_to_ask")

# One server of a service at a time: so many VMs and servers there may be, a region asks no more.
LOAD_CHECK_INTERVAL_MS = 1_000
# What a server said this long ago says nothing about now any more.
MIN_AGE_MS = 1_500
# Prompt that the servers are compared by.
TYPICAL_PROMPT_TOKENS = 2_000
# How far a server's factor is expected to be from its average, in times of its usual distance.
RANGE_IN_SPREADS = 2.0


def server_to_ask(states: Sequence[ServerState], now_ms: int) -> ServerState | None:
    """Return the idle server whose answer could change the choice, that was silent for longest.

    :param states: the region's servers of one service that may be used.
    """
    silent = [
        it
        for it in states
        if it.time_factor.heard_ms is not None
        and not it.in_flight(now_ms)
        and it.time_factor.age_ms(now_ms) >= MIN_AGE_MS
    ]
    heard = [it for it in states if it not in silent]
    if not silent or not heard:
        return None
    best_ms = min(it.prefill_ms(TYPICAL_PROMPT_TOKENS, now_ms) for it in heard)
    undecided = [it for it in silent if _could_be_either(it, best_ms)]
    return max(undecided, key=lambda it: it.time_factor.age_ms(now_ms), default=None)


def _could_be_either(state: ServerState, best_ms: float) -> bool:
    """Return whether an idle server may be faster or slower than the best of the others."""
    factor, usual_ms = state.time_factor, state.speed.prefill_ms(TYPICAL_PROMPT_TOKENS)
    reach = RANGE_IN_SPREADS * factor.spread
    return usual_ms * (factor.average - reach) < best_ms < usual_ms * (factor.average + reach)
