"""Exchange of what backend servers say of their load and speed, among the VMs of a region.

A server says it in its responses, to the VM that it responds to. Whoever places requests for the
region needs it at once: a placement coordinator gets it with the update on the request, and where
each VM places by itself, all of them get it with the next status report.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorybeam.gateway.status_report import ReportedLoad

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from hickorybeam.clock import Clock
    from hickorybeam.gateway.routing_state import RoutingState
    from hickorybeam.platform import ServerLoad
    from hickorybeam.policy.server_choice import ServerState
    from hickorybeam.telemetry import Counters

__all__ = ("LoadNotices",)

# Each report holds what was heard for so long before it: two reports to the own data centre, and
# the slower ones to the region's other data centres.
REPORT_MS = 400
# What was said longer ago is of no use to others.
MAX_AGE_MS = 5_000
# More running and waiting requests than any server holds.
MAX_BUSY = 100_000


class LoadNotices:
    """The loads and speeds that servers told this VM, and what it tells others of them."""

    def __init__(self, clock: Clock, routing_state: RoutingState, counters: Counters) -> None:
        self._clock = clock
        self._routing_state = routing_state
        self._heard: dict[str, ServerState] = {}
        self._invalid = counters.counter(
            "server_speeds_invalid", "Speeds told by servers that make no sense", ("service",)
        )

    def record(self, state: ServerState, load: ServerLoad) -> None:
        """Record what a response to this VM says of its server's load and speed."""
        now = self._clock.now()
        state.record_load(busy=load.running + load.waiting, now_ms=now)
        if load.time_factor is not None and state.time_factor.record(load.time_factor, now):
            self._heard[state.server.id] = state
        if load.has_invalid_factor:
            self._invalid.labels(state.server.service).inc()

    def notice_of(self, state: ServerState) -> ReportedLoad | None:
        """Return what to tell others of a server, ``None`` if it has not said how fast it is."""
        factor = state.time_factor
        if factor.heard_ms is None:
            return None
        age_ms = max(0, self._clock.now() - factor.heard_ms)
        return ReportedLoad(factor.heard, state.reported_requests, age_ms, state.server.born_ms)

    def to_report(
        self, *, is_told: Callable[[ServerState], bool] = lambda state: False
    ) -> dict[str, ReportedLoad]:
        """Return what servers told this VM lately, by server id.

        :param is_told: returns whether all that need it are told of a server in another way.
        """
        known = self._routing_state.server_states
        oldest_ms = self._clock.now() - REPORT_MS
        self._heard = {
            name: state
            for name, state in self._heard.items()
            if known.get(name) is state and (state.time_factor.heard_ms or 0) >= oldest_ms
        }
        notices = {
            name: self.notice_of(state) for name, state in self._heard.items() if not is_told(state)
        }
        return {name: notice for name, notice in notices.items() if notice is not None}

    def apply(self, reported: Mapping[str, ReportedLoad]) -> None:
        """Record what servers told another VM, where this VM has heard nothing later.

        What an earlier incarnation said is left out, and so are figures that make no sense.
        """
        now = self._clock.now()
        for name, notice in reported.items():
            state = self._routing_state.server_states.get(name)
            if state is None or state.server.born_ms != notice.born_ms:
                continue
            if not 0 <= notice.age_ms <= MAX_AGE_MS or not 0 <= notice.busy <= MAX_BUSY:
                continue
            heard_ms = now - notice.age_ms
            if state.time_factor.record(notice.factor, heard_ms) and heard_ms > state.reported_ms:
                state.record_load(busy=notice.busy, now_ms=heard_ms)
