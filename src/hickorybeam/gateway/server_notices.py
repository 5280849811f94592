"""What backend servers say of themselves in responses, shared with the region's other VMs.

A server says it to the VM that it responds to, but means all of them. A VM that sends to it seldom,
or has just started, would otherwise act on what it heard long ago, or on nothing.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from hickorybeam.gateway.limit_notices import LimitNotices
from hickorybeam.gateway.load_notices import LoadNotices
from hickorybeam.telemetry.decisions import DecisionLog

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from hickorybeam.clock import Clock
    from hickorybeam.gateway.routing_state import RoutingState
    from hickorybeam.platform import ResponseInfo
    from hickorybeam.policy.server_choice import ServerState
    from hickorybeam.telemetry import Counters

__all__ = ("ServerNotices", "is_from")


def is_from(state: ServerState, info: ResponseInfo) -> bool:
    """Return whether a response comes from a server, as far as it says."""
    return not info.misdirected and info.server_id in (None, state.server.id)


class ServerNotices:
    """Records what responses say of their servers, and exchanges it with other VMs."""

    def __init__(self, clock: Clock, routing_state: RoutingState, counters: Counters) -> None:
        self._clock = clock
        self._routing_state = routing_state
        self.limits = LimitNotices(clock, routing_state)
        self.loads = LoadNotices(clock, routing_state, counters)
        self._log = DecisionLog(clock)
        self._rests = counters.counter(
            "server_rests", "Responses in which a server asked this VM for rest", ("service",)
        )
        self._heard_leaving: dict[str, ServerState] = {}
        # Called with a server that was the first to say it to this VM.
        self.on_heard_leaving: Callable[[ServerState], None] = lambda state: None

    def record(self, state: ServerState, info: ResponseInfo) -> None:
        """Record what a response to this VM says of its server.

        Nothing is recorded if another server responded, at an address that has been reused.
        """
        if not is_from(state, info):
            return
        now = self._clock.now()
        if info.load is not None:
            self.loads.record(state, info.load)
        if info.cold_ms:
            self._routing_state.mark_cold(state.server.id, info.cold_ms, now)
        self._record_limit(state, info)
        if info.rest_ms:
            self._record_rest(state, info, now)
        if info.leaving:
            self._heard_leaving[state.server.id] = state
            if not state.said_leaving:
                self.on_heard_leaving(state)
            self._routing_state.mark_leaving(state)

    def _record_rest(self, state: ServerState, info: ResponseInfo, now_ms: int) -> None:
        """Record for how long a server that turned a request of this VM away wants rest."""
        state.record_rest(info.rest_ms, now_ms)
        self._rests.labels(state.server.service).inc()
        self._log.write(
            "server_rest",
            server=state.server.id,
            service=state.server.service,
            status=info.status,
            rest_ms=info.rest_ms,
        )

    def _record_limit(self, state: ServerState, info: ResponseInfo) -> None:
        """Record the limit that a response names, or that it names none.

        A response that isn't signed names no end of a limit: a rejection need not come from the
        part of the server that knows its load.
        """
        per_s = info.limit_per_s
        if per_s is not None and (info.signed or math.isfinite(per_s)):
            self.limits.record(state, per_s)

    def heard_leaving(self, *, to_new_vm: bool = False) -> dict[str, int]:
        """Return the servers that told this VM that they are leaving, each with its start.

        :param to_new_vm: the receiver has just started. It gets those as well that told another VM,
            which may have ended since.
        :return: by server id, the time of its start in ms, as its entry in the store names it.
        """
        self._heard_leaving = {
            name: state for name, state in self._heard_leaving.items() if self._is_current(state)
        }
        known = self._heard_leaving
        if to_new_vm:
            states = self._routing_state.server_states.items()
            known = {name: state for name, state in states if state.said_leaving}
        return {name: state.server.born_ms for name, state in known.items()}

    def apply_leaving(self, reported: Mapping[str, int]) -> None:
        """Record which servers told another VM that they are leaving.

        What an earlier incarnation told is left out: it would shut the new one out until its end.
        """
        for name, born_ms in reported.items():
            state = self._routing_state.server_states.get(name)
            if state is not None and state.server.born_ms == born_ms:
                self._routing_state.mark_leaving(state)

    def _is_current(self, state: ServerState) -> bool:
        """Return whether a state is that of a server's present incarnation."""
        return self._routing_state.server_states.get(state.server.id) is state
