"""Finds out which VMs of this data centre don't run, or can't be reached.

A peer that doesn't reply is a suspect. Witnesses are asked before it is marked as silent in all
views; if none of them replies, only this VM leaves it out.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import anyio
from absl import logging

from hickorybeam.errors import GatewayError, Ran
from hickorybeam.peers.heartbeat import (
    PROBE,
    WHO,
    ProbeReply,
    ProbeRequest,
    WhoRequest,
)
from hickorybeam.peers.suspicion import PeerContact, Verdict, verdict_from

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from prometheus_client import Counter

    from hickorybeam import ports
    from hickorybeam.clock import Clock
    from hickorybeam.model import EntryVm, VmId
    from hickorybeam.peers.gossip import GossipState
    from hickorybeam.peers.partners import Partners
    from hickorybeam.peers.pauses import PauseWatch
    from hickorybeam.settings.types import PeerSettings

__all__ = ("FailureDetector",)

MAX_WITNESSES = 3
RECENT_CONTACT_HEARTBEATS = 2.5


class Fleet(Protocol):
    """What the detector uses of the service ``members``."""

    def vms(self) -> tuple[EntryVm, ...]:
        """Return the live VMs."""
        ...

    def find(self, vm: VmId) -> EntryVm | None:
        """Return the VM with exactly this incarnation, if live."""
        ...


class FailureDetector:
    """Keeps when peers were last heard, and decides which of them count as failed.

    :param fleet: tells which VMs are live.
    :param verdicts: counts the verdicts on suspects.
    :param start_task: starts a task that ends with the service.
    :param on_change: called when another VM is left out of the view, or back in it.
    :param on_silent: called when a VM has been marked as silent, which other VMs have to learn.
    """

    def __init__(
        self,
        *,
        cfg: PeerSettings,
        clock: Clock,
        gossip: GossipState,
        partners: Partners,
        pauses: PauseWatch,
        fleet: Fleet,
        rng: random.Random,
        verdicts: Counter,
        start_task: Callable[..., None],
        on_change: Callable[[], None],
        on_silent: Callable[[], None],
    ) -> None:
        self._cfg = cfg
        self._clock = clock
        self._gossip = gossip
        self._partners = partners
        self._pauses = pauses
        self._fleet = fleet
        self._random = rng
        self._verdicts = verdicts
        self._start_task = start_task
        self._on_change = on_change
        self._on_silent = on_silent
        self._peers: ports.Peers
        self._contacts: dict[VmId, PeerContact] = {}
        self._unreachable: set[VmId] = set()
        self._being_confirmed: set[VmId] = set()

    def bind(self, peers: ports.Peers) -> None:
        """Send messages by a service, and answer the probes that come by it."""
        self._peers = peers
        peers.serve(PROBE, self._on_probe)

    def timeout_ms(self, vm: EntryVm) -> int:
        """Return for how long a reply of a peer is awaited."""
        if vm.data_centre != self._gossip.own_vm.data_centre:
            return self._cfg.call_timeout_ms
        return min(self._cfg.call_timeout_ms, self._cfg.silent_after_ms // 2)

    def is_unreachable(self, vm: VmId) -> bool:
        """Return whether only this VM leaves a peer out, since nobody could tell of it."""
        return vm in self._unreachable

    def ms_since_contact(self, vm: VmId, now_ms: int) -> int | None:
        """Return the time since a peer was last heard, ``None`` if it never was."""
        contact = self._contacts.get(vm)
        return now_ms - contact.last_seen_ms if contact else None

    def record_contact(self, vm: VmId) -> None:
        """Record a message received from a peer."""
        self._unreachable.discard(vm)
        contact = self._contacts.setdefault(vm, PeerContact(self._clock.now()))
        contact.record_contact(self._clock.now())

    def exclude_pause(self, late_ms: float, now_ms: int) -> None:
        """Exclude a pause of this process from the time since other VMs were last seen.

        Probed just after it by another VM, this one would deny having seen a VM that was never
        silent, and that VM would vanish from all views.

        :param late_ms: how late the tick was.
        """
        for contact in self._contacts.values():
            contact.exclude_pause(round(late_ms), now_ms)

    def prune(self) -> None:
        """Forget VMs that are live no more."""
        find = self._fleet.find
        self._contacts = {vm: contact for vm, contact in self._contacts.items() if find(vm)}
        self._unreachable = {vm for vm in self._unreachable if find(vm)}

    def record_failure(self, vm: EntryVm, exc: GatewayError) -> None:
        """Record an unanswered heartbeat; ask witnesses once the peer is a suspect."""
        if vm.data_centre != self._gossip.own_vm.data_centre:
            self._partners.record_remote_failure(vm.data_centre)
            return
        if self._fleet.find(vm.id) is None:
            return
        contact = self._contacts.setdefault(vm.id, PeerContact(self._clock.now()))
        refused = _is_connection_refused(exc)
        timeout_ms = self._cfg.silent_after_ms
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
        if verdict is not Verdict.REACHED_BY_OTHERS and await self._pauses.paused_since(started_ms):
            # Replies that arrived during the pause were read too late; the next failed heartbeat
            # asks again.
            return
        self._verdicts.labels(verdict.value).inc()
        match verdict:
            case Verdict.SILENT:
                if self._gossip.mark_silent(vm.id, wall_ms=self._clock.wall()):
                    logging.info("VM %s marked as silent: no witness reached it", vm.id.name)
                    self._on_silent()
            case Verdict.UNCONFIRMED:
                self._unreachable.add(vm.id)
            case Verdict.REACHED_BY_OTHERS:
                self._contacts[vm.id] = PeerContact(self._clock.now())
                # This VM may never receive a heartbeat from it: only its own partners do.
                self._unreachable.discard(vm.id)
        self._on_change()

    def _witnesses(self, suspect: EntryVm) -> list[EntryVm]:
        witnesses = self._partners.witnesses(suspect)
        if not witnesses:
            own_data_centre = self._gossip.own_vm.data_centre
            witnesses = [vm for vm in self._fleet.vms() if vm.data_centre != own_data_centre]
            self._random.shuffle(witnesses)
        return witnesses[:MAX_WITNESSES]

    async def _ask_witness(
        self, witness: EntryVm, suspect: EntryVm, reached: list[bool | None]
    ) -> None:
        timeout_ms = 2 * self.timeout_ms(witness)
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
            request = WhoRequest(self._gossip.own_vm.id.name)
            timeout_ms = self.timeout_ms(probe.suspect)
            await self._peers.ask(probe.suspect, WHO, request, timeout_ms=timeout_ms)
        except GatewayError:
            # A VM to which nobody can connect may still reach others. Its heartbeats prove that it
            # runs: marked as silent, it would refute that, and be marked again without end.
            await self._pauses.wait_for_overdue_tick()
            return ProbeReply(reached=self._seen_recently(probe.suspect.id))
        return ProbeReply(reached=True)

    def _seen_recently(self, vm: VmId) -> bool:
        contact = self._contacts.get(vm)
        limit_ms = RECENT_CONTACT_HEARTBEATS * self._cfg.heartbeat_ms
        return contact is not None and self._clock.now() - contact.last_seen_ms <= limit_ms


def _is_connection_refused(exc: GatewayError) -> bool:
    """Return whether the peer's machine refused because the process called is not there."""
    if isinstance(exc.__cause__, ConnectionRefusedError):
        return True
    return exc.__cause__ is None and exc.ran is Ran.NO
