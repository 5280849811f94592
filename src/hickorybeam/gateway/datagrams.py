"""The peers' port: datagrams of other VMs, and the TCP side of the same number."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from absl import logging

from hickorybeam.sockets import bind_datagram_socket, bind_socket

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from hickorybeam.http1.pool import Address

__all__ = ("PeerPort",)


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


class PeerPort:
    """The peers' port, whose UDP and TCP sides have the same number.

    Each side belongs to a service that may fail and start again by itself. So the TCP side is bound
    with the UDP side only once, to fix the number: later its service may be listening there.

    :param port: its number, 0 for any that is free.
    """

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._is_bound = False
        self._tcp_socket: socket.socket | None = None
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self, receive: Callable[[bytes], None]) -> int:
        """Receive datagrams from now on.

        :param receive: called with the bytes of one datagram.
        :return: the port's number.
        :raises OSError: the port is in use.
        """
        if not self._is_bound:
            self._tcp_socket = bind_socket(self._host, self._port)
            self._port = self._tcp_socket.getsockname()[1]
            self._is_bound = True
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: DatagramReceiver(receive), sock=bind_datagram_socket(self._host, self._port)
        )
        return self._port

    def close(self) -> None:
        """Receive no more datagrams; what is sent until the port is open again is dropped."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def send(self, data: bytes, address: Address) -> int:
        """Send a datagram.

        :return: its size, 0 if the port isn't open.
        """
        if self._transport is None:
            return 0
        self._transport.sendto(data, address)
        return len(data)

    def take_tcp_socket(self) -> socket.socket:
        """Return a socket bound to the TCP side, for the service that listens there."""
        sock, self._tcp_socket = self._tcp_socket, None
        return sock or bind_socket(self._host, self._port)
