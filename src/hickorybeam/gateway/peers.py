"""The other VMs as this one knows them, from registrations in the store and status reports."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from absl import logging

from hickorybeam.model.routing import GatewayVm
from hickorybeam.policy.report_intervals import (
    MIN_PEER_TIMEOUT_MS,
    isolation_timeout_ms,
    local_report_interval_ms,
    quota_peer_timeout_ms,
    remote_report_interval_ms,
)
from hickorybeam.sockets import is_ip_address
from hickorybeam.untrusted import InvalidBytesError, decode_json

if TYPE_CHECKING:
    from hickorybeam.clock import Clock
    from hickorybeam.gateway.status_report import GrantedUsage, ServerUsage, WaitForecast

__all__ = ("MIN_STABLE_MS", "DISCOVERY_MS", "Peer", "PeerTable", "RemoteCandidate")

# Time within which a new VM's first status report arrives; until then it counts as live.
DISCOVERY_MS = 2_500
# A VM that has been known for this long has reported to all VMs of its region, so that they agree
# on the placement coordinator. If it were longer, each VM would place alone after all were killed
# at once, just while every caller reconnects.
MIN_STABLE_MS = 1_000
# A VM whose registration hasn't been heard of is remembered for as long as callers may take up a
# stream of it; more than the fleet has are never new at once.
STRANGER_MS = 120_000
MAX_STRANGERS = 1_000


@dataclass(slots=True, eq=False)
class Peer:
    """Another VM, with the content of its last status report."""

    vm: GatewayVm
    known_since_ms: int
    registered: bool = True
    last_seen_ms: int = -MIN_PEER_TIMEOUT_MS
    leaving: bool = False
    leaving_since_ms: int = 0
    watches_store: bool = False
    servers: dict[str, ServerUsage] | None = None
    granted_usage: GrantedUsage = field(default_factory=dict)
    forecasts: dict[str, WaitForecast] | None = None

    def is_live_or_new(self, now_ms: int, peer_timeout_ms: int) -> bool:
        """Return whether the VM is live, or too new to have sent a report."""
        return self.is_live(now_ms, peer_timeout_ms) or now_ms - self.known_since_ms < DISCOVERY_MS

    def is_live(self, now_ms: int, peer_timeout_ms: int) -> bool:
        """Return whether a report of the VM arrived within the timeout."""
        return now_ms - self.last_seen_ms < peer_timeout_ms


@dataclass(frozen=True, slots=True)
class RemoteCandidate:
    """A VM of another region that accepts requests for a service, with its forecast.

    ``wait_ms`` is the expected wait of an empty prompt, ``running`` the number of requests in
    flight at the server with that wait, as they were ``age_ms`` ago.
    """

    peer: Peer
    wait_ms: float
    running: int
    age_ms: int


class Strangers:
    """Names of VMs that report and aren't registered, as far as is known here."""

    def __init__(self) -> None:
        self._heard_ms: dict[str, int] = {}

    def note(self, name: str, now_ms: int, *, is_known: bool) -> None:
        """Note a report of a VM."""
        self._heard_ms.pop(name, None)
        if not is_known:
            self._heard_ms[name] = now_ms
            if len(self._heard_ms) > MAX_STRANGERS:
                del self._heard_ms[next(iter(self._heard_ms))]

    def names(self, now_ms: int) -> list[str]:
        """Return the VMs that have been heard lately and aren't known."""
        return [name for name, at in self._heard_ms.items() if now_ms - at < STRANGER_MS]


class PeerTable:
    """All other VMs of the fleet.

    :param own_vm: the VM of this process.
    """

    def __init__(self, clock: Clock, own_vm: GatewayVm) -> None:
        self._clock = clock
        self._own_vm = own_vm
        self.peer_timeout_ms = MIN_PEER_TIMEOUT_MS
        self.by_name: dict[str, Peer] = {}
        self._strangers = Strangers()

    def all_names(self) -> list[str]:
        """Return the names of all VMs that can have served requests, as far as this one can tell.

        Some report and aren't known otherwise: their registration has not been heard of.
        """
        return [*self.by_name, *self._strangers.names(self._clock.now())]

    def live_count(self) -> int:
        """Return how many VMs are live."""
        return sum(self.is_live(it) for it in self.by_name.values())

    def quota_peer_count(self) -> int:
        """Return how many VMs share the accounts' rates with this one, 0 if it is isolated."""
        if self.isolated_since_ms() is not None:
            return 0
        now, limit_ms = self._clock.now(), self.quota_peer_timeout_ms()
        return sum(now - it.last_seen_ms < limit_ms for it in self.by_name.values())

    def isolated_since_ms(self) -> int | None:
        """Return since when reports of all VMs have been missing for too long, ``None`` if not."""
        if not self.by_name:
            return None
        last_ms = max(it.last_seen_ms for it in self.by_name.values())
        since_ms = last_ms + isolation_timeout_ms(len(self.local_peers()))
        return since_ms if self._clock.now() > since_ms else None

    def quota_peer_timeout_ms(self) -> int:
        """Return how long a VM may send no report before it counts as spending its own share."""
        return quota_peer_timeout_ms(
            local_peers=len(self.local_peers()), vms=1 + self.known_count()
        )

    def is_live(self, peer: Peer) -> bool:
        """Return whether a report of the VM arrived within the timeout."""
        return peer.is_live(self._clock.now(), self.peer_timeout_ms)

    def report_ages_ms(self) -> dict[str, int]:
        """Return the age of the latest report of each data centre's VMs.

        A VM that has sent none since it became known counts from then on.
        """
        now = self._clock.now()
        ages: dict[str, int] = {}
        for peer in self.by_name.values():
            age_ms = now - max(peer.last_seen_ms, peer.known_since_ms)
            centre = peer.vm.data_centre
            ages[centre] = min(age_ms, ages.get(centre, age_ms))
        return ages

    def known_count(self) -> int:
        """Return how many VMs are known, leaving ones not counted."""
        return sum(not peer.leaving for peer in self.by_name.values())

    def known_in_region(self) -> int:
        """Return how many other VMs of this region are known, leaving ones not counted."""
        return sum(self.in_own_region(it) and not it.leaving for it in self.by_name.values())

    def serving_vms(self, region: str) -> list[GatewayVm]:
        """Return the VMs of a region that accept callers' requests."""
        now = self._clock.now()
        return [
            peer.vm
            for peer in self.by_name.values()
            if peer.vm.region == region
            and not peer.leaving
            and peer.is_live_or_new(now, self.peer_timeout_ms)
        ]

    def stable_vms(self) -> dict[str, float]:
        """Return this region's VMs that are live, not leaving, and known for ``MIN_STABLE_MS``.

        The values are their processing power, in standard cores.
        """
        now = self._clock.now()
        return {
            name: peer.vm.power
            for name, peer in self.by_name.items()
            if self.in_own_region(peer)
            and not peer.leaving
            and self.is_live(peer)
            and now - peer.known_since_ms > MIN_STABLE_MS
        }

    def leaving_vms(self, region: str) -> list[tuple[GatewayVm, int]]:
        """Return the VMs of a region that are shutting down, and for how long each has, in ms."""
        now = self._clock.now()
        return [
            (peer.vm, now - peer.leaving_since_ms)
            for peer in self.by_name.values()
            if peer.vm.region == region and peer.leaving and peer.is_live(now, self.peer_timeout_ms)
        ]

    def local_peers(self) -> list[Peer]:
        """Return the other VMs of this data centre."""
        here = self._own_vm.data_centre
        return [it for it in self.by_name.values() if it.vm.data_centre == here]

    def report_lag_ms(self) -> float:
        """Return the sum of the report intervals of this region's other live VMs.

        Reports from other data centres are relayed by a VM of this one, which adds its interval.
        """
        now = self._clock.now()
        local = other = 0
        for peer in self.by_name.values():
            if self.in_own_region(peer) and peer.is_live(now, self.peer_timeout_ms):
                is_local = peer.vm.data_centre == self._own_vm.data_centre
                local, other = local + is_local, other + (not is_local)
        interval_ms = local_report_interval_ms(local)
        return local * interval_ms + other * (
            remote_report_interval_ms(1 + self.known_count()) + interval_ms
        )

    def data_centre_sizes(self) -> Counter[str]:
        """Return the number of VMs of each data centre, this VM included."""
        found = Counter(it.vm.data_centre for it in self.by_name.values())
        found[self._own_vm.data_centre] += 1
        return found

    def live_local_peers(self, timeout_ms: int) -> dict[str, bool]:
        """Return the live VMs of this data centre, and whether each watches the store."""
        now = self._clock.now()
        return {
            it.vm.name: it.watches_store and not it.leaving
            for it in self.local_peers()
            if it.is_live(now, timeout_ms)
        }

    def remote_peers(self) -> dict[str, list[Peer]]:
        """Return the VMs of each other data centre by name; only live ones, if it has any."""
        now = self._clock.now()
        by_data_centre: dict[str, list[Peer]] = {}
        for peer in self.by_name.values():
            if peer.vm.data_centre != self._own_vm.data_centre:
                by_data_centre.setdefault(peer.vm.data_centre, []).append(peer)
        for data_centre, peers in by_data_centre.items():
            live = [it for it in peers if it.is_live_or_new(now, self.peer_timeout_ms)] or peers
            by_data_centre[data_centre] = sorted(live, key=lambda it: it.vm.name)
        return by_data_centre

    def in_own_region(self, peer: Peer) -> bool:
        """Return whether a VM is in this VM's region."""
        return peer.vm.region == self._own_vm.region

    def remote_candidates(self, service: str, *, leaving: bool = False) -> list[RemoteCandidate]:
        """Return VMs of other regions that accept requests for a service.

        :param leaving: return VMs that are shutting down instead of those that are not.
        """
        now = self._clock.now()
        return [
            RemoteCandidate(peer, *peer.forecasts[service], age_ms=now - peer.last_seen_ms)
            for peer in self.by_name.values()
            if not self.in_own_region(peer)
            and peer.leaving == leaving
            and peer.is_live(now, self.peer_timeout_ms)
            and peer.forecasts is not None
            and service in peer.forecasts
        ]

    def apply_registration(self, value: bytes) -> None:
        """Apply a VM's registration; a new incarnation replaces the old one's record."""
        try:
            vm = decode_json(value, GatewayVm)
        except InvalidBytesError as exc:
            logging.warning("invalid VM registration ignored: %s", exc)
            return
        if not is_ip_address(vm.host):
            logging.warning("VM registration ignored, %r is no IP number", vm.host)
            return
        if vm.name == self._own_vm.name:
            return
        known = self.by_name.get(vm.name)
        if known is not None and known.vm == vm:
            known.registered = True
        else:
            self.by_name[vm.name] = Peer(vm, self._clock.now())

    def mark_unregistered(self, name: str) -> None:
        """Record that a VM's registration was deleted."""
        if name in self.by_name:
            self.by_name[name].registered = False

    def record_report(self, name: str, vm: GatewayVm | None, *, is_old: bool) -> Peer | None:
        """Return the VM that sent a report and update when it was last seen.

        :param vm: its own record, sent by a VM that isn't registered.
        :param is_old: the report arrived too late to tell that the VM is live.
        :return: ``None`` if the VM is unknown or this one.
        """
        peer = self.by_name.get(name)
        is_new = peer is None and name != self._own_vm.name
        self._strangers.note(name, self._clock.now(), is_known=not is_new or vm is not None)
        if is_new and vm is not None and is_ip_address(vm.host):
            peer = self.by_name[name] = Peer(vm, self._clock.now(), registered=False)
        if peer is not None and not is_old:
            peer.last_seen_ms = self._clock.now()
        return peer

    def prune(self) -> None:
        """Remove VMs that are neither registered nor live.

        A VM whose registration is gone may still run: leases expire during an outage of the store.
        Reports alone cannot tell a VM that is gone for good from one that is cut off, and would
        keep counting it.
        """
        now = self._clock.now()
        for name, peer in tuple(self.by_name.items()):
            if not peer.registered and not peer.is_live_or_new(now, self.peer_timeout_ms):
                del self.by_name[name]
