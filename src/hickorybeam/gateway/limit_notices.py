"""Exchange of the rate limits that backend servers name, among the VMs of a region.

A server names its limit to the few VMs that send to it while it is limited. The others learn by
reports that it goes on, has changed or has ended. What each VM heard of each server would outgrow
the other contents of a report, so only what is new to others is reported.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hickorybeam.gateway.status_report import ReportedLimit

if TYPE_CHECKING:
    from collections.abc import Mapping

    from hickorybeam.clock import Clock
    from hickorybeam.gateway.routing_state import RoutingState
    from hickorybeam.policy.server_choice import ServerState

__all__ = ("LimitNotices",)

# A limit is reported for so long after each response that names it, and its end after the response
# that ends it: several reports to each data centre, since some get lost.
REPORT_MS = 3_000
# A VM that has held to a limit for so long without hearing of it reports it: the VMs that heard its
# end may have been restarted since, and answer with what they hear now.
UNCONFIRMED_MS = 15_000


@dataclass(slots=True)
class HeardLimit:
    """What the last response of a server to this VM named, and until when it is reported."""

    state: ServerState
    per_s: float = math.inf
    heard_ms: int = 0
    report_until_ms: int = 0


class LimitNotices:
    """The limits that servers named to this VM, and what it tells others of them."""

    def __init__(self, clock: Clock, routing_state: RoutingState) -> None:
        self._clock = clock
        self._routing_state = routing_state
        self._heard: dict[str, HeardLimit] = {}
        # Servers that have named a limit to this VM or another one.
        self._once_limited: set[str] = set()

    def record(self, state: ServerState, per_s: float) -> None:
        """Record the limit that a response to this VM names.

        :param per_s: requests per second, infinite if it names none.
        """
        now = self._clock.now()
        heard = self._heard_of(state)
        if math.isfinite(per_s):
            self._once_limited.add(state.server.id)
        if math.isfinite(per_s) or state.names_limit:
            heard.report_until_ms = now + REPORT_MS
        heard.per_s, heard.heard_ms = per_s, now
        self._routing_state.record_limit(state, per_s, now)

    def _heard_of(self, state: ServerState) -> HeardLimit:
        """Return what was heard of a server's present incarnation."""
        heard = self._heard.get(state.server.id)
        if heard is None or heard.state is not state:
            self._drop_unknown()
            heard = self._heard[state.server.id] = HeardLimit(state)
        return heard

    def _drop_unknown(self) -> None:
        known = self._routing_state.server_states
        self._heard = {name: it for name, it in self._heard.items() if name in known}
        self._once_limited &= known.keys()

    def to_report(self, *, to_new_vm: bool = False) -> dict[str, ReportedLimit]:
        """Return the limits and ends of limits to report, by server id.

        :param to_new_vm: the report goes to a VM that has just started and knows none yet.
        """
        states = self._routing_state.server_states
        limited = [states[name] for name in self._once_limited if name in states]
        held_for_ms = 0 if to_new_vm else UNCONFIRMED_MS
        found = {it.server.id: self._limit_to_report(it, held_for_ms) for it in limited}
        return {name: limit for name, limit in found.items() if limit is not None}

    def _limit_to_report(self, state: ServerState, held_for_ms: int) -> ReportedLimit | None:
        now, heard = self._clock.now(), self._heard_of(state)
        born_ms = state.server.born_ms
        if now < heard.report_until_ms:
            return ReportedLimit(heard.per_s, now - heard.heard_ms, born_ms)
        held_ms = state.limit_heard_ms
        if state.names_limit and held_ms is not None and now - held_ms >= held_for_ms:
            return ReportedLimit(state.limit_per_s, now - held_ms, born_ms)
        return None

    def apply(self, reported: Mapping[str, ReportedLimit]) -> None:
        """Record what servers named to another VM, where this VM has heard nothing later.

        What an earlier incarnation named is left out: no VM would ever hear of its end.
        """
        now = self._clock.now()
        for name, limit in reported.items():
            state = self._routing_state.server_states.get(name)
            if state is None or state.server.born_ms != limit.born_ms:
                continue
            self._once_limited.add(name)
            self._routing_state.record_limit(state, limit.per_s, now - limit.age_ms)
            self._answer(state, limit, now)

    def _answer(self, state: ServerState, limit: ReportedLimit, now_ms: int) -> None:
        """Report again what this VM heard, if another one holds to something older."""
        heard = self._heard_of(state)
        if limit.age_ms > UNCONFIRMED_MS and heard.heard_ms > now_ms - limit.age_ms:
            heard.report_until_ms = now_ms + REPORT_MS
