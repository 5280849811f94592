"""How a caller's connection ends, so that what was written to it arrives."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hickorybeam.sockets import reset_at_close

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorybeam.clock import Clock
    from hickorybeam.model.routing import CallerLimits

__all__ = ("ConnectionEnd",)

# A refused caller may send on for this long. Closed with bytes unread, the connection would be
# reset, and the refusal may be lost on its way.
LINGER_MS = 2_000
# So many of the largest bodies are read of it and dropped.
LINGER_BODIES = 2


class ConnectionEnd:
    """Closes one connection in order, or resets it.

    ``lingers``: all is written, and what its caller still sends is dropped. ``has_begun``: nothing
    more is parsed or written.
    """

    def __init__(self, clock: Clock, limits: Callable[[], CallerLimits]) -> None:
        self.lingers = False
        self.resets = False
        self._closes_when_sent = False
        self._clock = clock
        self._limits = limits
        self._began_ms = 0
        self._discarded_bytes = 0
        self._transport: asyncio.Transport | None = None

    def attach(self, transport: asyncio.Transport) -> None:
        """Set the connection's transport."""
        self._transport = transport

    @property
    def has_begun(self) -> bool:
        """Whether the connection is closing, lingers, or waits for its last bytes to be sent."""
        if self.lingers or self._closes_when_sent:
            return True
        return self._transport is None or self._transport.is_closing()

    def reset_unless_ended(self) -> None:
        """Have the connection reset, however it ends, unless the response ends before.

        The end of the connection is all that ends such a response. The kernel closes the
        connections of a process that is killed in order unless told otherwise beforehand.
        """
        self.resets = True
        if self._transport is not None:
            reset_at_close(self._transport)

    def close_when_sent(self) -> None:
        """Close the connection in order once the kernel has all bytes of the response."""
        transport = self._transport
        if transport is None:
            return
        if not transport.get_write_buffer_size():
            reset_at_close(transport, enabled=False)
            transport.close()
            return
        self._closes_when_sent = True
        transport.set_write_buffer_limits(0)

    def record_sent(self) -> None:
        """Close a connection that only waits for its last bytes, as they are sent now."""
        if self._closes_when_sent and self._transport is not None:
            reset_at_close(self._transport, enabled=False)
            # Closed within this callback, a transport of asyncio would close twice.
            asyncio.get_running_loop().call_soon(self._transport.close)

    def linger(self) -> None:
        """Write nothing more, and drop what comes, so that what was written arrives."""
        if self._transport is not None:
            self.lingers = True
            self._began_ms = self._clock.now()
            self._transport.write_eof()

    def discard(self, size: int) -> None:
        """Count what a lingering caller sends; read no more of one that sends without end."""
        self._discarded_bytes += size
        most = LINGER_BODIES * self._limits().body_bytes
        if self._discarded_bytes > most and self._transport is not None:
            self._transport.pause_reading()

    def is_overdue(self, now_ms: int) -> bool:
        """Return whether its caller has sent on for as long as it may."""
        return self.lingers and now_ms - self._began_ms > LINGER_MS
