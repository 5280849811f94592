"""What VMs fetch from each other of the ticket log, and tell each other of its position."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import msgspec

from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.tickets.codec import Snapshot, decode_snapshot, encode_snapshot
from hickorybeam.tickets.spread import (
    FETCH_TOPIC,
    NEVER_CONFIRMED_MS,
    STATE_TOPIC,
    FetchReply,
    FetchRequest,
    Note,
    StateReply,
    StateRequest,
    peers_to_ask,
)
from hickorybeam.untrusted import InvalidBytesError, decode_msgpack

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from prometheus_client import Counter

    from hickorybeam import ports
    from hickorybeam.clock import Clock
    from hickorybeam.model import EntryVm, VmId
    from hickorybeam.tickets.apply import LogState
    from hickorybeam.tickets.spread import Freshness
    from hickorybeam.tickets.state_owner import StateOwner

__all__ = ("PeerExchange",)

NOTE_NAME = "config"
# Two watchers and one more; the limit bounds the time that a round takes.
MAX_PEERS_PER_ROUND = 3
MAX_REPLY_ENTRIES = 100


class PeerExchange:
    """Fetches entries and states from peers, and sends them those of this VM.

    :param is_overdue: returns whether the own state was confirmed too long ago.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        owner: StateOwner,
        freshness: Freshness,
        rng: random.Random,
        retries: Counter,
        is_overdue: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._owner = owner
        self._freshness = freshness
        self._rng = rng
        self._retries = retries
        self._is_overdue = is_overdue
        self._members: ports.Members | None = None
        self._peers: ports.Peers | None = None
        self._hinted_vm: EntryVm | None = None
        self._hint_received = anyio.Event()
        self._encoded_snapshot: Snapshot | None = None

    def use_members(self, members: ports.Members) -> None:
        """Learn peers from a service, and from their notes which of them are ahead."""
        self._members = members
        members.subscribe(NOTE_NAME, self._on_note)

    def use_peers(self, peers: ports.Peers) -> None:
        """Ask peers by a service, and answer what they ask."""
        self._peers = peers
        peers.serve(FETCH_TOPIC, self._on_fetch)
        peers.serve(STATE_TOPIC, self._on_state)

    def publish(self, position: int) -> None:
        """Tell peers the log position of this VM."""
        if self._members is not None:
            self._members.publish(NOTE_NAME, msgspec.msgpack.encode(Note(position)), urgent=True)

    async def ask_peers(self) -> bool:
        """Ask peers in turn until one responds and the own state is confirmed recently enough."""
        if self._members is None:
            return False
        vms = peers_to_ask(
            self._members.vms(), self._members.own_vm, self._rng, at_most=MAX_PEERS_PER_ROUND
        )
        for vm in vms:
            if await self._fetch_from(vm) and not self._is_overdue():
                return True
        return False

    async def fetch_on_hints(self) -> None:
        """Fetch from each peer whose note tells a later position, until cancelled."""
        while True:
            await self._hint_received.wait()
            self._hint_received = anyio.Event()
            if self._hinted_vm is not None:
                await self._fetch_from(self._hinted_vm)

    async def _fetch_from(self, vm: EntryVm) -> bool:
        """Fetch missing entries from one peer; :return: whether it responded."""
        if self._peers is None:
            return False
        asked_at = self._clock.now()
        try:
            reply = await self._peers.ask(vm, FETCH_TOPIC, FetchRequest(self._owner.position))
            if reply.whole:
                await self._owner.replace_state(await self._fetch_state(self._peers, vm))
            await self._owner.apply_entries(reply.entries)
        except GatewayError as exc:
            self._retries.labels(f"config_ask_{exc.kind.value}").inc()
            return False
        if reply.age_ms < NEVER_CONFIRMED_MS:
            self._freshness.confirm(
                held=self._owner.position, head=reply.position, at=asked_at - reply.age_ms
            )
        return True

    async def _fetch_state(self, peers: ports.Peers, vm: EntryVm) -> LogState:
        head = (first := await peers.ask(vm, STATE_TOPIC, StateRequest(0, 0))).head
        parts = [first.part]
        while len(parts) < head.parts:
            reply = await peers.ask(vm, STATE_TOPIC, StateRequest(head.position, len(parts)))
            if reply.head != head:
                head, parts = reply.head, []
                continue
            parts.append(reply.part)
        try:
            return decode_snapshot(Snapshot(head, tuple(parts)))
        except InvalidBytesError as exc:
            raise GatewayError(ErrorKind.PEER_UNREACHABLE, f"snapshot of {vm.id.name}") from exc

    async def _on_fetch(self, _: VmId, request: FetchRequest) -> FetchReply:
        owner, age_ms = self._owner, self._freshness.age_ms(self._clock.now())
        if not owner.loaded or request.after >= owner.position:
            return FetchReply(owner.position, age_ms)
        if not owner.keeps_all_after(request.after):
            return FetchReply(owner.position, age_ms, whole=True)
        entries = owner.recent_after(request.after)[:MAX_REPLY_ENTRIES]
        last = entries[-1].position
        # A truncated reply does not confirm that its last entry is the head.
        return FetchReply(last, age_ms if last == owner.position else NEVER_CONFIRMED_MS, entries)

    async def _on_state(self, _: VmId, request: StateRequest) -> StateReply:
        snapshot = self._encoded_snapshot
        if snapshot is None or request.position != snapshot.head.position:
            if snapshot is None or snapshot.head.position != self._owner.position:
                snapshot = self._encoded_snapshot = encode_snapshot(self._owner.state)
            return StateReply(snapshot.head, snapshot.parts[0])
        return StateReply(snapshot.head, snapshot.parts[min(request.part, len(snapshot.parts) - 1)])

    def _on_note(self, vm: EntryVm, raw: bytes) -> None:
        try:
            note = decode_msgpack(raw, Note)
        except InvalidBytesError:
            return
        if note.position > self._owner.position:
            self._hinted_vm = vm
            self._hint_received.set()
