"""Pool of connections to peers: a few HTTP/2 channels for each address, replaced after silence.

A TCP connection can go silent for good while a new one works, because a device between the two
ends has lost its state. Keep-alive pings detect this while calls are open, a call's own timeout
detects it at once, and the channel is then never used again.
"""

from __future__ import annotations

from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hickorybeam.peers.channel import Address, PeerChannel, with_pings, without_pings
from hickorybeam.peers.shared_stream import SharedStream

if TYPE_CHECKING:
    import ssl
    from collections.abc import Callable, Iterator

    from hickorybeam.clock import Clock

__all__ = ("ConnectionPool",)

# Longer than a VM takes to send heartbeats to all its partners; connections made only to join a
# fleet expire.
IDLE_TIMEOUT_MS = 20_000
# h2 announces at most 100 streams for a connection. Calls beyond take another channel, since
# grpclib would queue them silently.
MAX_CALLS_PER_CHANNEL = 90


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
