"""Find out which version began a stream that its caller takes up; ask other VMs if need be."""

from __future__ import annotations

import itertools
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio

from hickorybeam.clock import MS_PER_SECOND
from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.gateway.stream_messages import StreamAnswer, StreamQuestion
from hickorybeam.model.routing import Repeat
from hickorybeam.policy.retry_after import clamp_retry_after_ms
from hickorybeam.policy.stream_answers import StreamAnswers
from hickorybeam.policy.stream_versions import UNKNOWN_VERSION, stream_digest
from hickorybeam.policy.version_word import VersionWord, Witness

if TYPE_CHECKING:
    from collections.abc import Sequence

    from hickorybeam.clock import Clock
    from hickorybeam.gateway.feed import FeedService
    from hickorybeam.gateway.fleet import FleetService
    from hickorybeam.gateway.targets import AdmittedRequest
    from hickorybeam.telemetry import Counters

__all__ = ("StreamOrigins", "check_forwarded_version", "is_taken_up")

# VMs of this region answer within some ms, those of other regions after a round trip there.
NEAR_ANSWERS_MS = 60
FAR_ANSWERS_MS = 250
# VMs of the region's other data centres that are asked; those of the own one all are.
MAX_ASKED_BESIDE = 24
# Questions that wait for answers; a stream beyond them counts as unknown.
MAX_QUESTIONS = 256
# Once it has known the servers for so long, a VM has heard of all that other VMs use, and no caller
# still takes up a stream of a server that was gone before.
HISTORY_MS = 5_000
# What is not known now may be told with the next reports, or by the entry of a server that starts.
RETRY_AFTER_MS = 500
# How the version was found, as the metric names it.
LOOKUPS = {
    Witness.HERE: "here",
    Witness.REPORT: "here",
    Witness.ANSWER: "elsewhere",
    Witness.SOLE_VERSION: "sole_version",
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
    """A question that waits for answers; ``changed`` is set with each one."""

    answers: StreamAnswers
    changed: anyio.Event = field(default_factory=anyio.Event)


class StreamOrigins:
    """Binds requests to the versions that began their streams, and records where streams begin."""

    def __init__(
        self, *, clock: Clock, counters: Counters, fleet: FleetService, feed: FeedService
    ) -> None:
        self._clock = clock
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
        if not request.route.resumable or key == UNKNOWN_VERSION:
            return
        now = self._clock.now()
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
        services = {it.service for it in request.route.targets}
        service = services.pop() if len(services) == 1 else ""
        answers = await self._ask(digest, service)
        return answers.told or answers.concluded or answers.why_unknown()

    def _word_here(self, digest: bytes) -> VersionWord | None:
        now = self._clock.now()
        known = self._fleet.stream_versions.find(digest, now) if digest else None
        if known is None:
            return None
        by = Witness.REPORT if known.told_by else Witness.HERE
        return VersionWord(known.version_key, by, known.told_by, now - known.since_ms)

    async def _ask(self, digest: bytes, service: str) -> StreamAnswers:
        """Ask other VMs, the region's first; return their answers once they suffice."""
        near, far = self._near_vms(), self._far_vms()
        # If no VM that is known is live, this one is cut off, and none of them answers.
        asked = [*near, *far] or list(self._fleet.peers.by_name)
        answers = StreamAnswers(asked, sole=self._sole_version(service))
        if len(self._questions) >= MAX_QUESTIONS:
            return answers
        number = next(self._numbers)
        question = self._questions[number] = _Question(answers)
        message = StreamQuestion(self._fleet.own_vm.name, number, digest, service)
        try:
            for vm in (*near, *far):
                self._fleet.send_message(vm, message)
            await self._wait(question, near, NEAR_ANSWERS_MS)
            if answers.concluded is None and not answers.disputed:
                await self._wait(question, [*near, *far], FAR_ANSWERS_MS - NEAR_ANSWERS_MS)
        finally:
            del self._questions[number]
        return answers

    async def _wait(self, question: _Question, vms: Sequence[str], limit_ms: int) -> None:
        """Wait until the stream is known, or until all of some VMs have answered."""
        with anyio.move_on_after(limit_ms / MS_PER_SECOND):
            answers = question.answers
            while answers.told is None and not answers.disputed and not answers.heard_all(vms):
                question.changed = anyio.Event()
                await question.changed.wait()

    def handle_question(self, message: StreamQuestion) -> None:
        """Answer another VM's question."""
        word = self._word_here(message.digest)
        answer = StreamAnswer(
            self._fleet.own_vm.name,
            message.number,
            word.key if word else UNKNOWN_VERSION,
            self._sole_version(message.service),
            self._is_disputed(message.digest),
            word.age_ms if word else 0,
        )
        self._fleet.send_message(message.vm, answer)

    def _is_disputed(self, digest: bytes) -> bool:
        return self._fleet.stream_versions.is_disputed(digest, self._clock.now())

    def handle_answer(self, message: StreamAnswer) -> None:
        """Pass an answer to the request that waits for it."""
        question = self._questions.get(message.number)
        if question is not None:
            question.answers.add(
                message.vm,
                message.version_key,
                message.sole,
                disputed=message.disputed,
                age_ms=message.age_ms,
            )
            question.changed.set()

    def _sole_version(self, service: str) -> bytes | None:
        """Return the key of the only version that a service has had, as an answer tells it.

        A VM that has just started, or that doesn't hear of new servers, can't tell that there was
        one only.
        """
        if not service:
            return None
        now = self._clock.now()
        sole = self._routing_state.version_history.sole_version(service, now)
        complete = self._has_history(now) and self._hears_of_servers()
        return sole if complete or sole == UNKNOWN_VERSION else None

    def _has_history(self, now_ms: int) -> bool:
        loaded_ms = self._feed.loaded_since_ms
        return loaded_ms is not None and now_ms - loaded_ms >= HISTORY_MS

    def _hears_of_servers(self) -> bool:
        return self._feed.watches_store or self._fleet.has_local_watcher()

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
