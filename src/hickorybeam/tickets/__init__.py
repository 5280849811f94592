"""Change tickets: their validation, the log that orders them, and the configuration in force."""

from __future__ import annotations

from hickorybeam.tickets.apply import LogState, apply, check_ticket, content_digest
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
    "check_ticket",
)
