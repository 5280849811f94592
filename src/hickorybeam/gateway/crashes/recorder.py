"""Turns what this VM sees of servers and their answers into evidence of what crashes servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorybeam.policy.crash_counts import Trait
from hickorybeam.policy.crash_messages import (
    CrashedRequest,
    crash_digest,
    part_digest,
    request_digest,
)
from hickorybeam.policy.notice_budget import NoticeBudget
from hickorybeam.policy.request_key import request_mark
from hickorybeam.telemetry.decisions import DecisionLog

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from hickorybeam.clock import Clock
    from hickorybeam.gateway.crashes.open_requests import EndedServer, OpenRequest
    from hickorybeam.gateway.routing_state import RoutingState
    from hickorybeam.gateway.targets import AdmittedRequest
    from hickorybeam.model.routing import RelayCall
    from hickorybeam.policy.crash_evidence import CrashEvidence
    from hickorybeam.policy.crash_messages import BlockChange
    from hickorybeam.policy.server_choice import ServerState

__all__ = ("CrashRecorder", "has_crashes", "shared_parts")

DISPROVABLE = (Trait.SILENT, Trait.CLOSED, Trait.LAPSED)
# An entry that was written before its server's end may arrive so much later.
RENEWED_AFTER_MS = 1_000
# Notices of undecided ends that all VMs may send together.
MAX_UNDECIDED_TOLD_PER_S = 50.0


class CrashRecorder:
    """Records ends of servers, and answers that show that a server has not ended.

    :param known_vms: returns the number of known VMs, this one included.
    :param on_changes: called with what is blocked, or no longer.
    :param tell: sends other VMs what they have yet to be told.
    :param on_ended: called when a server has ended, with whether a request was there that another
        server had ended under.
    """

    def __init__(
        self,
        evidence: CrashEvidence,
        *,
        clock: Clock,
        routing_state: RoutingState,
        known_vms: Callable[[], int],
        on_changes: Callable[[Iterable[BlockChange]], None],
        tell: Callable[[], None],
        on_ended: Callable[[bool], None],
    ) -> None:
        self._evidence = evidence
        self._clock = clock
        self._routing_state = routing_state
        self._known_vms = known_vms
        self._on_changes = on_changes
        self._tell = tell
        self._on_ended = on_ended
        self._log = DecisionLog(clock)
        self._undecided_told = NoticeBudget(fleet_per_s=MAX_UNDECIDED_TOLD_PER_S)
        routing_state.on_listed = self._record_listed
        routing_state.on_renewed = self._record_renewed
        routing_state.on_unlisted = self._record_unlisted

    def record_end(self, ended: EndedServer) -> None:
        """Record that a server ended unplanned, and under which requests; tell other VMs at once.

        Callers that repeat at once ask another VM within the time that two notices are apart.
        """
        server = ended.server_state.server
        suspects = [
            (part, request_digest(it.request.call.parts[-1].id))
            for it in ended.suspects
            for part in shared_parts(server.service, it.request.call)
        ]
        crash = crash_digest(server.id, server.born_ms)
        is_repeated = any(has_crashes(self._evidence, it.request) for it in ended.under)
        changes = self._evidence.record_crash(
            crash, suspects, ended.at_ms, requests=self._crashed_requests(ended)
        )
        changes += self._evidence.confirm_end(crash)
        self._on_changes(changes)
        self._tell()
        self._on_ended(is_repeated)

    def record_undecided(self, ended: EndedServer) -> None:
        """Record that a server seems to have ended, and under which requests.

        A response that a living server breaks off looks like the end of one that is back at once:
        nothing is told of that before it is known. Of silent servers so much is told.
        """
        server = ended.server_state.server
        crash = crash_digest(server.id, server.born_ms)
        is_silent = any(it.trait is Trait.SILENT for it in ended.under)
        changes = self._evidence.record_crash(
            crash,
            (),
            ended.at_ms,
            requests=self._crashed_requests(ended),
            tell=is_silent and self._may_tell_undecided(),
        )
        self._on_changes(changes)
        self._tell()

    def record_unheard(self, ended: EndedServer) -> None:
        """Record that a request was given up before its server was heard of.

        Its caller repeats it now. Where crashes are known of it, other VMs have to know of this
        server before it is found to be there or not.
        """
        if any(has_crashes(self._evidence, it.request) for it in ended.under):
            self.record_undecided(ended)

    def record_alive(self, state: ServerState) -> None:
        """Record that a server which left requests unanswered is there."""
        if self._evidence.has_doubtful:
            self._disprove(state, before_ms=self._clock.now() + 1, traits=(Trait.SILENT,))

    def _disprove(
        self, state: ServerState, *, before_ms: int, traits: tuple[Trait, ...] = DISPROVABLE
    ) -> None:
        changes = self._evidence.disprove_end(
            crash_digest(state.server.id, state.server.born_ms), before_ms=before_ms, traits=traits
        )
        self._on_changes(changes)

    def _crashed_requests(self, ended: EndedServer) -> list[CrashedRequest]:
        """Return the requests under which a server ended, as evidence.

        One that many send is at each server at each moment, and more so at one that is silent: if
        it was answered lately, only an end that broke it off counts.
        """
        now = self._clock.now()
        found = []
        for it in ended.under:
            mark = request_mark(it.request.call, it.request.account)
            is_popular = self._evidence.was_answered(mark, now)
            if is_popular and not it.was_open:
                continue
            trait = it.trait
            if is_popular:
                trait = Trait.ALONE if it.is_only else Trait.SEEN
            open_ms = ended.at_ms - it.alive_ms
            found.append(CrashedRequest(it.request.key(), open_ms, trait, is_popular))
        return found

    def _may_tell_undecided(self) -> bool:
        """Return whether this VM may tell the others of one more undecided end."""
        return self._undecided_told.take(self._clock.now(), self._known_vms())

    def _record_listed(self, state: ServerState) -> None:
        """Record that a server is listed at an address: those that were there before have ended."""
        if not self._evidence.has_doubtful:
            return
        for other in self._routing_state.servers_at(state):
            if other.listed_ms < state.listed_ms and not other.server.leaving:
                self.record_replaced(other)

    def _record_renewed(self, state: ServerState) -> None:
        """Record that a server's entry changed, or returned for the same start: it is there."""
        if self._evidence.has_doubtful:
            self._disprove(state, before_ms=self._clock.now() - RENEWED_AFTER_MS)

    def record_replaced(self, state: ServerState) -> None:
        """Record that another server is at the address of one."""
        if self._evidence.has_doubtful:
            crash = crash_digest(state.server.id, state.server.born_ms)
            self._on_changes(self._evidence.confirm_end(crash))

    def _record_unlisted(self, state: ServerState) -> None:
        """Record that a server's entry is gone; one that did not leave has ended."""
        if state.server.leaving or state.said_leaving or not self._evidence.has_doubtful:
            return
        crash = crash_digest(state.server.id, state.server.born_ms)
        self._on_changes(self._evidence.confirm_end(crash))

    def record_proven(self, request: OpenRequest) -> None:
        """Record that a server has outlived the beginning of a request's response."""
        parts = shared_parts(request.server_state.server.service, request.request.call)
        self._on_changes(self._evidence.record_sound(parts, self._clock.now()))

    def record_whole(self, request: OpenRequest) -> None:
        """Record that a server has outlived a request and its whole response."""
        sent = request.request
        mark = request_mark(sent.call, sent.account)
        self._evidence.record_answered(mark, self._clock.now())
        self._record_sound(request, is_trial=sent.trial)

    def record_outlived(self, request: OpenRequest) -> None:
        """Record that a server has outlived a request that was given up there."""
        self._record_sound(request, is_trial=False)

    def _record_sound(self, request: OpenRequest, *, is_trial: bool) -> None:
        if not has_crashes(self._evidence, request.request):
            return
        key, server = request.request.key(), request.server_state.server
        self._log.write("suspect_served", key=key.hex(), server=server.id)
        changes = self._evidence.record_whole(
            key,
            crash_digest(server.id, server.born_ms),
            self._clock.now(),
            is_trial=is_trial,
        )
        self._on_changes(changes)


def has_crashes(evidence: CrashEvidence, request: AdmittedRequest) -> bool:
    """Return whether crashes are known of a request, decided or not."""
    if not evidence.knows_requests:
        return False
    return evidence.knows_outline(request.outline()) and evidence.has_crashes(request.key())


def shared_parts(service: str, call: RelayCall) -> list[bytes]:
    """Return the digests of a prompt's parts without the last one, which is the request's own."""
    return [part_digest(service, part.id) for part in call.parts[:-1]]
