"""The path of a request: admitted, placed, sent, sent again where that is right, answered."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio

from hickorybeam.clock import MS_PER_SECOND
from hickorybeam.errors import ErrorKind, GatewayError, Ran, answer_for
from hickorybeam.gateway.admission import COME_BACK_MS, Admission
from hickorybeam.gateway.attempt import (
    HOP_NOT_RUN,
    Attempt,
    Errand,
    NotSentError,
    SilentError,
    ToPeer,
    ToServer,
)
from hickorybeam.gateway.events import EventCutter
from hickorybeam.gateway.line import Lines
from hickorybeam.gateway.placing import Full, Placing, size_of
from hickorybeam.http1 import BrokenAnswerError
from hickorybeam.model.routing import Repeat
from hickorybeam.platform import answer_headers, decode_call, refusal_headers
from hickorybeam.policy.attempt_budget import AttemptBudget, RepeatBounds
from hickorybeam.policy.first_byte import first_byte_ms
from hickorybeam.policy.server_choice import wait_ms
from hickorybeam.policy.wait_line import patience_ms

if TYPE_CHECKING:
    from hickorybeam.clock import Clock
    from hickorybeam.gateway.attempt import Target
    from hickorybeam.gateway.feed import FeedService
    from hickorybeam.gateway.fleet import FleetService
    from hickorybeam.http1 import AnswerHead, Incoming, RawHeaders, Reply, UpstreamPool
    from hickorybeam.model.routing import RelayCall
    from hickorybeam.platform import AnswerFacts
    from hickorybeam.policy.server_choice import ServerStanding
    from hickorybeam.settings import GatewaySettings
    from hickorybeam.telemetry import Counters
    from hickorybeam.telemetry.decisions import DecisionLog

__all__ = ("RequestPath",)

OK, FIRST_ERROR, SERVER_ERROR = 200, 300, 500
# Sends of one request, those included that were surely not run.
MOST_SENDS = 4
# Cache of one server in tokens, where its service doesn't tell.
DEFAULT_CACHE_TOKENS = 200_000
HOP_MARK = ((HOP_NOT_RUN, b"1"),)


@dataclass(slots=True)
class _Progress:
    """What has happened to one request so far.

    ``runs`` counts sends that may have run. ``failed`` is a server's own failing answer, kept
    in case that no better one comes.
    """

    reply: Reply
    sends: int = 0
    runs: int = 0
    flying: bool = False
    tried: set[str] = field(default_factory=set)
    failed: tuple[AnswerHead, AnswerFacts, bytes] | None = None
    cutter: EventCutter = field(default_factory=EventCutter)
    why: str = ""
    here_only: bool = False


class RequestPath:
    """Answers requests of callers, and those that other regions' VMs hand over."""

    def __init__(
        self,
        *,
        cfg: GatewaySettings,
        clock: Clock,
        counters: Counters,
        feed: FeedService,
        fleet: FleetService,
        pool: UpstreamPool,
        log: DecisionLog,
    ) -> None:
        self._cfg = cfg
        self._clock = clock
        self._counters = counters
        self._knowledge = feed.knowledge
        self._fleet = fleet
        self._pool = pool
        self._log = log
        self._budgets: dict[str, AttemptBudget] = {}
        self._lines = Lines(clock)
        self._admission = Admission(clock=clock, knowledge=feed.knowledge, quota=fleet.quota)
        self._placing = Placing(
            regions=cfg.regions,
            clock=clock,
            knowledge=feed.knowledge,
            fleet=fleet,
            lines=self._lines,
        )
        self._first_byte = counters.histogram("first_byte", "Time to the first byte", ("route",))

    async def answer(self, req: Incoming, reply: Reply) -> None:
        """Answer one request of a caller."""
        call = decode_call(req)
        try:
            errand = self._admission.admit(call)
        except GatewayError as exc:
            self._refuse(call, reply, exc)
            return
        self._budget(errand.service).earn(self._clock.now(), self._fleet.known())
        await self.serve(errand, reply)

    async def serve(self, errand: Errand, reply: Reply, *, here_only: bool = False) -> None:
        """Run an admitted request within its deadline, until its caller leaves.

        :param here_only: it came from another VM: one run, by a server of this region.
        """
        progress = _Progress(reply, here_only=here_only)
        left_ms = errand.deadline_ms - self._clock.now()
        with anyio.CancelScope() as scope:
            reply.on_gone(scope.cancel)
            with anyio.move_on_after(max(0, left_ms) / MS_PER_SECOND) as limit:
                await self._attempts(errand, progress)
            if limit.cancelled_caught and not reply.done:
                progress.why = "deadline"
                self._give_up(errand, progress)
        reply.on_gone(None)
        unused = progress.runs == 0 and not progress.flying
        if unused and errand.account is not None and not here_only:
            self._fleet.quota.refund(errand.account, errand.cost, self._clock.now())
        if scope.cancelled_caught:
            self._counters.requests.labels(errand.route.name, "left").inc()

    async def _attempts(self, errand: Errand, progress: _Progress) -> None:
        while True:
            target = self._choose(errand, progress)
            if isinstance(target, Full):
                target = await self._wait(errand, progress)
                if isinstance(target, Full):
                    self._overloaded(errand, progress)
                    return
            if target is None or not self._may_send(errand, progress):
                self._give_up(errand, progress)
                return
            progress.sends += 1
            progress.tried.add(name_of(target))
            await self._send(target, errand, progress)
            if progress.reply.done:
                return
            if progress.runs and (progress.here_only or not errand.route.repeatable):
                self._give_up(errand, progress)
                return

    def _may_send(self, errand: Errand, progress: _Progress) -> bool:
        if progress.sends == 0:
            return True
        if progress.sends >= MOST_SENDS or progress.runs >= errand.route.max_attempts:
            return False
        if not self._budget(errand.service).take(self._clock.now(), self._fleet.known()):
            progress.why += ", no budget to repeat"
            return False
        self._counters.retries.labels("repeat").inc()
        return True

    async def _wait(self, errand: Errand, progress: _Progress) -> Target | Full | None:
        """Wait in the service's line for room, within what the request's objective leaves."""
        line = self._lines.of(errand.service)
        now = self._clock.now()
        patience = patience_ms(
            target_ms=errand.route.target_ms,
            elapsed_ms=errand.elapsed_ms + now - errand.call.arrived_ms,
        )
        place = line.policy.enter(errand.urgency, patience, now)
        if place is None:
            return Full(line.policy.estimate_ms(errand.urgency, now))
        try:
            while await line.pause(place):
                if line.is_next(place):
                    target = self._choose(errand, progress)
                    if not isinstance(target, Full):
                        return target
            return Full(line.policy.estimate_ms(errand.urgency, self._clock.now()))
        finally:
            line.leave(place)

    def _choose(self, errand: Errand, progress: _Progress) -> Target | Full | None:
        repeatable = errand.route.repeat is Repeat.IDEMPOTENT
        return self._placing.choose(
            errand,
            progress.tried,
            again=repeatable and progress.failed is not None,
            here_only=progress.here_only,
        )

    def _overloaded(self, errand: Errand, progress: _Progress) -> None:
        """Refuse a request for which there is no room in time, and say when there will be."""
        if progress.runs or progress.reply.started:
            self._give_up(errand, progress)
            return
        now = self._clock.now()
        most_ms = max(COME_BACK_MS, (errand.deadline_ms - now) // 3)
        line = self._lines.of(errand.service).policy
        after = max(COME_BACK_MS, line.come_back_ms(errand.urgency, most_ms, now))
        exc = GatewayError(ErrorKind.OVERLOADED, retry_after_ms=after)
        self._refuse(errand.call, progress.reply, exc, HOP_MARK if progress.here_only else ())

    async def _send(self, target: Target, errand: Errand, progress: _Progress) -> None:
        """Send once and take note of how it went; a good answer is passed on."""
        standing = target.standing if isinstance(target, ToServer) else None
        copy_from = self._placing.copy_from(standing, errand)
        patience_ms = self._first_byte_ms(standing, errand, progress)
        reading = self._begin(standing, errand)
        attempt = Attempt(self._pool, target, errand, copy_from=copy_from)
        progress.flying = True
        try:
            head, facts = await attempt.open(self._clock.now(), patience_ms=patience_ms)
            self._observe_first_byte(errand)
            if standing is not None:
                standing.reading -= reading
                reading = 0
                self._take_facts(standing, facts)
            await self._take_answer(attempt, head, facts, errand, progress, standing)
            progress.flying = False
        except NotSentError as exc:
            progress.flying = False
            progress.why = str(exc)
            if exc.unreachable:
                self._unreachable(target, attempt)
            self._note("not_sent", errand, target, why=progress.why)
        except BrokenAnswerError as exc:
            progress.flying = False
            progress.runs += 1
            progress.why = str(exc)
            self._broke(exc, target, attempt)
            self._note("broken", errand, target, why=progress.why)
        finally:
            if standing is not None:
                self._end(standing, errand, reading)
            attempt.close()

    def _broke(self, exc: BrokenAnswerError, target: Target, attempt: Attempt) -> None:
        match exc, target:
            case SilentError(), _:
                self._unreachable(target, attempt)
            case _, ToServer(standing):
                standing.failed()

    def _observe_first_byte(self, errand: Errand) -> None:
        took_ms = self._clock.now() - errand.call.arrived_ms
        self._first_byte.labels(errand.route.name).observe(took_ms / MS_PER_SECOND)

    def _begin(self, standing: ServerStanding | None, errand: Errand) -> int:
        if standing is None:
            return 0
        call = errand.call
        reading = standing.memory.missing(call.parts) if call.parts else call.prompt_tokens
        standing.running += 1
        standing.reading += reading
        standing.holding += size_of(call)
        config = self._knowledge.config
        spec = config.services.get(errand.service) if config else None
        room = spec.engine.cache_tokens if spec and spec.engine else 0
        standing.memory_tokens = room
        standing.memory.sent(call.parts, room or DEFAULT_CACHE_TOKENS)
        self._fleet.holders.sent(call.parts, standing.server.id, self._clock.now())
        return reading

    def _end(self, standing: ServerStanding, errand: Errand, reading: int) -> None:
        """Take back what ``_begin`` counted; ``reading`` is what is left of it."""
        standing.running -= 1
        standing.reading -= reading
        standing.holding -= size_of(errand.call)
        self._lines.of(errand.service).departed()

    def _first_byte_ms(
        self, standing: ServerStanding | None, errand: Errand, progress: _Progress
    ) -> float | None:
        foreseen_ms = 0.0
        if standing is not None:
            call, now = errand.call, self._clock.now()
            foreseen_ms = wait_ms(standing, call.parts, call.prompt_tokens, now)
        runs_left = errand.route.max_attempts - progress.runs - 1
        return first_byte_ms(errand.route, runs_left=runs_left, foreseen_ms=foreseen_ms)

    def _take_facts(self, standing: ServerStanding, facts: AnswerFacts) -> None:
        now = self._clock.now()
        if facts.load is not None:
            standing.told(busy=facts.load.running + facts.load.waiting, now_ms=now)
        if facts.cold_ms:
            self._knowledge.cold(standing.server.id, facts.cold_ms, now)

    async def _take_answer(
        self,
        attempt: Attempt,
        head: AnswerHead,
        facts: AnswerFacts,
        errand: Errand,
        progress: _Progress,
        standing: ServerStanding | None,
    ) -> None:
        if facts.not_run:
            await attempt.body()
            attempt.kept()
            if standing is not None and facts.other_server:
                standing.unreachable(self._clock.now())
            raise NotSentError(f"status {facts.status}: not run")
        good = OK <= facts.status < FIRST_ERROR
        if good and not facts.signed:
            raise BrokenAnswerError("a success that no server signed")
        if good and facts.streamed:
            await self._relay_stream(attempt, head, errand, progress)
        else:
            body = await attempt.body()
            attempt.kept()
            self._take_whole(head, facts, body, errand, progress)
        if standing is not None:
            if good:
                standing.succeeded()
            else:
                standing.failed()

    def _take_whole(
        self,
        head: AnswerHead,
        facts: AnswerFacts,
        body: bytes,
        errand: Errand,
        progress: _Progress,
    ) -> None:
        progress.runs += 1
        if facts.status >= SERVER_ERROR or facts.promises or progress.reply.started:
            # A failure, or a whole answer where a stream was to go on.
            progress.failed = (head, facts, body)
            progress.why = f"status {facts.status}"
            return
        progress.reply.whole(facts.status, answer_headers(head.headers), body)
        self._count(errand, "answered")

    async def _relay_stream(
        self, attempt: Attempt, head: AnswerHead, errand: Errand, progress: _Progress
    ) -> None:
        reply, cutter = progress.reply, progress.cutter
        if not reply.started:
            reply.begin(head.status, answer_headers(head.headers))
        try:
            while data := await attempt.chunk():
                await reply.chunk(cutter.whole(data) if errand.route.resumable else data)
        except BrokenAnswerError:
            errand.resume_after = cutter.last_id or errand.resume_after
            cutter.restart()
            raise
        attempt.kept()
        progress.runs += 1
        await reply.chunk(cutter.rest())
        reply.end()
        self._count(errand, "answered")

    def _unreachable(self, target: Target, attempt: Attempt) -> None:
        """Leave a target that took no connection or fell silent, with its idle connections."""
        attempt.forget_idle()
        match target:
            case ToServer(standing):
                standing.unreachable(self._clock.now())
            case ToPeer(peer):
                peer.forecasts = None

    def _give_up(self, errand: Errand, progress: _Progress) -> None:
        """Give the final answer to a request that will not be run, or not again."""
        reply = progress.reply
        ran = progress.runs > 0 or progress.flying
        self._note(
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
            self._count(errand, "cut")
            return
        if progress.failed is not None:
            head, facts, body = progress.failed
            # A server's status that would promise that it didn't run can't be passed on.
            if facts.signed and not facts.promises:
                reply.whole(facts.status, answer_headers(head.headers), body)
                self._count(errand, "failed")
                return
        if not ran:
            kind, after = ErrorKind.NO_BACKEND, COME_BACK_MS
        elif progress.why == "deadline":
            kind, after = ErrorKind.BACKEND_SILENT, None
        else:
            kind, after = ErrorKind.BACKEND_UNKNOWN, None
        exc = GatewayError(kind, progress.why, retry_after_ms=after)
        self._refuse(errand.call, reply, exc, HOP_MARK if progress.here_only else ())

    def _refuse(
        self, call: RelayCall, reply: Reply, exc: GatewayError, extra: RawHeaders = ()
    ) -> None:
        answer = answer_for(exc.kind)
        self._counters.refusals.labels(exc.kind.value).inc()
        self._log.note(
            "refused",
            request=call.request_id,
            kind=exc.kind.value,
            status=answer.status,
            ran=answer.ran is not Ran.NO,
            retry_after_ms=exc.retry_after_ms,
            config=self._knowledge.config.version if self._knowledge.config else None,
        )
        headers = refusal_headers(call.request_id, retry_after_ms=exc.retry_after_ms)
        if answer.ran is Ran.NO:
            headers = (*headers, *extra)
        reply.whole(answer.status, headers, close=exc.kind is ErrorKind.DRAINING)

    def _budget(self, service: str) -> AttemptBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = AttemptBudget(bounds_of(self._cfg))
        return budget

    def forecasts(self) -> dict[str, float]:
        """Return the wait of an empty prompt in this region, by service that has servers."""
        return self._placing.forecasts()

    def reload(self, cfg: GatewaySettings) -> None:
        """Take over other bounds on repeats, and other regions."""
        self._cfg = cfg
        self._placing.regions = cfg.regions
        for budget in self._budgets.values():
            budget.change(bounds_of(cfg))

    def take_until(self, ends_ms: int) -> None:
        """Take only requests whose deadline lies before the end of this process."""
        self._admission.ends_ms = ends_ms

    def drain(self) -> None:
        """Refuse new requests from now on."""
        self._admission.draining = True

    def _count(self, errand: Errand, outcome: str) -> None:
        self._counters.requests.labels(errand.route.name, outcome).inc()

    def _note(self, event: str, errand: Errand, target: Target | None, **fields: object) -> None:
        self._log.note(
            event,
            request=errand.call.request_id,
            route=errand.route.name,
            target=name_of(target) if target else None,
            left_ms=errand.deadline_ms - self._clock.now(),
            **fields,
        )


def bounds_of(cfg: GatewaySettings) -> RepeatBounds:
    """Return the bounds on repeats that the settings give."""
    return RepeatBounds(
        ratio=cfg.repeat_ratio,
        allowance=cfg.repeat_allowance,
        window_ms=round(cfg.repeat_window_s * MS_PER_SECOND),
    )


def name_of(target: Target) -> str:
    """Return the name of a target, for logs and to know it again."""
    match target:
        case ToServer(standing):
            return standing.server.id
        case ToPeer(peer):
            return peer.vm.name
