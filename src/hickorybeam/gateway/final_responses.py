"""The final answers of the gateway's own: refusals, and what is said when a request is given up."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorybeam.errors import ErrorKind, GatewayError, Ran, error_response
from hickorybeam.gateway.attempt import HOP_NOT_RUN, HOP_RETRY_AFTER_MS, NOT_ASKED, REJECTED
from hickorybeam.gateway.progress import name_of
from hickorybeam.platform import refusal_headers, response_headers
from hickorybeam.policy.retry_after import clamp_retry_after_ms, outage_retry_after_ms

if TYPE_CHECKING:
    from hickorybeam.clock import Clock
    from hickorybeam.gateway.attempt import AdmittedRequest, Target
    from hickorybeam.gateway.feed import FeedService
    from hickorybeam.gateway.progress import Progress
    from hickorybeam.gateway.target_selector import TargetSelector
    from hickorybeam.http1 import RawHeaders, ResponseWriter
    from hickorybeam.model.routing import RelayCall
    from hickorybeam.telemetry import Counters
    from hickorybeam.telemetry.decisions import DecisionLog

__all__ = ("Endings",)


def hop_mark(progress: Progress, come_back_ms: int | None) -> RawHeaders:
    """Return what tells the VM that handed a request over that it was not run here."""
    if not progress.here_only:
        return ()
    mark = (HOP_NOT_RUN, REJECTED if progress.arrived else NOT_ASKED)
    return (mark, (HOP_RETRY_AFTER_MS, b"%d" % (come_back_ms or 0)))


class Endings:
    """Writes, counts and logs final answers."""

    def __init__(
        self,
        *,
        clock: Clock,
        counters: Counters,
        feed: FeedService,
        placing: TargetSelector,
        log: DecisionLog,
    ) -> None:
        self._clock = clock
        self._feed = feed
        self._placing = placing
        self._counters = counters
        self._log = log

    def give_up(self, errand: AdmittedRequest, progress: Progress) -> None:
        """Give the final answer to a request that will not be run, or not again."""
        reply = progress.reply
        ran = progress.ran
        self.note(
            "gave_up",
            errand,
            None,
            why=progress.why,
            ran=ran,
            sends=progress.sends,
            tried=sorted(progress.tried),
        )
        if reply.started:
            reply.abort()
            self.count(errand, "cut")
            return
        if progress.failed is not None:
            head, facts, body = progress.failed
            # A server's status that would promise that it didn't run can't be passed on.
            if facts.signed and not facts.implies_not_run:
                reply.send(facts.status, response_headers(head.headers), body)
                self.count(errand, "failed")
                return
        if not ran:
            kind, after = self._not_run(errand, progress)
        elif progress.why == "deadline":
            kind, after = ErrorKind.BACKEND_SILENT, None
        else:
            kind, after = ErrorKind.BACKEND_UNKNOWN, None
        exc = GatewayError(kind, progress.why, retry_after_ms=after)
        self.refuse(errand.call, reply, exc, progress)

    def _not_run(self, errand: AdmittedRequest, progress: Progress) -> tuple[ErrorKind, int]:
        """Return why nothing ran a request, and when its caller should come back."""
        now = self._clock.now()
        left_ms = errand.deadline_ms - now
        if progress.room_in_ms is not None:
            return ErrorKind.OVERLOADED, clamp_retry_after_ms(progress.room_in_ms, left_ms)
        after = outage_retry_after_ms(
            outage_ms=self._placing.away_ms(errand.service, now),
            recovery_ms=self._feed.server_recovery_ms(now),
            left_ms=left_ms,
        )
        return ErrorKind.NO_BACKEND, after

    def refuse(
        self,
        call: RelayCall,
        reply: ResponseWriter,
        exc: GatewayError,
        progress: Progress | None = None,
    ) -> None:
        """Send an answer of the gateway's own.

        :param progress: what has happened to the request, if it was admitted.
        """
        answer = error_response(exc.kind)
        config = self._feed.routing_state.config
        self._counters.refusals.labels(exc.kind.value).inc()
        self._log.write(
            "refused",
            request=call.request_id,
            kind=exc.kind.value,
            status=answer.status,
            ran=answer.ran is not Ran.NO,
            retry_after_ms=exc.retry_after_ms,
            config=config.version if config else None,
        )
        headers = refusal_headers(call.request_id, retry_after_ms=exc.retry_after_ms)
        if answer.ran is Ran.NO and progress is not None:
            headers = (*headers, *hop_mark(progress, exc.retry_after_ms))
        reply.send(answer.status, headers, close=exc.kind is ErrorKind.DRAINING)

    def answered(self, errand: AdmittedRequest, target: Target, progress: Progress) -> None:
        """Count a good answer, and log why it was late if it was.

        A request that another VM handed over is judged there, where its objective is known.
        """
        pace, route = progress.pace, errand.route
        first_ms = (pace.first_ms or self._clock.now()) - errand.call.arrived_ms
        too_late = first_ms > route.target_ms
        paused = 0 < route.gap_ms < pace.longest_gap_ms
        if progress.here_only or not (too_late or paused):
            self.count(errand, "answered")
            return
        self.count(errand, "late")
        self.note(
            "late",
            errand,
            target,
            first_ms=first_ms,
            target_ms=route.target_ms,
            paused=paused,
            in_line_ms=progress.waited_ms,
            foreseen_ms=round(progress.foreseen_ms),
            longest_gap_ms=pace.longest_gap_ms,
            prompt_tokens=errand.call.prompt_tokens,
            sends=progress.sends,
        )

    def count(self, errand: AdmittedRequest, outcome: str) -> None:
        """Count how a request ended."""
        self._counters.requests.labels(errand.route.name, outcome).inc()

    def note(
        self, event: str, errand: AdmittedRequest, target: Target | None, **fields: object
    ) -> None:
        """Log a decision about a request."""
        self._log.write(
            event,
            request=errand.call.request_id,
            route=errand.route.name,
            target=name_of(target) if target else None,
            left_ms=errand.deadline_ms - self._clock.now(),
            **fields,
        )
