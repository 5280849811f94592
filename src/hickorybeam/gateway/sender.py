"""Make one attempt at a request: send it, pass its response on, and record how it went."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorybeam.clock import MS_PER_SECOND
from hickorybeam.gateway.attempt import Attempt, FirstByteTimeoutError, NotRunError
from hickorybeam.gateway.crashes.open_requests import OpenRequest
from hickorybeam.gateway.forwarding.hop import HOP_UNFRAMED, without_hop_headers
from hickorybeam.gateway.placement.messages import SendStatus
from hickorybeam.gateway.response_ends import (
    EndedInsideEventError,
    ResponseEnd,
    ResponseEnds,
    ResumedAsProofError,
    broken_end,
)
from hickorybeam.gateway.response_heads import headers_to_pass_on, is_failed, version_key_of
from hickorybeam.gateway.resumed_streams import ResumedStreams, version_of
from hickorybeam.gateway.runs.settlement import RunSettlement, may_overlap
from hickorybeam.gateway.send_records import NotRunGround, SendCounts, SendEnd, SendRecord
from hickorybeam.gateway.targets import PeerTarget, ServerTarget, target_name
from hickorybeam.gateway.unframed_ends import UnframedEnds
from hickorybeam.gateway.whole_responses import WholeResponses
from hickorybeam.http1 import (
    BrokenResponseError,
    EndlessResponseError,
    find_header,
    is_encoded,
)
from hickorybeam.platform import response_headers
from hickorybeam.policy.first_byte_timeout import first_byte_timeout_ms

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorybeam.clock import Clock
    from hickorybeam.gateway.crashes.part_blocks import PartBlocksService
    from hickorybeam.gateway.crashes.server_ends import ServerEnds
    from hickorybeam.gateway.final_responses import FinalResponses
    from hickorybeam.gateway.forwarding.run_cancels import RunCancels
    from hickorybeam.gateway.held_bytes import HeldBytes
    from hickorybeam.gateway.in_flight import InFlightRequest
    from hickorybeam.gateway.progress import RequestProgress
    from hickorybeam.gateway.runs.server_reports import ServerReports
    from hickorybeam.gateway.server_notices import ServerNotices
    from hickorybeam.gateway.stream_origins import StreamOrigins
    from hickorybeam.gateway.target_selector import TargetSelector
    from hickorybeam.gateway.targets import AdmittedRequest, Target
    from hickorybeam.http1 import ResponseHead, UpstreamPool
    from hickorybeam.platform import ResponseInfo
    from hickorybeam.telemetry import Counters

__all__ = ("Sender",)

OK_STATUS, FIRST_NON_SUCCESS_STATUS = 200, 300


class Sender:
    """Sends requests to backend servers and to other VMs, and records how it went."""

    def __init__(
        self,
        *,
        clock: Clock,
        counters: Counters,
        server_notices: ServerNotices,
        selector: TargetSelector,
        pool: UpstreamPool,
        final_responses: FinalResponses,
        stream_origins: StreamOrigins,
        server_ends: ServerEnds,
        part_blocks: PartBlocksService,
        held_bytes: HeldBytes,
        run_cancels: RunCancels,
        server_reports: ServerReports,
    ) -> None:
        self._clock = clock
        self._run_cancels = run_cancels
        self._run_settlement = RunSettlement(run_cancels, server_reports)
        self._server_notices = server_notices
        self._selector = selector
        self._pool = pool
        self._final_responses = final_responses
        self._stream_origins = stream_origins
        self._server_ends = server_ends
        self._part_blocks = part_blocks
        self._whole_responses = WholeResponses(held_bytes)
        self._response_ends = ResponseEnds(counters)
        self._unframed_ends = UnframedEnds(clock=clock, counters=counters, server_ends=server_ends)
        self._resumed_streams = ResumedStreams(counters, final_responses)
        self._send_counts = SendCounts(counters)
        self._first_byte = counters.histogram("first_byte", "Time to the first byte", ("route",))

    async def send(
        self,
        target: Target,
        request: AdmittedRequest,
        progress: RequestProgress,
        *,
        should_fail_over: Callable[[], bool],
        find_proof: Callable[[], bool],
    ) -> None:
        """Send a request once, record the outcome, and pass a good response on to the caller.

        :param should_fail_over: called after the first-byte timeout; returns whether the request
            should go elsewhere.
        :param find_proof: called where another run would show whether a stream is whole; finds its
            target, and returns whether there is one.
        """
        server_state = target.server_state if isinstance(target, ServerTarget) else None
        in_flight = self._start_in_flight(target, request)
        progress.expected_wait_ms = in_flight.expected_wait_ms if in_flight else 0.0
        timeout_ms = self._first_byte_timeout_ms(request, progress)
        copy_from = in_flight.copy_from if in_flight else None
        # Servers may end under it: one seems to have fallen silent, or is known to have ended.
        needs_proof = progress.was_unheard or self._part_blocks.needs_proof(request)
        attempt = Attempt(
            self._pool,
            target,
            request,
            copy_from=copy_from,
            is_blocked=lambda: self._part_blocks.is_blocked(request),
            prove=self._server_ends.prover(server_state) if needs_proof else None,
            checked=self._server_ends.is_looking or self._part_blocks.has_crashes(request),
            run=self._run_settlement.name_run(target, request),
        )
        open_request = self._open_request(target, request, progress, attempt)
        record = SendRecord(
            target_name(target), attempt.run.name if attempt.run else "", self._clock.now()
        )
        progress.records.append(record)
        is_left = True
        progress.outcome_open = True
        status = SendStatus.LEFT
        try:
            if open_request is not None:
                await self._server_ends.prepare(open_request)
            head, info = await attempt.open(
                self._clock.now(),
                first_byte_timeout_ms=timeout_ms,
                should_fail_over=should_fail_over,
                run_cancels=None if may_overlap(request) else self._run_cancels,
            )
            progress.next_target = None
            self._observe_first_byte(request)
            if server_state is not None:
                if not info.misdirected:
                    server_state.heard_ms = self._clock.now()
                self._server_notices.record(server_state, info)
            if in_flight is not None:
                in_flight.record_prefill()
            try:
                await self._handle_response(
                    attempt, head, info, request, progress, target, open_request, find_proof
                )
            except BrokenResponseError as exc:
                self._response_ends.record(head.framing, broken_end(exc))
                raise
            self._response_ends.record(head.framing, ResponseEnd.WHOLE)
            record.close(SendEnd.ANSWERED, self._clock.now())
            status = SendStatus.FAILED if progress.failed_response else SendStatus.ANSWERED
            is_left = progress.outcome_open = False
            if progress.response.done:
                self._final_responses.record_success(request, target, progress)
        except NotRunError as exc:
            record.close_not_run(
                self._clock.now(),
                ground=exc.ground,
                why=str(exc),
            )
            is_left = progress.outcome_open = False
            progress.rejected |= exc.rejected
            progress.blocked = exc.blocked or progress.blocked
            progress.reason = str(exc)
            match target:
                case _ if exc.unreachable:
                    status = SendStatus.UNREACHABLE
                    self._record_unreachable(target, attempt)
                case PeerTarget(peer):
                    progress.record_refusal(peer.vm.region, exc.retry_after_ms)
            self._final_responses.log_decision("not_sent", request, target, why=progress.reason)
        except BrokenResponseError as exc:
            is_left = progress.outcome_open = False
            progress.runs += 1
            is_silent = isinstance(exc, FirstByteTimeoutError)
            record.close(SendEnd.SILENT if is_silent else SendEnd.BROKEN, self._clock.now())
            progress.reason = str(exc)
            status = self._record_broken(exc, target, attempt)
            self._final_responses.log_decision(
                "broken", request, target, why=progress.reason, version=version_of(target)
            )
            await self._run_settlement.settle(attempt, exc, request, progress)
            # A run that its server still lists was not done, and one that broke off shows nothing.
            progress.may_be_whole = isinstance(exc, ResumedAsProofError) and not progress.runs_on
            attempt.close()
            if open_request is not None and open_request.checked is None:
                self._server_ends.record_break(open_request, is_silent=is_silent)
                progress.was_unheard |= is_silent and open_request.is_unheard
                await self._server_ends.wait_checked(open_request)
        finally:
            record.close(SendEnd.LEFT, self._clock.now())
            if record.end is not SendEnd.ANSWERED or progress.sends > 1:
                record.conn = attempt.describe_connection()
            self._send_counts.count(record)
            if in_flight is not None:
                in_flight.end(status)
            if is_left and attempt.run is not None and attempt.was_sent:
                self._run_cancels.abandon(attempt.run)
            if open_request is not None:
                if is_left:
                    self._server_ends.record_left(open_request)
                self._server_ends.close(open_request)
            if is_left and progress.own_region_only:
                await self._run_settlement.end_left_run(attempt, progress)
            attempt.close()

    def _open_request(
        self,
        target: Target,
        request: AdmittedRequest,
        progress: RequestProgress,
        attempt: Attempt,
    ) -> OpenRequest | None:
        """Follow a request that is sent to a server; ``None`` if it goes to a VM."""
        if not isinstance(target, ServerTarget):
            return None
        open_request = OpenRequest(
            target.server_state,
            request,
            attempt,
            sent_ms=self._clock.now(),
            number=progress.sends,
            forwarded=progress.own_region_only,
        )
        self._server_ends.open(open_request)
        return open_request

    def _start_in_flight(self, target: Target, request: AdmittedRequest) -> InFlightRequest | None:
        """Count a request at the server that it is sent to; ``None`` if it goes to a VM."""
        if not isinstance(target, ServerTarget):
            return None
        return self._selector.start(target.server_state, request, grant=target.grant)

    def _record_broken(
        self, exc: BrokenResponseError, target: Target, attempt: Attempt
    ) -> SendStatus:
        match exc, target:
            case ResumedAsProofError(), _:
                return SendStatus.ANSWERED
            case FirstByteTimeoutError(), _:
                self._record_unreachable(target, attempt)
                return SendStatus.UNREACHABLE
            case EndlessResponseError(), ServerTarget(server_state):
                # Its health checks may be good, and each request would cost as much again.
                server_state.record_unreachable(self._clock.now())
            case _, ServerTarget(server_state):
                server_state.record_failure()
        return SendStatus.FAILED

    def _observe_first_byte(self, request: AdmittedRequest) -> None:
        took_ms = self._clock.now() - request.call.arrived_ms
        self._first_byte.labels(request.route.name).observe(took_ms / MS_PER_SECOND)

    def _first_byte_timeout_ms(
        self, request: AdmittedRequest, progress: RequestProgress
    ) -> float | None:
        attempts_left = request.route.max_attempts - progress.runs - 1
        return first_byte_timeout_ms(
            request.route, attempts_left=attempts_left, expected_ms=progress.expected_wait_ms
        )

    async def _handle_response(
        self,
        attempt: Attempt,
        head: ResponseHead,
        info: ResponseInfo,
        request: AdmittedRequest,
        progress: RequestProgress,
        target: Target,
        open_request: OpenRequest | None,
        find_proof: Callable[[], bool],
    ) -> None:
        server_state = target.server_state if isinstance(target, ServerTarget) else None
        if info.not_run:
            if server_state is None:
                raise BrokenResponseError("a VM says that nothing ran as only servers do")
            await attempt.drain_body()
            if info.misdirected:
                server_state.record_unreachable(self._clock.now())
                self._part_blocks.recorder.record_replaced(server_state)
            raise NotRunError(
                f"status {info.status}: not run", rejected=True, ground=NotRunGround.SERVER
            )
        success = OK_STATUS <= info.status < FIRST_NON_SUCCESS_STATUS
        if success and attempt.ends_at_close:
            self._unframed_ends.prepare(open_request)
        if success and not info.signed:
            raise BrokenResponseError("a success that no server signed")
        if success and info.streamed:
            await self._relay_stream(
                attempt, head, request, progress, target, open_request, find_proof
            )
        else:
            await self._relay_whole(attempt, head, info, request, progress, open_request)
        if server_state is not None:
            if success:
                server_state.record_success()
            else:
                server_state.record_failure()

    async def _relay_whole(
        self,
        attempt: Attempt,
        head: ResponseHead,
        info: ResponseInfo,
        request: AdmittedRequest,
        progress: RequestProgress,
        open_request: OpenRequest | None,
    ) -> None:
        """Pass on a response that is no stream, or keep it as a failure."""
        is_failure = is_failed(info, progress)
        headers = without_hop_headers(response_headers(head.headers))

        def record_bytes() -> None:
            now = self._clock.now()
            progress.timing.record_chunk(now)
            if open_request is not None:
                self._server_ends.record_bytes(open_request, now)

        body = await self._whole_responses.read(
            attempt, progress, None if is_failure else (info.status, headers), record_bytes
        )
        ends_at_close = attempt.ends_at_close
        if info.status < FIRST_NON_SUCCESS_STATUS:
            await self._unframed_ends.confirm_success(open_request, ends_at_close=ends_at_close)
        else:
            await self._unframed_ends.confirm(open_request, ends_at_close=ends_at_close)
        attempt.release()
        progress.runs += 1
        if is_failure:
            # A failure, or a whole response where a stream was to be resumed.
            progress.failed_response = (head, info, body or b"")
            progress.may_be_whole = False
            progress.reason = f"status {info.status}"
        elif body is None:
            progress.response.end()
        else:
            if info.status >= FIRST_NON_SUCCESS_STATUS:
                self._final_responses.record_passed_on(request, info.status, progress)
            progress.response.send(info.status, headers, body)
            progress.timing.record_chunk(self._clock.now())

    async def _relay_stream(
        self,
        attempt: Attempt,
        head: ResponseHead,
        request: AdmittedRequest,
        progress: RequestProgress,
        target: Target,
        open_request: OpenRequest | None,
        find_proof: Callable[[], bool],
    ) -> None:
        key = version_key_of(target, head)
        if request.version_key not in (None, key):
            raise BrokenResponseError("the response comes from another version than the stream's")
        self._resumed_streams.record(request, progress, target)
        response, splitter = progress.response, progress.splitter
        if not response.started:
            headers = headers_to_pass_on(head, progress, key, unframed=attempt.ends_at_close)
            response.start(head.status, headers)
        if is_encoded(find_header(head.headers, b"content-encoding")):
            splitter.pass_unread()

        def forward(data: bytes) -> bool:
            now = self._clock.now()
            progress.timing.record_chunk(now)
            if open_request is not None:
                self._server_ends.record_bytes(open_request, now)
            passed_on = splitter.feed(data)
            if passed_on:
                progress.may_be_whole = False
            if passed_on and not progress.began:
                progress.began = True
                request.version_key = key
                self._stream_origins.record_begun(request, key)
            return response.write_chunk(passed_on)

        try:
            await attempt.forward_body(forward, response.wait_writable)
            if splitter.inside_event:
                raise EndedInsideEventError(head.framing)
            ends_at_close = attempt.ends_at_close
            await self._unframed_ends.confirm_success(open_request, ends_at_close=ends_at_close)
            if open_request is None:
                ends_at_close = find_header(head.headers, HOP_UNFRAMED) is not None
            self._unframed_ends.check_run(
                request, progress, unframed=ends_at_close, find_target=find_proof
            )
        except BrokenResponseError:
            request.resume_after = splitter.last_id or request.resume_after
            splitter.discard_partial()
            raise
        attempt.release()
        progress.runs += 1
        await response.send_chunk(splitter.take_rest())
        response.end()

    def _record_unreachable(self, target: Target, attempt: Attempt) -> None:
        """Avoid a target that took no connection or fell silent; close its idle connections."""
        attempt.close_idle()
        match target:
            case ServerTarget(server_state):
                server_state.record_unreachable(self._clock.now())
            case PeerTarget(peer):
                peer.forecasts = None
