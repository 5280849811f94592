"""Asynchronous log output: a bounded queue and one writer thread.

Logging never waits for the reader of the lines. If the event loop's thread wrote them itself, a
pipe that nobody reads would stop every request of the process.
"""

from __future__ import annotations

import logging as std
import os
import queue
from logging.handlers import QueueHandler, QueueListener

__all__ = ("DescriptorHandler", "LineQueue", "LineWriter")

# Some seconds of a busy VM: 20 lines a second of each kind, at a few hundred bytes.
MAX_QUEUED_LINES = 1_000


class LineQueue(QueueHandler):
    """Queues records without waiting; a record that does not fit is dropped and counted.

    The next record that fits carries the number of those dropped before it as ``lines_lost``.
    """

    def __init__(self, max_lines: int = MAX_QUEUED_LINES) -> None:
        self.queued: queue.Queue[std.LogRecord | None] = queue.Queue(max_lines)
        super().__init__(self.queued)
        self.dropped = 0
        self._unreported = 0

    def prepare(self, record: std.LogRecord) -> std.LogRecord:
        """Format the message now; the writer thread does the rest."""
        record.msg = record.getMessage()
        record.args = None
        return record

    def enqueue(self, record: std.LogRecord) -> None:
        """Queue a record, or drop and count it."""
        if self._unreported:
            record.lines_lost = self._unreported
        try:
            self.queued.put_nowait(record)
        except queue.Full:
            self.dropped += 1
            self._unreported += 1
        else:
            self._unreported = 0


class DescriptorHandler(std.Handler):
    """Writes lines to a file descriptor.

    Bypasses Python's buffered streams and the handler's lock: a blocked write would hold both, and
    the end of the process waits for them.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor

    def createLock(self) -> None:  # noqa: N802 - defined by logging.Handler
        """Create no lock, as only one thread writes."""
        self.lock = None

    def emit(self, record: std.LogRecord) -> None:
        """Write one record."""
        remaining = memoryview(f"{self.format(record)}\n".encode())
        while remaining:
            remaining = remaining[os.write(self._descriptor, remaining) :]


class LineWriter(QueueListener):
    """The thread that writes queued records."""

    def __init__(self, lines: LineQueue, descriptor: int, formatter: std.Formatter) -> None:
        handler = DescriptorHandler(descriptor)
        handler.setFormatter(formatter)
        super().__init__(lines.queued, handler)
        self._queued = lines.queued

    def finish(self, timeout_s: float) -> bool:
        """Write what is queued and stop.

        :param timeout_s: limit for each of two waits, for room in the queue and for the thread.
        :return: whether everything was written.
        """
        thread = self._thread
        if thread is None:
            return True
        try:
            self._queued.put(None, timeout=timeout_s)
        except queue.Full:
            return False
        thread.join(timeout_s)
        return not thread.is_alive()
