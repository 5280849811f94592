"""Available backend servers by service and region, listed anew only after a change.

A placement coordinator looks at them for every prompt of its region, hundreds of times a second,
while they change a few times a minute.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from operator import attrgetter
from typing import TYPE_CHECKING

from hickorybeam.policy.rendezvous import rendezvous_order
from hickorybeam.policy.stream_versions import UNKNOWN_VERSION

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

    ``own`` are those of this region in the order of their ids, ``own_by_version`` the same ones by
    the keys of their versions. ``version_counts`` counts by region and version. ``rankings`` holds
    server ids by data centre and prompt part.
    """

    revision: int
    own: list[ServerState]
    own_by_version: dict[bytes, list[ServerState]]
    counts: Counter[str | None]
    version_counts: Counter[tuple[str | None, bytes]]
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

    def own_of_version(self, service: str, version_key: bytes) -> Sequence[ServerState]:
        """Return the available servers of this region that have a version, by their ids."""
        if version_key == UNKNOWN_VERSION:
            return ()
        return self._list(service).own_by_version.get(version_key, ())

    def has_version(self, service: str, region: str, version_key: bytes) -> bool:
        """Return whether a region has an available server of a version."""
        if version_key == UNKNOWN_VERSION:
            return False
        return self._list(service).version_counts[region, version_key] > 0

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
        own_by_version: defaultdict[bytes, list[ServerState]] = defaultdict(list)
        for state in own:
            own_by_version[state.version_key].append(state)
        places = [(self._fleet.region_of(it.server.data_centre), it.version_key) for it in servers]
        return _ServiceList(
            revision=revision,
            own=own,
            own_by_version=dict(own_by_version),
            counts=Counter(region for region, _ in places),
            version_counts=Counter(places),
        )
