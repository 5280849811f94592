"""What a caller sends before the response to its current request is complete."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hickorybeam.http1.request_parser import ParsedRequest

__all__ = ("PipelinedInput",)

# The objects of a request that waits for its turn, beside its head and body.
WAITING_REQUEST_BYTES = 1_024


class PipelinedInput:
    """Requests that wait for their turn, and bytes behind them that are not parsed yet.

    ``is_dropped``: the rest of what the caller sends is dropped, and none of it runs.
    """

    def __init__(self) -> None:
        self.is_dropped = False
        self._bytes = bytearray()
        self._requests: deque[ParsedRequest] = deque()
        self._request_bytes = 0

    def __bool__(self) -> bool:
        return bool(self._requests or self._bytes)

    @property
    def cost_bytes(self) -> int:
        """The memory that all of it takes."""
        return len(self._bytes) + self._request_bytes

    def keep_bytes(self, data: bytes, *, limit: int) -> bool:
        """Keep bytes; return whether they are as few as may be kept."""
        self._bytes += data
        return len(self._bytes) <= limit

    def keep_request(self, parsed: ParsedRequest) -> None:
        """Keep a request for its turn."""
        self._requests.append(parsed)
        self._request_bytes += parsed.cost_bytes + WAITING_REQUEST_BYTES

    def take_request(self) -> ParsedRequest | None:
        """Return the next request, ``None`` if no whole one waits."""
        if not self._requests:
            return None
        parsed = self._requests.popleft()
        self._request_bytes -= parsed.cost_bytes + WAITING_REQUEST_BYTES
        return parsed

    def take_bytes(self) -> bytes:
        """Return the bytes to be parsed next."""
        data = bytes(self._bytes)
        self._bytes.clear()
        return data

    def clear(self) -> None:
        """Drop all of it."""
        self._bytes.clear()
        self._requests.clear()
        self._request_bytes = 0
