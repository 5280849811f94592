"""Available backend servers by service and region, listed anew only after a change.

A placement coordinator looks at them for every prompt of its region, hundreds of times a second,
while they change a few times a minute.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from operator import attrgetter
from typing import TYPE_CHECKING

from hickorybeam.policy.rendezvous import rendezvous_order

if TYPE_CHECKING:
    from collections.abc import Sequence

    from hickorybeam.gateway.fleet import FleetService
    from hickorybeam.gateway.routing_state import RoutingState
    from hickorybeam.policy.server_choice import ServerState

__all__ = ("RegionServers",)

# Prompt parts whose ranking of servers is kept.
MAX_RANKINGS = 4_096


@dataclass(slots=True)
class _ServiceList:
    """One service's servers as of a revision.

    ``own`` are those of this region in the order of their ids. ``rankings`` holds server ids by
    data centre and prompt part.
    """

    revision: int
    own: list[ServerState]
    counts: Counter[str | None]
    rankings: dict[tuple[str, str], list[str]] = field(default_factory=dict)


class RegionServers:
    """Lists of the available servers, kept until the routing state's revision changes."""

    def __init__(self, *, routing_state: RoutingState, fleet: FleetService) -> None:
        self._routing_state = routing_state
        self._fleet = fleet
        self._lists: dict[str, _ServiceList] = {}

    def own(self, service: str) -> Sequence[ServerState]:
        """Return the available servers of this region, in the order of their ids."""
        return self._list(service).own

    def count(self, service: str, region: str) -> int:
        """Return how many available servers a region has."""
        return self._list(service).counts[region]

    def ranking(self, service: str, part_id: str, data_centre: str) -> Sequence[str]:
        """Return this region's servers by preference for a shared prompt part, best first.

        All VMs find the same order. Servers of the data centre come alone, if it has any.
        """
        found = self._list(service)
        key = (data_centre, part_id)
        ranking = found.rankings.get(key)
        if ranking is None:
            if len(found.rankings) >= MAX_RANKINGS:
                found.rankings.clear()
            local = [it for it in found.own if it.server.data_centre == data_centre]
            names = [it.server.id for it in local or found.own]
            ranking = found.rankings[key] = rendezvous_order(part_id, names)
        return ranking

    def _list(self, service: str) -> _ServiceList:
        revision = self._routing_state.servers_revision
        found = self._lists.get(service)
        if found is None or found.revision != revision:
            found = self._lists[service] = self._build(service, revision)
        return found

    def _build(self, service: str, revision: int) -> _ServiceList:
        servers = sorted(
            self._routing_state.available_servers(service), key=attrgetter("server.id")
        )
        own = [it for it in servers if self._fleet.in_own_region(it.server.data_centre)]
        counts = Counter(self._fleet.region_of(it.server.data_centre) for it in servers)
        return _ServiceList(revision, own, counts)
