"""Values of headers that several services send."""

from __future__ import annotations

import math
import re

from hickorybeam.clock import MS_PER_SECOND

__all__ = ("parse_decimal", "parse_retry_after_ms")

DECIMAL = re.compile(rb"\d{1,15}(?:\.\d{1,15})?")
# A server that asks for a longer rest is asked once an hour.
MAX_RETRY_AFTER_MS = 3_600_000


def parse_decimal(value: bytes) -> float | None:
    """Parse a non-negative decimal number; signs, exponents and names of numbers are invalid."""
    digits = value.strip()
    return float(digits) if DECIMAL.fullmatch(digits) else None


def parse_retry_after_ms(value: bytes) -> int:
    """Parse a retry-after in seconds; 0 if it is invalid, or a date."""
    seconds = parse_decimal(value)
    return 0 if seconds is None else math.ceil(min(seconds * MS_PER_SECOND, MAX_RETRY_AFTER_MS))
