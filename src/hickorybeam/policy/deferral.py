"""Which prompts wait at the gateway because at a server they could only be late.

Load it answers: more prompts than the servers can read in time. Sent on at once, one that can
only be late is read between the events of streams that are still punctual, ahead of prompts that
could be, and every one behind it becomes late as well. Here it waits until a server has little
to read; urgent ones and those that can be punctual pass it. Nobody starves: after its patience it
is sent like any other.
"""

from __future__ import annotations

__all__ = ("should_defer",)

# A server that has no more than this to read, in ms, may get late work: it would be idle
# before the next prompt came.
LITTLE_AHEAD_MS = 50.0


def should_defer(*, target_ms: int, elapsed_ms: int, backlog_ms: float, prefill_ms: float) -> bool:
    """Return whether a prompt waits here rather than at the best of its servers.

    :param target_ms: its objective for the first event.
    :param elapsed_ms: how much of that has passed.
    :param backlog_ms: what the server has to read before it.
    :param prefill_ms: its own reading there.
    """
    return backlog_ms > LITTLE_AHEAD_MS and elapsed_ms + backlog_ms + prefill_ms > target_ms
