"""The service ``members``: who is in the fleet, by heartbeats, with the platform's list as a hint.

Each VM works out from its own view whom to heartbeat (``ring``), tells only what changed
(``exchange``) and accuses no one alone (``suspicion``). Nothing is elected, and nothing waits
for the platform.
"""

from __future__ import annotations

import random
from dataclasses import replace
from typing import TYPE_CHECKING, ClassVar, Protocol, runtime_checkable

import anyio
from absl import logging

from hickorybeam import ports
from hickorybeam.errors import GatewayError, Ran
from hickorybeam.kernel import Service
from hickorybeam.model import EntryVm, VmId, VmState
from hickorybeam.peers.discovery import Discovery, new_incarnation
from hickorybeam.peers.gossip import GossipState
from hickorybeam.peers.heartbeat import (
    HEARTBEAT,
    PROBE,
    WHO,
    Heartbeat,
    ProbeReply,
    ProbeRequest,
    WhoReply,
    WhoRequest,
)
from hickorybeam.peers.partners import (
    HEARTBEAT_JITTER_FRACTION,
    REMOTE_INTERVAL_HEARTBEATS,
    Partners,
)
from hickorybeam.peers.registry import Registry
from hickorybeam.peers.suspicion import PeerContact, Verdict, verdict_from
from hickorybeam.store import Platform

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import TaskGroup

    from hickorybeam.clock import Clock
    from hickorybeam.kernel import Kernel, Started
    from hickorybeam.model import RegionLoad
    from hickorybeam.peers.gossip import Updates
    from hickorybeam.settings import Settings
    from hickorybeam.telemetry import Counters

__all__ = ("MembersService",)

# Counted in heartbeats.
FINGER_EVERY = 2
TRY_EVERY = 10
TIDY_EVERY = 20
# The list is read by one VM of each data centre, and by any that is alone in its own.
LIST_EVERY = 20
# News that should not wait goes out at once, but several pieces in a row go together.
PUSH_SPACING_MS = 50
# A heartbeat that is late by this part of the time after which a VM counts as silent tells that the
# process had no turn for long enough to miss answers. Shorter delays are usual on a busy machine,
# which must go on noticing that others have failed.
STOOD_STILL_SHARE = 1 / 8
# Three partners each reach a data centre in about as many steps as all of them would, with half
# the messages; whoever is missed hears by the usual heartbeats.
PUSH_FANOUT = 3
VMS_ASKED_ABOUT_SUSPECT = 3
HEARD_LATELY = 2.5
VMS_TRIED_AT_JOIN = 6
VMS_TRIED_IN_PASSING = 2
JOIN_TIMEOUT_MS = 2_000
LEAVE_TIMEOUT_MS = 1_000


@runtime_checkable
class Listener(Protocol):
    """What membership needs of the service ``peers`` beyond its port."""

    port: int


class MembersService(Service):
    """Keeps the view of the fleet; implements ``ports.Members``."""

    name: ClassVar[str] = ports.MEMBERS
    needs: ClassVar[tuple[str, ...]] = (ports.PLATFORM, ports.PEERS)

    def __init__(self, *, cfg: Settings, clock: Clock, counters: Counters) -> None:
        vm = cfg.vm
        self._cfg = cfg
        self._clock = clock
        self._random = random.Random(vm.name)
        me = EntryVm(
            id=VmId(vm.name, new_incarnation(clock.wall())),
            region=vm.region,
            data_centre=vm.data_centre,
            host=vm.host,
            http_port=vm.http_port,
            peer_port=vm.peer_port,
            state=VmState.JOINING,
        )
        self._gossip = GossipState(me, now_ms=clock.now(), wall_ms=clock.wall())
        self._listeners: dict[str, list[Callable[[EntryVm, bytes], None]]] = {}
        self._heard_notes: dict[tuple[str, str], tuple[VmId, bytes]] = {}
        self._contacts: dict[VmId, PeerContact] = {}
        self._unreachable: set[VmId] = set()
        self._busy: set[VmId] = set()
        self._asking: set[VmId] = set()
        self._partners = Partners(self._gossip, cfg.peers)
        self._ticks = 0
        self._ticked = anyio.Event()
        self._due_ms = float(clock.now())
        self._stood_still_ms = clock.now()
        self._long_ms = STOOD_STILL_SHARE * cfg.peers.silent_after_ms
        self._push = anyio.Event()
        self._cached: tuple[int, tuple[EntryVm, ...]] = (-1, ())
        self._tasks: TaskGroup | None = None
        self._live_gauge = counters.gauge("members_alive", "VMs believed alive", ("scope",))
        self._beats = counters.counter("heartbeats", "Heartbeats sent", ("outcome",))
        self._verdicts = counters.counter("suspicions", "Verdicts on silent peers", ("verdict",))

    def bind(self, kernel: Kernel) -> None:
        """Find peers and platform."""
        self._peers = kernel.find(ports.PEERS, ports.Peers)  # type: ignore[type-abstract]
        self._listener = kernel.find(ports.PEERS, Listener)  # type: ignore[type-abstract]
        self._registry = Registry(
            platform=kernel.find(ports.PLATFORM, Platform),  # type: ignore[type-abstract]
            clock=self._clock,
            own_vm=lambda: self.own_vm,
            lease_ms=self._cfg.platform.lease_ms,
        )
        self._discovery = Discovery(
            peers=self._peers,
            registry=self._registry,
            gossip=self._gossip,
            partners=self._partners,
            seeds=self._cfg.peers.seeds,
        )
        self._peers.serve(HEARTBEAT, self._on_heartbeat)
        self._peers.serve(PROBE, self._on_probe)
        self._peers.serve(WHO, self._on_who)

    @property
    def own_vm(self) -> EntryVm:
        """The VM of this process."""
        return self._gossip.own_vm

    @property
    def lease(self) -> int | None:
        """The platform lease of this VM's entry, while there is one."""
        return self._registry.lease

    def vms(self) -> tuple[EntryVm, ...]:
        """Return the VMs believed alive, this one included, whatever their state."""
        if self._cached[0] != self._gossip.generation:
            self._cached = (self._gossip.generation, self._believed_alive())
        return self._cached[1]

    def find(self, vm: VmId) -> EntryVm | None:
        """Return a VM of exactly this incarnation, if believed alive.

        VMs of a data centre that is cut off from here are found: they may well be alive.
        """
        record = self._gossip.view.get(vm.name)
        return record.vm if record and record.live and record.vm.id == vm else None

    def region_loads(self) -> tuple[RegionLoad, ...]:
        """Return the latest summary of every other region."""
        return self._gossip.region_loads(self._clock.now())

    def report_load(self, loads: tuple[RegionLoad, ...]) -> None:
        """Set what this VM tells others of its region."""
        for load in loads:
            self._gossip.set_own_load(load, wall_ms=self._clock.wall())

    def publish(self, name: str, note: bytes, *, urgent: bool = False) -> None:
        """Set a small note that rides on the heartbeats to the peers that lack it.

        :param urgent: do not wait for the next heartbeat.
        """
        if self._gossip.publish(name, note, urgent=urgent) and urgent:
            self._push.set()

    def subscribe(self, name: str, listener: Callable[[EntryVm, bytes], None]) -> None:
        """Call a listener with each peer's note of this name as heartbeats bring it."""
        self._listeners.setdefault(name, []).append(listener)

    def announce_serving(self, *, http_port: int) -> None:
        """Announce that callers are served on this port."""
        state = VmState.SERVING if self.own_vm.state is VmState.JOINING else self.own_vm.state
        self._announce(replace(self.own_vm, http_port=http_port, state=state))

    def announce_leaving(self) -> None:
        """Announce that this VM is shutting down."""
        if self.own_vm.state is not VmState.LEAVING:
            self._announce(replace(self.own_vm, state=VmState.LEAVING))

    def status(self) -> dict[str, object]:
        """Return the view for operators."""
        now = self._clock.now()
        return {
            "me": self.own_vm.id.name,
            "superseded": self._gossip.superseded,
            "cut_off": sorted(self._partners.cut_off(self._clock.now())),
            "vms": [
                {
                    "name": record.vm.id.name,
                    "incarnation": record.vm.id.incarnation,
                    "data_centre": record.vm.data_centre,
                    "state": record.vm.state.value,
                    "alive": record.live,
                    "heard_ms_ago": now - suspect.last_seen_ms if suspect else None,
                }
                for record in self._gossip.view
                for suspect in (self._contacts.get(record.vm.id),)
            ],
        }

    async def main(self, started: Started) -> None:
        """Join, then heartbeat until cancelled."""
        await self._join()
        started()
        async with anyio.create_task_group() as tg:
            self._tasks = tg
            tg.start_soon(self._registry.run)
            tg.start_soon(self._push_news)
            while True:
                # After its last word a VM is in no view, its own included, and tells no more.
                if not self._gossip.own_record.gone:
                    self._tick()
                pause_ms = self._interval()
                self._due_ms = self._clock.now() + pause_ms
                await self._clock.sleep(pause_ms)
                self._allow_for_stall(self._clock.now() - self._due_ms)
                self._ticked.set()
                self._ticked = anyio.Event()

    async def drain(self) -> None:
        """Say the last word to the neighbours and leave the platform's list."""
        self._gossip.announce(
            replace(self.own_vm, state=VmState.LEAVING), wall_ms=self._clock.wall(), gone=True
        )
        with anyio.move_on_after(LEAVE_TIMEOUT_MS / 1000):
            async with anyio.create_task_group() as tg:
                for vm in [
                    *self._partners.local_partners(),
                    *self._partners.remote_partners(self._clock.now(), push=True),
                ]:
                    tg.start_soon(self._beat, vm)
                tg.start_soon(self._end_listing)

    # Joining.

    async def _join(self) -> None:
        """Learn from the list and the seeds who is there and what life of ours they knew."""
        with anyio.move_on_after(JOIN_TIMEOUT_MS / 1000):
            await self._discovery.read_registry()
        here = await self._discovery.find_peers(VMS_TRIED_AT_JOIN)
        latest = self._discovery.latest_own_incarnation(here)
        me = replace(self.own_vm, peer_port=self._listener.port)
        if latest >= me.id.incarnation:
            incarnation = new_incarnation(self._clock.wall(), after=latest)
            me = replace(me, id=VmId(me.id.name, incarnation))
        self._gossip.announce(me, wall_ms=self._clock.wall())
        for answer in here:
            self._gossip.add_peer(answer.me)

    async def _on_who(self, sender: VmId, who: WhoRequest) -> WhoReply:
        return WhoReply(self._gossip.own_record, self._gossip.view.get(who.name))

    # Heartbeats.

    def _interval(self) -> float:
        return self._cfg.peers.heartbeat_ms * (
            1 + self._random.uniform(-HEARTBEAT_JITTER_FRACTION, HEARTBEAT_JITTER_FRACTION)
        )

    def _tick(self) -> None:
        self._ticks += 1
        local = self._partners.local_partners()
        if local:
            self._spawn(local[0])
        if len(local) > 1 and self._ticks % FINGER_EVERY == 0:
            self._spawn(local[1 + self._ticks // FINGER_EVERY % (len(local) - 1)])
        if self._ticks % REMOTE_INTERVAL_HEARTBEATS == 0:
            for vm in self._partners.remote_partners(self._clock.now()):
                self._spawn(vm)
        if self._ticks % TRY_EVERY == 0:
            self._start(self._try_departed)
        if self._ticks % LIST_EVERY == 0 or (not local and self._ticks % TRY_EVERY == 0):
            self._start(self._discover_missing)
        if self._ticks % TIDY_EVERY == 0:
            self._prune()
        self._cached = (-1, ())

    def _spawn(self, vm: EntryVm) -> None:
        self._start(self._beat, vm)

    def _start(self, func: Callable[..., object], *args: object) -> None:
        if self._tasks is not None:
            self._tasks.start_soon(func, *args)  # type: ignore[arg-type]

    async def _beat(self, vm: EntryVm) -> bool:
        """Exchange heartbeats with a peer.

        :return: whether it answered.
        """
        if vm.id in self._busy:
            return False
        self._busy.add(vm.id)
        request = self._gossip.next_heartbeat(vm)
        try:
            reply = await self._peers.ask(vm, HEARTBEAT, request, timeout_ms=self._patience(vm))
        except GatewayError as exc:
            self._beats.labels(exc.kind.value).inc()
            self._missed(vm, exc)
            return False
        finally:
            self._busy.discard(vm.id)
        self._beats.labels("ok").inc()
        self._heard_from(vm.id)
        self._partners.record_remote_success(vm.data_centre)
        updates = self._gossip.on_reply(
            vm.id, request, reply, now_ms=self._clock.now(), wall_ms=self._clock.wall()
        )
        self._spread(vm.id, updates)
        return True

    async def _on_heartbeat(self, sender: VmId, beat: Heartbeat) -> Heartbeat:
        self._heard_from(sender)
        reply, updates = self._gossip.on_request(
            sender, beat, now_ms=self._clock.now(), wall_ms=self._clock.wall()
        )
        self._spread(sender, updates)
        return reply

    def _patience(self, vm: EntryVm) -> int:
        if vm.data_centre != self.own_vm.data_centre:
            return self._cfg.peers.call_timeout_ms
        return min(self._cfg.peers.call_timeout_ms, self._cfg.peers.silent_after_ms // 2)

    def _heard_from(self, vm: VmId) -> None:
        self._unreachable.discard(vm)
        suspect = self._contacts.setdefault(vm, PeerContact(self._clock.now()))
        suspect.record_contact(self._clock.now())

    def _spread(self, sender: VmId, updates: Updates) -> None:
        if updates.members:
            self._push.set()
        record = self._gossip.view.get(sender.name)
        if record is None:
            return
        for note in updates.notes:
            # A note rides on every heartbeat until one is known to have arrived; two that
            # cross bring it twice.
            heard = (sender, note.data)
            if self._heard_notes.get((sender.name, note.name)) == heard:
                continue
            self._heard_notes[sender.name, note.name] = heard
            for listener in self._listeners.get(note.name, ()):
                listener(record.vm, note.data)

    async def _push_news(self) -> None:
        """Tell neighbours at once what should not wait for their turn."""
        while True:
            await self._push.wait()
            # Some of the neighbours hear it from others meanwhile, and more news may come.
            await self._clock.sleep(self._random.uniform(0, 2 * PUSH_SPACING_MS))
            self._push = anyio.Event()
            local = [
                vm
                for vm in self._partners.local_partners()
                if self._gossip.has_urgent_updates(vm.id)
            ]
            self._random.shuffle(local)
            for vm in (
                *local[:PUSH_FANOUT],
                *self._partners.remote_partners(self._clock.now(), push=True),
            ):
                if self._gossip.has_urgent_updates(vm.id):
                    self._spawn(vm)

    # Failures.

    def _missed(self, vm: EntryVm, exc: GatewayError) -> None:
        if vm.data_centre != self.own_vm.data_centre:
            self._partners.record_remote_failure(vm.data_centre)
            return
        if self.find(vm.id) is None:
            return
        suspect = self._contacts.setdefault(vm.id, PeerContact(self._clock.now()))
        refused = _is_refused(exc)
        silent_ms = self._cfg.peers.silent_after_ms
        if suspect.record_failure(self._clock.now(), refused=refused, silent_after_ms=silent_ms):
            self._start(self._ask_others, vm)

    async def _ask_others(self, vm: EntryVm) -> None:
        """Ask others whether they reach a suspect, and accuse it if they do not either."""
        if vm.id in self._asking:
            return
        self._asking.add(vm.id)
        began_ms = self._clock.now()
        reached: list[bool | None] = []
        try:
            async with anyio.create_task_group() as tg:
                for other in self._witnesses(vm):
                    tg.start_soon(self._ask_other, other, vm, reached)
        finally:
            self._asking.discard(vm.id)
        verdict = verdict_from(reached)
        if verdict is not Verdict.REACHED_BY_OTHERS and await self._stood_still_since(began_ms):
            # Answers that came meanwhile were read too late; the next miss asks again.
            return
        self._verdicts.labels(verdict.value).inc()
        match verdict:
            case Verdict.SILENT:
                if self._gossip.mark_silent(vm.id, wall_ms=self._clock.wall()):
                    logging.info("VM %s is silent", vm.id.name)
                    self._push.set()
            case Verdict.UNCONFIRMED:
                self._unreachable.add(vm.id)
            case Verdict.REACHED_BY_OTHERS:
                self._contacts[vm.id] = PeerContact(self._clock.now())
                # It may never be heard here itself: only its own partners are.
                self._unreachable.discard(vm.id)
        self._cached = (-1, ())

    def _witnesses(self, suspect: EntryVm) -> list[EntryVm]:
        witnesses = self._partners.witnesses(suspect)
        if not witnesses:
            witnesses = [vm for vm in self.vms() if vm.data_centre != self.own_vm.data_centre]
            self._random.shuffle(witnesses)
        return witnesses[:VMS_ASKED_ABOUT_SUSPECT]

    async def _ask_other(
        self, other: EntryVm, suspect: EntryVm, reached: list[bool | None]
    ) -> None:
        timeout_ms = 2 * self._patience(other)
        try:
            probed = await self._peers.ask(
                other, PROBE, ProbeRequest(suspect), timeout_ms=timeout_ms
            )
        except GatewayError:
            reached.append(None)
            return
        reached.append(probed.reached)

    async def _on_probe(self, sender: VmId, probe: ProbeRequest) -> ProbeReply:
        try:
            request = WhoRequest(self.own_vm.id.name)
            timeout_ms = self._patience(probe.suspect)
            await self._peers.ask(probe.suspect, WHO, request, timeout_ms=timeout_ms)
        except GatewayError:
            # Nobody may be able to connect to a VM that still reaches others: then its
            # heartbeats prove it alive, and to accuse it would start a quarrel without end.
            await self._catch_up()
            return ProbeReply(reached=self._heard_lately(probe.suspect.id))
        return ProbeReply(reached=True)

    def _allow_for_stall(self, late_ms: float) -> None:
        """Leave the time that this process stood still out of the others' silence.

        Without a turn on a busy machine it reads nothing: heartbeats wait in its sockets. Asked
        by another VM just then, it would say that it has not heard a VM which was never silent,
        and that VM would vanish from all views.

        :param late_ms: by how much a heartbeat was late.
        """
        now = self._clock.now()
        if late_ms > self._long_ms:
            self._stood_still_ms = now
            self._gossip.exclude_pause(round(late_ms), now)
        for suspect in self._contacts.values():
            suspect.exclude_pause(round(late_ms), now)

    async def _stood_still_since(self, began_ms: int) -> bool:
        """Whether this process stood still since then."""
        await self._catch_up()
        return self._stood_still_ms >= began_ms

    async def _catch_up(self) -> None:
        """Wait for the heartbeat that takes note of a standstill, if one has just ended.

        Calls that timed out meanwhile end first on waking, and what others sent isn't read yet:
        a VM that only some can connect to would be called silent and vanish from all views.
        """
        if self._clock.now() - self._due_ms > self._long_ms:
            await self._ticked.wait()

    def _heard_lately(self, vm: VmId) -> bool:
        suspect = self._contacts.get(vm)
        limit_ms = HEARD_LATELY * self._cfg.peers.heartbeat_ms
        return suspect is not None and self._clock.now() - suspect.last_seen_ms <= limit_ms

    async def _try_departed(self) -> None:
        """Try a VM that fell silent, in case a partition that made both sides accuse is over."""
        silent = [
            record.vm
            for record in self._gossip.view
            if record.silent
            and not record.gone
            and record.vm.data_centre == self.own_vm.data_centre
        ]
        if silent:
            await self._beat(self._random.choice(silent))

    async def _discover_missing(self) -> None:
        """Read the list for VMs that the view lacks, as when two halves never met."""
        if self._partners.reads_registry():
            await self._discovery.read_registry()
            for answer in await self._discovery.find_peers(VMS_TRIED_IN_PASSING):
                self._gossip.add_peer(answer.me)
                await self._beat(answer.me.vm)

    # The view.

    def _believed_alive(self) -> tuple[EntryVm, ...]:
        cut_off = self._partners.cut_off(self._clock.now())
        return tuple(
            record.vm
            for record in self._gossip.view
            if record.live
            and record.vm.id not in self._unreachable
            and record.vm.data_centre not in cut_off
        )

    def _announce(self, me: EntryVm) -> None:
        self._gossip.announce(me, wall_ms=self._clock.wall())
        self._push.set()
        self._registry.mark_changed()

    def _prune(self) -> None:
        self._gossip.prune(self._clock.wall())
        self._contacts = {vm: s for vm, s in self._contacts.items() if self.find(vm)}
        self._unreachable = {vm for vm in self._unreachable if self.find(vm)}
        self._live_gauge.labels("fleet").set(len(self.vms()))
        self._live_gauge.labels("data_centre").set(len(self._partners.local()))

    async def _end_listing(self) -> None:
        try:
            await self._registry.deregister()
        except GatewayError as exc:
            logging.info("the entry stays listed until its lease lapses: %s", exc.kind.value)


def _is_refused(exc: GatewayError) -> bool:
    """Whether the peer's machine said that this process is not there."""
    if isinstance(exc.__cause__, ConnectionRefusedError):
        return True
    return exc.__cause__ is None and exc.ran is Ran.NO
