"""The limits on a caller's connection, where it is accepted and read."""

from __future__ import annotations

import contextlib
import resource
import socket
from collections import Counter
from typing import TYPE_CHECKING, Any

import httptools

from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.front.refusals import raw_refusal
from hickorybeam.httpserve import HttpProtocol

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from hickorybeam.settings import FrontSettings
    from hickorybeam.watchdog import Watchdog

__all__ = ("CallerProtocol", "Guard")

MS_PER_SECOND = 1000
# What a header line takes beside its name and value: ": " and the line's end.
HEADER_LINE_BYTES = 4
KEEP_ALIVE_PROBES = 3
# What an idle connection may take: its transport, parser and two deadlines, rounded up.
CONNECTION_BYTES = 16_384
# Each caller's connection may need one to a backend server and one to a peer; without room
# for those, accepting more callers would only make running requests fail.
CALLERS_SHARE_OF_FILES = 0.3


class Guard:
    """What all callers' connections share: limits, counts and the watchdog."""

    def __init__(
        self, cfg: FrontSettings, watchdog: Watchdog, refused: Callable[[ErrorKind], None]
    ) -> None:
        self.cfg = cfg
        self.watchdog = watchdog
        self.refused = refused
        self.by_address: Counter[str] = Counter()
        self.conns: set[CallerProtocol] = set()
        files, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        self.most_conns = min(
            cfg.memory_bytes // CONNECTION_BYTES, int(files * CALLERS_SHARE_OF_FILES)
        )

    def unflushed(self) -> bool:
        """Whether any caller has not taken all that was written to it."""
        return any(conn.transport.get_write_buffer_size() for conn in self.conns)


class CallerProtocol(HttpProtocol):
    """One caller's connection.

    Each state in which a caller can keep a connection without doing its part has a limit:
    silent before a request (``idle_ms``), a head or body that trickles in
    (``body_timeout_ms``), and an answer that is not read (``stall_ms``).
    """

    def __init__(self, *args: Any, guard: Guard, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._guard = guard
        self._address = ""
        self._counted = False
        self._head_bytes = 0
        self._in_head = False
        self._refusal: ErrorKind | None = None
        self._lost: set[Callable[[], None]] = set()
        self._late: Callable[[], None] | None = None
        self._arrival = guard.watchdog.add(guard.cfg.idle_ms, self._on_late)
        self._stall = guard.watchdog.add(guard.cfg.stall_ms, self.abort)
        guard.watchdog.pause(self._stall)

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Count the connection, or refuse it when its address has too many."""
        super().connection_made(transport)
        guard = self._guard
        self._address = self.client[0] if self.client else ""
        self._counted = True
        guard.conns.add(self)
        guard.by_address[self._address] += 1
        watch_for_silence(transport, guard.cfg)
        if len(guard.conns) > guard.most_conns:
            self.refuse(ErrorKind.VM_FULL)
        elif guard.by_address[self._address] > guard.cfg.max_connections_per_address:
            self.refuse(ErrorKind.TOO_MANY_CONNECTIONS)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the requests that run on it that nobody reads their answers any more."""
        super().connection_lost(exc)
        guard = self._guard
        guard.watchdog.remove(self._arrival)
        guard.watchdog.remove(self._stall)
        if self._counted:
            self._counted = False
            guard.conns.discard(self)
            guard.by_address[self._address] -= 1
            if not guard.by_address[self._address]:
                del guard.by_address[self._address]
        for callback in tuple(self._lost):
            callback()

    def data_received(self, data: bytes) -> None:
        """Feed the parser unless the connection is being closed."""
        if not self.transport.is_closing():
            super().data_received(data)

    def on_message_begin(self) -> None:
        """Start the limits of a request's head."""
        super().on_message_begin()
        self._head_bytes = 0
        self._in_head = True
        self._guard.watchdog.extend(self._arrival, self._guard.cfg.body_timeout_ms)

    def on_url(self, url: bytes) -> None:
        """Take a part of the target."""
        self._count_head(len(url))
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header."""
        self._count_head(len(name) + len(value) + HEADER_LINE_BYTES)
        super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Start the limit of the body."""
        self._in_head = False
        super().on_headers_complete()

    def on_message_complete(self) -> None:
        """End the limits of the request: from here on the caller waits for us."""
        super().on_message_complete()
        self._guard.watchdog.pause(self._arrival)

    def pause_writing(self) -> None:
        """Start the limit of an answer that is not read."""
        super().pause_writing()
        self._guard.watchdog.extend(self._stall, self._guard.cfg.stall_ms)

    def resume_writing(self) -> None:
        """End the limit of an answer that is not read."""
        super().resume_writing()
        self._guard.watchdog.pause(self._stall)

    def send_400_response(self, msg: str) -> None:
        """Refuse what the parser does not take."""
        self.refuse(self._refusal or ErrorKind.BAD_REQUEST, "not valid HTTP")

    def refuse(self, kind: ErrorKind, detail: str = "") -> None:
        """Answer for a connection that has no request to answer, and close it."""
        self._guard.refused(kind)
        busy = self.cycle is not None and not self.cycle.response_complete
        if busy:
            # Another answer is being written; a second one would stand in its middle.
            self.abort()
            return
        self.transport.write(raw_refusal(GatewayError(kind, detail)))
        self.transport.close()

    def end(self) -> None:
        """Close after what was written, without the answer's proper end."""
        self.transport.close()

    def on_lost(self, callback: Callable[[], None]) -> None:
        """Call back when the connection is lost; at once if it is already."""
        if self.transport.is_closing():
            callback()
        else:
            self._lost.add(callback)

    def forget_lost(self, callback: Callable[[], None]) -> None:
        """Take back ``on_lost``."""
        self._lost.discard(callback)

    def on_late_body(self, callback: Callable[[], None] | None) -> None:
        """Call back when the body takes too long; ``None`` takes it back."""
        self._late = callback

    def _on_late(self) -> None:
        if self._late is not None:
            self._late()
        elif self._in_head:
            self.refuse(ErrorKind.CALLER_TIMEOUT)
        else:
            self.transport.close()

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._guard.cfg.max_header_bytes:
            self._refusal = ErrorKind.HEADERS_TOO_LARGE
            raise httptools.HttpParserError("headers too large")


def watch_for_silence(transport: asyncio.Transport, cfg: FrontSettings) -> None:
    """Let the kernel find a caller that is gone without a word.

    A caller whose connection was forgotten on the way neither closes it nor takes data. The
    probes find it while we wait and have nothing to send, the user timeout when we send.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    seconds = max(1, cfg.stall_ms // MS_PER_SECOND)
    options = {
        "TCP_KEEPIDLE": seconds,
        "TCP_KEEPINTVL": max(1, seconds // KEEP_ALIVE_PROBES),
        "TCP_KEEPCNT": KEEP_ALIVE_PROBES,
        "TCP_USER_TIMEOUT": cfg.stall_ms,
    }
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for name, value in options.items():
            if hasattr(socket, name):
                sock.setsockopt(socket.IPPROTO_TCP, getattr(socket, name), value)
