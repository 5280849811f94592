"""Load, quota and retry decisions, pure: no I/O, no clock reads, no tasks."""

from __future__ import annotations
