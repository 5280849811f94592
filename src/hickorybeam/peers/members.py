"""The service ``members``: fleet membership by gossip, with the platform's VM registry as a hint.

Each VM derives its heartbeat partners from its own view (``ring``), sends only what changed
(``gossip``) and marks another VM as silent only after other VMs failed to reach it as well
(``failure_detector``). Nothing is elected, and nothing waits for the platform.
"""

from __future__ import annotations

import random
from dataclasses import replace
from typing import TYPE_CHECKING, ClassVar, Protocol, runtime_checkable

import anyio
from absl import logging

from hickorybeam import ports
from hickorybeam.errors import GatewayError
from hickorybeam.kernel import Service
from hickorybeam.model import EntryVm, VmId, VmState
from hickorybeam.peers.discovery import Discovery, new_incarnation
from hickorybeam.peers.failure_detector import FailureDetector
from hickorybeam.peers.gossip import GossipState
from hickorybeam.peers.heartbeat import (
    HEARTBEAT,
    WHO,
    Heartbeat,
    WhoReply,
    WhoRequest,
)
from hickorybeam.peers.partners import (
    HEARTBEAT_JITTER_FRACTION,
    REMOTE_INTERVAL_HEARTBEATS,
    Partners,
)
from hickorybeam.peers.pauses import PauseWatch
from hickorybeam.peers.registry import Registry
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
# Pushing to three partners each reaches a data centre in about as many hops as pushing to all, with
# half the messages; VMs that are missed get the update with the next heartbeats.
PUSH_FANOUT = 3
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
        self._in_flight: set[VmId] = set()
        self._partners = Partners(self._gossip, cfg.peers)
        self._tick_count = 0
        self._pauses = PauseWatch(clock, silent_after_ms=cfg.peers.silent_after_ms)
        self._push_requested = anyio.Event()
        self._cached_vms: tuple[int, tuple[EntryVm, ...]] = (-1, ())
        self._tasks: TaskGroup | None = None
        self._live_gauge = counters.gauge("members_alive", "VMs believed alive", ("scope",))
        self._heartbeats = counters.counter("heartbeats", "Heartbeats sent", ("outcome",))
        self._failures = FailureDetector(
            cfg=cfg.peers,
            clock=clock,
            gossip=self._gossip,
            partners=self._partners,
            pauses=self._pauses,
            fleet=self,
            rng=self._random,
            verdicts=counters.counter("suspicions", "Verdicts on silent peers", ("verdict",)),
            start_task=self._start_task,
            on_change=self._forget_cached_vms,
            on_silent=self._request_push,
        )

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
        self._failures.bind(self._peers)
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
                    "heard_ms_ago": self._failures.ms_since_contact(record.vm.id, now),
                }
                for record in self._gossip.view
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
                self._exclude_pause(await self._pauses.sleep(self._next_interval_ms()))
                self._pauses.end_tick()

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
        self._forget_cached_vms()

    def _exclude_pause(self, late_ms: float) -> None:
        """Exclude a pause of this process from the times since other VMs were last heard.

        :param late_ms: how late the tick was.
        """
        now = self._clock.now()
        if self._pauses.record_tick(late_ms):
            self._gossip.exclude_pause(round(late_ms), now)
        self._failures.exclude_pause(late_ms, now)

    def _forget_cached_vms(self) -> None:
        self._cached_vms = (-1, ())

    def _request_push(self) -> None:
        self._push_requested.set()

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
            reply = await self._peers.ask(
                vm, HEARTBEAT, request, timeout_ms=self._failures.timeout_ms(vm)
            )
        except GatewayError as exc:
            self._heartbeats.labels(exc.kind.value).inc()
            self._failures.record_failure(vm, exc)
            return False
        finally:
            self._in_flight.discard(vm.id)
        self._heartbeats.labels("ok").inc()
        self._failures.record_contact(vm.id)
        self._partners.record_remote_success(vm.data_centre)
        updates = self._gossip.on_reply(
            vm.id, request, reply, now_ms=self._clock.now(), wall_ms=self._clock.wall()
        )
        self._handle_updates(vm.id, updates)
        return True

    async def _on_heartbeat(self, sender: VmId, heartbeat: Heartbeat) -> Heartbeat:
        self._failures.record_contact(sender)
        reply, updates = self._gossip.on_request(
            sender, heartbeat, now_ms=self._clock.now(), wall_ms=self._clock.wall()
        )
        self._handle_updates(sender, updates)
        return reply

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

    # VMs that this one lacks.

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
            and not self._failures.is_unreachable(record.vm.id)
            and record.vm.data_centre not in cut_off
        )

    def _announce(self, own_vm: EntryVm) -> None:
        self._gossip.announce(own_vm, wall_ms=self._clock.wall())
        self._push_requested.set()
        self._registry.mark_changed()

    def _prune(self) -> None:
        self._gossip.prune(self._clock.wall())
        self._failures.prune()
        self._live_gauge.labels("fleet").set(len(self.vms()))
        self._live_gauge.labels("data_centre").set(len(self._partners.local()))

    async def _deregister(self) -> None:
        try:
            await self._registry.deregister()
        except GatewayError as exc:
            logging.info(
                "registry entry not removed, it stays until its lease expires: %s", exc.kind.value
            )
