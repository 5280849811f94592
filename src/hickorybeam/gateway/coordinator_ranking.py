"""Rank the VMs of this region as placement coordinators and as senders to limited servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorybeam.policy.coordinators import rank_coordinators
from hickorybeam.policy.server_rate import limited_server_senders

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from hickorybeam.gateway.peers import PeerTable
    from hickorybeam.model.routing import GatewayVm, RegisteredServer
    from hickorybeam.policy.server_rate import RateLimit

__all__ = ("CoordinatorRanking",)


class CoordinatorRanking:
    """The region's VMs ranked as placement coordinators of each service, as this VM knows them.

    :param own_vm: the VM of this process.
    :param is_stable: returns whether this VM has run long enough to know all others and is not
        leaving.
    """

    def __init__(self, own_vm: GatewayVm, peers: PeerTable, is_stable: Callable[[], bool]) -> None:
        self._own_vm = own_vm
        self._peers = peers
        self._is_stable = is_stable
        self._rankings: dict[str, list[str]] = {}
        self._region_size: int | None = None

    def invalidate(self) -> None:
        """Drop what is cached of the rankings; VMs may have come or gone."""
        self._rankings.clear()
        self._region_size = None

    def coordinator(self, service: str, *, unresponsive: Collection[str] = ()) -> str:
        """Return the VM that places a service's prompts; this one if each VM places its own.

        :param unresponsive: VMs that did not respond lately.
        """
        ranking = self.ranking(service)
        return next((name for name in ranking if name not in unresponsive), self._own_vm.name)

    def is_coordinator(self, service: str) -> bool:
        """Return whether this VM places a service's prompts for the others of the region."""
        return self.ranking(service)[:1] == [self._own_vm.name]

    def first_vm(self, service: str) -> str:
        """Return the VM that acts for the region: the coordinator, or the first by name."""
        return next(iter(self.ranking(service)), min(self.serving_vms()))

    def places(self, service: str) -> bool:
        """Return whether a coordinator places a service's prompts for the region."""
        return bool(self.ranking(service))

    def senders(self, server: RegisteredServer, limit: RateLimit) -> list[str]:
        """Return the VMs that may choose a server while it has a rate limit.

        The placement coordinator is one of them: it places all prompts, so other VMs would hardly
        ever get to choose the server.
        """
        ranking = self.ranking(server.service)
        if ranking:
            return ranking[: limit.max_senders]
        return limited_server_senders(server.id, self._senders(), limit.max_senders)

    def region_size(self) -> int:
        """Return how many VMs of this region are known, those not live included.

        Asked for each server with a rate limit that a prompt could go to.
        """
        if self._region_size is None:
            self._region_size = 1 + self._peers.known_in_region()
        return self._region_size

    def _senders(self) -> list[str]:
        """Return the region's VMs that may send; one that shuts down leaves that to the others."""
        peers = [vm.name for vm in self._peers.serving_vms(self._own_vm.region)]
        return [self._own_vm.name, *peers] if self._is_stable() or not peers else peers

    def serving_vms(self) -> list[str]:
        """Return the names of this region's VMs that accept requests, this one included."""
        return [
            self._own_vm.name,
            *(vm.name for vm in self._peers.serving_vms(self._own_vm.region)),
        ]

    def ranking(self, service: str) -> list[str]:
        """Return the coordinators of a service, best first; empty if each VM places its own."""
        ranking = self._rankings.get(service)
        if ranking is None:
            stable = self._peers.stable_vms()
            if self._is_stable():
                stable[self._own_vm.name] = self._own_vm.power
            ranking = self._rankings[service] = rank_coordinators(service, stable)
        return ranking
