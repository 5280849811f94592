"""The VM that places for its region: it answers those that ask, and keeps what it gave them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from hickorybeam.gateway.attempt import AdmittedRequest, ToPeer, ToServer
from hickorybeam.gateway.placement_messages import (
    PlacementRequest,
    PlacementResponse,
    PlacementResult,
    SendStatus,
)
from hickorybeam.gateway.target_selector import Full, OpenTargets
from hickorybeam.model.routing import PromptPart, RelayCall, Repeat, Route

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from hickorybeam.clock import Clock
    from hickorybeam.gateway.attempt import Target
    from hickorybeam.gateway.fleet import FleetService
    from hickorybeam.gateway.in_flight import Burden
    from hickorybeam.gateway.local_placement import LocalPlacement
    from hickorybeam.gateway.placement_messages import HeldPlacements, PlacementUpdate
    from hickorybeam.gateway.target_selector import TargetSelector
    from hickorybeam.policy.wait_queue import QueueEntry

__all__ = ("PlacementCoordinator",)

# A place whose end was told in a datagram that was lost comes free this long after the request's
# deadline, in ms.
OVERDUE_MS = 500
# A place that was given less long ago may not be known yet to the VM that holds it, in ms.
UNDER_WAY_MS = 300
LOOK_EVERY_MS = 250

Key = tuple[str, int]


class PlacementCoordinator:
    """Places given to other VMs of the region, by VM and number."""

    def __init__(
        self,
        *,
        clock: Clock,
        fleet: FleetService,
        selector: TargetSelector,
        local_placement: LocalPlacement,
    ) -> None:
        self._clock = clock
        self._fleet = fleet
        self._placing = selector
        self._queueing = local_placement
        self._burdens: dict[Key, tuple[Burden, int]] = {}
        self._answers: dict[Key, tuple[PlacementResponse, int]] = {}
        self._waiting: dict[Key, anyio.CancelScope] = {}
        self._tasks: TaskGroup | None = None

    async def run(self, tasks: TaskGroup) -> None:
        """Answer from now on, and free what was never said to have ended."""
        self._tasks = tasks
        while True:
            await self._clock.sleep(LOOK_EVERY_MS)
            self._tidy()

    def handle_request(self, word: PlacementRequest) -> None:
        """Answer a VM that wants a place for a request."""
        key = (word.vm, word.number)
        known = self._answers.get(key)
        if known is not None:
            self._fleet.send_message(word.vm, known[0])
            return
        if key in self._waiting:
            self._fleet.send_message(word.vm, PlacementResponse(word.number, PlacementResult.WAITS))
            return
        errand, targets = errand_of(word, self._clock.now()), self._targets_of(word)
        found = self._placing.choose(errand, targets)
        if isinstance(found, Full):
            place = self._queueing.enter(errand, found)
            if place is not None and self._tasks is not None:
                self._waiting[key] = anyio.CancelScope()
                self._fleet.send_message(
                    word.vm, PlacementResponse(word.number, PlacementResult.WAITS)
                )
                self._tasks.start_soon(self._wait, key, errand, targets, place)
                return
            found = self._queueing.at_last(errand, targets, found)
        self._answer(key, errand, found)

    async def _wait(
        self, key: Key, errand: AdmittedRequest, targets: OpenTargets, place: QueueEntry
    ) -> None:
        with self._waiting[key] as left:
            found = await self._queueing.wait(errand, targets, place)
        del self._waiting[key]
        if left.cancelled_caught:
            return
        if isinstance(found, Full):
            found = self._queueing.at_last(errand, targets, found)
        self._answer(key, errand, found)

    def _answer(self, key: Key, errand: AdmittedRequest, found: Target | Full | None) -> None:
        vm, number = key
        match found:
            case ToServer(standing):
                burden = self._placing.begin(standing, errand, given=True)
                self._burdens[key] = (burden, errand.deadline_ms + OVERDUE_MS)
                answer = PlacementResponse(
                    number,
                    PlacementResult.SERVER,
                    standing.server.id,
                    burden.copy_from,
                    burden.wait_ms,
                )
            case ToPeer(peer):
                answer = PlacementResponse(number, PlacementResult.OTHER_REGION, peer.vm.name)
            case Full():
                after_ms = self._queueing.come_back_ms(errand)
                answer = PlacementResponse(number, PlacementResult.FULL, wait_ms=after_ms)
            case None:
                answer = PlacementResponse(number, PlacementResult.NOTHING)
        self._answers[key] = (answer, errand.deadline_ms)
        self._fleet.send_message(vm, answer)

    def _targets_of(self, word: PlacementRequest) -> OpenTargets:
        """Return the targets that are open to another VM's request, as seen from there."""
        peer = self._fleet.peers.by_name.get(word.vm)
        return OpenTargets(
            tried=set(word.tried),
            refused=set(word.refused),
            again=word.again,
            here_only=word.here_only,
            sent_from=peer.vm.data_centre if peer else "",
        )

    def handle_update(self, word: PlacementUpdate) -> None:
        """Take how requests go on that were given places."""
        for number, ending in word.endings:
            key = (word.vm, number)
            if key in self._waiting:
                self._waiting[key].cancel()
            found = self._burdens.get(key)
            if found is not None:
                found[0].told(ending)
                if found[0].ended:
                    del self._burdens[key]

    def handle_held(self, word: HeldPlacements) -> None:
        """Free the places that a VM no longer holds, whose end was lost on the way."""
        held = set(word.numbers)
        known_by_ms = self._clock.now() - UNDER_WAY_MS
        for key, (burden, _) in tuple(self._burdens.items()):
            if key[0] == word.vm and key[1] not in held and burden.sent_ms < known_by_ms:
                burden.end(SendStatus.LEFT)
                del self._burdens[key]

    def _tidy(self) -> None:
        """Free places of VMs that are gone, and those whose time is long over."""
        now = self._clock.now()
        heard = set(self._fleet.coordinators.serving_vms())
        for key, (burden, due) in tuple(self._burdens.items()):
            if due < now or key[0] not in heard:
                burden.end(SendStatus.LEFT)
                del self._burdens[key]
        self._answers = {key: it for key, it in self._answers.items() if it[1] > now}


def errand_of(word: PlacementRequest, now_ms: int) -> AdmittedRequest:
    """Return what decisions need of another VM's request."""
    route = Route(
        name="placed",
        host="",
        prefix="/",
        repeat=Repeat.ONCE,
        targets=(),
        target_ms=word.target_ms,
        homes=frozenset(word.homes),
    )
    call = RelayCall(
        request_id="",
        method="",
        target=b"",
        host="",
        path="",
        headers=(),
        body=b"",
        key=None,
        arrived_ms=now_ms - word.gone_ms,
        deadline_ms=now_ms + word.left_ms,
        prompt_tokens=word.prompt_tokens,
        output_tokens=word.output_tokens,
        parts=tuple(PromptPart(id_, tokens) for id_, tokens in word.parts),
    )
    return AdmittedRequest(
        call=call,
        route=route,
        service=word.service,
        account=word.account,
        urgency=word.urgency,
        deadline_ms=call.deadline_ms,
        resume_after=None,
    )
