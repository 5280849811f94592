"""Hickorybeam: a multi-region inference gateway for small organisations."""

from __future__ import annotations

from hickorybeam.clock import Clock, ManualClock, SystemClock
from hickorybeam.errors import ErrorKind, ErrorResponse, GatewayError, Ran, error_response

__all__ = (
    "ErrorResponse",
    "Clock",
    "ErrorKind",
    "GatewayError",
    "ManualClock",
    "Ran",
    "SystemClock",
    "error_response",
)
