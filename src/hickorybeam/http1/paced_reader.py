"""Hands what a connection receives to its parser piece by piece, one in each event loop turn."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ("PIECE_BYTES", "PacedReader")

# A parser calls back for each header and each chunk, of a byte or two if the other end likes:
# 32 KiB of them take some ms. An event loop reads on while there is more, so that without a bound
# an end that sends fast would keep everybody else waiting for seconds.
PIECE_BYTES = 32_768


class PacedReader:
    """Feeds a parser one piece in each turn of the event loop; reading pauses until all is fed.

    ``unfed`` are the bytes that were received and have not been fed yet.

    :param feed: takes bytes. It may call ``discard``, after which nothing more is fed.
    """

    def __init__(self, feed: Callable[[bytes], None]) -> None:
        self._feed = feed
        self._transport: asyncio.Transport | None = None
        self.unfed = b""
        self._is_scheduled = False
        self._is_blocked = False

    def attach(self, transport: asyncio.Transport) -> None:
        """Set the transport whose reading is paused."""
        self._transport = transport

    def receive(self, data: bytes) -> None:
        """Feed bytes, at once if they are few and nothing waits before them."""
        if self.unfed:
            self.unfed += data
        elif len(data) <= PIECE_BYTES:
            self._feed(data)
        else:
            self.unfed = data
            self._feed_piece()

    def finish(self) -> None:
        """Feed all that is left, as the connection has ended."""
        while self.unfed:
            self._take_piece()

    def take_rest(self) -> bytes:
        """Return what is left, and feed nothing of it."""
        rest, self.unfed = self.unfed, b""
        self._update_reading()
        return rest

    def discard(self) -> None:
        """Drop what is left."""
        self.unfed = b""

    def block(self) -> None:
        """Pause reading until ``unblock``, since what was fed has not been taken."""
        self._is_blocked = True
        self._update_reading()

    def unblock(self) -> None:
        """Read on, unless bytes are left to be fed."""
        if self._is_blocked:
            self._is_blocked = False
            self._update_reading()

    def _feed_piece(self) -> None:
        self._is_scheduled = False
        self._take_piece()
        if self.unfed and not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._feed_piece)
        self._update_reading()

    def _take_piece(self) -> None:
        piece, self.unfed = self.unfed[:PIECE_BYTES], self.unfed[PIECE_BYTES:]
        if piece:
            self._feed(piece)

    def _update_reading(self) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if self.unfed or self._is_blocked:
            transport.pause_reading()
        else:
            transport.resume_reading()
