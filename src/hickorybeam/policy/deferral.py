"""Decide which prompts wait at the gateway because every server would serve them late.

When more prompts come than the servers can prefill in time, a prompt that will miss its objective
is prefilled between the events of streams that are still on time and ahead of prompts that could
be, so every request behind it becomes late as well. Here it waits until a server has little left
to prefill; urgent prompts and those that can be on time pass it. It can't starve: after its
maximum wait it is sent like any other.
"""

from __future__ import annotations

__all__ = ("should_defer",)

# A server with no more than this to prefill gets deferred prompts: it would be idle before the
# next prompt came.
MAX_IDLE_BACKLOG_MS = 50.0


def should_defer(*, target_ms: int, elapsed_ms: int, backlog_ms: float, prefill_ms: float) -> bool:
    """Return whether a prompt waits here rather than at the best of its servers.

    :param target_ms: its objective for the time to the first event.
    :param elapsed_ms: time since it arrived.
    :param backlog_ms: prefill work ahead of it at the server.
    :param prefill_ms: its own prefill there.
    """
    return backlog_ms > MAX_IDLE_BACKLOG_MS and elapsed_ms + backlog_ms + prefill_ms > target_ms
