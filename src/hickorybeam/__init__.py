"""Hickorybeam: a multi-region inference gateway for small organisations."""

from __future__ import annotations

from hickorybeam.clock import Clock, ManualClock, SystemClock
from hickorybeam.errors import Answer, ErrorKind, GatewayError, Ran, answer_for

__all__ = (
    "Answer",
    "Clock",
    "ErrorKind",
    "GatewayError",
    "ManualClock",
    "Ran",
    "SystemClock",
    "answer_for",
)
