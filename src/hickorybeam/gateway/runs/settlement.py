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

    def name_run(self, target: Target, request: AdmittedRequest, now_ms: int) -> RemoteRun | None:
        """Return the run that a VM is asked for; ``None`` if the target is a server."""
        match target:
            case PeerTarget(peer):
                return RemoteRun(
                    self._run_cancels.new_name(),
                    peer.vm.name,
                    address_of(target),
                    region=peer.vm.region,
                    request_id=request.call.request_id if is_reported(request) else "",
                    service=request.service,
                    asked_ms=now_ms,
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
            progress.runs_on = not await attempt.close_acknowledged()
            run = progress.forwarded_run
            if run is not None and run.trace is not None and not progress.runs_on:
                await self._settle_by_report(attempt, run.trace.request_id, progress)

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
        if not await attempt.close_acknowledged():
            progress.runs_on = True
            progress.reason += ", the server did not close its connection"
            return
        if is_reported(request):
            await self._settle_by_report(attempt, request.call.request_id, progress)

    async def _settle_by_report(
        self, attempt: Attempt, request_id: str, progress: RequestProgress
    ) -> None:
        sent_ms = max(progress.records[-1].sent_ms, attempt.connected_ms)
        state = await self._server_reports.wait_ended(attempt.address, request_id, sent_ms=sent_ms)
        if state in UNENDED_STATES:
            progress.runs_on = True
            progress.reason += f", the server closed its connection and its report is {state.value}"


def is_reported(request: AdmittedRequest) -> bool:
    """Return whether its servers, as model servers, report what they run."""
    return request.call.tokens_told


def may_overlap(request: AdmittedRequest) -> bool:
    """Return whether a request may run at two servers at once."""
    return request.route.repeat is Repeat.IDEMPOTENT
