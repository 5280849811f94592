"""Decide whether a request goes on after a send whose outcome is unknown.

It may run on where it was sent. What this VM sees of the connection doesn't tell: a link that fails
carries no close. Only the runner's word does: the other VM's answer, or that a server closes its
end after this VM has closed its own, and no longer lists the run if it reports what it runs.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from hickorybeam.gateway.attempt import FirstByteTimeoutError
from hickorybeam.gateway.forwarding.run_cancels import RemoteRun
from hickorybeam.gateway.runs.server_reports import UNENDED_STATES
from hickorybeam.gateway.send_records import NotRunGround
from hickorybeam.gateway.targets import PeerTarget, ServerTarget, address_of
from hickorybeam.model.routing import Repeat

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorybeam.gateway.attempt import Attempt
    from hickorybeam.gateway.forwarding.run_cancels import RunCancels
    from hickorybeam.gateway.progress import RequestProgress
    from hickorybeam.gateway.runs.server_reports import ServerReports
    from hickorybeam.gateway.targets import AdmittedRequest, Target
    from hickorybeam.http1 import BrokenResponseError

__all__ = ("RunSettlement", "may_overlap")


class RunSettlement:
    """Ends the runs of sends that broke off, and records whether their requests may go on."""

    def __init__(self, run_cancels: RunCancels, server_reports: ServerReports) -> None:
        self._run_cancels = run_cancels
        self._server_reports = server_reports

    def name_run(self, target: Target, request: AdmittedRequest) -> RemoteRun | None:
        """Return the run that a VM is asked for; ``None`` if the target is a server."""
        match target:
            case PeerTarget(peer):
                return RemoteRun(
                    self._run_cancels.new_name(),
                    peer.vm.name,
                    address_of(target),
                    region=peer.vm.region,
                    request_id=reported_id(request),
                    service=request.service,
                )
            case ServerTarget():
                return None

    async def settle(
        self,
        attempt: Attempt,
        exc: BrokenResponseError,
        request: AdmittedRequest,
        progress: RequestProgress,
    ) -> None:
        """End the run of a send that broke off, which this closes."""
        if attempt.run is None:
            await self._settle_at_server(attempt, request, progress)
            return
        was_closed = attempt.closed_by_peer
        attempt.close()
        await self._settle_at_vm(attempt.run, exc, request, progress, was_closed=was_closed)

    async def end_left_run(self, attempt: Attempt, progress: RequestProgress) -> None:
        """End the run of a forwarded request that its VM left or cancelled.

        Its VM sends the request elsewhere on this VM's word, which needs the server's.
        """
        if not attempt.was_sent:
            return
        with anyio.CancelScope(shield=True):
            # A cancel may arrive until the connection is closed.
            await self._await_end(attempt, lambda: self._asked_request_id(progress), progress)

    def _asked_request_id(self, progress: RequestProgress) -> str:
        """Return the id to look for in reports, empty if no VM waits for what they tell."""
        run = progress.forwarded_run
        return "" if run is None or run.trace is None else run.trace.request_id

    async def _settle_at_vm(
        self,
        run: RemoteRun,
        exc: BrokenResponseError,
        request: AdmittedRequest,
        progress: RequestProgress,
        *,
        was_closed: bool,
    ) -> None:
        is_final = progress.response.started and not progress.may_run_again(request)
        if may_overlap(request) or is_final:
            self._run_cancels.abandon(run)
            return
        match exc:
            case FirstByteTimeoutError(ended=ended):
                pass
            case _:
                ended = await self._run_cancels.settle(run, was_closed=was_closed)
        progress.runs_on = ended is None
        if ended is None:
            progress.reason += f", {run.vm} did not say that its run has ended"
        elif not ended.begun:
            progress.runs -= 1
            record = progress.records[-1]
            record.ground, record.why = NotRunGround.VM, f"{run.vm} had not begun it"

    async def _settle_at_server(
        self, attempt: Attempt, request: AdmittedRequest, progress: RequestProgress
    ) -> None:
        goes_on = progress.own_region_only or progress.may_run_again(request)
        if may_overlap(request) or not goes_on:
            return
        request_id = reported_id(request)
        # Its VM's cancel waits for what this tells.
        with anyio.CancelScope(shield=progress.own_region_only):
            await self._await_end(attempt, lambda: request_id, progress)

    async def _await_end(
        self, attempt: Attempt, id_to_report: Callable[[], str], progress: RequestProgress
    ) -> None:
        """Record whether a run may go on at its server, which it may until that has told its end.

        :param id_to_report: returns the id to look for in reports, empty to ask for none.
        """
        progress.runs_on = True
        if not await attempt.close_acknowledged():
            progress.reason += ", the server did not close its connection"
            return
        if request_id := id_to_report():
            sent_ms = max(progress.records[-1].sent_ms, attempt.connected_ms)
            state = await self._server_reports.wait_ended(
                attempt.address, request_id, sent_ms=sent_ms
            )
            if state in UNENDED_STATES:
                progress.reason += f", the server closed its connection, its report: {state.value}"
                return
        progress.runs_on = False


def reported_id(request: AdmittedRequest) -> str:
    """Return the id that servers report a request by, empty if they are no model servers."""
    return request.call.request_id if request.call.tokens_told else ""


def may_overlap(request: AdmittedRequest) -> bool:
    """Return whether a request may run at two servers at once."""
    return request.route.repeat is Repeat.IDEMPOTENT
