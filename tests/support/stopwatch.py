"""Durations without the time in which this process was ready to run and got no processor."""

from __future__ import annotations

import time
from pathlib import Path

TASKS = Path("/proc/self/task")
NS_PER_MS = 1_000_000


class Stopwatch:
    """Measures a duration from its making on, in ms.

    Upper bounds of durations hold for a process that gets its turns. The kernel counts how long
    each thread was ready and waited for a processor. The longest such wait of one thread is left
    out, and nothing else: time that the process worked, slept or waited for another counts.
    """

    def __init__(self) -> None:
        self._begun = time.monotonic()
        self._waited = waits_ms()

    def elapsed_ms(self) -> float:
        """Return the duration so far."""
        took_ms = (time.monotonic() - self._begun) * 1000
        now = waits_ms()
        starved = (now[thread] - self._waited.get(thread, 0.0) for thread in now)
        return took_ms - max(starved, default=0.0)


def waits_ms() -> dict[str, float]:
    """Return how long each thread has waited for a processor; empty if nobody counts."""
    return {
        task.parent.name: int(task.read_text().split()[1]) / NS_PER_MS
        for task in TASKS.glob("*/schedstat")
    }
