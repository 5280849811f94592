"""Tells whether a backend server's process outlived a response that its connection ended.

A kernel closes the connections of a process that ends in order, so the close that ends a response
without length and chunks tells nothing by itself. Another connection to the server that was open
before, and still is, shows that its process has not ended.
"""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
from typing import TYPE_CHECKING

from hickorybeam.sockets import is_open

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

__all__ = ("Witness",)

# A process that ends closes its connections one after the other, on a busy machine with breaks.
SETTLE_S = 0.025

# A server may close a connection without a request after some time, and the process that ends may
# close this one just before the response's. After this time it has closed both.
REOPEN_AFTER_S = 0.01
# That time doubles up to this one while connections last for less than ten times as long.
MAX_REOPEN_AFTER_S = 1.0


class Witness:
    """Connections to the server of a response; whoever makes it must ``close`` it.

    They carry no request. A server that closes one for that reason while the response goes on gets
    two in turn from then on, so that both are never closed for it at the same time.

    :param response: the socket of the response's connection.
    """

    def __init__(self, response: socket.socket) -> None:
        self._response = response
        self._timer: asyncio.TimerHandle | None = None
        self._links = [_Link(response, self._add_link_after)]

    async def confirm(self, accepts: Callable[[], Awaitable[bool]]) -> bool:
        """Return whether the server's process is still there, a little after the response's end.

        :param accepts: whether the server takes a new connection. What its kernel sent before it
            took that, such as the close of others, has come by then.
        """
        await asyncio.sleep(SETTLE_S)
        return await accepts() and any(link.is_open for link in self._links)

    def close(self) -> None:
        """Close the connections."""
        if self._timer is not None:
            self._timer.cancel()
        for link in self._links:
            link.close()

    def _add_link_after(self, lived_s: float) -> None:
        """Open a second connection between two closes of the first."""
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(lived_s / 2, self._add_link)

    def _add_link(self) -> None:
        if not has_input(self._response):
            self._links.append(_Link(self._response, lambda lived_s: None))


class _Link:
    """One connection, which is opened again when the server has closed it.

    :param response: the socket of the response's connection; none is opened after its end.
    :param on_closed: called with how long it lasted, in seconds, when the server has closed it.
    """

    def __init__(self, response: socket.socket, on_closed: Callable[[float], None]) -> None:
        self._response = response
        self._on_closed = on_closed
        self._loop = asyncio.get_running_loop()
        self._sock: socket.socket | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._reopen_after_s = REOPEN_AFTER_S
        self._opened_s = 0.0
        self._open()

    @property
    def is_open(self) -> bool:
        """Whether neither end has closed it."""
        return self._sock is not None and is_open(self._sock)

    def close(self) -> None:
        """Close it."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._sock is not None:
            self._loop.remove_reader(self._sock)
            self._sock.close()
            self._sock = None

    def _open(self) -> None:
        """Begin to connect; the kernel does the rest."""
        self._opened_s = self._loop.time()
        with contextlib.suppress(OSError):
            address = self._response.getpeername()
            self._sock = socket.socket(self._response.family, socket.SOCK_STREAM)
            self._sock.setblocking(False)
            self._sock.connect_ex(address)
            self._loop.add_reader(self._sock, self._on_readable)

    def _on_readable(self) -> None:
        if self._sock is None:
            return
        self._loop.remove_reader(self._sock)
        was_refused = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if was_refused or self.is_open:
            return
        lived_s = self._loop.time() - self._opened_s
        self._on_closed(lived_s)
        self._reopen_after_s = self._next_reopen_after_s(lived_s)
        self._timer = self._loop.call_later(self._reopen_after_s, self._reopen)

    def _next_reopen_after_s(self, lived_s: float) -> float:
        if lived_s < 10 * self._reopen_after_s:
            return min(2 * self._reopen_after_s, MAX_REOPEN_AFTER_S)
        return REOPEN_AFTER_S

    def _reopen(self) -> None:
        if not has_input(self._response):
            self.close()
            self._open()


def has_input(sock: socket.socket) -> bool:
    """Return whether bytes, or the other end's close, can be read; also if it is closed here."""
    if sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))
