"""Metrics and logging."""

from __future__ import annotations

from hickorybeam.telemetry.counters import Counters

__all__ = ("Counters",)
