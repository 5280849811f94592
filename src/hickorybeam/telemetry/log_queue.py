"""Log lines on their way out: a bounded queue and one thread that writes.

Whoever logs never waits for whoever reads the lines. Written in the event loop's own thread, a
pipe that nobody reads would stop every request of the process.
"""

from __future__ import annotations

import logging as std
import os
import queue
from logging.handlers import QueueHandler, QueueListener

__all__ = ("DescriptorHandler", "LineQueue", "LineWriter")

# Some seconds of a busy VM's lines: 20 a second of each kind, at a few hundred bytes.
MOST_WAITING = 1_000


class LineQueue(QueueHandler):
    """Takes records without waiting; one that finds no room is counted and dropped.

    The next record that finds room tells as ``lines_lost`` how many did not.
    """

    def __init__(self, most: int = MOST_WAITING) -> None:
        self.waiting: queue.Queue[std.LogRecord | None] = queue.Queue(most)
        super().__init__(self.waiting)
        self.lost = 0
        self._untold = 0

    def prepare(self, record: std.LogRecord) -> std.LogRecord:
        """Fix the text now; the rest is left to the writer's thread."""
        record.msg = record.getMessage()
        record.args = None
        return record

    def enqueue(self, record: std.LogRecord) -> None:
        """Queue a record, or count it."""
        if self._untold:
            record.lines_lost = self._untold
        try:
            self.waiting.put_nowait(record)
        except queue.Full:
            self.lost += 1
            self._untold += 1
        else:
            self._untold = 0


class DescriptorHandler(std.Handler):
    """Writes lines to a file descriptor.

    It goes past Python's own buffered streams: ending a process waits for these, and for a
    handler's lock, while a write that nobody reads holds both.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor

    def createLock(self) -> None:  # noqa: N802 - the library's name
        """Have no lock: one thread writes."""
        self.lock = None

    def emit(self, record: std.LogRecord) -> None:
        """Write one record."""
        left = memoryview(f"{self.format(record)}\n".encode())
        while left:
            left = left[os.write(self._descriptor, left) :]


class LineWriter(QueueListener):
    """The thread that writes what was queued."""

    def __init__(self, lines: LineQueue, descriptor: int, formatter: std.Formatter) -> None:
        handler = DescriptorHandler(descriptor)
        handler.setFormatter(formatter)
        super().__init__(lines.waiting, handler)
        self._waiting = lines.waiting

    def finish(self, within_s: float) -> bool:
        """Write what is queued, for no longer than this.

        :return: whether all of it was written.
        """
        writer = self._thread
        if writer is None:
            return True
        try:
            self._waiting.put(None, timeout=within_s)
        except queue.Full:
            return False
        writer.join(within_s)
        return not writer.is_alive()
