"""What a process holds, with what the kernel has received for it."""

from __future__ import annotations

import contextlib
import os
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    import subprocess
    from collections.abc import Sequence

__all__ = ("MB", "SampledProcess", "sample")

MB = 1_000_000
BYTES_PER_KB = 1_024
SAMPLE_S = 0.05
LISTENING = "0A"


@dataclass
class SampledProcess:
    """A VM's process, and the most that it held.

    ``path`` is that of its settings; its log lies beside it.
    """

    ports: dict[str, int]
    path: Path
    memory_mb: float
    process: subprocess.Popen[bytes] | None = None
    most_bytes: int = 0
    most_files: int = 0

    @property
    def log(self) -> str:
        """What it has logged."""
        return self.path.with_suffix(".log").read_text(errors="replace")

    def sample(self) -> None:
        """Note the memory, with what was received and is not read yet, and the descriptors."""
        if self.process is None:
            return
        pid = self.process.pid
        with contextlib.suppress(OSError, ValueError):
            files = open_files(pid)
            held = status_bytes(pid, "VmRSS") + unread_bytes(files)
            self.most_bytes = max(self.most_bytes, held, status_bytes(pid, "VmHWM"))
            self.most_files = max(self.most_files, len(files))


def status_bytes(pid: int, name: str) -> int:
    """Return a size from a process's status; ``VmHWM`` is the peak of its resident memory."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(name + ":"):
            return int(line.split()[1]) * BYTES_PER_KB
    raise ValueError(name)


def open_files(pid: int) -> list[str]:
    """Return what a process's descriptors lead to, one entry for each."""
    found = []
    for link in Path(f"/proc/{pid}/fd").iterdir():
        with contextlib.suppress(OSError):
            found.append(os.readlink(link))
    return found


def unread_bytes(files: Sequence[str]) -> int:
    """Return the bytes that the kernel has received for a process's connections.

    :param files: what its descriptors lead to.
    """
    inodes = {it[len("socket:[") : -1] for it in files if it.startswith("socket:[")}
    total = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        # The queue of a listening socket counts connections.
        if fields[9] in inodes and fields[3] != LISTENING:
            total += int(fields[4].partition(":")[2], 16)
    return total


async def sample(processes: Sequence[SampledProcess]) -> None:
    """Note what processes hold, until cancelled."""
    while True:
        for process in processes:
            process.sample()
        await anyio.sleep(SAMPLE_S)
