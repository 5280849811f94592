"""Pool of connections to peers: a few HTTP/2 channels for each address, replaced after silence.

A TCP connection can go silent for good while a new one works, because a device between the two
ends has lost its state. Keep-alive pings detect this while calls are open, a call's own timeout
detects it at once, and the channel is then never used again.
"""

from __future__ import annotations

from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from grpclib.client import Channel
from grpclib.config import Configuration
from grpclib.protocol import H2Protocol

from hickorybeam.clock import MS_PER_SECOND
from hickorybeam.peers.codec import MessagePackCodec
from hickorybeam.peers.shared_stream import SharedStream

if TYPE_CHECKING:
    import ssl
    from asyncio import BaseTransport
    from collections.abc import Callable, Iterator

    from hickorybeam.clock import Clock

__all__ = ("AbortableProtocol", "Address", "ConnectionPool", "PeerChannel", "with_pings")

# Longer than a VM takes to send heartbeats to all its partners; connections made only to join a
# fleet expire.
IDLE_TIMEOUT_MS = 20_000
# h2 announces at most 100 streams for a connection. Calls beyond take another channel, since
# grpclib would queue them silently.
MAX_CALLS_PER_CHANNEL = 90
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

    def connection_made(self, transport: BaseTransport) -> None:
        """Keep the transport, which grpclib drops on close."""
        self.transport = transport
        super().connection_made(transport)

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


@dataclass(slots=True)
class PooledStream:
    """A shared stream, and the time of its last use in ms."""

    stream: SharedStream
    last_used: int = 0


class ConnectionPool:
    """All channels and shared streams of this VM to peers, by address.

    :param tls: context for connections to peers; ``None`` for plain connections.
    :param silent_after_ms: time after which a silent connection with open calls is closed.
    :param start: starts the task of a new shared stream.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        tls: ssl.SSLContext | None,
        silent_after_ms: int,
        start: Callable[[SharedStream], None],
    ) -> None:
        self._start = start
        self._streams: dict[Address, PooledStream] = {}
        self._clock = clock
        self._tls = tls
        self._cfg = with_pings(silent_after_ms)
        self._channels: dict[Address, list[PeerChannel]] = {}

    def __len__(self) -> int:
        return sum(map(len, self._channels.values())) + len(self._streams)

    @contextmanager
    def channel(self, address: Address) -> Iterator[PeerChannel]:
        """Lend a channel for one call."""
        channel = self._channel_with_capacity(address)
        channel.open_calls += 1
        try:
            yield channel
        finally:
            channel.open_calls -= 1
            channel.last_used = self._clock.now()
            if channel.retired and not channel.open_calls:
                channel.abort()

    def shared_stream(self, address: Address) -> SharedStream:
        """Return the shared stream to a peer, opening it if there is none."""
        found = self._streams.get(address)
        if found is None or found.stream.closed:
            channel = PeerChannel(address, tls=self._tls, cfg=without_pings())
            found = self._streams[address] = PooledStream(SharedStream(channel))
            self._start(found.stream)
        found.last_used = self._clock.now()
        return found.stream

    def retire(self, address: Address, channel: PeerChannel) -> None:
        """Use a silent channel for no new call; pings decide on the open ones."""
        channel.retired = True
        channels = self._channels.get(address, [])
        if channel in channels:
            channels.remove(channel)

    def sweep(self) -> None:
        """Close idle channels and streams, abort those whose close hangs; called periodically."""
        now = self._clock.now()
        for address, channels in list(self._channels.items()):
            for channel in list(channels):
                channel.abort_if_closing()
                if not channel.open_calls and now - channel.last_used > IDLE_TIMEOUT_MS:
                    channels.remove(channel)
                    channel.close()
            if not channels:
                del self._channels[address]
        for address, pooled in list(self._streams.items()):
            if pooled.stream.idle and now - pooled.last_used > IDLE_TIMEOUT_MS:
                pooled.stream.close()
            if pooled.stream.closed:
                del self._streams[address]

    def close(self) -> None:
        """Close every channel and shared stream."""
        for channels in self._channels.values():
            for channel in channels:
                channel.close()
        self._channels.clear()
        for pooled in self._streams.values():
            pooled.stream.close()
        self._streams.clear()

    def _channel_with_capacity(self, address: Address) -> PeerChannel:
        channels = self._channels.setdefault(address, [])
        for channel in channels:
            if channel.open_calls < MAX_CALLS_PER_CHANNEL:
                return channel
        channel = PeerChannel(address, tls=self._tls, cfg=self._cfg)
        channels.append(channel)
        return channel
