"""Receiver of datagrams from other VMs."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from absl import logging

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ("DatagramReceiver",)


class DatagramReceiver(asyncio.DatagramProtocol):
    """Passes each datagram to a callback.

    :param receive: called with the bytes of one datagram.
    """

    def __init__(self, receive: Callable[[bytes], None]) -> None:
        self._receive = receive

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a datagram to the callback."""
        self._receive(data)

    def error_received(self, exc: Exception) -> None:
        """Log a datagram that was not delivered; later messages repeat its content."""
        logging.debug("datagram not delivered: %s", exc)
