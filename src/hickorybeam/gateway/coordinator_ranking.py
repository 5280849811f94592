"""Which VM of this region places a service's prompts, and which may warm its cold servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorybeam.policy.cold_limit import OWNERS_PER_COLD_SERVER, cold_server_owners
from hickorybeam.policy.coordinators import rank_coordinators

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from hickorybeam.gateway.peers import PeerTable
    from hickorybeam.model.routing import GatewayVm, RegisteredServer

__all__ = ("CoordinatorRanking",)


class CoordinatorRanking:
    """The region's VMs in the order in which they place, as this VM sees them.

    :param me: the VM of this process.
    :param stays: whether it runs for a while yet and has heard of all others.
    """

    def __init__(self, me: GatewayVm, peers: PeerTable, stays: Callable[[], bool]) -> None:
        self._me = me
        self._peers = peers
        self._stays = stays
        self._orders: dict[str, list[str]] = {}

    def invalidate(self) -> None:
        """Forget the orders; VMs may have come or gone."""
        self._orders.clear()

    def coordinator(self, service: str, *, silent: Collection[str] = ()) -> str:
        """Return the VM that places a service's prompts, this one where each decides alone.

        :param silent: VMs that did not answer lately.
        """
        order = self.ranking(service)
        return next((name for name in order if name not in silent), self._me.name)

    def is_coordinator(self, service: str) -> bool:
        """Whether this VM places a service's prompts for the others of the region."""
        return self.ranking(service)[:1] == [self._me.name]

    def cold_server_senders(self, server: RegisteredServer) -> list[str]:
        """Return the VMs that may choose a server while it is cold.

        Where one VM places for all, it is one of them: others would hardly ever be asked to.
        """
        order = self.ranking(server.service)
        return (
            order[:OWNERS_PER_COLD_SERVER]
            if order
            else cold_server_owners(server.id, self.serving_vms())
        )

    def serving_vms(self) -> list[str]:
        """Return the names of the VMs of this region, this one included."""
        return [self._me.name, *(vm.name for vm in self._peers.serving_vms(self._me.region))]

    def ranking(self, service: str) -> list[str]:
        """Return the VMs that place a service's prompts, in order; none where each does."""
        order = self._orders.get(service)
        if order is None:
            steady = self._peers.stable_vms()
            if self._stays():
                steady[self._me.name] = self._me.power
            order = self._orders[service] = rank_coordinators(service, steady)
        return order
