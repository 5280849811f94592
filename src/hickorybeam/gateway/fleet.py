"""The service ``fleet``: which VMs there are, what they spend, and how loaded they are.

Each VM registers itself in the store under a lease, and tells its peers about itself in
datagrams: running totals of what accounts spent, what it has at backend servers, and how long
a request would wait in its region. A lost datagram loses nothing, since all figures are whole.
"""

from __future__ import annotations

import asyncio
import secrets
from dataclasses import dataclass, replace
from enum import Enum
from typing import TYPE_CHECKING, ClassVar

import anyio
import msgspec
from absl import logging

from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.gateway.feed import FeedService
from hickorybeam.http1 import bound_socket
from hickorybeam.kernel import Service
from hickorybeam.model.routing import GatewayVm
from hickorybeam.policy.fleet_quota import FleetQuota
from hickorybeam.policy.prefix_holders import PrefixHolders
from hickorybeam.ports import FEED, FLEET, PLATFORM
from hickorybeam.store import Delete, Platform, Put, WatchBatch

if TYPE_CHECKING:
    import socket
    from collections.abc import Sequence

    from hickorybeam.clock import Clock
    from hickorybeam.kernel import Kernel, Started
    from hickorybeam.settings import Settings
    from hickorybeam.telemetry import Counters

__all__ = ("FleetService", "Peer", "RegionForecast")

# Registrations only tell who is there at all; whether a VM lives is heard. So the lease is long.
MS_PER_SECOND = 1000
LEASE_MS = 12_000
RENEW_MS = 4_000
RETRY_MS = 400
# How often a VM tells the VMs of its data centre about itself, those of its region's other data
# centres, and one VM of each other region, which passes it on, in ms. Bytes between data
# centres are paid for; within one the figures also spread the load.
NEAR_EVERY_MS = 100
SIDE_EVERY_MS = 700
FAR_EVERY_MS = 400
# Beyond 6 VMs each tells the others less often, so that what a VM sends and reads stays at
# about 60 datagrams a second however large the fleet is.
EVERY_PER_VM_MS = 16
# Figures of servers that didn't change are told again after so many times.
WHOLE_EVERY = 10
# What is not heard for this long, or for so many times of being told, is not named to callers
# and holds no part of a quota.
HEARD_MS = 1_500
HEARD_TIMES = 4
# After a change the watch rests, so that changes which come together cost one call: calls are
# paid for, and each change wakes every VM. In larger fleets it rests for longer.
REST_MS = 400
REST_PER_VM_MS = 40
MOST_REST_MS = 1_200
# A quiet watch is asked again after this long for each VM, within bounds: one whose connection
# went silent is found by the first VM that asks again, whose word wakes the others.
WATCH_WAIT_PER_VM_MS = 1_000
LEAST_WATCH_WAIT_MS = 6_000
MOST_WATCH_WAIT_MS = 20_000
# A VM that has just registered may not have been heard yet.
YOUNG_MS = 2_500
NOTHING = (0, 0, 0)


class Audience(Enum):
    """Whom a VM tells: its data centre, its region's others, or other regions."""

    NEAR = "near"
    ASIDE = "aside"
    FAR = "far"


class Tell(msgspec.Struct, frozen=True, array_like=True):
    """What a VM says of itself.

    Where ``whole`` is false, ``spent`` and ``servers`` hold only what changed since it was told
    last; a lost datagram is made good by the next whole one.
    """

    name: str
    incarnation: str
    up_ms: int
    leaving: bool
    revision: int
    fresh: bool
    spent: dict[str, float]
    servers: dict[str, tuple[int, int, int]]
    forecasts: dict[str, float]
    whole: bool = True
    levels: dict[str, float] | None = None
    vm: GatewayVm | None = None
    holds: dict[str, str] = {}
    relayed: list[Tell] = []


@dataclass(slots=True, eq=False)
class Peer:
    """Another VM as this one knows it."""

    vm: GatewayVm
    known_ms: int
    registered: bool = True
    heard_ms: int = -HEARD_MS
    incarnation: str = ""
    leaving: bool = False
    servers: dict[str, tuple[int, int, int]] | None = None
    forecasts: dict[str, float] | None = None

    def alive(self, now_ms: int, heard_limit_ms: int) -> bool:
        """Whether it was heard, or is too new to have been."""
        return self.heard(now_ms, heard_limit_ms) or now_ms - self.known_ms < YOUNG_MS

    def heard(self, now_ms: int, heard_limit_ms: int) -> bool:
        """Whether it was heard lately."""
        return now_ms - self.heard_ms < heard_limit_ms


@dataclass(frozen=True, slots=True)
class RegionForecast:
    """A VM of another region that takes requests for a service, and the wait there in ms."""

    peer: Peer
    wait_ms: float


class FleetService(Service):
    """Knows the other VMs and keeps the quotas in step with theirs."""

    name: ClassVar[str] = FLEET
    needs: ClassVar[tuple[str, ...]] = (PLATFORM, FEED)

    def __init__(self, *, cfg: Settings, clock: Clock, counters: Counters) -> None:
        self._cfg = cfg
        self._clock = clock
        self._started_ms = clock.now()
        allowance = cfg.gateway.quota_allowance if cfg.gateway else 0.0
        self.quota = FleetQuota(self._started_ms, allowance=allowance)
        self.holders = PrefixHolders()
        self.peers: dict[str, Peer] = {}
        self.leaving = False
        self.forecast: dict[str, float] = {}
        self.me = GatewayVm(
            name=cfg.vm.name,
            incarnation=secrets.token_hex(4),
            region=cfg.vm.region,
            data_centre=cfg.vm.data_centre,
            host=cfg.vm.host,
            caller_port=0,
            peer_port=cfg.vm.peer_port,
        )
        self.heard_limit_ms = HEARD_MS
        self._relayed: list[Tell] = []
        self._relayed_aside: list[Tell] = []
        self._spends_told: dict[str, float] = {}
        self._told: dict[str, tuple[int, int, int]] = {}
        self._times = 0
        self._turns: dict[str, int] = {}
        self._lease = 0
        self._fresh = True
        self._serving = anyio.Event()
        self._lapsed = anyio.Event()
        # The TCP side of the peers' port, for the service that answers there.
        self.peer_socket: socket.socket | None = None
        self._transport: asyncio.DatagramTransport | None = None
        self._sent_bytes = counters.counter("peer_bytes", "Bytes of datagrams sent to other VMs")
        alive = counters.gauge("vms_heard", "VMs of the fleet that are heard, this one included")
        alive.set_function(lambda: self.heard())

    def bind(self, kernel: Kernel) -> None:
        """Look up the store and the feed."""
        self._store = kernel.find(PLATFORM, Platform)  # type: ignore[type-abstract]
        self._feed = kernel.find(FEED, FeedService)
        self._feed.on_batch(self._take_batch)
        self._feed.on_config(self._take_config)

    @property
    def _key(self) -> str:
        return f"{self._cfg.platform.prefix}vm/{self.me.name}"

    def heard(self) -> int:
        """Return how many VMs are heard, this one included."""
        now = self._clock.now()
        return 1 + sum(it.heard(now, self.heard_limit_ms) for it in self.peers.values())

    def known(self) -> int:
        """Return how many VMs there are as far as is known, this one included."""
        return 1 + sum(not peer.leaving for peer in self.peers.values())

    def region_vms(self, region: str) -> list[GatewayVm]:
        """Return the VMs of a region that callers may use."""
        now = self._clock.now()
        found = [
            peer.vm
            for peer in self.peers.values()
            if peer.vm.region == region
            and not peer.leaving
            and peer.alive(now, self.heard_limit_ms)
        ]
        if region == self.me.region and not self.leaving:
            found.append(self.me)
        return found

    def near_names(self) -> list[str]:
        """Return the names of the VMs of this region, this one included."""
        now = self._clock.now()
        return [self.me.name] + [
            peer.vm.name
            for peer in self.peers.values()
            if peer.vm.region == self.me.region and peer.alive(now, self.heard_limit_ms)
        ]

    def elsewhere(self, service: str) -> list[RegionForecast]:
        """Return VMs of other regions that take requests for a service, best first."""
        now = self._clock.now()
        found = [
            RegionForecast(peer, peer.forecasts[service])
            for peer in self.peers.values()
            if peer.vm.region != self.me.region
            and not peer.leaving
            and peer.heard(now, self.heard_limit_ms)
            and peer.forecasts is not None
            and service in peer.forecasts
        ]
        return sorted(found, key=lambda it: (it.wait_ms, it.peer.vm.name))

    async def main(self, started: Started) -> None:
        """Register and talk until cancelled."""
        loop = asyncio.get_running_loop()
        self.peer_socket = bound_socket(self._cfg.vm.host, self._cfg.vm.peer_port)
        port = self.peer_socket.getsockname()[1]
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Datagrams(self), local_addr=(self._cfg.vm.host, port)
        )
        self.me = replace(self.me, peer_port=port)
        started()
        try:
            async with anyio.create_task_group() as tg:
                tg.start_soon(self._register)
                tg.start_soon(self._talk_near)
                tg.start_soon(self._talk_aside)
                tg.start_soon(self._talk_far)
        finally:
            self._transport.close()

    def serve(self, *, caller_port: int) -> None:
        """Register from now on: callers and peers can connect."""
        self.me = replace(self.me, caller_port=caller_port)
        self._serving.set()

    async def leave(self) -> None:
        """Tell peers and the store that callers should go elsewhere."""
        self.leaving = True
        self._tell_near()
        self._tell_aside()
        data = self._encoded(Audience.FAR)
        for peer in self.peers.values():
            if peer.vm.region != self.me.region:
                self._send(data, peer)
        try:
            with anyio.move_on_after(1.0):
                await self._store.txn((), (Delete(self._key),))
        except GatewayError as exc:
            logging.info("left without the store: %s", exc)

    async def _register(self) -> None:
        """Hold a lease and this VM's key under it, through outages of the store."""
        await self._serving.wait()
        pause = RENEW_MS
        while not self.leaving:
            try:
                if not self._lease:
                    lease = await self._store.grant(LEASE_MS)
                    value = msgspec.json.encode(self.me)
                    await self._store.txn((), (Put(self._key, value, lease),))
                    self._lease = lease
                else:
                    await self._store.keep_alive(self._lease)
                pause = RENEW_MS
            except GatewayError as exc:
                if exc.kind is ErrorKind.LEASE_LOST:
                    logging.info("registration lapsed, registering again")
                    self._lease = 0
                pause = RETRY_MS
            self._lapsed = anyio.Event()
            with anyio.move_on_after(pause / MS_PER_SECOND):
                await self._lapsed.wait()

    def _take_config(self) -> None:
        config = self._feed.knowledge.config
        if config is not None:
            self.quota.configure(config.accounts.values(), self._clock.now())

    def _take_batch(self, batch: WatchBatch) -> None:
        prefix = f"{self._cfg.platform.prefix}vm/"
        now = self._clock.now()
        for item in batch.puts:
            if item.key.startswith(prefix):
                self._take_vm(item.value, now)
        for key in batch.deletes:
            name = key.removeprefix(prefix)
            if key.startswith(prefix) and name in self.peers:
                self.peers[name].registered = False
        self._prune(now)
        if self._key in batch.deletes and not self.leaving:
            self._lease = 0
            self._lapsed.set()

    def _take_vm(self, value: bytes, now_ms: int) -> None:
        try:
            vm = msgspec.json.decode(value, type=GatewayVm)
        except msgspec.MsgspecError as exc:
            logging.warning("a VM's entry cannot be read: %s", exc)
            return
        if vm.name == self.me.name:
            return
        known = self.peers.get(vm.name)
        if known is not None and known.vm == vm:
            known.registered = True
        else:
            self.peers[vm.name] = Peer(vm, now_ms)

    def _prune(self, now_ms: int) -> None:
        """Forget VMs that are neither registered nor heard.

        The store's lease alone would drop VMs that run through an outage in which leases
        lapse; hearing alone would count one that is gone for good.
        """
        for name, peer in tuple(self.peers.items()):
            if not peer.registered and not peer.alive(now_ms, self.heard_limit_ms):
                del self.peers[name]

    async def _talk_near(self) -> None:
        while True:
            await self._clock.sleep(self._every_ms(NEAR_EVERY_MS, self._near()))
            now = self._clock.now()
            self._prune(now)
            self._adapt()
            self.quota.reach(self.heard(), self.known(), now)
            self._spread(now)
            self._tell_near()

    async def _talk_aside(self) -> None:
        while True:
            await self._clock.sleep(self._every_ms(SIDE_EVERY_MS, self._aside()))
            self._tell_aside()

    def _every_ms(self, least_ms: int, peers: list[Peer]) -> int:
        return max(least_ms, EVERY_PER_VM_MS * len(peers))

    def _adapt(self) -> None:
        """Fit intervals to the fleet's size."""
        aside_ms = self._every_ms(SIDE_EVERY_MS, self._aside())
        self.heard_limit_ms = max(HEARD_MS, HEARD_TIMES * aside_ms)
        known = self.known()
        self._store.watch_rest_ms = max(REST_MS, min(MOST_REST_MS, REST_PER_VM_MS * known))
        self._store.watch_wait_ms = max(
            LEAST_WATCH_WAIT_MS, min(MOST_WATCH_WAIT_MS, WATCH_WAIT_PER_VM_MS * known)
        )

    def _near(self) -> list[Peer]:
        here = self.me.data_centre
        return [it for it in self.peers.values() if it.vm.data_centre == here]

    def _aside(self) -> list[Peer]:
        """Return the VMs of this region's other data centres."""
        return [
            it
            for it in self.peers.values()
            if it.vm.region == self.me.region and it.vm.data_centre != self.me.data_centre
        ]

    async def _talk_far(self) -> None:
        while True:
            await self._clock.sleep(FAR_EVERY_MS)
            self._tell_far()

    def _spread(self, now_ms: int) -> None:
        """Add up what the region's other VMs have at each backend server."""
        totals: dict[str, tuple[int, int, int]] = {}
        for peer in self.peers.values():
            if peer.servers and peer.heard(now_ms, self.heard_limit_ms):
                for server, told in peer.servers.items():
                    before = totals.get(server, NOTHING)
                    totals[server] = (
                        before[0] + told[0],
                        before[1] + told[1],
                        before[2] + told[2],
                    )
        for name, standing in self._feed.knowledge.standings.items():
            running, reading, holding = totals.get(name, NOTHING)
            standing.elsewhere = running
            standing.reading_elsewhere = reading
            standing.holding_elsewhere = holding

    def _tell_near(self) -> None:
        """Tell every VM of this data centre, with what far regions told this one."""
        self._times += 1
        whole = self._times % WHOLE_EVERY == 0
        relayed, self._relayed = self._relayed, []
        data = self._encoded(Audience.NEAR, whole=whole, relayed=relayed)
        for peer in self._near():
            self._send(data, peer)
        self._relayed_aside += relayed

    def _tell_aside(self) -> None:
        """Tell every VM of the region's other data centres."""
        relayed, self._relayed_aside = self._relayed_aside, []
        peers = self._aside()
        data = self._encoded(Audience.ASIDE, relayed=relayed) if peers else b""
        for peer in peers:
            self._send(data, peer)

    def _tell_far(self) -> None:
        """Tell one VM of each other region, each in its turn; it passes the figures on.

        A full mesh over all regions would cost each VM as many datagrams as there are VMs.
        """
        by_region: dict[str, list[Peer]] = {}
        for peer in self.peers.values():
            if peer.vm.region != self.me.region:
                by_region.setdefault(peer.vm.region, []).append(peer)
        if not by_region:
            return
        data = self._encoded(Audience.FAR)
        now = self._clock.now()
        for region, peers in by_region.items():
            alive = [it for it in peers if it.alive(now, self.heard_limit_ms)] or peers
            alive.sort(key=lambda it: it.vm.name)
            turn = self._turns.get(region, self._offset())
            self._turns[region] = turn + 1
            self._send(data, alive[turn % len(alive)])

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
        return Tell(
            name=self.me.name,
            incarnation=self.me.incarnation,
            up_ms=self._clock.now() - self._started_ms,
            leaving=self.leaving,
            revision=self._feed.revision,
            fresh=self._fresh,
            spent=self._spends(whole=whole),
            servers={} if far else self._server_figures(whole=whole),
            forecasts={name: round(wait) for name, wait in self.forecast.items()} if far else {},
            whole=whole,
            relayed=list(relayed),
            levels=self.quota.levels() if answer else None,
            # Peers may not know it: a VM that restarts while the store is out isn't registered.
            vm=None if self._lease else self.me,
            holds={} if answer else self.holders.news(audience.value),
        )

    def _spends(self, *, whole: bool) -> dict[str, float]:
        """Return totals by account, or only those that changed since they were told."""
        now = {name: round(total, 1) for name, total in self.quota.totals().items()}
        before, self._spends_told = self._spends_told, now
        if whole:
            return now
        return {name: total for name, total in now.items() if before.get(name) != total}

    def _server_figures(self, *, whole: bool) -> dict[str, tuple[int, int, int]]:
        """Return what this VM has at each server, or only what changed since it was told."""
        now = {
            name: (it.running, it.reading, it.holding)
            for name, it in self._feed.knowledge.standings.items()
            if it.running or it.reading
        }
        if whole:
            return now
        before, self._told = self._told, now
        changed = {name: told for name, told in now.items() if before.get(name) != told}
        return changed | {name: NOTHING for name in before if name not in now}

    def receive(self, data: bytes) -> None:
        """Take what a peer says of itself."""
        try:
            tell = msgspec.msgpack.decode(data, type=Tell)
        except msgspec.MsgspecError as exc:
            logging.warning("a datagram cannot be read: %s", exc)
            return
        now = self._clock.now()
        self._take_tell(tell, now)
        for relayed in tell.relayed:
            if relayed.name != self.me.name:
                self._take_tell(relayed, now)
        sender = self.peers.get(tell.name)
        if sender is not None and sender.vm.region != self.me.region:
            # For the next word to the VMs of this region.
            self._relayed.append(tell)

    def _take_tell(self, tell: Tell, now_ms: int) -> None:
        peer = self.peers.get(tell.name)
        if peer is None and tell.vm is not None and tell.name != self.me.name:
            peer = self.peers[tell.name] = Peer(tell.vm, now_ms, registered=False)
        if peer is None:
            return
        up_ms = now_ms - self._started_ms
        peer.heard_ms = now_ms
        peer.leaving = tell.leaving
        self._feed.behind(tell.revision, now_ms)
        if peer.vm.region != self.me.region:
            peer.forecasts = tell.forecasts
        self.holders.heard(tell.holds, now_ms)
        if peer.vm.region == self.me.region:
            kept = {} if tell.whole or peer.servers is None else peer.servers
            peer.servers = kept | tell.servers
        life = f"{tell.name}/{tell.incarnation}"
        self.quota.heard(life, tell.spent, now_ms, younger=tell.up_ms < up_ms)
        self._settle_in(tell, peer, now_ms)

    def _settle_in(self, tell: Tell, peer: Peer, now_ms: int) -> None:
        """Take the buckets' levels from an older VM, or give them to a younger one."""
        up_ms = now_ms - self._started_ms
        if tell.levels is not None and self._fresh and tell.up_ms > up_ms:
            self._fresh = False
            self.quota.adopt(tell.levels, now_ms)
        if self._fresh and up_ms > YOUNG_MS:
            self._fresh = False
        if tell.fresh and tell.up_ms < up_ms:
            here = peer.vm.region == self.me.region
            audience = Audience.ASIDE if here else Audience.FAR
            self._send(self._encoded(audience, answer=True), peer)


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, fleet: FleetService) -> None:
        self._fleet = fleet

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._fleet.receive(data)

    def error_received(self, exc: Exception) -> None:
        logging.debug("datagram not delivered: %s", exc)
