"""Connections to peers: few HTTP/2 channels for each address, replaced after silence.

A TCP connection can go silent for good while a new one works, because something between the
two ends has lost track of it. Keep-alive pings find that while calls are open, a call's own
timeout finds it at once, and the channel is then never used again.
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

# Longer than a VM's round of its heartbeat partners; a VM that joins meets others in passing.
IDLE_MS = 20_000
# h2 announces at most 100 streams for a connection; the calls beyond take another channel,
# since grpclib would let them wait without a word.
MAX_CALLS_PER_CHANNEL = 90
# A peer's stream holds at most this much unread; all streams of a channel together fit into
# the connection's window, so that readers who stall cannot stop the other streams.
STREAM_WINDOW_BYTES = 65_535
CONNECTION_WINDOW_BYTES = 100 * STREAM_WINDOW_BYTES


@dataclass(frozen=True, slots=True)
class Address:
    """Where a peer listens."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        """Read ``host:port``."""
        host, _, port = text.rpartition(":")
        return cls(host.strip("[]"), int(port))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def without_pings() -> Configuration:
    """Return grpclib's settings with no pings, where every call has a timeout of its own."""
    return Configuration(
        http2_connection_window_size=CONNECTION_WINDOW_BYTES,
        http2_stream_window_size=STREAM_WINDOW_BYTES,
    )


def with_pings(silent_after_ms: int) -> Configuration:
    """Return grpclib's settings: a ping at half the time, closed when unanswered as long."""
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
    """grpclib's protocol, which after an unanswered ping also ends with bytes still unsent.

    The library closes the transport, and asyncio then waits for its buffer to be sent, which
    on a silent connection never happens: the calls on it would hang.
    """

    transport: BaseTransport | None = None

    def connection_made(self, transport: BaseTransport) -> None:
        """Keep the transport, which the library lets go of on close."""
        self.transport = transport
        super().connection_made(transport)

    def abort_if_closing(self) -> None:
        """End a connection at once whose close is still under way."""
        if self.transport is not None and self.transport.is_closing():
            self.transport.abort()  # type: ignore[attr-defined]


class PeerChannel(Channel):  # type: ignore[misc]
    """One HTTP/2 connection to a peer, with the calls that are open on it."""

    def __init__(self, address: Address, *, tls: ssl.SSLContext | None, cfg: Configuration):
        super().__init__(address.host, address.port, codec=MessagePackCodec(), ssl=tls, config=cfg)
        self.open_calls = 0
        self.retired = False
        self.last_used = 0

    def _protocol_factory(self) -> AbortableProtocol:
        plain: Any = super()._protocol_factory()
        return AbortableProtocol(plain.handler, plain.config, plain.h2_config)

    def received_bytes(self) -> int:
        """Return how much message data ever came in on the present connection."""
        return 0 if self._protocol is None else int(self._protocol.connection.data_received)

    def abort(self) -> None:
        """Close the connection without waiting for unsent bytes, which may never leave."""
        protocol = self._protocol
        self.close()
        if isinstance(protocol, AbortableProtocol):
            protocol.abort_if_closing()

    def abort_if_closing(self) -> None:
        """End the connection if its close hangs."""
        if isinstance(self._protocol, AbortableProtocol):
            self._protocol.abort_if_closing()


@dataclass(slots=True)
class PooledStream:
    """A conversation and when it was last used."""

    shared_stream: SharedStream
    last_used: int = 0


class ConnectionPool:
    """All channels of this VM, by address.

    :param tls: context for connections to peers; ``None`` for plain connections.
    :param silent_after_ms: how long a connection with open calls may stay silent.
    :param start: starts the task of a new conversation.
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
        chosen = self._usable(address)
        chosen.open_calls += 1
        try:
            yield chosen
        finally:
            chosen.open_calls -= 1
            chosen.last_used = self._clock.now()
            if chosen.retired and not chosen.open_calls:
                chosen.abort()

    def shared_stream(self, address: Address) -> SharedStream:
        """Return the conversation with a peer, begun if there is none."""
        found = self._streams.get(address)
        if found is None or found.shared_stream.ended:
            channel = PeerChannel(address, tls=self._tls, cfg=without_pings())
            found = self._streams[address] = PooledStream(SharedStream(channel))
            self._start(found.shared_stream)
        found.last_used = self._clock.now()
        return found.shared_stream

    def retire(self, address: Address, channel: PeerChannel) -> None:
        """Give no new call to a channel that fell silent; open ones are left to the pings."""
        channel.retired = True
        channels = self._channels.get(address, [])
        if channel in channels:
            channels.remove(channel)

    def sweep(self) -> None:
        """Close what is idle and end what hangs while closing; called now and then."""
        now = self._clock.now()
        for address, channels in list(self._channels.items()):
            for channel in list(channels):
                channel.abort_if_closing()
                if not channel.open_calls and now - channel.last_used > IDLE_MS:
                    channels.remove(channel)
                    channel.close()
            if not channels:
                del self._channels[address]
        for address, spoken in list(self._streams.items()):
            if spoken.shared_stream.idle and now - spoken.last_used > IDLE_MS:
                spoken.shared_stream.end()
            if spoken.shared_stream.ended:
                del self._streams[address]

    def close(self) -> None:
        """Close every channel."""
        for channels in self._channels.values():
            for channel in channels:
                channel.close()
        self._channels.clear()
        for spoken in self._streams.values():
            spoken.shared_stream.end()
        self._streams.clear()

    def _usable(self, address: Address) -> PeerChannel:
        channels = self._channels.setdefault(address, [])
        for channel in channels:
            if channel.open_calls < MAX_CALLS_PER_CHANNEL:
                return channel
        channel = PeerChannel(address, tls=self._tls, cfg=self._cfg)
        channels.append(channel)
        return channel
