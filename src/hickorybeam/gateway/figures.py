"""What a VM tells of itself in figures: whole, or only what changed since it told them last."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorybeam.gateway.tell import NOTHING, added, without

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hickorybeam.clock import Clock
    from hickorybeam.gateway.knowledge import Knowledge
    from hickorybeam.gateway.peers import Peer
    from hickorybeam.gateway.tell import Granted, ServerFigures
    from hickorybeam.policy.fleet_quota import FleetQuota

__all__ = ("OwnFigures", "spread")


class OwnFigures:
    """This VM's spends, what it has at servers, and which servers it found cold.

    Only words to the data centre are not whole; what others are told in between must not count
    as told to it.
    """

    def __init__(self, clock: Clock, quota: FleetQuota) -> None:
        self._clock = clock
        self._quota = quota
        self._spends_told: dict[str, float] = {}
        self._servers_told: dict[str, ServerFigures] = {}
        self._cold_until: dict[str, int] = {}

    def spends(self, *, whole: bool) -> dict[str, float]:
        """Return totals by account."""
        now = {name: round(total, 1) for name, total in self._quota.spent_totals().items()}
        if whole:
            return now
        before, self._spends_told = self._spends_told, now
        return {name: total for name, total in now.items() if before.get(name) != total}

    def servers(
        self, knowledge: Knowledge, granted: Granted, *, whole: bool
    ) -> dict[str, ServerFigures]:
        """Return what this VM has at each server by its own choice.

        :param granted: what it has there by places that others gave it.
        """
        now = {
            name: (it.own_requests, it.own_prefill_tokens, it.own_held_tokens)
            for name, it in knowledge.standings.items()
            if it.own_requests or it.own_prefill_tokens
        }
        for figures in granted.values():
            for name, figure in figures.items():
                now[name] = without(now.get(name, NOTHING), figure)
        now = {name: figure for name, figure in now.items() if figure != NOTHING}
        if whole:
            return now
        before, self._servers_told = self._servers_told, now
        changed = {name: told for name, told in now.items() if before.get(name) != told}
        return changed | {name: NOTHING for name in before if name not in now}

    def found_cold(self, server_id: str, cold_ms: int) -> None:
        """Take note that a server said of itself that it is cold."""
        self._cold_until[server_id] = self._clock.now() + cold_ms

    def cold_left(self) -> dict[str, int]:
        """Return for how many ms the servers that were found cold stay so."""
        now = self._clock.now()
        self._cold_until = {name: due for name, due in self._cold_until.items() if due > now}
        return {name: due - now for name, due in self._cold_until.items()}


def spread(knowledge: Knowledge, peers: Iterable[Peer], *, me: str) -> None:
    """Add up what the region's other VMs have at each backend server.

    :param peers: those that were heard lately.
    :param me: this VM's name; the places that it gave, it counts itself.
    """
    totals: dict[str, ServerFigures] = {}
    for peer in peers:
        told = [peer.servers or {}]
        told += [figures for giver, figures in peer.granted.items() if giver != me]
        for figures in told:
            for server, figure in figures.items():
                totals[server] = added(totals.get(server, NOTHING), figure)
    for name, standing in knowledge.standings.items():
        running, reading, holding = totals.get(name, NOTHING)
        standing.peer_requests = running
        standing.peer_prefill_tokens = reading
        standing.peer_held_tokens = holding
