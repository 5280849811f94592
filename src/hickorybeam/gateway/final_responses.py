"""Final responses by the gateway itself: refusals, and the end of requests that it gives up."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorybeam.errors import ErrorKind, GatewayError, Ran, error_response
from hickorybeam.gateway.forwarding.hop import (
    HOP_NOT_RUN,
    HOP_RETRY_AFTER_MS,
    NO_SERVER_ASKED,
    PART_BLOCKED,
    REJECTED,
    REQUEST_BLOCKED,
    without_hop_headers,
)
from hickorybeam.gateway.send_records import ground_of
from hickorybeam.gateway.targets import target_name
from hickorybeam.platform import refusal_headers, response_headers
from hickorybeam.policy.retry_after import clamp_retry_after_ms, outage_retry_after_ms
from hickorybeam.telemetry.promise_log import PROMISES_NOT_RUN

if TYPE_CHECKING:
    from hickorybeam.clock import Clock
    from hickorybeam.gateway.feed import FeedService
    from hickorybeam.gateway.progress import RequestProgress
    from hickorybeam.gateway.target_selector import TargetSelector
    from hickorybeam.gateway.targets import AdmittedRequest, Target
    from hickorybeam.http1 import RawHeaders, ResponseWriter
    from hickorybeam.model.routing import RelayCall
    from hickorybeam.telemetry import Counters
    from hickorybeam.telemetry.decisions import DecisionLog
    from hickorybeam.telemetry.promise_log import PromiseLog

__all__ = ("FinalResponses",)

NO_SERVICE = 503


def not_run_headers(progress: RequestProgress, exc: GatewayError) -> RawHeaders:
    """Return the headers that tell the VM which forwarded a request that it was not run here."""
    if not progress.own_region_only:
        return ()
    why = REJECTED if progress.may_have_arrived else NO_SERVER_ASKED
    match exc.kind:
        case ErrorKind.PART_BLOCKED:
            why = PART_BLOCKED
        case ErrorKind.REQUEST_BLOCKED:
            why = REQUEST_BLOCKED
    return ((HOP_NOT_RUN, why), (HOP_RETRY_AFTER_MS, b"%d" % (exc.retry_after_ms or 0)))


class FinalResponses:
    """Sends, counts and logs final responses."""

    def __init__(
        self,
        *,
        clock: Clock,
        counters: Counters,
        feed: FeedService,
        selector: TargetSelector,
        log: DecisionLog,
        promises: PromiseLog,
    ) -> None:
        self._clock = clock
        self._feed = feed
        self._selector = selector
        self._counters = counters
        self._log = log
        self._promises = promises

    def give_up(self, request: AdmittedRequest, progress: RequestProgress) -> None:
        """Send the final response to a request that will not be run, or not again."""
        response = progress.response
        if progress.may_be_whole and not progress.outcome_open:
            # Its server has ended the stream and lives on, and no other run can be had.
            response.end()
            self.count_outcome(request, "answered")
            return
        may_have_run = progress.may_have_run
        self.log_decision(
            "gave_up",
            request,
            None,
            why=progress.reason,
            ran=may_have_run,
            sends=progress.sends,
            tried=sorted(progress.tried),
        )
        if response.started:
            response.abort()
            self.count_outcome(request, "cut")
            return
        if progress.failed_response is not None:
            head, info, body = progress.failed_response
            # A status that implies that nothing ran can't be passed on: the request may have run.
            if info.signed and not info.implies_not_run:
                self.record_passed_on(request, info.status, progress)
                response.send(
                    info.status, without_hop_headers(response_headers(head.headers)), body
                )
                self.count_outcome(request, "failed")
                return
        if not may_have_run:
            kind, retry_after_ms = self._not_run_error(request, progress)
        elif progress.reason == "deadline":
            kind, retry_after_ms = ErrorKind.BACKEND_SILENT, None
        else:
            kind, retry_after_ms = ErrorKind.BACKEND_UNKNOWN, None
        exc = GatewayError(kind, progress.reason, retry_after_ms=retry_after_ms)
        self.refuse(request.call, response, exc, progress)

    def refuse_or_give_up(
        self, request: AdmittedRequest, progress: RequestProgress, exc: GatewayError
    ) -> None:
        """Refuse a request as not run; give it up if it may have run or its response began."""
        if progress.may_have_run or progress.response.started:
            progress.reason = str(exc)
            self.give_up(request, progress)
        else:
            self.refuse(request.call, progress.response, exc, progress)

    def _not_run_error(
        self, request: AdmittedRequest, progress: RequestProgress
    ) -> tuple[ErrorKind, int]:
        """Return the kind of error for a request that nothing ran, and its retry-after."""
        now = self._clock.now()
        left_ms = request.deadline_ms - now
        if progress.retry_after_ms is not None:
            return ErrorKind.OVERLOADED, clamp_retry_after_ms(progress.retry_after_ms, left_ms)
        rest_left_ms = self._selector.rest_left_ms(request.service, now)
        kind = ErrorKind.NO_BACKEND
        if not self._selector.has_version(request):
            kind = ErrorKind.STREAM_VERSION_GONE
        if rest_left_ms:
            return kind, clamp_retry_after_ms(rest_left_ms, left_ms)
        retry_after_ms = outage_retry_after_ms(
            outage_ms=self._selector.outage_ms(request.service, now),
            recovery_ms=self._feed.server_recovery_ms(now),
            left_ms=left_ms,
        )
        return kind, retry_after_ms

    def refuse(
        self,
        call: RelayCall,
        response: ResponseWriter,
        exc: GatewayError,
        progress: RequestProgress | None = None,
    ) -> None:
        """Send an error response of the gateway's own.

        :param progress: what has happened to the request, if it was admitted.
        """
        error = error_response(exc.kind)
        config = self._feed.routing_state.config
        self._counters.refusals.labels(exc.kind.value).inc()
        self._log.write(
            "refused",
            request=call.request_id,
            kind=exc.kind.value,
            status=error.status,
            ran=error.ran is not Ran.NO,
            detail=exc.detail,
            retry_after_ms=exc.retry_after_ms,
            config=config.version if config else None,
        )
        if error.status in PROMISES_NOT_RUN:
            self._record_promise(call, error.status, exc, progress)
        headers = refusal_headers(call.request_id, retry_after_ms=exc.retry_after_ms)
        if error.ran is Ran.NO and progress is not None:
            headers = (*headers, *not_run_headers(progress, exc))
        response.send(error.status, headers, close=exc.kind is ErrorKind.DRAINING)

    def _record_promise(
        self,
        call: RelayCall,
        status: int,
        exc: GatewayError,
        progress: RequestProgress | None,
    ) -> None:
        """Log on what ground a request is said not to have run."""
        kind = exc.kind.value
        if progress is None or not progress.records:
            self._promises.write_unsent(call.request_id, status=status, kind=kind)
            return
        self._promises.write_sent(
            call.request_id,
            status=status,
            kind=kind,
            ground=ground_of(progress.records).value,
            sends=[it.describe(call.arrived_ms) for it in progress.records],
        )

    def refuse_cancelled(self, call: RelayCall, response: ResponseWriter) -> None:
        """Tell another region's VM that a request which it has cancelled will not be run."""
        self._promises.write_unsent(call.request_id, status=NO_SERVICE, kind="run_cancelled")
        headers = refusal_headers(call.request_id, retry_after_ms=None)
        response.send(NO_SERVICE, (*headers, (HOP_NOT_RUN, NO_SERVER_ASKED)))

    def record_passed_on(
        self, request: AdmittedRequest, status: int, progress: RequestProgress
    ) -> None:
        """Log that a server's own failure is the final answer."""
        target = progress.records[-1].target if progress.records else ""
        self._promises.write_passed_on(request.call.request_id, status=status, target=target)

    def record_success(
        self, request: AdmittedRequest, target: Target, progress: RequestProgress
    ) -> None:
        """Count a complete response, and log the details of one that missed its objective.

        A request that another VM forwarded is judged there, where its objective is known.
        """
        timing, route = progress.timing, request.route
        first_ms = (timing.first_ms or self._clock.now()) - request.call.arrived_ms
        too_late = first_ms > route.target_ms
        paused = 0 < route.gap_ms < timing.longest_gap_ms
        if progress.own_region_only or not (too_late or paused):
            self.count_outcome(request, "answered")
            return
        self.count_outcome(request, "late")
        self.log_decision(
            "late",
            request,
            target,
            first_ms=first_ms,
            target_ms=route.target_ms,
            paused=paused,
            in_line_ms=progress.placement_ms,
            foreseen_ms=round(progress.expected_wait_ms),
            longest_gap_ms=timing.longest_gap_ms,
            prompt_tokens=request.call.prompt_tokens,
            sends=progress.sends,
        )

    def count_outcome(self, request: AdmittedRequest, outcome: str) -> None:
        """Count how a request ended."""
        self._counters.requests.labels(request.route.name, outcome).inc()

    def log_sends(self, request: AdmittedRequest, progress: RequestProgress, *, run: str) -> None:
        """Log all sends of a request, with the times of each since the request arrived.

        :param run: the name that the VM which forwarded it gave the run, empty if none did.
        """
        arrived_ms = request.call.arrived_ms
        self._log.write(
            "sends",
            request=request.call.request_id,
            run=run,
            left=progress.response.is_disconnected,
            took_ms=self._clock.now() - arrived_ms,
            sends=[it.describe(arrived_ms) for it in progress.records],
        )

    def log_decision(
        self, event: str, request: AdmittedRequest, target: Target | None, **fields: object
    ) -> None:
        """Log a decision about a request."""
        self._log.write(
            event,
            request=request.call.request_id,
            route=request.route.name,
            target=target_name(target) if target else None,
            left_ms=request.deadline_ms - self._clock.now(),
            **fields,
        )
