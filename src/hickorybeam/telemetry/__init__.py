"""Metrics and logs."""

from __future__ import annotations

from hickorybeam.telemetry.counters import Counters

__all__ = ("Counters",)
