"""Open connections to VMs of other regions before requests need them.

A new connection to another region costs a round trip, a quarter of a short objective, and a
request that is forwarded while none is idle would spend it waiting. All VMs of a region reach the
same servers, so a request goes to one of them to which a connection is idle. While a region is in
use and has few idle ones left, each request that is sent there has another one opened.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import anyio

from hickorybeam.gateway.peers import Peer
from hickorybeam.gateway.targets import PeerTarget, address_of
from hickorybeam.http1 import ConnectFailedError

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from hickorybeam.gateway.fleet import FleetService
    from hickorybeam.http1 import UpstreamPool

__all__ = ("PeerConnections",)

# Idle connections to a region in use: forwarded requests come in bunches.
SPARE_CONNECTIONS = 2
# Requested connections that are not being opened yet; further requests are dropped.
MAX_REQUESTED = 8


class PeerConnections:
    """Chooses VMs of other regions by idle connections, and opens spare ones."""

    def __init__(self, *, fleet: FleetService, pool: UpstreamPool) -> None:
        self._fleet = fleet
        self._pool = pool
        self._rng = random.Random()
        self._requested, self._to_open = anyio.create_memory_object_stream[Peer](MAX_REQUESTED)

    async def run(self) -> None:
        """Open the spare connections that are requested, until cancelled."""
        async with anyio.create_task_group() as tg:
            async for peer in self._to_open:
                tg.start_soon(self._open, peer)

    async def _open(self, peer: Peer) -> None:
        try:
            await self._pool.open_idle(address_of(PeerTarget(peer)))
        except ConnectFailedError:
            # A request that is sent to this VM finds out by itself.
            return

    def prefer_connected(
        self, target: PeerTarget, *, service: str, tried: Collection[str]
    ) -> PeerTarget:
        """Return a VM of the target's region with an idle connection, or the target itself.

        :param tried: names of targets that the request was sent to before.
        """
        peers = [
            it.peer
            for it in self._fleet.remote_candidates(service)
            if it.peer.vm.region == target.peer.vm.region and it.peer.vm.name not in tried
        ]
        idle = {it.vm.name: self._pool.idle_count(address_of(PeerTarget(it))) for it in peers}
        if sum(idle.values()) <= SPARE_CONNECTIONS:
            self._request_spare(peers)
        connected = [it for it in peers if idle[it.vm.name]]
        if target.peer in connected or not connected:
            return target
        return PeerTarget(self._rng.choice(connected))

    def _request_spare(self, peers: Sequence[Peer]) -> None:
        """Have a connection to one of a region's VMs opened, unless many are requested already."""
        if not peers:
            return
        try:
            self._requested.send_nowait(self._rng.choice(peers))
        except anyio.WouldBlock:
            return
