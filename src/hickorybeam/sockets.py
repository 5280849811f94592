"""Addresses and listening sockets."""

from __future__ import annotations

import ipaddress
import socket
from functools import lru_cache

from hickorybeam.untrusted import InvalidBytesError

__all__ = ("bind_socket", "is_ip_address", "split_address", "split_ip_address")

# Servers renew their entries every second or so, and their addresses stay.
MAX_CACHED_ADDRESSES = 4_096
MAX_PORT = 65_535
MAX_ADDRESS_CHARS = len("255.255.255.255:65535")


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


@lru_cache(MAX_CACHED_ADDRESSES)
def split_ip_address(address: str) -> tuple[str, int]:
    """Return host and port of an address that another writer has left in the store.

    A name in place of the number would be looked up at each connect, and some can't even be
    encoded for that.

    :raises InvalidBytesError: it is not ``host:port`` with an IPv4 number and a port to connect to.
    """
    host, _, digits = address.rpartition(":")
    valid = len(address) <= MAX_ADDRESS_CHARS and digits.isascii() and digits.isdigit()
    if not valid or not is_ip_address(host) or not 0 < int(digits) <= MAX_PORT:
        raise InvalidBytesError(
            f"address {address[: 2 * MAX_ADDRESS_CHARS]!r} is no IP number:port"
        )
    return host, int(digits)


def is_ip_address(host: str) -> bool:
    """Return whether a host is given as an IPv4 number."""
    try:
        ipaddress.IPv4Address(host)
    except ipaddress.AddressValueError:
        return False
    return True
