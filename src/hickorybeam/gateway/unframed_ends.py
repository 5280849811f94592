"""Responses that only the end of their connection ends: whole if their server is still there.

A process that ends closes its connections in order, as a server does that has finished a response
without length or chunks. What tells them apart is that the second one lives on.

Where a server lives on, a part of it may have ended, or what is between may have closed the
connection. A stream that may be resumed is then resumed after its last event: a run that adds
nothing shows that it was whole. That costs a run, so it is done only at services whose streams
mostly come framed, at servers with a free slot, and within the budget of retries.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorybeam.gateway.response_ends import ResumedAsProofError, UnprovenEndError
from hickorybeam.telemetry.decisions import DecisionLog

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorybeam.clock import Clock
    from hickorybeam.gateway.crashes.open_requests import OpenRequest
    from hickorybeam.gateway.crashes.sameness import Sameness
    from hickorybeam.gateway.crashes.server_ends import ServerEnds
    from hickorybeam.gateway.progress import RequestProgress
    from hickorybeam.gateway.targets import AdmittedRequest
    from hickorybeam.telemetry import Counters

__all__ = ("UnframedEnds",)

# Above this share of streams without framing, such an end is usual at a service.
MAX_UNUSUAL_SHARE = 0.1
# Weight of the latest stream in that share.
SHARE_WEIGHT = 0.02


class UnframedEnds:
    """Records how responses ended, and what shows that one without framing is whole."""

    def __init__(self, *, clock: Clock, counters: Counters, server_ends: ServerEnds) -> None:
        self._clock = clock
        self._server_ends = server_ends
        self._log = DecisionLog(clock)
        # By service, the share of its whole streams that came without framing.
        self._unframed_share: dict[str, float] = {}
        self._ends = counters.counter(
            "unframed_ends",
            "Responses ended by their connection, by what shows that their server is there still",
            ("same",),
        )

    def prepare(self, open_request: OpenRequest | None) -> None:
        """Prepare to confirm the end of a response that only its connection's end will mark."""
        if open_request is not None:
            self._server_ends.record_unframed(open_request)

    async def confirm(self, open_request: OpenRequest | None, *, ends_at_close: bool) -> None:
        """Confirm that a response has ended and was not cut off, before its caller learns of it.

        :param open_request: the request at its server, ``None`` if a VM responded.
        :param ends_at_close: nothing but its connection's end marked the response's end.
        :raises UnprovenEndError: it may have been cut off.
        """
        if not ends_at_close:
            return
        if open_request is None:
            raise UnprovenEndError("a VM's response ended with its connection")
        began_ms = self._clock.now()
        same = await self._server_ends.prove(open_request)
        await self._server_ends.wait_checked(open_request)
        self._record(open_request, same, began_ms)
        if not same.is_shown:
            raise UnprovenEndError("its server was not shown to outlive an unframed response")

    async def confirm_success(
        self, open_request: OpenRequest | None, *, ends_at_close: bool
    ) -> None:
        """Record that a successful response ended as a whole one does, and confirm that.

        :raises UnprovenEndError: it may have been cut off.
        """
        if open_request is not None:
            self._server_ends.record_whole(open_request, framed=not ends_at_close)
        await self.confirm(open_request, ends_at_close=ends_at_close)

    def check_run(
        self,
        request: AdmittedRequest,
        progress: RequestProgress,
        *,
        unframed: bool,
        find_target: Callable[[], bool],
    ) -> None:
        """Check whether a stream that ended at a living server is to be proven by another run.

        :param unframed: its server sent it without framing.
        :param find_target: finds where that run may be had at once, and returns whether it has.
        :raises ResumedAsProofError: it is; that run resumes it.
        """
        service = request.service
        if progress.may_be_whole:
            # This was that run, and it has added nothing.
            self._record_stream(service, unframed=True)
            return
        if not unframed:
            self._record_stream(service, unframed=False)
            return
        is_usual = self._unframed_share.get(service, 0.0) > MAX_UNUSUAL_SHARE
        if is_usual or not progress.splitter.can_be_proven or not progress.may_run_again(request):
            return
        if progress.runs + 1 >= request.route.max_attempts or not find_target():
            return
        raise ResumedAsProofError("an unframed stream of a living server is resumed as proof")

    def _record_stream(self, service: str, *, unframed: bool) -> None:
        """Record a whole stream; one without framing only if another run has proven it."""
        before = self._unframed_share.get(service, 0.0)
        self._unframed_share[service] = before + SHARE_WEIGHT * (unframed - before)

    def _record(self, open_request: OpenRequest, same: Sameness, began_ms: int) -> None:
        state = open_request.server_state
        self._ends.labels(same.value).inc()
        self._log.write(
            "unframed_end",
            request=open_request.request.call.request_id,
            server=state.server.id,
            closed_by="server",
            same=same.value,
            leaving=state.server.leaving or state.said_leaving,
            took_ms=self._clock.now() - began_ms,
        )
