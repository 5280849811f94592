"""What a running process has used, as the kernel tells."""

from __future__ import annotations

import os
from pathlib import Path

__all__ = ("cpu_ms", "rss_mb")

TICKS = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MB = 1_000_000
MS_PER_SECOND = 1000


def cpu_ms(pid: int) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * MS_PER_SECOND / TICKS


def rss_mb(pid: int) -> float:
    """Return the memory that a process holds."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES / MB
