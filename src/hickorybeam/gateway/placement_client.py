"""A VM's questions to the one that places for its region."""

from __future__ import annotations

import itertools
import random
from collections import defaultdict, deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio

from hickorybeam.clock import MS_PER_SECOND
from hickorybeam.gateway.attempt import ToPeer, ToServer
from hickorybeam.gateway.placement_messages import (
    HeldPlacements,
    PlacementRequest,
    PlacementResponse,
    PlacementResult,
    PlacementUpdate,
    SendStatus,
)
from hickorybeam.gateway.status_report import NO_USAGE, add_usage
from hickorybeam.gateway.target_selector import Full, Nowhere

if TYPE_CHECKING:
    from hickorybeam.clock import Clock
    from hickorybeam.gateway.attempt import AdmittedRequest, Target
    from hickorybeam.gateway.fleet import FleetService
    from hickorybeam.gateway.routing_state import RoutingState
    from hickorybeam.gateway.status_report import GrantedUsage, ServerUsage
    from hickorybeam.gateway.target_selector import OpenTargets
    from hickorybeam.policy.server_choice import ServerState
    from hickorybeam.telemetry import Counters

__all__ = ("Grant", "PlaceAsker")

# An answer takes a few ms; after this long the question or the answer was lost, in ms.
ASK_AGAIN_MS = 40
# One that waits in line is asked for again after this long, in case that its answer was lost.
WAITING_AGAIN_MS = 300
# After so many unanswered questions the VM decides alone, and asks the next one in order.
MOST_UNANSWERED = 3
SILENT_FOR_MS = 2_000
# While so many VMs are silent, it is this one that is cut off: it asks nobody. Asking one after
# the other, it would hold each request for a tenth of a second.
MOST_SILENT = 2
# What is still held is told whole this often, in case that the word on an end was lost.
STILL_EVERY_MS = 800
FIRST_NUMBER_BITS = 40
# Each word on an end repeats those told before it: a place whose end was lost on the way would
# stay taken until all that is held is told again, and others' prompts be refused for it.
ENDS_TOLD = 4


@dataclass(slots=True)
class Question:
    """One request that wants a place, until it has one."""

    answer: PlacementResponse | None = None
    answered: anyio.Event = field(default_factory=anyio.Event)

    def take(self, answer: PlacementResponse) -> None:
        """Take an answer and wake who waits for it."""
        self.answer = answer
        self.answered.set()

    async def within(self, ms: float) -> PlacementResponse | None:
        """Return the next answer, if one comes in time."""
        with anyio.move_on_after(ms / MS_PER_SECOND):
            await self.answered.wait()
        found, self.answer, self.answered = self.answer, None, anyio.Event()
        return found


@dataclass(slots=True, kw_only=True, eq=False)
class Grant:
    """A place at a server that another VM gave to a request of this one."""

    asker: PlaceAsker
    placer: str
    number: int
    standing: ServerState
    copy_from: str | None
    wait_ms: float
    figures: ServerUsage = NO_USAGE

    def begin(self, *, reading: int, size: int) -> None:
        """Take note of what this VM counts for it itself."""
        self.figures = (1, reading, size)

    def has_read(self) -> None:
        """Tell that its prompt is read."""
        running, _, size = self.figures
        self.figures = (running, 0, size)
        self.asker.tell(self, SendStatus.READ)

    def end(self, ending: SendStatus) -> None:
        """Tell how its send ended."""
        self.asker.ended(self, ending)


class PlaceAsker:
    """Asks for places, and tells how the requests go on that got one."""

    def __init__(
        self, *, clock: Clock, counters: Counters, fleet: FleetService, routing_state: RoutingState
    ) -> None:
        self._clock = clock
        self._fleet = fleet
        self._routing_state = routing_state
        # A later life of this VM must not seem to ask for what an earlier one asked for.
        self._numbers = itertools.count(random.getrandbits(FIRST_NUMBER_BITS))
        self._questions: dict[int, Question] = {}
        self._grants: dict[int, Grant] = {}
        self._ends: defaultdict[str, deque[tuple[int, SendStatus]]] = defaultdict(
            lambda: deque(maxlen=ENDS_TOLD)
        )
        self._silent: dict[str, int] = {}
        self._services: set[str] = set()
        self._asked = counters.counter("places", "Places asked for", ("answer",))

    def applies(self, errand: AdmittedRequest) -> bool:
        """Whether another VM places this request: prompts, where the region has several VMs."""
        return bool(errand.call.parts) and self.placer(errand.service) != self._fleet.own_vm.name

    def placer(self, service: str) -> str:
        """Return the VM to ask, this one where it decides itself."""
        if self._silent:
            now = self._clock.now()
            self._silent = {vm: until for vm, until in self._silent.items() if until > now}
        if len(self._silent) >= MOST_SILENT:
            return self._fleet.own_vm.name
        return self._fleet.coordinators.coordinator(service, silent=self._silent)

    async def run(self) -> None:
        """Tell what is still held, until cancelled."""
        while True:
            await self._clock.sleep(STILL_EVERY_MS)
            self._tell_still()

    def _tell_still(self) -> None:
        """Tell who gives places which of them are still held."""
        numbers = [*self._questions, *self._grants]
        for placer in {self.placer(service) for service in self._services}:
            if placer != self._fleet.own_vm.name:
                self._fleet.send_message(placer, HeldPlacements(self._fleet.own_vm.name, numbers))

    async def place(
        self, errand: AdmittedRequest, targets: OpenTargets
    ) -> Target | Full | Nowhere | None:
        """Ask where a request goes.

        :return: a target, or that there is none or no room; ``None`` if this VM has to decide
            itself.
        """
        placer = self.placer(errand.service)
        self._services.add(errand.service)
        number = next(self._numbers)
        question = self._questions[number] = Question()
        done = False
        try:
            answer = await self._answer(placer, number, question, errand, targets)
            done = answer is not None
            return self._found(answer, placer, number) if answer else None
        finally:
            del self._questions[number]
            if not done:
                # Its caller has left, or nobody answered: a place that is given yet is nobody's.
                self._end(placer, number, SendStatus.LEFT)

    async def _answer(
        self,
        placer: str,
        number: int,
        question: Question,
        errand: AdmittedRequest,
        targets: OpenTargets,
    ) -> PlacementResponse | None:
        unanswered, again_ms = 0, ASK_AGAIN_MS
        while unanswered < MOST_UNANSWERED:
            self._fleet.send_message(placer, self._wanted(number, errand, targets))
            answer = await question.within(again_ms)
            while answer is not None and answer.verdict is PlacementResult.WAITS:
                unanswered, again_ms = 0, WAITING_AGAIN_MS
                answer = await question.within(again_ms)
            if answer is not None:
                self._asked.labels(answer.verdict.value).inc()
                return answer
            unanswered += 1
        self._silent[placer] = self._clock.now() + SILENT_FOR_MS
        self._asked.labels("silent").inc()
        return None

    def _wanted(
        self, number: int, errand: AdmittedRequest, targets: OpenTargets
    ) -> PlacementRequest:
        now, call = self._clock.now(), errand.call
        return PlacementRequest(
            vm=self._fleet.own_vm.name,
            number=number,
            service=errand.service,
            account=errand.account,
            homes=sorted(errand.route.homes),
            parts=[(part.id, part.tokens) for part in call.parts],
            prompt_tokens=call.prompt_tokens,
            output_tokens=call.output_tokens,
            urgency=errand.urgency,
            target_ms=errand.route.target_ms,
            gone_ms=now - call.arrived_ms,
            left_ms=errand.deadline_ms - now,
            tried=sorted(targets.tried),
            refused=sorted(targets.refused),
            again=targets.again,
            here_only=targets.here_only,
        )

    def _found(
        self, answer: PlacementResponse, placer: str, number: int
    ) -> Target | Full | Nowhere | None:
        match answer.verdict:
            case PlacementResult.SERVER:
                return self._granted(answer, placer, number)
            case PlacementResult.OTHER_REGION:
                peer = self._fleet.peers.by_name.get(answer.target)
                return ToPeer(peer) if peer else None
            case PlacementResult.FULL:
                return Full(answer.wait_ms, come_back_ms=round(answer.wait_ms))
            case _:
                return Nowhere()

    def _granted(self, answer: PlacementResponse, placer: str, number: int) -> Target | None:
        standing = self._routing_state.server_states.get(answer.target)
        if standing is None or not self._routing_state.is_available(standing):
            # This VM knows something later of the server than the one that chose it.
            self._end(placer, number, SendStatus.LEFT)
            return None
        grant = Grant(
            asker=self,
            placer=placer,
            number=number,
            standing=standing,
            copy_from=answer.copy_from,
            wait_ms=answer.wait_ms,
        )
        self._grants[number] = grant
        return ToServer(standing, grant)

    def placed(self, word: PlacementResponse) -> None:
        """Take an answer."""
        question = self._questions.get(word.number)
        if question is not None:
            question.take(word)

    def tell(self, grant: Grant, ending: SendStatus) -> None:
        """Tell how a request goes on."""
        self._say(grant.placer, [(grant.number, ending)])

    def ended(self, grant: Grant, ending: SendStatus) -> None:
        """Tell how a request's send ended."""
        if self._grants.pop(grant.number, None) is not None:
            self._end(grant.placer, grant.number, ending)

    def granted(self) -> GrantedUsage:
        """Return what this VM has at servers by places that others gave it."""
        found: GrantedUsage = {}
        for grant in self._grants.values():
            figures = found.setdefault(grant.placer, {})
            server = grant.standing.server.id
            figures[server] = add_usage(figures.get(server, NO_USAGE), grant.figures)
        return found

    def _end(self, placer: str, number: int, ending: SendStatus) -> None:
        """Tell an end, and those before it once more."""
        ends = self._ends[placer]
        ends.append((number, ending))
        self._say(placer, list(ends))

    def _say(self, placer: str, endings: list[tuple[int, SendStatus]]) -> None:
        self._fleet.send_message(placer, PlacementUpdate(self._fleet.own_vm.name, endings))
