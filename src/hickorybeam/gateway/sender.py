"""One send of a request: opened, its answer taken, its server's record kept."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorybeam.clock import MS_PER_SECOND
from hickorybeam.gateway.attempt import Attempt, NotSentError, SilentError, ToPeer, ToServer
from hickorybeam.gateway.placement_messages import SendStatus
from hickorybeam.http1 import BrokenResponseError
from hickorybeam.platform import response_headers
from hickorybeam.policy.first_byte_timeout import first_byte_timeout_ms

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorybeam.clock import Clock
    from hickorybeam.gateway.attempt import AdmittedRequest, Target
    from hickorybeam.gateway.final_responses import Endings
    from hickorybeam.gateway.in_flight import Burden
    from hickorybeam.gateway.progress import Progress
    from hickorybeam.gateway.routing_state import RoutingState
    from hickorybeam.gateway.target_selector import TargetSelector
    from hickorybeam.http1 import ResponseHead, UpstreamPool
    from hickorybeam.platform import ResponseInfo
    from hickorybeam.policy.server_choice import ServerState
    from hickorybeam.telemetry import Counters

__all__ = ("Sending",)

OK, FIRST_ERROR, SERVER_ERROR = 200, 300, 500


class Sending:
    """Sends requests to servers and to other VMs, and takes note of how it went."""

    def __init__(
        self,
        *,
        clock: Clock,
        counters: Counters,
        routing_state: RoutingState,
        placing: TargetSelector,
        pool: UpstreamPool,
        endings: Endings,
    ) -> None:
        self._clock = clock
        self._routing_state = routing_state
        self._placing = placing
        self._pool = pool
        self._endings = endings
        self._first_byte = counters.histogram("first_byte", "Time to the first byte", ("route",))

    async def send(
        self,
        target: Target,
        errand: AdmittedRequest,
        progress: Progress,
        *,
        leave: Callable[[], bool],
    ) -> None:
        """Send once and take note of how it went; a good answer is passed on.

        :param leave: whether to go elsewhere, asked when a server has been silent for long.
        """
        standing = target.standing if isinstance(target, ToServer) else None
        burden = self._burden(target, errand)
        progress.foreseen_ms = burden.wait_ms if burden else 0.0
        patience_ms = self._first_byte_ms(errand, progress)
        copy_from = burden.copy_from if burden else None
        attempt = Attempt(self._pool, target, errand, copy_from=copy_from)
        progress.flying = True
        ending = SendStatus.LEFT
        try:
            head, facts = await attempt.open(
                self._clock.now(), patience_ms=patience_ms, leave=leave
            )
            self._observe_first_byte(errand)
            if burden is not None:
                burden.has_read()
            if standing is not None:
                self._take_facts(standing, facts)
            await self._take_answer(attempt, head, facts, errand, progress, standing)
            ending = SendStatus.FAILED if progress.failed else SendStatus.ANSWERED
            progress.flying = False
            if progress.reply.done:
                self._endings.answered(errand, target, progress)
        except NotSentError as exc:
            progress.flying = False
            progress.rejected |= exc.rejected
            progress.why = str(exc)
            match target:
                case _ if exc.unreachable:
                    ending = SendStatus.UNREACHABLE
                    self._unreachable(target, attempt)
                case ToPeer(peer):
                    progress.refused_by(peer.vm.region, exc.come_back_ms)
            self._endings.note("not_sent", errand, target, why=progress.why)
        except BrokenResponseError as exc:
            progress.flying = False
            progress.runs += 1
            progress.why = str(exc)
            ending = self._broke(exc, target, attempt)
            self._endings.note("broken", errand, target, why=progress.why)
        finally:
            if burden is not None:
                burden.end(ending)
            attempt.close()

    def _burden(self, target: Target, errand: AdmittedRequest) -> Burden | None:
        """Count a request at the server that it is sent to."""
        if not isinstance(target, ToServer):
            return None
        return self._placing.begin(target.standing, errand, grant=target.grant)

    def _broke(self, exc: BrokenResponseError, target: Target, attempt: Attempt) -> SendStatus:
        match exc, target:
            case SilentError(), _:
                self._unreachable(target, attempt)
                return SendStatus.UNREACHABLE
            case _, ToServer(standing):
                standing.record_failure()
        return SendStatus.FAILED

    def _observe_first_byte(self, errand: AdmittedRequest) -> None:
        took_ms = self._clock.now() - errand.call.arrived_ms
        self._first_byte.labels(errand.route.name).observe(took_ms / MS_PER_SECOND)

    def _first_byte_ms(self, errand: AdmittedRequest, progress: Progress) -> float | None:
        runs_left = errand.route.max_attempts - progress.runs - 1
        return first_byte_timeout_ms(
            errand.route, attempts_left=runs_left, expected_ms=progress.foreseen_ms
        )

    def _take_facts(self, standing: ServerState, facts: ResponseInfo) -> None:
        now = self._clock.now()
        if facts.load is not None:
            standing.record_load(busy=facts.load.running + facts.load.waiting, now_ms=now)
        if facts.cold_ms:
            self._routing_state.mark_cold(standing.server.id, facts.cold_ms, now)

    async def _take_answer(
        self,
        attempt: Attempt,
        head: ResponseHead,
        facts: ResponseInfo,
        errand: AdmittedRequest,
        progress: Progress,
        standing: ServerState | None,
    ) -> None:
        if facts.not_run:
            await attempt.body()
            attempt.kept()
            if standing is not None and facts.misdirected:
                standing.record_unreachable(self._clock.now())
            raise NotSentError(f"status {facts.status}: not run", rejected=True)
        good = OK <= facts.status < FIRST_ERROR
        if good and not facts.signed:
            raise BrokenResponseError("a success that no server signed")
        if good and facts.streamed:
            await self._relay_stream(attempt, head, errand, progress)
        else:
            body = await attempt.body()
            attempt.kept()
            self._take_whole(head, facts, body, errand, progress)
        if standing is not None:
            if good:
                standing.record_success()
            else:
                standing.record_failure()

    def _take_whole(
        self,
        head: ResponseHead,
        facts: ResponseInfo,
        body: bytes,
        errand: AdmittedRequest,
        progress: Progress,
    ) -> None:
        progress.runs += 1
        if facts.status >= SERVER_ERROR or facts.implies_not_run or progress.reply.started:
            # A failure, or a whole answer where a stream was to go on.
            progress.failed = (head, facts, body)
            progress.why = f"status {facts.status}"
            return
        progress.reply.send(facts.status, response_headers(head.headers), body)
        progress.pace.came(self._clock.now())

    async def _relay_stream(
        self, attempt: Attempt, head: ResponseHead, errand: AdmittedRequest, progress: Progress
    ) -> None:
        reply, cutter = progress.reply, progress.cutter
        if not reply.started:
            reply.start(head.status, response_headers(head.headers))
        try:
            while data := await attempt.chunk():
                progress.pace.came(self._clock.now())
                await reply.send_chunk(cutter.whole(data) if errand.route.resumable else data)
        except BrokenResponseError:
            errand.resume_after = cutter.last_id or errand.resume_after
            cutter.restart()
            raise
        attempt.kept()
        progress.runs += 1
        await reply.send_chunk(cutter.rest())
        reply.end()

    def _unreachable(self, target: Target, attempt: Attempt) -> None:
        """Leave a target that took no connection or fell silent, with its idle connections."""
        attempt.forget_idle()
        match target:
            case ToServer(standing):
                standing.record_unreachable(self._clock.now())
            case ToPeer(peer):
                peer.forecasts = None
