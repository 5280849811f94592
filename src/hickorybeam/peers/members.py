"""The service ``members``: fleet membership by gossip, with the platform's VM registry as a hint.

Each VM derives its heartbeat partners from its own view (``ring``), sends only what changed
(``gossip``) and marks another VM as silent only after other VMs failed to reach it as well
(``suspicion``). Nothing is elected, and nothing waits for the platform.
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

OTHER_PARTNER_INTERVAL_HEARTBEATS = 2
SILENT_RETRY_INTERVAL_HEARTBEATS = 10
PRUNE_INTERVAL_HEARTBEATS = 20
# The registry is read by one VM of each data centre, and by any that is alone in its own.
REGISTRY_INTERVAL_HEARTBEATS = 20
# Urgent updates do not wait for the next heartbeat; the delay lets several in a row go together.
MEAN_PUSH_DELAY_MS = 50
# Of ``silent_after_ms``: a tick that is late by more means that the process was paused for long
# enough to miss replies. Shorter delays are usual on a busy machine, which must still detect
# failures of others.
PAUSE_THRESHOLD_FRACTION = 1 / 8
# Pushing to three partners each reaches a data centre in about as many hops as pushing to all, with
# half the messages; VMs that are missed get the update with the next heartbeats.
PUSH_FANOUT = 3
MAX_WITNESSES = 3
RECENT_CONTACT_HEARTBEATS = 2.5
MAX_CANDIDATES_AT_JOIN = 6
MAX_CANDIDATES_PER_SEARCH = 2
JOIN_TIMEOUT_MS = 2_000
LEAVE_TIMEOUT_MS = 1_000


@runtime_checkable
class PeerListener(Protocol):
    """The attribute of the service ``peers`` that is not part of ``ports.Peers``."""

    port: int


class MembersService(Service):
    """Maintains this VM's view of the fleet; implements ``ports.Members``."""

    name: ClassVar[str] = ports.MEMBERS
    needs: ClassVar[tuple[str, ...]] = (ports.PLATFORM, ports.PEERS)

    def __init__(self, *, cfg: Settings, clock: Clock, counters: Counters) -> None:
        vm = cfg.vm
        self._cfg = cfg
        self._clock = clock
        self._random = random.Random(vm.name)
        own_vm = EntryVm(
            id=VmId(vm.name, new_incarnation(clock.wall())),
            region=vm.region,
            data_centre=vm.data_centre,
            host=vm.host,
            http_port=vm.http_port,
            peer_port=vm.peer_port,
            state=VmState.JOINING,
        )
        self._gossip = GossipState(own_vm, now_ms=clock.now(), wall_ms=clock.wall())
        self._listeners: dict[str, list[Callable[[EntryVm, bytes], None]]] = {}
        self._delivered_notes: dict[tuple[str, str], tuple[VmId, bytes]] = {}
        self._contacts: dict[VmId, PeerContact] = {}
        self._unreachable: set[VmId] = set()
        self._in_flight: set[VmId] = set()
        self._being_confirmed: set[VmId] = set()
        self._partners = Partners(self._gossip, cfg.peers)
        self._tick_count = 0
        self._tick_done = anyio.Event()
        self._next_tick_ms = float(clock.now())
        self._last_pause_ms = clock.now()
        self._pause_threshold_ms = PAUSE_THRESHOLD_FRACTION * cfg.peers.silent_after_ms
        self._push_requested = anyio.Event()
        self._cached_vms: tuple[int, tuple[EntryVm, ...]] = (-1, ())
        self._tasks: TaskGroup | None = None
        self._live_gauge = counters.gauge("members_alive", "VMs believed alive", ("scope",))
        self._heartbeats = counters.counter("heartbeats", "Heartbeats sent", ("outcome",))
        self._verdicts = counters.counter("suspicions", "Verdicts on silent peers", ("verdict",))

    def bind(self, kernel: Kernel) -> None:
        """Look up peers and platform, and register the handlers of membership messages."""
        self._peers = kernel.find(ports.PEERS, ports.Peers)  # type: ignore[type-abstract]
        self._peer_listener = kernel.find(ports.PEERS, PeerListener)  # type: ignore[type-abstract]
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
        """The record of this VM."""
        return self._gossip.own_vm

    @property
    def lease(self) -> int | None:
        """The platform lease of this VM's registry entry, if there is one."""
        return self._registry.lease

    def vms(self) -> tuple[EntryVm, ...]:
        """Return the live VMs in any state, including this one."""
        if self._cached_vms[0] != self._gossip.generation:
            self._cached_vms = (self._gossip.generation, self._find_live())
        return self._cached_vms[1]

    def find(self, vm: VmId) -> EntryVm | None:
        """Return the VM with exactly this incarnation, if live.

        VMs of a data centre that is cut off from this one are included, since they may still run.
        """
        record = self._gossip.view.get(vm.name)
        return record.vm if record and record.live and record.vm.id == vm else None

    def region_loads(self) -> tuple[RegionLoad, ...]:
        """Return the latest load forecasts of all other regions."""
        return self._gossip.region_loads(self._clock.now())

    def report_load(self, loads: tuple[RegionLoad, ...]) -> None:
        """Set the load forecasts of its own region that this VM sends to others."""
        for load in loads:
            self._gossip.set_own_load(load, wall_ms=self._clock.wall())

    def publish(self, name: str, note: bytes, *, urgent: bool = False) -> None:
        """Set a small note that heartbeats carry to peers that lack it.

        :param urgent: do not wait for the next heartbeat.
        """
        if self._gossip.publish(name, note, urgent=urgent) and urgent:
            self._push_requested.set()

    def subscribe(self, name: str, listener: Callable[[EntryVm, bytes], None]) -> None:
        """Register a listener that is called for each note of this name received from a peer."""
        self._listeners.setdefault(name, []).append(listener)

    def announce_serving(self, *, http_port: int) -> None:
        """Announce the port on which callers are served, which ends the joining state."""
        state = VmState.SERVING if self.own_vm.state is VmState.JOINING else self.own_vm.state
        self._announce(replace(self.own_vm, http_port=http_port, state=state))

    def announce_leaving(self) -> None:
        """Announce that this VM is shutting down."""
        if self.own_vm.state is not VmState.LEAVING:
            self._announce(replace(self.own_vm, state=VmState.LEAVING))

    def status(self) -> dict[str, object]:
        """Return this VM's view of the fleet for operators."""
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
                    "heard_ms_ago": now - contact.last_seen_ms if contact else None,
                }
                for record in self._gossip.view
                for contact in (self._contacts.get(record.vm.id),)
            ],
        }

    async def main(self, started: Started) -> None:
        """Join the fleet, then send heartbeats until cancelled."""
        await self._join()
        started()
        async with anyio.create_task_group() as tg:
            self._tasks = tg
            tg.start_soon(self._registry.run)
            tg.start_soon(self._push_updates)
            while True:
                # After ``drain`` this VM is in no view, its own included, and sends no heartbeats.
                if not self._gossip.own_record.gone:
                    self._tick()
                pause_ms = self._next_interval_ms()
                self._next_tick_ms = self._clock.now() + pause_ms
                await self._clock.sleep(pause_ms)
                self._exclude_pause(self._clock.now() - self._next_tick_ms)
                self._tick_done.set()
                self._tick_done = anyio.Event()

    async def drain(self) -> None:
        """Announce to partners that this VM has left, and remove its registry entry."""
        self._gossip.announce(
            replace(self.own_vm, state=VmState.LEAVING), wall_ms=self._clock.wall(), gone=True
        )
        with anyio.move_on_after(LEAVE_TIMEOUT_MS / 1000):
            async with anyio.create_task_group() as tg:
                for vm in [
                    *self._partners.local_partners(),
                    *self._partners.remote_partners(self._clock.now(), push=True),
                ]:
                    tg.start_soon(self._heartbeat, vm)
                tg.start_soon(self._deregister)

    # Joining the fleet.

    async def _join(self) -> None:
        """Find peers by the registry and the seeds, and set an incarnation later than any known."""
        with anyio.move_on_after(JOIN_TIMEOUT_MS / 1000):
            await self._discovery.read_registry()
        replies = await self._discovery.find_peers(MAX_CANDIDATES_AT_JOIN)
        latest = self._discovery.latest_own_incarnation(replies)
        own_vm = replace(self.own_vm, peer_port=self._peer_listener.port)
        if latest >= own_vm.id.incarnation:
            incarnation = new_incarnation(self._clock.wall(), after=latest)
            own_vm = replace(own_vm, id=VmId(own_vm.id.name, incarnation))
        self._gossip.announce(own_vm, wall_ms=self._clock.wall())
        for reply in replies:
            self._gossip.add_peer(reply.me)

    async def _on_who(self, sender: VmId, who: WhoRequest) -> WhoReply:
        return WhoReply(self._gossip.own_record, self._gossip.view.get(who.name))

    # Heartbeats.

    def _next_interval_ms(self) -> float:
        return self._cfg.peers.heartbeat_ms * (
            1 + self._random.uniform(-HEARTBEAT_JITTER_FRACTION, HEARTBEAT_JITTER_FRACTION)
        )

    def _tick(self) -> None:
        self._tick_count += 1
        local = self._partners.local_partners()
        if local:
            self._start_heartbeat(local[0])
        if len(local) > 1 and self._tick_count % OTHER_PARTNER_INTERVAL_HEARTBEATS == 0:
            self._start_heartbeat(
                local[1 + self._tick_count // OTHER_PARTNER_INTERVAL_HEARTBEATS % (len(local) - 1)]
            )
        if self._tick_count % REMOTE_INTERVAL_HEARTBEATS == 0:
            for vm in self._partners.remote_partners(self._clock.now()):
                self._start_heartbeat(vm)
        if self._tick_count % SILENT_RETRY_INTERVAL_HEARTBEATS == 0:
            self._start_task(self._retry_silent)
        if self._tick_count % REGISTRY_INTERVAL_HEARTBEATS == 0 or (
            not local and self._tick_count % SILENT_RETRY_INTERVAL_HEARTBEATS == 0
        ):
            self._start_task(self._discover_missing)
        if self._tick_count % PRUNE_INTERVAL_HEARTBEATS == 0:
            self._prune()
        self._cached_vms = (-1, ())

    def _start_heartbeat(self, vm: EntryVm) -> None:
        self._start_task(self._heartbeat, vm)

    def _start_task(self, func: Callable[..., object], *args: object) -> None:
        if self._tasks is not None:
            self._tasks.start_soon(func, *args)  # type: ignore[arg-type]

    async def _heartbeat(self, vm: EntryVm) -> bool:
        """Exchange heartbeats with a peer.

        :return: whether it replied.
        """
        if vm.id in self._in_flight:
            return False
        self._in_flight.add(vm.id)
        request = self._gossip.next_heartbeat(vm)
        try:
            reply = await self._peers.ask(vm, HEARTBEAT, request, timeout_ms=self._timeout_ms(vm))
        except GatewayError as exc:
            self._heartbeats.labels(exc.kind.value).inc()
            self._handle_failure(vm, exc)
            return False
        finally:
            self._in_flight.discard(vm.id)
        self._heartbeats.labels("ok").inc()
        self._record_contact(vm.id)
        self._partners.record_remote_success(vm.data_centre)
        updates = self._gossip.on_reply(
            vm.id, request, reply, now_ms=self._clock.now(), wall_ms=self._clock.wall()
        )
        self._handle_updates(vm.id, updates)
        return True

    async def _on_heartbeat(self, sender: VmId, heartbeat: Heartbeat) -> Heartbeat:
        self._record_contact(sender)
        reply, updates = self._gossip.on_request(
            sender, heartbeat, now_ms=self._clock.now(), wall_ms=self._clock.wall()
        )
        self._handle_updates(sender, updates)
        return reply

    def _timeout_ms(self, vm: EntryVm) -> int:
        if vm.data_centre != self.own_vm.data_centre:
            return self._cfg.peers.call_timeout_ms
        return min(self._cfg.peers.call_timeout_ms, self._cfg.peers.silent_after_ms // 2)

    def _record_contact(self, vm: VmId) -> None:
        self._unreachable.discard(vm)
        contact = self._contacts.setdefault(vm, PeerContact(self._clock.now()))
        contact.record_contact(self._clock.now())

    def _handle_updates(self, sender: VmId, updates: Updates) -> None:
        if updates.members:
            self._push_requested.set()
        record = self._gossip.view.get(sender.name)
        if record is None:
            return
        for note in updates.notes:
            # Every heartbeat carries a note until one is acknowledged, so two that cross deliver
            # it twice.
            delivered = (sender, note.data)
            if self._delivered_notes.get((sender.name, note.name)) == delivered:
                continue
            self._delivered_notes[sender.name, note.name] = delivered
            for listener in self._listeners.get(note.name, ()):
                listener(record.vm, note.data)

    async def _push_updates(self) -> None:
        """Send urgent updates to partners without waiting for the next regular heartbeat."""
        while True:
            await self._push_requested.wait()
            # Meanwhile some partners may get the update from others, and more updates may follow.
            await self._clock.sleep(self._random.uniform(0, 2 * MEAN_PUSH_DELAY_MS))
            self._push_requested = anyio.Event()
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
                    self._start_heartbeat(vm)

    # Failure detection.

    def _handle_failure(self, vm: EntryVm, exc: GatewayError) -> None:
        if vm.data_centre != self.own_vm.data_centre:
            self._partners.record_remote_failure(vm.data_centre)
            return
        if self.find(vm.id) is None:
            return
        contact = self._contacts.setdefault(vm.id, PeerContact(self._clock.now()))
        refused = _is_connection_refused(exc)
        timeout_ms = self._cfg.peers.silent_after_ms
        if contact.record_failure(self._clock.now(), refused=refused, silent_after_ms=timeout_ms):
            self._start_task(self._confirm_failure, vm)

    async def _confirm_failure(self, vm: EntryVm) -> None:
        """Ask witnesses to reach a suspect, and mark it as silent if they fail as well."""
        if vm.id in self._being_confirmed:
            return
        self._being_confirmed.add(vm.id)
        started_ms = self._clock.now()
        reached: list[bool | None] = []
        try:
            async with anyio.create_task_group() as tg:
                for witness in self._witnesses(vm):
                    tg.start_soon(self._ask_witness, witness, vm, reached)
        finally:
            self._being_confirmed.discard(vm.id)
        verdict = verdict_from(reached)
        if verdict is not Verdict.REACHED_BY_OTHERS and await self._paused_since(started_ms):
            # Replies that arrived during the pause were read too late; the next failed heartbeat
            # asks again.
            return
        self._verdicts.labels(verdict.value).inc()
        match verdict:
            case Verdict.SILENT:
                if self._gossip.mark_silent(vm.id, wall_ms=self._clock.wall()):
                    logging.info("VM %s marked as silent: no witness reached it", vm.id.name)
                    self._push_requested.set()
            case Verdict.UNCONFIRMED:
                self._unreachable.add(vm.id)
            case Verdict.REACHED_BY_OTHERS:
                self._contacts[vm.id] = PeerContact(self._clock.now())
                # This VM may never receive a heartbeat from it: only its own partners do.
                self._unreachable.discard(vm.id)
        self._cached_vms = (-1, ())

    def _witnesses(self, suspect: EntryVm) -> list[EntryVm]:
        witnesses = self._partners.witnesses(suspect)
        if not witnesses:
            witnesses = [vm for vm in self.vms() if vm.data_centre != self.own_vm.data_centre]
            self._random.shuffle(witnesses)
        return witnesses[:MAX_WITNESSES]

    async def _ask_witness(
        self, witness: EntryVm, suspect: EntryVm, reached: list[bool | None]
    ) -> None:
        timeout_ms = 2 * self._timeout_ms(witness)
        try:
            reply = await self._peers.ask(
                witness, PROBE, ProbeRequest(suspect), timeout_ms=timeout_ms
            )
        except GatewayError:
            reached.append(None)
            return
        reached.append(reply.reached)

    async def _on_probe(self, sender: VmId, probe: ProbeRequest) -> ProbeReply:
        try:
            request = WhoRequest(self.own_vm.id.name)
            timeout_ms = self._timeout_ms(probe.suspect)
            await self._peers.ask(probe.suspect, WHO, request, timeout_ms=timeout_ms)
        except GatewayError:
            # A VM to which nobody can connect may still reach others. Its heartbeats prove that it
            # runs: marked as silent, it would refute that, and be marked again without end.
            await self._wait_for_overdue_tick()
            return ProbeReply(reached=self._seen_recently(probe.suspect.id))
        return ProbeReply(reached=True)

    def _exclude_pause(self, late_ms: float) -> None:
        """Exclude a pause of this process from the time since other VMs were last seen.

        A process that gets no CPU time on a busy machine reads nothing: heartbeats wait in its
        sockets. Probed just then by another VM, it would deny having seen a VM that was never
        silent, and that VM would vanish from all views.

        :param late_ms: how late the tick was.
        """
        now = self._clock.now()
        if late_ms > self._pause_threshold_ms:
            self._last_pause_ms = now
            self._gossip.exclude_pause(round(late_ms), now)
        for contact in self._contacts.values():
            contact.exclude_pause(round(late_ms), now)

    async def _paused_since(self, started_ms: int) -> bool:
        """Return whether this process was paused at any time since then."""
        await self._wait_for_overdue_tick()
        return self._last_pause_ms >= started_ms

    async def _wait_for_overdue_tick(self) -> None:
        """Wait for the tick that records a pause, if one has just ended.

        After a pause, calls that timed out end before the messages of others are read: a VM to
        which only some can connect would be marked as silent and vanish from all views.
        """
        if self._clock.now() - self._next_tick_ms > self._pause_threshold_ms:
            await self._tick_done.wait()

    def _seen_recently(self, vm: VmId) -> bool:
        contact = self._contacts.get(vm)
        limit_ms = RECENT_CONTACT_HEARTBEATS * self._cfg.peers.heartbeat_ms
        return contact is not None and self._clock.now() - contact.last_seen_ms <= limit_ms

    async def _retry_silent(self) -> None:
        """Send a heartbeat to a silent VM, in case the partition that made it silent is over."""
        silent = [
            record.vm
            for record in self._gossip.view
            if record.silent
            and not record.gone
            and record.vm.data_centre == self.own_vm.data_centre
        ]
        if silent:
            await self._heartbeat(self._random.choice(silent))

    async def _discover_missing(self) -> None:
        """Find VMs that the view lacks by the registry, as when two halves of a fleet never met."""
        if self._partners.reads_registry():
            await self._discovery.read_registry()
            for reply in await self._discovery.find_peers(MAX_CANDIDATES_PER_SEARCH):
                self._gossip.add_peer(reply.me)
                await self._heartbeat(reply.me.vm)

    # The view.

    def _find_live(self) -> tuple[EntryVm, ...]:
        cut_off = self._partners.cut_off(self._clock.now())
        return tuple(
            record.vm
            for record in self._gossip.view
            if record.live
            and record.vm.id not in self._unreachable
            and record.vm.data_centre not in cut_off
        )

    def _announce(self, own_vm: EntryVm) -> None:
        self._gossip.announce(own_vm, wall_ms=self._clock.wall())
        self._push_requested.set()
        self._registry.mark_changed()

    def _prune(self) -> None:
        self._gossip.prune(self._clock.wall())
        self._contacts = {vm: contact for vm, contact in self._contacts.items() if self.find(vm)}
        self._unreachable = {vm for vm in self._unreachable if self.find(vm)}
        self._live_gauge.labels("fleet").set(len(self.vms()))
        self._live_gauge.labels("data_centre").set(len(self._partners.local()))

    async def _deregister(self) -> None:
        try:
            await self._registry.deregister()
        except GatewayError as exc:
            logging.info(
                "registry entry not removed, it stays until its lease expires: %s", exc.kind.value
            )


def _is_connection_refused(exc: GatewayError) -> bool:
    """Return whether the peer's machine refused because the process called is not there."""
    if isinstance(exc.__cause__, ConnectionRefusedError):
        return True
    return exc.__cause__ is None and exc.ran is Ran.NO
