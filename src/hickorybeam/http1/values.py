"""Values of headers that several services send."""

from __future__ import annotations

import math
import re

from hickorybeam.clock import MS_PER_SECOND

__all__ = (
    "header_bytes",
    "header_text",
    "keep_alive_seconds",
    "parse_count",
    "parse_decimal",
    "parse_retry_after_ms",
)

DECIMAL = re.compile(rb"\d{1,15}(?:\.\d{1,15})?")
# A longer number makes no sense anywhere, and one of thousands of digits is an error to convert.
MAX_DIGITS = 15
# A server that asks for a longer rest is asked once an hour.
MAX_RETRY_AFTER_MS = 3_600_000


def header_bytes(text: str) -> bytes:
    """Encode a name for a header: Latin-1 where that suffices, else UTF-8.

    Control characters, which would end the header, are replaced.
    """
    printable = "".join(it if it.isprintable() else "?" for it in text)
    try:
        return printable.encode("latin-1")
    except UnicodeEncodeError:
        return printable.encode("utf-8")


def header_text(value: bytes) -> str:
    """Decode a name that ``header_bytes`` encoded, as far as one can tell."""
    try:
        return value.decode("utf-8")
    except UnicodeDecodeError:
        return value.decode("latin-1")


def parse_count(value: bytes | None) -> int | None:
    """Parse a whole number without a sign; ``None`` if there is none, or it is invalid."""
    digits = (value or b"").strip()
    return int(digits) if digits.isdigit() and len(digits) <= MAX_DIGITS else None


def parse_decimal(value: bytes) -> float | None:
    """Parse a non-negative decimal number; signs, exponents and names of numbers are invalid."""
    digits = value.strip()
    return float(digits) if DECIMAL.fullmatch(digits) else None


def parse_retry_after_ms(value: bytes) -> int:
    """Parse a retry-after in seconds; 0 if it is invalid, or a date."""
    seconds = parse_decimal(value)
    return 0 if seconds is None else math.ceil(min(seconds * MS_PER_SECOND, MAX_RETRY_AFTER_MS))


def keep_alive_seconds(value: bytes | None) -> float | None:
    """Return the idle timeout in a Keep-Alive header, in seconds, if it has one."""
    for part in (value or b"").split(b","):
        name, _, seconds = part.strip().partition(b"=")
        count = parse_count(seconds)
        if name.lower() == b"timeout" and count is not None:
            return float(count)
    return None
