"""What ends runs and tells of their ends, with the messages of other VMs that it handles."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorybeam.gateway.forwarding.forwarded_runs import ForwardedRuns
from hickorybeam.gateway.forwarding.run_cancels import RunCancels
from hickorybeam.gateway.forwarding.run_messages import CancelRun, CheckRun, RunAnswers, RunEnded
from hickorybeam.gateway.runs.region_check import RegionCheck
from hickorybeam.gateway.runs.server_reports import ServerReports

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from hickorybeam.clock import Clock
    from hickorybeam.gateway.fleet import FleetService
    from hickorybeam.gateway.routing_state import RoutingState
    from hickorybeam.telemetry import Counters
    from hickorybeam.telemetry.decisions import DecisionLog

__all__ = ("RunControl",)


class RunControl:
    """Runs at this region's servers, and those that other regions' VMs are asked for.

    ``reports``: what servers tell of their runs. ``cancels``: of runs at other regions' VMs.
    ``forwarded``: the runs that such VMs ask this one for.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        counters: Counters,
        fleet: FleetService,
        routing_state: RoutingState,
        log: DecisionLog,
    ) -> None:
        self._fleet = fleet
        self.reports = ServerReports(clock=clock, counters=counters, log=log)
        self.cancels = RunCancels(clock=clock, counters=counters, fleet=fleet, log=log)
        self._region_check = RegionCheck(
            clock=clock, fleet=fleet, routing_state=routing_state, server_reports=self.reports
        )
        self.forwarded = ForwardedRuns(
            clock=clock,
            counters=counters,
            fleet=fleet,
            log=log,
            region_check=self._region_check,
        )

    def start(self, tasks: TaskGroup) -> None:
        """Handle the messages of other VMs from now on, in tasks of a group where it takes time."""
        self._region_check.set_tasks(tasks)
        self._fleet.on_message(CancelRun, self.forwarded.handle_cancel)
        self._fleet.on_message(CheckRun, self.forwarded.handle_check)
        self._fleet.on_message(RunEnded, self.cancels.handle_word)
        self._fleet.on_message(RunAnswers, self.cancels.handle_word)
