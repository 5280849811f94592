"""A stopwatch that leaves out the time in which this process waited for a CPU."""

from __future__ import annotations

import time
from pathlib import Path

TASKS = Path("/proc/self/task")
NS_PER_MS = 1_000_000


class Stopwatch:
    """Measures the time in ms since it was created.

    Upper bounds on durations hold for a process that is scheduled in time. The kernel counts how
    long each thread was runnable and waited for a CPU. The longest such wait of a single thread is
    subtracted, and nothing else: time in which the process ran, slept or waited for another
    process counts.
    """

    def __init__(self) -> None:
        self._started_s = time.monotonic()
        self._waits_at_start_ms = cpu_waits_ms()

    def elapsed_ms(self) -> float:
        """Return the duration so far."""
        took_ms = (time.monotonic() - self._started_s) * 1000
        waits_ms = cpu_waits_ms()
        since_start = (
            waits_ms[thread] - self._waits_at_start_ms.get(thread, 0.0) for thread in waits_ms
        )
        return took_ms - max(since_start, default=0.0)


def cpu_waits_ms() -> dict[str, float]:
    """Return each thread's time waiting for a CPU; empty if the kernel doesn't count it."""
    return {
        task.parent.name: int(task.read_text().split()[1]) / NS_PER_MS
        for task in TASKS.glob("*/schedstat")
    }
