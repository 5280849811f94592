"""Which requests alone explain the servers that ended at one moment.

Power, a rack or a network ends servers whatever runs there: some that had the request and some that
had not. A request of which copies were sent at once ends exactly the servers that had one, and
leaves the others alone.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hickorybeam.policy.crash_counts import SAME_CAUSE_MS

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from hickorybeam.gateway.crashes.open_requests import Look, OpenRequest
    from hickorybeam.http1.pool import Address
    from hickorybeam.policy.server_choice import ServerState

__all__ = ("EndMoments", "address_of")

MAX_KEPT = 256
# Servers behind a network that is cut fall silent one after the other, as their connections time
# out. Those within this time of the first have ended together.
SAME_SILENCE_MS = 5_000


@dataclass(frozen=True, slots=True)
class _Ended:
    """A server that ended, or seems to have, and the outlines of the requests there."""

    address: Address
    at_ms: int
    outlines: frozenset[bytes]


class EndMoments:
    """What this VM saw end in the last moments: idle connections, and servers."""

    def __init__(self) -> None:
        self._closed: deque[tuple[Address, int]] = deque(maxlen=MAX_KEPT)
        self._ended: deque[_Ended] = deque(maxlen=MAX_KEPT)
        self._silent_since_ms = -SAME_SILENCE_MS

    def common_silence_ms(self, since_ms: int) -> int:
        """Return since when a server is silent, or the servers that fell silent with it."""
        if since_ms - self._silent_since_ms >= SAME_SILENCE_MS:
            self._silent_since_ms = since_ms
        return self._silent_since_ms

    def record_closed(self, address: Address, now_ms: int) -> None:
        """Record that the other end closed an idle connection."""
        self._closed.append((address, now_ms))

    def record_ended(self, server_state: ServerState, look: Look) -> None:
        """Record a server that has ended."""
        self._ended.append(ended_of(server_state, look))

    def alone(
        self,
        server_state: ServerState,
        look: Look,
        *,
        looks: Mapping[ServerState, Look],
        opened: Mapping[ServerState, Iterable[OpenRequest]],
    ) -> frozenset[bytes]:
        """Return the outlines of requests with one copy at each server that ended now, and no more.

        :param look: the look at a server that has ended.
        :param looks: the looks at other servers.
        :param opened: the requests that are open, by server.
        """
        copies = outlines_of(look.requests)
        found = frozenset(outline for outline, count in copies.items() if count == 1)
        others = [*self._ended, *(ended_of(state, it) for state, it in looks.items() if it.closed)]
        near = [it for it in others if is_near(it.at_ms, look.since_ms)]
        for ended in near:
            found &= ended.outlines
        gone = {address_of(server_state), *(it.address for it in near)}
        if any(address not in gone and is_near(at, look.since_ms) for address, at in self._closed):
            return frozenset()
        for state, requests in opened.items():
            if found and address_of(state) not in gone:
                found -= outlines_of(requests).keys()
        return found

    def is_only(
        self, server_state: ServerState, since_ms: int, looks: Mapping[ServerState, Look]
    ) -> bool:
        """Return whether no other server has ended since a time, as far as this VM has seen.

        :param looks: the looks at other servers.
        """
        own = address_of(server_state)
        ended = [(it.address, it.at_ms) for it in self._ended]
        ended += [(address_of(state), it.since_ms) for state, it in looks.items() if it.closed]
        return all(address == own or at < since_ms for address, at in (*ended, *self._closed))


def ended_of(server_state: ServerState, look: Look) -> _Ended:
    """Return what is kept of a server that ended, or seems to have."""
    outlines = frozenset(outlines_of(look.requests))
    return _Ended(address_of(server_state), look.since_ms, outlines)


def outlines_of(requests: Iterable[OpenRequest]) -> Counter[bytes]:
    """Return how many requests have each outline."""
    return Counter(it.request.outline() for it in requests)


def is_near(at_ms: int, other_ms: int) -> bool:
    """Return whether two ends may have one cause."""
    return abs(at_ms - other_ms) < SAME_CAUSE_MS


def address_of(server_state: ServerState) -> Address:
    """Return the host and port of a server."""
    return (server_state.server.host, server_state.server.port)
