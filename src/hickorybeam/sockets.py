"""Addresses, listening sockets, and options of connections."""

from __future__ import annotations

import contextlib
import ipaddress
import socket
import struct
from functools import lru_cache
from typing import TYPE_CHECKING

from hickorybeam.untrusted import InvalidBytesError

if TYPE_CHECKING:
    from asyncio import BaseTransport

__all__ = (
    "bind_datagram_socket",
    "bind_socket",
    "bound_unread",
    "end_if_silent",
    "is_established",
    "last_data_age_ms",
    "is_ip_address",
    "is_open",
    "peer_host",
    "reset_at_close",
    "split_address",
    "split_ip_address",
)

# Servers renew their entries every second or so, and their addresses stay.
MAX_CACHED_ADDRESSES = 4_096
MAX_PORT = 65_535
# The first byte of TCP_INFO is the connection's state.
ESTABLISHED = 1
# And this number of 32 bits the time since data was last received, in ms.
LAST_DATA_RECEIVED = struct.Struct("@52xI")
# TCP keep-alive ends a connection about 3 s after the other end went silent. Without it, nothing
# would detect that while there is nothing to send.
KEEP_ALIVE_PROBE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 2
MAX_ADDRESS_CHARS = len("255.255.255.255:65535")


def bind_socket(host: str, port: int) -> socket.socket:
    """Return a bound TCP socket; port 0 picks a free one.

    :raises OSError: the address is in use or not on this machine.
    """
    # asyncio disables Nagle's algorithm only on sockets created with IPPROTO_TCP; with it enabled,
    # the first event of a stream waits 40 ms for an acknowledgement.
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return _bound(sock, host, port)


def bind_datagram_socket(host: str, port: int) -> socket.socket:
    """Return a bound UDP socket.

    :raises OSError: the address is in use or not on this machine.
    """
    return _bound(socket.socket(socket.AF_INET, socket.SOCK_DGRAM), host, port)


def _bound(sock: socket.socket, host: str, port: int) -> socket.socket:
    try:
        sock.bind((host, port))
    except OSError as exc:
        sock.close()
        raise OSError(exc.errno, f"cannot bind {host}:{port}: {exc.strerror}") from exc
    return sock


def end_if_silent(transport: BaseTransport, unacked_ms: int) -> None:
    """Have a connection end when its other end acknowledges nothing.

    :param unacked_ms: how long sent bytes may stay unacknowledged.
    """
    sock = transport.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacked_ms)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_PROBE_INTERVAL_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_PROBE_INTERVAL_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)


def bound_unread(sock: socket.socket, size: int) -> None:
    """Bound what the kernel keeps of what was received and is not read yet, in bytes.

    It keeps up to twice as much, and some MB by itself: with hundreds of connections, of which
    none is read from for a while, more than a small machine has.
    """
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)


def peer_host(transport: BaseTransport) -> str:
    """Return the address of a connection's other end, empty if it isn't known."""
    name = transport.get_extra_info("peername")
    return str(name[0]) if name else ""


def reset_at_close(transport: BaseTransport, *, enabled: bool = True) -> None:
    """Have a connection reset when it is closed, also by the kernel when this process ends.

    A socket that is closed already takes no option.

    :param enabled: ``False`` to have it closed in order again.
    """
    sock = transport.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", enabled, 0))


def is_established(transport: BaseTransport) -> bool:
    """Return whether neither end of a TCP connection has closed it, as far as the kernel knows."""
    return is_open(transport.get_extra_info("socket"))


def last_data_age_ms(transport: BaseTransport) -> int:
    """Return how long ago the kernel received data on a TCP connection, 0 if it doesn't tell."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return 0
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED.size)
    except (OSError, ValueError):
        return 0
    if len(info) < LAST_DATA_RECEIVED.size:
        return 0
    age_ms: int = LAST_DATA_RECEIVED.unpack(info)[0]
    return age_ms


def is_open(sock: socket.socket) -> bool:
    """Return whether neither end of a socket's TCP connection has closed it."""
    try:
        state: bytes = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except ValueError:  # its descriptor is closed
        return False
    except OSError:
        return True
    return state[0] == ESTABLISHED


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
