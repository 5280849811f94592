"""The VM that places for its region: it answers those that ask, and keeps what it gave them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from hickorybeam.gateway.attempt import Errand, ToPeer, ToServer
from hickorybeam.gateway.place_words import Ending, Placed, Verdict, Wanted
from hickorybeam.gateway.placing import Full, OpenTargets
from hickorybeam.model.routing import PromptPart, RelayCall, Repeat, Route

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from hickorybeam.clock import Clock
    from hickorybeam.gateway.attempt import Target
    from hickorybeam.gateway.burden import Burden
    from hickorybeam.gateway.fleet import FleetService
    from hickorybeam.gateway.place_words import Still, Told
    from hickorybeam.gateway.placing import Placing
    from hickorybeam.gateway.queueing import Queueing
    from hickorybeam.policy.wait_line import Place

__all__ = ("Grants",)

# A place whose end was told in a datagram that was lost comes free this long after the request's
# deadline, in ms.
OVERDUE_MS = 500
# A place that was given less long ago may not be known yet to the VM that holds it, in ms.
UNDER_WAY_MS = 300
LOOK_EVERY_MS = 250

Key = tuple[str, int]


class Grants:
    """Places given to other VMs of the region, by VM and number."""

    def __init__(
        self, *, clock: Clock, fleet: FleetService, placing: Placing, queueing: Queueing
    ) -> None:
        self._clock = clock
        self._fleet = fleet
        self._placing = placing
        self._queueing = queueing
        self._burdens: dict[Key, tuple[Burden, int]] = {}
        self._answers: dict[Key, tuple[Placed, int]] = {}
        self._waiting: dict[Key, anyio.CancelScope] = {}
        self._tasks: TaskGroup | None = None

    async def run(self, tasks: TaskGroup) -> None:
        """Answer from now on, and free what was never said to have ended."""
        self._tasks = tasks
        while True:
            await self._clock.sleep(LOOK_EVERY_MS)
            self._tidy()

    def wanted(self, word: Wanted) -> None:
        """Answer a VM that wants a place for a request."""
        key = (word.vm, word.number)
        known = self._answers.get(key)
        if known is not None:
            self._fleet.send_message(word.vm, known[0])
            return
        if key in self._waiting:
            self._fleet.send_message(word.vm, Placed(word.number, Verdict.WAITS))
            return
        errand, targets = errand_of(word, self._clock.now()), self._targets_of(word)
        found = self._placing.choose(errand, targets)
        if isinstance(found, Full):
            place = self._queueing.enter(errand, found)
            if place is not None and self._tasks is not None:
                self._waiting[key] = anyio.CancelScope()
                self._fleet.send_message(word.vm, Placed(word.number, Verdict.WAITS))
                self._tasks.start_soon(self._wait, key, errand, targets, place)
                return
            found = self._queueing.at_last(errand, targets, found)
        self._answer(key, errand, found)

    async def _wait(self, key: Key, errand: Errand, targets: OpenTargets, place: Place) -> None:
        with self._waiting[key] as left:
            found = await self._queueing.wait(errand, targets, place)
        del self._waiting[key]
        if left.cancelled_caught:
            return
        if isinstance(found, Full):
            found = self._queueing.at_last(errand, targets, found)
        self._answer(key, errand, found)

    def _answer(self, key: Key, errand: Errand, found: Target | Full | None) -> None:
        vm, number = key
        match found:
            case ToServer(standing):
                burden = self._placing.begin(standing, errand, given=True)
                self._burdens[key] = (burden, errand.deadline_ms + OVERDUE_MS)
                answer = Placed(
                    number, Verdict.SERVER, standing.server.id, burden.copy_from, burden.wait_ms
                )
            case ToPeer(peer):
                answer = Placed(number, Verdict.OTHER_REGION, peer.vm.name)
            case Full():
                after_ms = self._queueing.come_back_ms(errand)
                answer = Placed(number, Verdict.FULL, wait_ms=after_ms)
            case None:
                answer = Placed(number, Verdict.NOTHING)
        self._answers[key] = (answer, errand.deadline_ms)
        self._fleet.send_message(vm, answer)

    def _targets_of(self, word: Wanted) -> OpenTargets:
        """Return the targets that are open to another VM's request, as seen from there."""
        peer = self._fleet.peers.by_name.get(word.vm)
        return OpenTargets(
            tried=set(word.tried),
            refused=set(word.refused),
            again=word.again,
            here_only=word.here_only,
            sent_from=peer.vm.data_centre if peer else "",
        )

    def told(self, word: Told) -> None:
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

    def still(self, word: Still) -> None:
        """Free the places that a VM no longer holds, whose end was lost on the way."""
        held = set(word.numbers)
        known_by_ms = self._clock.now() - UNDER_WAY_MS
        for key, (burden, _) in tuple(self._burdens.items()):
            if key[0] == word.vm and key[1] not in held and burden.sent_ms < known_by_ms:
                burden.end(Ending.LEFT)
                del self._burdens[key]

    def _tidy(self) -> None:
        """Free places of VMs that are gone, and those whose time is long over."""
        now = self._clock.now()
        heard = set(self._fleet.who_places.serving())
        for key, (burden, due) in tuple(self._burdens.items()):
            if due < now or key[0] not in heard:
                burden.end(Ending.LEFT)
                del self._burdens[key]
        self._answers = {key: it for key, it in self._answers.items() if it[1] > now}


def errand_of(word: Wanted, now_ms: int) -> Errand:
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
    return Errand(
        call=call,
        route=route,
        service=word.service,
        account=word.account,
        urgency=word.urgency,
        deadline_ms=call.deadline_ms,
        resume_after=None,
    )
