"""Change tickets: checks, the log, and the state in force."""

from __future__ import annotations
