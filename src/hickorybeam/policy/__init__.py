"""Decisions under load, pure: no I/O, no clock reads, no tasks."""

from __future__ import annotations
