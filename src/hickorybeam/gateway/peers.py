"""The other VMs as this one knows them: by the store's registrations and by hearing them."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec
from absl import logging

from hickorybeam.model.routing import GatewayVm
from hickorybeam.policy.report_intervals import (
    MIN_PEER_TIMEOUT_MS,
    local_report_interval_ms,
    remote_report_interval_ms,
    isolation_timeout_ms,
    quota_peer_timeout_ms,
)

if TYPE_CHECKING:
    from hickorybeam.clock import Clock
    from hickorybeam.gateway.tell import Granted, RegionFigures, ServerFigures

__all__ = ("STEADY_MS", "YOUNG_MS", "Peer", "PeerTable", "RegionForecast")

# A VM that has just registered may not have been heard yet.
YOUNG_MS = 2_500
# A VM that is known for so long has been heard by its region's others, so that they agree on who
# places. Longer, and each would decide alone after all were killed at once, just while every
# caller comes back.
STEADY_MS = 1_000


@dataclass(slots=True, eq=False)
class Peer:
    """Another VM as this one knows it."""

    vm: GatewayVm
    known_ms: int
    registered: bool = True
    heard_ms: int = -MIN_PEER_TIMEOUT_MS
    leaving: bool = False
    leaving_since_ms: int = 0
    follows: bool = False
    servers: dict[str, ServerFigures] | None = None
    granted: Granted = field(default_factory=dict)
    forecasts: dict[str, RegionFigures] | None = None

    def alive(self, now_ms: int, heard_limit_ms: int) -> bool:
        """Whether it was heard, or is too new to have been."""
        return self.heard(now_ms, heard_limit_ms) or now_ms - self.known_ms < YOUNG_MS

    def heard(self, now_ms: int, heard_limit_ms: int) -> bool:
        """Whether it was heard lately."""
        return now_ms - self.heard_ms < heard_limit_ms


@dataclass(frozen=True, slots=True)
class RegionForecast:
    """A VM of another region that takes requests for a service, and what it tells of it.

    ``wait_ms`` is that of an empty prompt, ``running`` the requests at the server of that wait.
    """

    peer: Peer
    wait_ms: float
    running: int


class PeerTable:
    """All other VMs.

    :param me: the VM of this process.
    """

    def __init__(self, clock: Clock, me: GatewayVm) -> None:
        self._clock = clock
        self._me = me
        self.heard_limit_ms = MIN_PEER_TIMEOUT_MS
        self.by_name: dict[str, Peer] = {}

    def heard(self) -> int:
        """Return how many VMs are heard."""
        return sum(self.is_heard(it) for it in self.by_name.values())

    def spending_together(self) -> int:
        """Return how many VMs are heard well enough to share the accounts' rates with them."""
        now = self._clock.now()
        heard = [now - it.heard_ms for it in self.by_name.values()]
        if min(heard, default=0) > isolation_timeout_ms(len(self.near())):
            return 0
        limit_ms = self.spends_alone_after_ms()
        return sum(ago_ms < limit_ms for ago_ms in heard)

    def spends_alone_after_ms(self) -> int:
        """Return after which silence a VM of this fleet counts as spending by itself."""
        return quota_peer_timeout_ms(local_peers=len(self.near()), vms=1 + self.known())

    def is_heard(self, peer: Peer) -> bool:
        """Whether a VM was heard lately."""
        return peer.heard(self._clock.now(), self.heard_limit_ms)

    def known(self) -> int:
        """Return how many VMs there are, those left out that are leaving."""
        return sum(not peer.leaving for peer in self.by_name.values())

    def serving(self, region: str) -> list[GatewayVm]:
        """Return the VMs of a region that callers may use."""
        now = self._clock.now()
        return [
            peer.vm
            for peer in self.by_name.values()
            if peer.vm.region == region
            and not peer.leaving
            and peer.alive(now, self.heard_limit_ms)
        ]

    def steady(self) -> dict[str, float]:
        """Return the VMs of this region that are heard, stay, and have been known for a while.

        Each with its processor, in usual cores.
        """
        now = self._clock.now()
        return {
            name: peer.vm.power
            for name, peer in self.by_name.items()
            if self.here(peer)
            and not peer.leaving
            and self.is_heard(peer)
            and now - peer.known_ms > STEADY_MS
        }

    def leaving(self, region: str) -> list[tuple[GatewayVm, int]]:
        """Return the VMs of a region that shut down, and for how long each has, in ms."""
        now = self._clock.now()
        return [
            (peer.vm, now - peer.leaving_since_ms)
            for peer in self.by_name.values()
            if peer.vm.region == region and peer.leaving and peer.heard(now, self.heard_limit_ms)
        ]

    def near(self) -> list[Peer]:
        """Return the VMs of this data centre."""
        here = self._me.data_centre
        return [it for it in self.by_name.values() if it.vm.data_centre == here]

    def region_lag_ms(self) -> float:
        """Return how late the other VMs of this region are heard, added up over them.

        Words of other data centres come by way of a VM of this one.
        """
        now = self._clock.now()
        near = aside = 0
        for peer in self.by_name.values():
            if self.here(peer) and peer.heard(now, self.heard_limit_ms):
                beside = peer.vm.data_centre == self._me.data_centre
                near, aside = near + beside, aside + (not beside)
        every_ms = local_report_interval_ms(near)
        return near * every_ms + aside * (remote_report_interval_ms(1 + self.known()) + every_ms)

    def centres(self) -> Counter[str]:
        """Return how many VMs each data centre has, this one included."""
        found = Counter(it.vm.data_centre for it in self.by_name.values())
        found[self._me.data_centre] += 1
        return found

    def heard_near(self, for_ms: int) -> dict[str, bool]:
        """Return the VMs of this data centre heard lately, and whether each follows the store."""
        now = self._clock.now()
        return {
            it.vm.name: it.follows and not it.leaving for it in self.near() if it.heard(now, for_ms)
        }

    def outside(self) -> dict[str, list[Peer]]:
        """Return the VMs of each other data centre, those that are alive if any is, by name."""
        now = self._clock.now()
        by_centre: dict[str, list[Peer]] = {}
        for peer in self.by_name.values():
            if peer.vm.data_centre != self._me.data_centre:
                by_centre.setdefault(peer.vm.data_centre, []).append(peer)
        for centre, peers in by_centre.items():
            alive = [it for it in peers if it.alive(now, self.heard_limit_ms)] or peers
            by_centre[centre] = sorted(alive, key=lambda it: it.vm.name)
        return by_centre

    def here(self, peer: Peer) -> bool:
        """Whether a VM is of this region."""
        return peer.vm.region == self._me.region

    def elsewhere(self, service: str, *, leaving: bool = False) -> list[RegionForecast]:
        """Return VMs of other regions that take requests for a service, best first.

        :param leaving: those that shut down instead of those that stay.
        """
        now = self._clock.now()
        found = [
            RegionForecast(peer, *peer.forecasts[service])
            for peer in self.by_name.values()
            if not self.here(peer)
            and peer.leaving == leaving
            and peer.heard(now, self.heard_limit_ms)
            and peer.forecasts is not None
            and service in peer.forecasts
        ]
        return sorted(found, key=lambda it: (it.wait_ms, it.peer.vm.name))

    def registered(self, value: bytes) -> None:
        """Take a VM's registration; a new life of it is a new VM."""
        try:
            vm = msgspec.json.decode(value, type=GatewayVm)
        except msgspec.MsgspecError as exc:
            logging.warning("a VM's entry cannot be read: %s", exc)
            return
        if vm.name == self._me.name:
            return
        known = self.by_name.get(vm.name)
        if known is not None and known.vm == vm:
            known.registered = True
        else:
            self.by_name[vm.name] = Peer(vm, self._clock.now())

    def unregistered(self, name: str) -> None:
        """Take note that a VM's registration is gone."""
        if name in self.by_name:
            self.by_name[name].registered = False

    def heard_of(self, name: str, vm: GatewayVm | None) -> Peer | None:
        """Return a VM that was heard; one that isn't registered tells who it is."""
        peer = self.by_name.get(name)
        if peer is None and vm is not None and name != self._me.name:
            peer = self.by_name[name] = Peer(vm, self._clock.now(), registered=False)
        if peer is not None:
            peer.heard_ms = self._clock.now()
        return peer

    def prune(self) -> None:
        """Forget VMs that are neither registered nor heard.

        The store's lease alone would drop VMs that run through an outage in which leases
        lapse; hearing alone would count one that is gone for good.
        """
        now = self._clock.now()
        for name, peer in tuple(self.by_name.items()):
            if not peer.registered and not peer.alive(now, self.heard_limit_ms):
                del self.by_name[name]
