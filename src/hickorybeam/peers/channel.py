"""One HTTP/2 connection to a peer, which can be aborted, and its configurations."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from grpclib.client import Channel
from grpclib.config import Configuration
from grpclib.protocol import H2Protocol

from hickorybeam.clock import MS_PER_SECOND
from hickorybeam.peers.codec import MessagePackCodec

if TYPE_CHECKING:
    import ssl
    from asyncio import BaseTransport
    from collections.abc import Callable

__all__ = ("AbortableProtocol", "Address", "PeerChannel", "with_pings", "without_pings")

# Unread data of one stream. The connection's window holds the data of all streams of a channel, so
# that a stalled reader cannot stop the other streams.
STREAM_WINDOW_BYTES = 65_535
CONNECTION_WINDOW_BYTES = 100 * STREAM_WINDOW_BYTES


@dataclass(frozen=True, slots=True)
class Address:
    """Host and port on which a peer listens."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parse ``host:port``."""
        host, _, port = text.rpartition(":")
        return cls(host.strip("[]"), int(port))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def without_pings() -> Configuration:
    """Return grpclib's configuration with no pings, for calls that all have their own timeout."""
    return Configuration(
        http2_connection_window_size=CONNECTION_WINDOW_BYTES,
        http2_stream_window_size=STREAM_WINDOW_BYTES,
    )


def with_pings(silent_after_ms: int) -> Configuration:
    """Return grpclib's configuration with keep-alive pings.

    A ping is sent after half of ``silent_after_ms`` and the connection closed when it stays
    unanswered for the other half.
    """
    half_s = silent_after_ms / 2 / MS_PER_SECOND
    return Configuration(
        _keepalive_time=half_s,
        _keepalive_timeout=half_s,
        _http2_max_pings_without_data=0,
        _http2_min_sent_ping_interval_without_data=half_s / 2,
        http2_connection_window_size=CONNECTION_WINDOW_BYTES,
        http2_stream_window_size=STREAM_WINDOW_BYTES,
    )


class AbortableProtocol(H2Protocol):  # type: ignore[misc]
    """grpclib's protocol that can abort a connection whose close hangs on unsent bytes.

    After an unanswered ping, grpclib closes the transport, and asyncio waits for its buffer to be
    sent. On a silent connection this never happens, and the calls on it would hang.
    """

    transport: BaseTransport | None = None
    on_made: Callable[[AbortableProtocol], None] | None = None

    def connection_made(self, transport: BaseTransport) -> None:
        """Keep the transport, which grpclib drops on close."""
        self.transport = transport
        super().connection_made(transport)
        if self.on_made is not None:
            self.on_made(self)

    @property
    def is_idle(self) -> bool:
        """Whether no call is open on the connection."""
        return not self.processor.streams

    def abort_if_closing(self) -> None:
        """Abort the connection if its close has not finished."""
        if self.transport is not None and self.transport.is_closing():
            self.transport.abort()  # type: ignore[attr-defined]


class PeerChannel(Channel):  # type: ignore[misc]
    """One HTTP/2 connection to a peer, with the number of calls open on it."""

    def __init__(self, address: Address, *, tls: ssl.SSLContext | None, cfg: Configuration):
        super().__init__(address.host, address.port, codec=MessagePackCodec(), ssl=tls, config=cfg)
        self.open_calls = 0
        self.retired = False
        self.last_used = 0

    def _protocol_factory(self) -> AbortableProtocol:
        base: Any = super()._protocol_factory()
        return AbortableProtocol(base.handler, base.config, base.h2_config)

    def received_bytes(self) -> int:
        """Return the message data received on the present connection, in bytes."""
        return 0 if self._protocol is None else int(self._protocol.connection.data_received)

    def abort(self) -> None:
        """Close the connection without waiting for unsent bytes, which may never be sent."""
        protocol = self._protocol
        self.close()
        if isinstance(protocol, AbortableProtocol):
            protocol.abort_if_closing()

    def abort_if_closing(self) -> None:
        """Abort the connection if its close has not finished."""
        if isinstance(self._protocol, AbortableProtocol):
            self._protocol.abort_if_closing()
