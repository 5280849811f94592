"""Usage figures of status reports: this VM's own, whole or as changes, and the sum of others'."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorybeam.gateway.status_report import NO_USAGE, add_usage, subtract_usage

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hickorybeam.clock import Clock
    from hickorybeam.gateway.peers import Peer
    from hickorybeam.gateway.routing_state import RoutingState
    from hickorybeam.gateway.status_report import GrantedUsage, ServerUsage
    from hickorybeam.policy.fleet_quota import FleetQuota

__all__ = ("OwnUsage", "apply_peer_usage")


class OwnUsage:
    """What accounts spent at this VM, its usage of servers, and the servers that it found cold.

    Only reports to the own data centre are incremental. Whole reports, which go to others too,
    don't change what counts as last reported there.
    """

    def __init__(self, clock: Clock, quota: FleetQuota) -> None:
        self._clock = clock
        self._quota = quota
        self._last_spent: dict[str, float] = {}
        self._last_usage: dict[str, ServerUsage] = {}
        self._cold_until: dict[str, int] = {}

    def spent(self, *, whole: bool) -> dict[str, float]:
        """Return the spent totals by account, only those that changed unless ``whole``."""
        now = {name: round(total, 1) for name, total in self._quota.spent_totals().items()}
        if whole:
            return now
        before, self._last_spent = self._last_spent, now
        return {name: total for name, total in now.items() if before.get(name) != total}

    def server_usage(
        self, routing_state: RoutingState, granted: GrantedUsage, *, whole: bool
    ) -> dict[str, ServerUsage]:
        """Return this VM's usage of servers outside granted slots.

        Unless ``whole``, only what changed since the last incremental report.

        :param granted: its usage in slots that other VMs granted.
        """
        now = {
            name: (it.own_requests, it.own_prefill_tokens, it.own_held_tokens)
            for name, it in routing_state.server_states.items()
            if it.own_requests or it.own_prefill_tokens
        }
        for granted_usage in granted.values():
            for name, usage in granted_usage.items():
                now[name] = subtract_usage(now.get(name, NO_USAGE), usage)
        now = {name: usage for name, usage in now.items() if usage != NO_USAGE}
        if whole:
            return now
        before, self._last_usage = self._last_usage, now
        changed = {name: usage for name, usage in now.items() if before.get(name) != usage}
        return changed | {name: NO_USAGE for name in before if name not in now}

    def mark_cold(self, server_id: str, cold_ms: int) -> None:
        """Record that a server reported itself as cold."""
        self._cold_until[server_id] = self._clock.now() + cold_ms

    def remaining_cold_ms(self) -> dict[str, int]:
        """Return the remaining cold time of the servers found cold, by server id."""
        now = self._clock.now()
        self._cold_until = {name: until for name, until in self._cold_until.items() if until > now}
        return {name: until - now for name, until in self._cold_until.items()}


def apply_peer_usage(routing_state: RoutingState, peers: Iterable[Peer], *, own_name: str) -> None:
    """Set the usage of each backend server by the region's other VMs.

    :param peers: the live VMs.
    :param own_name: this VM's name. Slots that it granted are left out: it counts them itself.
    """
    totals: dict[str, ServerUsage] = {}
    for peer in peers:
        reported = [peer.servers or {}]
        reported += [
            usages for grantor, usages in peer.granted_usage.items() if grantor != own_name
        ]
        for usages in reported:
            for server, usage in usages.items():
                totals[server] = add_usage(totals.get(server, NO_USAGE), usage)
    for name, state in routing_state.server_states.items():
        requests, prefill_tokens, held_tokens = totals.get(name, NO_USAGE)
        state.peer_requests = requests
        state.peer_prefill_tokens = prefill_tokens
        state.peer_held_tokens = held_tokens
