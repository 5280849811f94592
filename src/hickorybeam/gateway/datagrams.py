"""Datagrams from other VMs, as the event loop hands them over."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from absl import logging

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ("Datagrams",)


class Datagrams(asyncio.DatagramProtocol):
    """Hands each datagram on.

    :param receive: takes the bytes of one.
    """

    def __init__(self, receive: Callable[[bytes], None]) -> None:
        self._receive = receive

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Hand one on."""
        self._receive(data)

    def error_received(self, exc: Exception) -> None:
        """Note one that couldn't be delivered; what it told is told again soon."""
        logging.debug("datagram not delivered: %s", exc)
