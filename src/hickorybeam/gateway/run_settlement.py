"""Decide whether a request goes on after a send whose outcome is unknown.

It may run on where it was sent. What this VM sees of the connection doesn't tell: a link that fails
carries no close. Only the runner's word does, which is the other VM's answer, or that a server
closes its end after this VM has closed its own.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from hickorybeam.gateway.attempt import FirstByteTimeoutError
from hickorybeam.gateway.forwarding.run_cancels import RemoteRun
from hickorybeam.gateway.send_records import NotRunGround
from hickorybeam.gateway.targets import PeerTarget, ServerTarget, address_of
from hickorybeam.model.routing import Repeat

if TYPE_CHECKING:
    from hickorybeam.gateway.attempt import Attempt
    from hickorybeam.gateway.forwarding.run_cancels import RunCancels
    from hickorybeam.gateway.progress import RequestProgress
    from hickorybeam.gateway.targets import AdmittedRequest, Target
    from hickorybeam.http1 import BrokenResponseError

__all__ = ("RunSettlement", "may_overlap")


class RunSettlement:
    """Ends the runs of sends that broke off, and records whether their requests may go on."""

    def __init__(self, run_cancels: RunCancels) -> None:
        self._run_cancels = run_cancels

    def name_run(self, target: Target) -> RemoteRun | None:
        """Return the run that a VM is asked for; ``None`` if the target is a server."""
        match target:
            case PeerTarget(peer):
                name = self._run_cancels.new_name()
                return RemoteRun(name, peer.vm.name, address_of(target))
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
        attempt.close()
        await self._settle_at_vm(attempt.run, exc, request, progress)

    async def end_left_run(self, attempt: Attempt, progress: RequestProgress) -> None:
        """End the run of a forwarded request that its VM left or cancelled.

        Its VM sends the request elsewhere on this VM's word, which needs the server's close.
        """
        if attempt.was_sent:
            with anyio.CancelScope(shield=True):
                progress.runs_on = not await attempt.close_acknowledged()

    async def _settle_at_vm(
        self,
        run: RemoteRun,
        exc: BrokenResponseError,
        request: AdmittedRequest,
        progress: RequestProgress,
    ) -> None:
        is_final = progress.response.started and not progress.may_run_again(request)
        if may_overlap(request) or is_final:
            self._run_cancels.abandon(run)
            return
        match exc:
            case FirstByteTimeoutError(ended=ended):
                pass
            case _:
                ended = await self._run_cancels.settle(run)
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


def may_overlap(request: AdmittedRequest) -> bool:
    """Return whether a request may run at two servers at once."""
    return request.route.repeat is Repeat.IDEMPOTENT
