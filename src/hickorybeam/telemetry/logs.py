"""Logging of a whole process: level, format, and the queue that its lines go through."""

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

__all__ = ("process_logging", "lost_lines")

STANDARD_ERROR = 2
# How long the end of the process waits for a reader of its last lines, in s.
LAST_LINES_S = 0.5


def lost_lines() -> int:
    """Return how many lines found no room, since nobody read those before them."""
    return sum(it.lost for it in std.getLogger().handlers if isinstance(it, LineQueue))


@contextmanager
def process_logging(cfg: LogSettings, *, descriptor: int = STANDARD_ERROR) -> Iterator[None]:
    """Write this process's log lines, and its last ones before the end."""
    # absl warns on each line until its flags are parsed; our settings take their place.
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
        writer.finish(LAST_LINES_S)
