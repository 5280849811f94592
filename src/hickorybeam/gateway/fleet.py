"""The service ``fleet``: which VMs there are, what they spend, and how loaded they are.

Each VM registers itself in the store under a lease, and tells its peers about itself in
datagrams: running totals of what accounts spent, what it has at backend servers, and how long
a request would wait in its region. A lost datagram loses nothing, since all figures are whole
or told whole again soon.
"""

from __future__ import annotations

import asyncio
import random
import secrets
from dataclasses import replace
from typing import TYPE_CHECKING, ClassVar

import anyio
import msgspec
from absl import logging

from hickorybeam.gateway.datagrams import Datagrams
from hickorybeam.gateway.feed import FeedService
from hickorybeam.gateway.figures import OwnFigures, spread
from hickorybeam.gateway.peers import STEADY_MS, YOUNG_MS, PeerTable
from hickorybeam.gateway.placement_messages import PlacementResponse, HeldPlacements, PlacementUpdate, PlacementRequest
from hickorybeam.gateway.registration import Registration
from hickorybeam.gateway.tell import Audience, Tell
from hickorybeam.gateway.coordinator_ranking import CoordinatorRanking
from hickorybeam.kernel import Service
from hickorybeam.model.routing import GatewayVm
from hickorybeam.policy.fleet_quota import FleetQuota
from hickorybeam.policy.report_intervals import (
    peer_timeout_ms,
    local_report_interval_ms,
    jittered_interval_ms,
    remote_report_interval_ms,
    watch_pause_ms,
    watch_poll_timeout_ms,
    watcher_timeout_ms,
)
from hickorybeam.policy.prefix_holders import PrefixHolders
from hickorybeam.policy.watchers import count_watchers, should_watch
from hickorybeam.ports import FEED, FLEET, PLATFORM
from hickorybeam.sockets import bound_socket
from hickorybeam.store import PacedPlatform, WatchBatch

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable, Sequence
    from typing import Any

    from hickorybeam.clock import Clock
    from hickorybeam.gateway.peers import Peer, RegionForecast
    from hickorybeam.gateway.tell import Granted, RegionFigures, ServerFigures
    from hickorybeam.http1.pool import Address
    from hickorybeam.kernel import Kernel, Started
    from hickorybeam.settings import GatewaySettings, Settings
    from hickorybeam.telemetry import Counters

__all__ = ("FleetService",)

# All that VMs say to each other in datagrams.
Word = Tell | PlacementRequest | PlacementResponse | PlacementUpdate | HeldPlacements
# Figures of servers that didn't change are told again after so many times.
WHOLE_EVERY = 10


class FleetService(Service):
    """Knows the other VMs and keeps the quotas in step with theirs."""

    name: ClassVar[str] = FLEET
    needs: ClassVar[tuple[str, ...]] = (PLATFORM, FEED)

    def __init__(self, *, cfg: Settings, clock: Clock, counters: Counters) -> None:
        self._cfg = cfg
        self._clock = clock
        self._started_ms = clock.now()
        self._regions = cfg.gateway.regions if cfg.gateway else {}
        allowance = cfg.gateway.quota_allowance if cfg.gateway else 0.0
        self.quota = FleetQuota(allowance=allowance)
        self._figures = OwnFigures(clock, self.quota)
        self.holders = PrefixHolders()
        self._leaving_since_ms: int | None = None
        self.forecast: dict[str, RegionFigures] = {}
        # How late the region's other VMs are heard, added up over them, in ms.
        self.region_lag_ms = 0.0
        self.me = GatewayVm(
            name=cfg.vm.name,
            incarnation=secrets.token_hex(4),
            region=cfg.vm.region,
            data_centre=cfg.vm.data_centre,
            host=cfg.vm.host,
            caller_port=0,
            peer_port=cfg.vm.peer_port,
            power=cfg.vm.power,
        )
        self.peers = PeerTable(clock, self.me)
        self.coordinators = CoordinatorRanking(self.me, self.peers, self._stays)
        self._words: dict[type[Word], Callable[[Any], None]] = {Tell: self._take_word}
        # What this VM has at servers by places that others gave it.
        self.granted: Callable[[], Granted] = dict
        self._relayed: list[Tell] = []
        self._rng = random.Random()
        self._times = 0
        self._turns: dict[str, int] = {}
        self._fresh = True
        self._serving = anyio.Event()
        # The TCP side of the peers' port, for the service that answers there.
        self._peer_socket: socket.socket | None = None
        self._transport: asyncio.DatagramTransport | None = None
        self._sent_bytes = counters.counter("peer_bytes", "Bytes of datagrams sent to other VMs")
        alive = counters.gauge("vms_heard", "VMs of the fleet that are heard, this one included")
        alive.set_function(lambda: self.heard())

    @property
    def leaving(self) -> bool:
        """Whether this VM shuts down."""
        return self._leaving_since_ms is not None

    def bind(self, kernel: Kernel) -> None:
        """Look up the store and the feed."""
        self._store = kernel.find(PLATFORM, PacedPlatform)  # type: ignore[type-abstract]
        self._feed = kernel.find(FEED, FeedService)
        self._feed.on_batch(self._take_batch)
        self._feed.on_config(self._take_config)
        key = f"{self._cfg.platform.prefix}vm/{self.me.name}"
        self._registration = Registration(self._store, self._clock, key)

    def reload(self, cfg: GatewaySettings) -> None:
        """Start new accounts with this allowance, and use these regions, from now on."""
        self.quota.allowance = cfg.quota_allowance
        self._regions = cfg.regions

    def is_here(self, data_centre: str) -> bool:
        """Whether a data centre is of this VM's region."""
        return self._regions.get(data_centre) == self.me.region

    def _stays(self) -> bool:
        return self._clock.now() - self._started_ms >= STEADY_MS and not self.leaving

    def settled(self) -> bool:
        """Whether this VM has run for long enough to have heard of all others."""
        return self._clock.now() - self._started_ms >= YOUNG_MS

    def heard(self) -> int:
        """Return how many VMs are heard, this one included."""
        return 1 + self.peers.heard()

    def known(self) -> int:
        """Return how many VMs there are as far as is known, this one included."""
        return 1 + self.peers.known()

    def region_vms(self, region: str) -> list[GatewayVm]:
        """Return the VMs of a region that callers may use."""
        found = self.peers.serving(region)
        if region == self.me.region and not self.leaving:
            found.append(self.me)
        return found

    def leaving_vms(self, region: str) -> list[tuple[GatewayVm, int]]:
        """Return the VMs of a region that shut down, and for how long each has, in ms."""
        found = self.peers.leaving(region)
        if region == self.me.region and self._leaving_since_ms is not None:
            found.append((self.me, self._clock.now() - self._leaving_since_ms))
        return found

    def on_word(self, kind: type[Word], take: Callable[[Any], None]) -> None:
        """Hand words of a kind on; without anyone to take them, they are dropped."""
        self._words[kind] = take

    def say(self, vm: str, word: Word) -> None:
        """Say something to one VM of the region, if it is known."""
        peer = self.peers.by_name.get(vm)
        if peer is not None:
            self._send(msgspec.msgpack.encode(word), peer)

    def told_beside(self) -> bool:
        """Whether a VM of this data centre tells this one what changes in the store."""
        return any(self._heard_near().values())

    def found_cold(self, server_id: str, cold_ms: int) -> None:
        """Tell the region's VMs that a server said of itself that it is cold."""
        self._figures.found_cold(server_id, cold_ms)

    def elsewhere(self, service: str, *, leaving: bool = False) -> list[RegionForecast]:
        """Return VMs of other regions that take requests for a service, best first.

        :param leaving: those that shut down instead of those that stay.
        """
        return self.peers.elsewhere(service, leaving=leaving)

    async def main(self, started: Started) -> None:
        """Register and talk until cancelled."""
        loop = asyncio.get_running_loop()
        self._peer_socket = bound_socket(self._cfg.vm.host, self.me.peer_port)
        port = self._peer_socket.getsockname()[1]
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: Datagrams(self.receive), local_addr=(self._cfg.vm.host, port)
        )
        self.me = replace(self.me, peer_port=port)
        started()
        try:
            async with anyio.create_task_group() as tg:
                tg.start_soon(self._register)
                tg.start_soon(self._talk_near)
                tg.start_soon(self._talk_outside)
        finally:
            self._transport.close()

    def take_peer_socket(self) -> socket.socket:
        """Return a socket bound to the TCP side of the peers' port.

        The port is bound together with that of the datagrams, so that both have one number.
        """
        sock, self._peer_socket = self._peer_socket, None
        return sock or bound_socket(self.me.host, self.me.peer_port)

    def serve(self, *, caller_port: int) -> None:
        """Register from now on: callers and peers can connect."""
        self.me = replace(self.me, caller_port=caller_port)
        self._serving.set()

    async def leave(self) -> None:
        """Tell peers and the store that callers should go elsewhere."""
        self._leaving_since_ms = self._clock.now()
        self._tell_near()
        words: dict[Audience, bytes] = {}
        for peers in self.peers.outside().values():
            for peer in peers:
                self._tell_one(peer, words)
        await self._registration.withdraw()

    async def _register(self) -> None:
        await self._serving.wait()
        await self._registration.hold(self.me)

    def _take_config(self) -> None:
        config = self._feed.knowledge.config
        if config is not None:
            self.quota.configure(config.accounts.values(), self._clock.now())

    def _take_batch(self, batch: WatchBatch) -> None:
        prefix = f"{self._cfg.platform.prefix}vm/"
        for item in batch.puts:
            if item.key.startswith(prefix):
                self.peers.registered(item.value)
        for key in batch.deletes:
            if key.startswith(prefix):
                self.peers.unregistered(key.removeprefix(prefix))
        self.peers.prune()
        if self._registration.key in batch.deletes:
            self._registration.lapsed()

    async def _talk_near(self) -> None:
        while True:
            await self._clock.sleep(local_report_interval_ms(len(self.peers.near())))
            now = self._clock.now()
            self.peers.prune()
            self.coordinators.invalidate()
            self._adapt()
            self.quota.set_live_vms(1 + self.peers.spending_together(), self.known(), now)
            heard = [it for it in self.peers.by_name.values() if self.peers.is_heard(it)]
            spread(self._feed.knowledge, heard, me=self.me.name)
            self._tell_near()

    async def _talk_outside(self) -> None:
        while True:
            young = not self.settled()
            every_ms = remote_report_interval_ms(self.known(), just_started=young)
            await self._clock.sleep(jittered_interval_ms(every_ms, self._rng))
            self._tell_outside()

    def _adapt(self) -> None:
        """Fit intervals to the fleet's size, and watch the store or leave it to others."""
        near, watching = len(self.peers.near()), count_watchers(self.peers.centres())
        self.peers.heard_limit_ms = peer_timeout_ms(local_peers=near, vms=self.known())
        self.quota.peer_timeout_ms = self.peers.spends_alone_after_ms()
        self._store.watch_pause_ms = watch_pause_ms(watching)
        self._store.watch_poll_timeout_ms = watch_poll_timeout_ms(watching)
        self._feed.watch_itself(should_watch(self.me.name, self._heard_near()))
        self.region_lag_ms = self.peers.region_lag_ms()

    def _heard_near(self) -> dict[str, bool]:
        """Return the VMs of this data centre that are relied on, and whether each watches."""
        return self.peers.heard_near(watcher_timeout_ms(len(self.peers.near())))

    def _tell_near(self) -> None:
        """Tell every VM of this data centre, with what those outside told this one."""
        self._times += 1
        whole = self._times % WHOLE_EVERY == 0
        relayed, self._relayed = self._relayed, []
        data = self._encoded(Audience.NEAR, whole=whole, relayed=relayed)
        for peer in self.peers.near():
            self._send(data, peer)

    def _tell_outside(self) -> None:
        """Tell one VM of each other data centre, each in its turn; it passes the figures on.

        A full mesh over all data centres would cost each VM as many datagrams as there are VMs,
        and bytes between data centres are paid for.
        """
        words: dict[Audience, bytes] = {}
        for centre, peers in self.peers.outside().items():
            turn = self._turns.get(centre, self._offset())
            self._turns[centre] = turn + 1
            self._tell_one(peers[turn % len(peers)], words)

    def _tell_one(self, peer: Peer, words: dict[Audience, bytes]) -> None:
        """Tell a VM outside; ``words`` keeps what was encoded for its like."""
        audience = Audience.ASIDE if self.peers.here(peer) else Audience.FAR
        if audience not in words:
            words[audience] = self._encoded(audience)
        self._send(words[audience], peer)

    def _offset(self) -> int:
        """Return where this VM begins its turns, so that VMs don't all choose the same one."""
        return int(self.me.incarnation, 16)

    def _encoded(
        self,
        audience: Audience,
        *,
        whole: bool = True,
        relayed: Sequence[Tell] = (),
        answer: bool = False,
    ) -> bytes:
        tell = self._message(audience, whole=whole, relayed=relayed, answer=answer)
        return msgspec.msgpack.encode(tell)

    def _send(self, data: bytes, peer: Peer) -> None:
        if self._transport is not None:
            self._transport.sendto(data, (peer.vm.host, peer.vm.peer_port))
            self._sent_bytes.inc(len(data))

    def _message(
        self, audience: Audience, *, whole: bool, relayed: Sequence[Tell], answer: bool
    ) -> Tell:
        far = audience is Audience.FAR
        granted = {} if far else self.granted()
        return Tell(
            name=self.me.name,
            incarnation=self.me.incarnation,
            up_ms=self._clock.now() - self._started_ms,
            leaving=self.leaving,
            revision=self._feed.revision,
            follows=self._feed.follows,
            fresh=self._fresh,
            spent=self._figures.spends(whole=whole),
            servers={} if far else self._servers(granted, whole=whole),
            forecasts=self.forecast if far else {},
            whole=whole,
            relayed=list(relayed),
            levels=self.quota.levels() if answer else None,
            # Peers may not know it: a VM that restarts while the store is out isn't registered.
            vm=None if self._registration.held else self.me,
            holds={} if answer else self.holders.take_updates(audience.value),
            cold={} if far else self._figures.cold_left(),
            granted=granted,
        )

    def _servers(self, granted: Granted, *, whole: bool) -> dict[str, ServerFigures]:
        return self._figures.servers(self._feed.knowledge, granted, whole=whole)

    def receive(self, data: bytes) -> None:
        """Take what a peer says."""
        try:
            word = msgspec.msgpack.decode(data, type=Word)
        except msgspec.MsgspecError as exc:
            logging.warning("a datagram cannot be read: %s", exc)
            return
        take = self._words.get(type(word))
        if take is not None:
            take(word)

    def _take_word(self, tell: Tell) -> None:
        """Take what a peer says of itself, and of others that told it."""
        sender = self._take_tell(tell)
        for relayed in tell.relayed:
            if relayed.name != self.me.name:
                self._take_tell(relayed)
        if sender is not None and sender.vm.data_centre != self.me.data_centre:
            # For the next word to the VMs of this data centre.
            self._relayed.append(tell)

    def _take_tell(self, tell: Tell) -> Peer | None:
        peer = self.peers.heard_of(tell.name, tell.vm)
        if peer is None:
            return None
        now = self._clock.now()
        if tell.leaving and not peer.leaving:
            peer.leaving_since_ms = now
        peer.leaving = tell.leaving
        peer.follows = tell.follows
        self._feed.told(tell.revision, now, source=self._source(peer))
        self.holders.merge(tell.holds, now)
        if self.peers.here(peer):
            kept = {} if tell.whole or peer.servers is None else peer.servers
            peer.servers = kept | tell.servers
            peer.granted = tell.granted
            for server, cold_ms in tell.cold.items():
                self._feed.knowledge.cold(server, cold_ms, now)
        else:
            peer.forecasts = tell.forecasts
        younger = tell.up_ms < now - self._started_ms
        life = f"{tell.name}/{tell.incarnation}"
        self.quota.apply_totals(life, tell.spent, now, started_later=younger)
        self._settle_in(tell, peer, now)
        return peer

    def _source(self, peer: Peer) -> Address | None:
        """Return where to ask a peer for changes, if it follows the store close by."""
        if not peer.follows or peer.vm.data_centre != self.me.data_centre:
            return None
        return (peer.vm.host, peer.vm.peer_port)

    def _settle_in(self, tell: Tell, peer: Peer, now_ms: int) -> None:
        """Take the buckets' levels from an older VM, or give them to a younger one."""
        up_ms = now_ms - self._started_ms
        if tell.levels is not None and self._fresh and tell.up_ms > up_ms:
            self._fresh = False
            self.quota.adopt_levels(tell.levels, now_ms)
        if self._fresh and up_ms > YOUNG_MS:
            self._fresh = False
        if tell.fresh and tell.up_ms < up_ms:
            audience = Audience.ASIDE if self.peers.here(peer) else Audience.FAR
            self._send(self._encoded(audience, answer=True), peer)
