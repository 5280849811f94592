"""Addresses and listening sockets."""

from __future__ import annotations

import socket

__all__ = ("bind_socket", "split_address")


def bind_socket(host: str, port: int) -> socket.socket:
    """Return a bound TCP socket; port 0 picks a free one.

    :raises OSError: the address is in use or not on this machine.
    """
    # asyncio disables Nagle's algorithm only on sockets created with IPPROTO_TCP; with it enabled,
    # the first event of a stream waits 40 ms for an acknowledgement.
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind((host, port))
    except OSError:
        sock.close()
        raise
    return sock


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``host:port``.

    :raises ValueError: there is no port.
    """
    host, _, port = address.rpartition(":")
    return host, int(port)
