"""The log that a soak writes and that its checks read: one JSON object a line."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from pathlib import Path

__all__ = ("Log", "read")


class Log:
    """Appends records with the ms since the start of the soak."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("wb")
        self._begun = time.monotonic()

    def now(self) -> float:
        """Return ms since the start."""
        return (time.monotonic() - self._begun) * 1000

    def write(self, kind: str, **fields: Any) -> None:
        """Append one record."""
        record = {"kind": kind, "at": round(self.now(), 1), **fields}
        self._file.write(msgspec.json.encode(record) + b"\n")

    def close(self) -> None:
        """Flush everything."""
        self._file.close()


def read(path: Path) -> list[dict[str, Any]]:
    """Return every record."""
    return [msgspec.json.decode(line) for line in path.read_bytes().splitlines()]
