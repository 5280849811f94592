"""Limits on callers' connections: number, header size, and time to send and to read."""

from __future__ import annotations

import contextlib
import resource
import socket
from collections import Counter
from typing import TYPE_CHECKING, Any

import httptools

from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.front.refusals import raw_refusal
from hickorybeam.http1.intake import ClosedReason
from hickorybeam.http1.request_parser import HEADER_COST_BYTES
from hickorybeam.httpserve import HttpProtocol

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from hickorybeam.policy.memory_budget import MemoryBudget
    from hickorybeam.settings import FrontSettings, Settings
    from hickorybeam.telemetry import Counters
    from hickorybeam.watchdog import Watchdog

__all__ = ("CallerProtocol", "ConnectionLimits")

MS_PER_SECOND = 1000
# Bytes of a header line besides its name and value: ": " and the line ending.
HEADER_LINE_OVERHEAD_BYTES = 4
KEEPALIVE_PROBES = 3
# Memory of an idle connection: transport, parser and two deadlines, rounded up.
IDLE_CONNECTION_BYTES = 16_384
# Share of the open-file limit for callers' connections. Each may need a connection to a backend
# server and one to a peer; with no descriptors left for those, running requests would fail.
CALLERS_FILE_SHARE = 0.3
# How many connections are closed for others at a time, as all are looked at each time.
CLOSED_SHARE = 1 / 32
# A refused caller may send on for this long. Closed with bytes unread, the connection would be
# reset, and the refusal may be lost on its way.
LINGER_MS = 2_000


class ConnectionLimits:
    """Settings, counts and watchdog that all callers' connections share.

    :param count_refusal: called with the kind of each refusal.
    """

    def __init__(
        self,
        cfg: Settings,
        watchdog: Watchdog,
        count_refusal: Callable[[ErrorKind], None],
        memory: MemoryBudget,
        counters: Counters,
    ) -> None:
        self.cfg = cfg.front
        self.watchdog = watchdog
        self.count_refusal = count_refusal
        self.memory = memory
        self.conns_by_address: Counter[str] = Counter()
        self.conns: set[CallerProtocol] = set()
        files = min(cfg.vm.file_descriptors, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        self.max_conns = min(memory.limit // IDLE_CONNECTION_BYTES, int(files * CALLERS_FILE_SHARE))
        self._closed = counters.counter(
            "connections_closed", "Connections closed for the sake of others", ("port", "why")
        )

    def close_idle(self, *, beside: CallerProtocol) -> bool:
        """Close the connections that have been idle for longest; return whether there were any.

        Those that have never asked for anything go first. If the newest were refused instead,
        connections that send nothing would keep all others out.
        """
        idle = [it for it in self.conns if it.is_idle and it is not beside]
        idle.sort(key=lambda it: (it.has_asked, it.since_ms))
        for conn in idle[: max(1, round(self.max_conns * CLOSED_SHARE))]:
            self._closed.labels("callers", ClosedReason.IDLE).inc()
            self.conns.discard(conn)
            conn.abort()
        return bool(idle)

    def has_unsent_data(self) -> bool:
        """Return whether any connection has data that its caller has not yet read."""
        return any(conn.transport.get_write_buffer_size() for conn in self.conns)


class CallerProtocol(HttpProtocol):
    """One caller's connection.

    Each state in which an inactive caller could hold a connection has a time limit: no request
    (``idle_ms``), an incomplete head or body (``body_timeout_ms``), and a response that is not
    read (``stall_ms``).
    """

    def __init__(self, *args: Any, limits: ConnectionLimits, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._limits = limits
        self._address = ""
        self._counted = False
        self._lingers = False
        self.has_asked = False
        self.since_ms = limits.watchdog.now()
        self._holding = limits.memory.hold(self)
        self._head_bytes = 0
        self._head_cost = 0
        self._in_head = False
        self._refusal_kind: ErrorKind | None = None
        self._lost_callbacks: set[Callable[[], None]] = set()
        self._late_body_callback: Callable[[], None] | None = None
        self._receive_deadline = limits.watchdog.add(limits.cfg.idle_ms, self._on_receive_timeout)
        self._send_deadline = limits.watchdog.add(limits.cfg.stall_ms, self.abort)
        limits.watchdog.pause(self._send_deadline)

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Count the connection; refuse it above the limit of the VM or of its address."""
        super().connection_made(transport)
        limits = self._limits
        self._address = self.client[0] if self.client else ""
        self._counted = True
        limits.conns.add(self)
        limits.conns_by_address[self._address] += 1
        self._holding.origin = self._address
        enable_keepalive(transport, limits.cfg)
        if len(limits.conns) > limits.max_conns and not limits.close_idle(beside=self):
            self.refuse(ErrorKind.VM_FULL)
        elif limits.conns_by_address[self._address] > limits.cfg.max_connections_per_address:
            self.refuse(ErrorKind.TOO_MANY_CONNECTIONS)

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove its deadlines and counts, and call back for requests that run on it."""
        super().connection_lost(exc)
        limits = self._limits
        self._holding.release()
        limits.watchdog.remove(self._receive_deadline)
        limits.watchdog.remove(self._send_deadline)
        if self._counted:
            self._counted = False
            limits.conns.discard(self)
            limits.conns_by_address[self._address] -= 1
            if not limits.conns_by_address[self._address]:
                del limits.conns_by_address[self._address]
        for callback in tuple(self._lost_callbacks):
            callback()

    def data_received(self, data: bytes) -> None:
        """Parse the data unless the connection is closing; a refused caller's are dropped."""
        if not self._lingers and not self.transport.is_closing():
            super().data_received(data)

    def on_message_begin(self) -> None:
        """Start the time and size limits of a request's head."""
        super().on_message_begin()
        self._head_bytes = self._head_cost = 0
        self._in_head = self.has_asked = True
        self._limits.watchdog.extend(self._receive_deadline, self._limits.cfg.body_timeout_ms)

    def on_url(self, url: bytes) -> None:
        """Count and add a part of the target."""
        self._count_head_bytes(len(url))
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Count and add a header."""
        self._count_head_bytes(len(name) + len(value) + HEADER_LINE_OVERHEAD_BYTES)
        self._head_cost += len(name) + len(value) + HEADER_COST_BYTES
        if not self._holding.resize(self._head_cost):
            self._refusal_kind = ErrorKind.VM_FULL
            raise httptools.HttpParserError("no room for the head")
        super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Mark the head as complete."""
        self._in_head = False
        # From here on it belongs to what each request reserves.
        self._holding.release()
        super().on_headers_complete()

    def on_message_complete(self) -> None:
        """Pause the receive deadline: the caller now waits for the response."""
        super().on_message_complete()
        self.since_ms = self._limits.watchdog.now()
        self._limits.watchdog.pause(self._receive_deadline)

    def pause_writing(self) -> None:
        """Start the deadline of a response that the caller does not read."""
        super().pause_writing()
        self._limits.watchdog.extend(self._send_deadline, self._limits.cfg.stall_ms)

    def resume_writing(self) -> None:
        """Pause the deadline of a response that the caller does not read."""
        super().resume_writing()
        self._limits.watchdog.pause(self._send_deadline)

    def send_400_response(self, msg: str) -> None:
        """Refuse a request that the parser rejects."""
        self.refuse(self._refusal_kind or ErrorKind.BAD_REQUEST, "not valid HTTP")

    def refuse(self, kind: ErrorKind, detail: str = "") -> None:
        """Send a refusal outside of any request, and close the connection."""
        self._limits.count_refusal(kind)
        busy = self.cycle is not None and not self.cycle.response_complete
        if busy:
            # Another response is being written; the refusal would land in the middle of it.
            self.abort()
            return
        if self._lingers or self.transport.is_closing():
            return
        self.transport.write(raw_refusal(GatewayError(kind, detail)))
        self._linger()

    def _linger(self) -> None:
        """Send nothing more, and drop what comes until the other end closes."""
        self._lingers = True
        self._in_head = False
        self.headers.clear()
        self._holding.release()
        self.transport.write_eof()
        self._limits.watchdog.extend(self._receive_deadline, LINGER_MS)

    def yield_room(self) -> None:
        """Refuse the request whose head is being read, as others need the memory."""
        self.refuse(ErrorKind.VM_FULL)

    @property
    def is_idle(self) -> bool:
        """Whether nothing is answered on it, and nothing is being sent."""
        busy = self.cycle is not None and not self.cycle.response_complete
        return not busy and not self.transport.get_write_buffer_size()

    def close_early(self) -> None:
        """Close after the data written so far, without the end of the response."""
        self.transport.close()

    def add_lost_callback(self, callback: Callable[[], None]) -> None:
        """Call back when the connection is lost, at once if it is already closing."""
        if self.transport.is_closing():
            callback()
        else:
            self._lost_callbacks.add(callback)

    def remove_lost_callback(self, callback: Callable[[], None]) -> None:
        """Remove a callback of ``add_lost_callback``."""
        self._lost_callbacks.discard(callback)

    def set_late_body_callback(self, callback: Callable[[], None] | None) -> None:
        """Set what is called when the body takes too long; ``None`` removes it."""
        self._late_body_callback = callback

    def _on_receive_timeout(self) -> None:
        if self._lingers:
            self.abort()
        elif self._late_body_callback is not None:
            self._late_body_callback()
        elif self._in_head:
            self.refuse(ErrorKind.CALLER_TIMEOUT)
        else:
            self.transport.close()

    def _count_head_bytes(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._limits.cfg.max_header_bytes:
            self._refusal_kind = ErrorKind.HEADERS_TOO_LARGE
            raise httptools.HttpParserError("headers too large")


def enable_keepalive(transport: asyncio.Transport, cfg: FrontSettings) -> None:
    """Let the kernel detect a caller that disappeared without closing its connection.

    This happens when a middlebox on the path drops the connection's state. Keepalive probes
    detect it while there is nothing to send, the TCP user timeout while data is being sent.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    seconds = max(1, cfg.stall_ms // MS_PER_SECOND)
    options = {
        "TCP_KEEPIDLE": seconds,
        "TCP_KEEPINTVL": max(1, seconds // KEEPALIVE_PROBES),
        "TCP_KEEPCNT": KEEPALIVE_PROBES,
        "TCP_USER_TIMEOUT": cfg.stall_ms,
    }
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for name, value in options.items():
            if hasattr(socket, name):
                sock.setsockopt(socket.IPPROTO_TCP, getattr(socket, name), value)
