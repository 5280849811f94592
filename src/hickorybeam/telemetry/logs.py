"""Set-up of a process's logging: level, format, and the queue that its lines go through."""

from __future__ import annotations

import logging as std
from contextlib import contextmanager
from typing import TYPE_CHECKING

from absl import flags, logging

from hickorybeam.telemetry.log_lines import JsonLines, TextLines
from hickorybeam.telemetry.log_queue import LineQueue, LineWriter

if TYPE_CHECKING:
    from collections.abc import Iterator

    from hickorybeam.settings import LogSettings

__all__ = ("process_logging", "dropped_lines")

STDERR_FD = 2
# How long the process waits at its end for its last lines to be read.
FLUSH_TIMEOUT_S = 0.5


def dropped_lines() -> int:
    """Return how many lines were dropped because the queue was full."""
    return sum(it.dropped for it in std.getLogger().handlers if isinstance(it, LineQueue))


@contextmanager
def process_logging(cfg: LogSettings, *, descriptor: int = STDERR_FD) -> Iterator[None]:
    """Write the process's log lines while the context is open, and the queued ones at its end."""
    # absl warns on every line until its flags are parsed; the settings replace them.
    flags.FLAGS.mark_as_parsed()
    logging.set_verbosity(cfg.level)
    lines = LineQueue()
    writer = LineWriter(lines, descriptor, JsonLines() if cfg.format == "json" else TextLines())
    std.getLogger().addHandler(lines)
    writer.start()
    try:
        yield
    finally:
        std.getLogger().removeHandler(lines)
        writer.finish(FLUSH_TIMEOUT_S)
