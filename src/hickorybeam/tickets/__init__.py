"""Change tickets: checks, the log, and the state in force."""

from __future__ import annotations

from hickorybeam.tickets.apply import LogState, apply, content_digest, judge
from hickorybeam.tickets.checks import find_faults
from hickorybeam.tickets.codec import LogEntry
from hickorybeam.tickets.service import ConfigService

__all__ = (
    "ConfigService",
    "LogEntry",
    "LogState",
    "apply",
    "content_digest",
    "find_faults",
    "judge",
)
