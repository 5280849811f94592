"""Find out which version began a stream that its caller takes up; ask other VMs if need be."""

from __future__ import annotations

import itertools
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio

from hickorybeam.clock import MS_PER_SECOND
from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.gateway.store_confirmation import Confirmation
from hickorybeam.gateway.stream_messages import StreamAnswer, StreamQuestion
from hickorybeam.model.routing import Repeat
from hickorybeam.policy.retry_after import clamp_retry_after_ms
from hickorybeam.policy.stream_answers import OwnKnowledge, StreamAnswers
from hickorybeam.policy.stream_versions import UNKNOWN_VERSION, stream_digest
from hickorybeam.policy.version_history import GONE_VERSION_MS
from hickorybeam.policy.version_word import VersionWord, Witness

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from hickorybeam.clock import Clock
    from hickorybeam.gateway.feed import FeedService
    from hickorybeam.gateway.fleet import FleetService
    from hickorybeam.gateway.targets import AdmittedRequest
    from hickorybeam.telemetry import Counters

__all__ = ("StreamOrigins", "check_forwarded_version", "is_taken_up")

# VMs of this region answer within some ms, those of other regions after a round trip there.
NEAR_ANSWERS_MS = 60
FAR_ANSWERS_MS = 250
LATER_ANSWERS_MS = FAR_ANSWERS_MS - NEAR_ANSWERS_MS
# VMs of the region's other data centres that are asked; those of the own one all are.
MAX_ASKED_BESIDE = 24
# Questions that wait for answers; a stream beyond them counts as unknown.
MAX_QUESTIONS = 256
# Once a VM has known the servers, and the record of versions, for so long, it has heard of all.
HISTORY_MS = 5_000
# What is not known now may be told with the next reports, or by the entry of a server that starts.
RETRY_AFTER_MS = 500
# How the version was found, as the metric names it.
LOOKUPS = {
    Witness.HERE: "here",
    Witness.REPORT: "here",
    Witness.ANSWER: "elsewhere",
    Witness.STORE: "sole_version",
    Witness.EVERY_VM: "sole_version",
}


def is_taken_up(request: AdmittedRequest) -> bool:
    """Return whether a request goes on with a stream that an earlier one began."""
    if request.route.repeat is not Repeat.STREAM:
        return False
    named = request.call.resumes is not None
    return named or (request.route.resumable and request.resume_after is not None)


def check_forwarded_version(request: AdmittedRequest) -> None:
    """Check that a forwarded request which goes on with a stream brings the stream's version.

    :raises GatewayError: it brings none, as the VM that forwards it is of an earlier release.
    """
    if request.resume_after is not None and request.version_key is None:
        raise GatewayError(ErrorKind.STREAM_UNKNOWN, retry_after_ms=RETRY_AFTER_MS)


@dataclass(slots=True)
class _Question:
    """A question that waits for answers; ``changed`` is set with each one.

    ``is_named``: the stream's caller names the request that began it. ``confirmation`` is the call
    that confirms with the store what this VM knows.
    """

    is_named: bool
    route: str
    service: str
    answers: StreamAnswers
    confirmation: Confirmation
    waits_for_store: bool = True
    changed: anyio.Event = field(default_factory=anyio.Event)

    def note_change(self) -> None:
        """Wake whoever waits for an answer."""
        self.changed.set()
        self.changed = anyio.Event()


class StreamOrigins:
    """Binds requests to the versions that began their streams, and records where streams begin."""

    def __init__(
        self, *, clock: Clock, counters: Counters, fleet: FleetService, feed: FeedService
    ) -> None:
        self._clock = clock
        self._started_ms = clock.now()
        self._fleet = fleet
        self._feed = feed
        self._routing_state = feed.routing_state
        self._rng = random.Random()
        # Random, so that a later incarnation of this VM doesn't reuse an earlier one's numbers.
        self._numbers = itertools.count(random.getrandbits(40))
        self._questions: dict[int, _Question] = {}
        self._lookups = counters.counter(
            "stream_lookups", "Streams taken up, by how their version was found", ("found",)
        )
        known = counters.gauge("streams_known", "Streams whose version this VM knows")
        known.set_function(lambda: len(fleet.stream_versions))

    async def bind(self, request: AdmittedRequest) -> None:
        """Bind a request that takes a stream up to the stream's version and service.

        :raises GatewayError: the version isn't known, or no server of it is left.
        """
        word = await self._find(request)
        if isinstance(word, str):
            self._lookups.labels("unknown").inc()
            raise self._refusal(ErrorKind.STREAM_UNKNOWN, request, word)
        self._lookups.labels(LOOKUPS[word.by]).inc()
        service = self._service_of(request, word.key)
        if service is None:
            raise self._refusal(ErrorKind.STREAM_VERSION_GONE, request, f"by {word}")
        request.service, request.version_key, request.version_word = service, word.key, word

    def record_begun(self, request: AdmittedRequest, key: bytes) -> None:
        """Record that the first event of a request's stream is about to be passed on.

        A stream that was taken up is recorded anew under the request that began it, so that its
        entry lasts as long as its caller may take it up again.
        """
        if not request.route.resumable:
            return
        now = self._clock.now()
        if key == UNKNOWN_VERSION:
            if not self._routing_state.version_history.names_versions(request.service):
                return
            # Otherwise it would count as one of the only version that is known.
            self._routing_state.version_history.note_gone(request.service, key, now)
        keep_ms = max(0, request.call.deadline_ms - now)
        for request_id in (request.call.request_id, request.call.resumes):
            if request_id:
                digest = stream_digest(request_id)
                self._fleet.stream_versions.record(digest, key, keep_ms=keep_ms, now_ms=now)

    async def _find(self, request: AdmittedRequest) -> VersionWord | str:
        """Return whose word tells the version that began a stream, or why none does."""
        digest = stream_digest(request.call.resumes) if request.call.resumes else b""
        word = self._word_here(digest)
        if word is not None:
            return word
        if self._is_disputed(digest):
            # Another VM may know one of the versions only, and would be believed.
            return "it is known here by two versions"
        return await self._ask(digest, request.route.name, self._sole_service(request.route.name))

    def _sole_service(self, route: str) -> str:
        """Return the only service that a route has led to lately, empty if there were several."""
        return self._routing_state.service_history.sole(route, self._clock.now()).decode()

    def _word_here(self, digest: bytes) -> VersionWord | None:
        now = self._clock.now()
        known = self._fleet.stream_versions.find(digest, now) if digest else None
        if known is None:
            return None
        by = Witness.REPORT if known.told_by else Witness.HERE
        return VersionWord(known.version_key, by, known.told_by, now - known.since_ms)

    async def _ask(self, digest: bytes, route: str, service: str) -> VersionWord | str:
        """Ask the store and other VMs which version began a stream; return why none tells it."""
        if len(self._questions) >= MAX_QUESTIONS:
            return f"{MAX_QUESTIONS} other questions wait for answers"
        answers = StreamAnswers(self._fleet.peers.all_names())
        question = _Question(bool(digest), route, service, answers, self._confirmation_for(service))
        number = next(self._numbers)
        self._questions[number] = question
        message = StreamQuestion(self._fleet.own_vm.name, number, digest, service, route)
        try:
            async with anyio.create_task_group() as tg:
                tg.start_soon(self._await_confirmation, question)
                await self._collect(question, message)
                tg.cancel_scope.cancel()
        finally:
            del self._questions[number]
        own = self._own_knowledge(question)
        return answers.conclude(own) or answers.why_unknown(own)

    def _confirmation_for(self, service: str) -> Confirmation:
        """Ask for a call to the store, unless the service has several versions anyway."""
        sole = self._routing_state.version_history.sole(service, self._clock.now())
        if sole == UNKNOWN_VERSION:
            return Confirmation.never()
        return self._feed.confirmation.request()

    async def _collect(self, question: _Question, message: StreamQuestion) -> None:
        """Ask VMs, some first and all if need be, and wait for their answers.

        All are asked only where the store doesn't answer, as each message is paid for.
        """
        near, far = self._near_vms(), self._far_vms()
        everyone = self._fleet.peers.all_names()
        some = everyone if self._feed.confirmation.is_overdue else [*near, *far]
        self._send(question, message, some)
        # A near VM that knows the stream, or of another version, goes before the store's word.
        await self._wait(question, NEAR_ANSWERS_MS, lambda: self._has_heard(question, near))
        await self._wait(question, LATER_ANSWERS_MS, lambda: self._is_settled(question, some))
        question.waits_for_store = False
        rest = set(everyone).difference(some)
        if rest and self._may_be_sole(question) and not self._is_concluded(question):
            self._send(question, message, rest)
            await self._wait(question, LATER_ANSWERS_MS, lambda: self._is_settled(question, rest))

    def _send(self, question: _Question, message: StreamQuestion, vms: Collection[str]) -> None:
        question.answers.note_asked(vms)
        for vm in vms:
            self._fleet.send_message(vm, message)

    async def _await_confirmation(self, question: _Question) -> None:
        await question.confirmation.done.wait()
        question.note_change()

    async def _wait(self, question: _Question, limit_ms: int, is_over: Callable[[], bool]) -> None:
        """Wait for answers until enough have come."""
        with anyio.move_on_after(limit_ms / MS_PER_SECOND):
            while not is_over():
                await question.changed.wait()

    def _has_heard(self, question: _Question, vms: Collection[str]) -> bool:
        """Return whether some VMs have answered, or no further answer can tell the version."""
        answers = question.answers
        if answers.disputed or answers.told is not None or answers.heard_all(vms):
            return True
        return not question.is_named and not self._may_be_sole(question)

    def _is_settled(self, question: _Question, vms: Collection[str]) -> bool:
        """Return whether the version is known, or no further answer can tell it."""
        if self._is_concluded(question):
            return True
        if not self._has_heard(question, vms):
            return False
        return question.confirmation.done.is_set() or not self._may_be_sole(question)

    def _is_concluded(self, question: _Question) -> bool:
        return question.answers.conclude(self._own_knowledge(question)) is not None

    def _may_be_sole(self, question: _Question) -> bool:
        return question.answers.may_be_sole(self._own_knowledge(question))

    def _own_knowledge(self, question: _Question) -> OwnKnowledge:
        now = self._clock.now()
        confirmation = question.confirmation
        began_ms = confirmation.began_ms if confirmation.confirmed else None
        return OwnKnowledge(
            self._known_version(question.route, question.service),
            is_new=self._is_new(now),
            confirmed_age_ms=None if began_ms is None else now - began_ms,
            store_is_heard=self._is_store_heard(question),
            followed_from=0 if self._complete_to() else self._feed.history.begins_at,
            remembers=self._feed.history.complete_after(GONE_VERSION_MS, now) > 0,
        )

    def _is_store_heard(self, question: _Question) -> bool:
        """Return whether the store has confirmed what this VM knows, or isn't waited for."""
        if not question.waits_for_store or question.confirmation.done.is_set():
            return True
        return self._feed.confirmation.is_overdue

    def handle_question(self, message: StreamQuestion) -> None:
        """Answer another VM's question."""
        word = self._word_here(message.digest)
        answer = StreamAnswer(
            self._fleet.own_vm.name,
            message.number,
            word.key if word else UNKNOWN_VERSION,
            self._sole_version(message.route, message.service),
            self._is_disputed(message.digest),
            word.age_ms if word else 0,
            self._complete_to(),
        )
        self._fleet.send_message(message.vm, answer)

    def _is_disputed(self, digest: bytes) -> bool:
        return self._fleet.stream_versions.is_disputed(digest, self._clock.now())

    def handle_answer(self, message: StreamAnswer) -> None:
        """Pass an answer to the request that waits for it."""
        question = self._questions.get(message.number)
        if question is not None:
            question.answers.add(message.to_vm_answer())
            question.note_change()

    def _known_version(self, route: str, service: str) -> bytes:
        """Return the key of the only version that a route's streams have had, as known here.

        :param service: the only service to which the route led when the question was asked.
        """
        if route and self._sole_service(route) != service:
            return UNKNOWN_VERSION
        return self._routing_state.version_history.sole(service, self._clock.now())

    def _sole_version(self, route: str, service: str) -> bytes | None:
        """Return the key of the only version of a service that this VM has known, for an answer.

        It may have sent streams to servers of no other one; a VM that has just started can't tell
        that of its earlier incarnation.
        """
        if not service:
            return None
        now = self._clock.now()
        sole = self._known_version(route, service)
        return None if self._is_new(now) and sole != UNKNOWN_VERSION else sole

    def _complete_to(self) -> int:
        return self._feed.history.complete_after(self._history_ms(), self._clock.now())

    def _is_new(self, now_ms: int) -> bool:
        return now_ms - self._started_ms < self._history_ms()

    def _history_ms(self) -> int:
        """Return for how long a VM that has started may miss versions that were gone before."""
        return HISTORY_MS if self._fleet.version_records.is_known else GONE_VERSION_MS

    def _service_of(self, request: AdmittedRequest, key: bytes) -> str | None:
        """Return the service of a route that has servers of a version, if one has."""
        for target in request.route.targets:
            servers = self._routing_state.available_servers(target.service)
            if any(it.version_key == key for it in servers):
                return target.service
        return None

    def _refusal(self, kind: ErrorKind, request: AdmittedRequest, why: str) -> GatewayError:
        left_ms = request.deadline_ms - self._clock.now()
        retry_after_ms = clamp_retry_after_ms(RETRY_AFTER_MS, left_ms)
        return GatewayError(kind, why, retry_after_ms=retry_after_ms)

    def _near_vms(self) -> list[str]:
        """Return the live VMs of this data centre, and some of the region's other ones."""
        peers = self._fleet.peers
        local = [it.vm.name for it in peers.local_peers() if peers.is_live(it)]
        beside = [
            it.vm.name
            for it in peers.by_name.values()
            if peers.in_own_region(it) and peers.is_live(it) and it.vm.name not in local
        ]
        if len(beside) > MAX_ASKED_BESIDE:
            beside = self._rng.sample(beside, MAX_ASKED_BESIDE)
        return [*local, *beside]

    def _far_vms(self) -> list[str]:
        """Return one live VM of each data centre of the other regions."""
        peers = self._fleet.peers
        found = []
        for others in peers.remote_peers().values():
            live = [it for it in others if not peers.in_own_region(it) and peers.is_live(it)]
            if live:
                found.append(self._rng.choice(live).vm.name)
        return found
