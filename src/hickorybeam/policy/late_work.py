"""Which prompts wait at the gateway because at a server they could only be late.

Load it answers: more prompts than the servers can read in time. Sent on at once, one that can
only be late is read between the events of streams that are still punctual, ahead of prompts that
could be, and every one behind it becomes late as well. Here it waits until a server has little
to read; urgent ones and those that can be punctual pass it. Nobody starves: after its patience it
is sent like any other.
"""

from __future__ import annotations

__all__ = ("gives_way",)

# A server that has no more than this to read, in ms, may get late work: it would be idle
# before the next prompt came.
LITTLE_AHEAD_MS = 50.0


def gives_way(*, target_ms: int, gone_ms: int, ahead_ms: float, reading_ms: float) -> bool:
    """Return whether a prompt waits here rather than at the best of its servers.

    :param target_ms: its objective for the first event.
    :param gone_ms: how much of that has passed.
    :param ahead_ms: what the server has to read before it.
    :param reading_ms: its own reading there.
    """
    return ahead_ms > LITTLE_AHEAD_MS and gone_ms + ahead_ms + reading_ms > target_ms
