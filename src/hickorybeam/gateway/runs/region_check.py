"""Ask all servers of this region that may run a request whether one does.

The VM that sent it may have been killed, and it may have sent it to one server after the other.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from anyio.abc import TaskGroup

    from hickorybeam.clock import Clock
    from hickorybeam.gateway.fleet import FleetService
    from hickorybeam.gateway.forwarding.run_messages import RunTrace
    from hickorybeam.gateway.routing_state import RoutingState
    from hickorybeam.gateway.runs.server_reports import RunState, ServerReports
    from hickorybeam.http1.pool import Address

__all__ = ("RegionCheck",)

# A VM that is killed leaves no more streams of one region than this; others go unanswered.
MAX_CHECKS = 256


class RegionCheck:
    """Asks the servers of a service for their reports, in tasks of a group."""

    def __init__(
        self,
        *,
        clock: Clock,
        fleet: FleetService,
        routing_state: RoutingState,
        server_reports: ServerReports,
    ) -> None:
        self._clock = clock
        self._fleet = fleet
        self._routing_state = routing_state
        self._server_reports = server_reports
        self._tasks: TaskGroup | None = None
        self._open: set[str] = set()

    def set_tasks(self, tasks: TaskGroup) -> None:
        """Use a group for the checks from now on."""
        self._tasks = tasks

    def start(
        self, run: str, trace: RunTrace, on_states: Callable[[Collection[RunState]], None]
    ) -> None:
        """Check a run unless a check of it is open.

        :param on_states: called with what each server's reports tell, empty if none is known.
        """
        if self._tasks is None or run in self._open or len(self._open) >= MAX_CHECKS:
            return
        self._open.add(run)
        self._tasks.start_soon(self._check, run, trace, on_states)

    async def _check(
        self, run: str, trace: RunTrace, on_states: Callable[[Collection[RunState]], None]
    ) -> None:
        states: list[RunState] = []
        # A server may have got it just now, from a VM where it had waited in a line.
        sent_ms = self._clock.now()

        async def ask(address: Address) -> None:
            states.append(
                await self._server_reports.wait_ended(address, trace.request_id, sent_ms=sent_ms)
            )

        try:
            async with anyio.create_task_group() as tg:
                for address in self._addresses(trace.service):
                    tg.start_soon(ask, address)
        finally:
            self._open.discard(run)
        on_states(states)

    def _addresses(self, service: str) -> set[Address]:
        """Return where this region's servers of a service listen, leaving ones included."""
        return {
            (it.server.host, it.server.port)
            for it in self._routing_state.server_states.values()
            if it.server.service == service and self._fleet.in_own_region(it.server.data_centre)
        }
