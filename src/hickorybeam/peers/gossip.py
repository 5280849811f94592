"""Gossip state: what heartbeats carry and how received ones are merged; no I/O, no clock reads.

VMs of one data centre exchange heartbeats, and so do the delegates of two data centres. Member
records and a VM's own notes travel in both kinds. A region's load forecasts leave it through its
delegates and then spread inside the other data centres; contacts with other data centres spread
only inside a data centre.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from hickorybeam.model import RegionLoad
from hickorybeam.peers.changes import ChangeLog
from hickorybeam.peers.heartbeat import Heartbeat, LoadForecast
from hickorybeam.peers.view import (
    DEPARTED_RETENTION_MS,
    MemberRecord,
    MembershipView,
    mark_silent,
    refute,
)

if TYPE_CHECKING:
    from hickorybeam.model import EntryVm, VmId

__all__ = ("GossipState", "Updates")

# A forecast is sent again once it changed by more than the fraction and, for waits, by more than
# the noise, or after the longest interval. The shortest interval lets it first cross the other
# data centres, where every heartbeat carries each changed forecast.
MIN_LOAD_INTERVAL_MS = 2_000
MIN_LOAD_CHANGE_FRACTION = 0.2
MIN_WAIT_CHANGE_MS = 20.0
MAX_LOAD_INTERVAL_MS = 5_000
LOAD_VALID_MS = 20_000


@dataclass(frozen=True, slots=True)
class Note:
    """A note published by a VM; an ``urgent`` one does not wait for the next heartbeat."""

    name: str
    data: bytes
    urgent: bool = False


@dataclass(frozen=True, slots=True)
class Contact:
    """The number of messages received from another data centre."""

    data_centre: str
    count: int


@dataclass(frozen=True, slots=True)
class OwnForecast:
    """A load forecast of this VM's own region."""

    forecast: LoadForecast


@dataclass(frozen=True, slots=True)
class RemoteForecast:
    """A load forecast of another region, and when it was received (monotonic time)."""

    forecast: LoadForecast
    at_ms: int


Item = MemberRecord | Note | Contact | OwnForecast | RemoteForecast


@dataclass(slots=True)
class SyncState:
    """How far this VM and a peer have exchanged their updates.

    ``received_seq`` is the peer's sequence number up to which its updates were received,
    ``acked_seq`` the own one up to which the peer acknowledged; ``synced`` is set by the first
    reply.
    """

    received_seq: int = 0
    acked_seq: int = 0
    synced: bool = False


@dataclass(frozen=True, slots=True)
class Updates:
    """What a received heartbeat changed in this VM's view."""

    members: tuple[MemberRecord, ...] = ()
    notes: tuple[Note, ...] = ()


class GossipState:
    """One VM's view of the fleet, and how far each peer has received it.

    :param own_vm: record of this VM.
    :param now_ms: monotonic time in ms.
    :param wall_ms: wall time in ms.
    """

    def __init__(self, own_vm: EntryVm, *, now_ms: int, wall_ms: int) -> None:
        self.view = MembershipView()
        self.superseded = False
        self.generation = 0
        self._changes: ChangeLog[Item] = ChangeLog()
        self._sync_states: dict[VmId, SyncState] = {}
        self._last_contact_ms: dict[str, int] = {}
        self._started_ms = now_ms
        self._own_record = MemberRecord(vm=own_vm, at_ms=wall_ms)
        self._merge(self._own_record, None)

    @property
    def own_vm(self) -> EntryVm:
        """The record of this VM as last announced."""
        return self._own_record.vm

    @property
    def own_record(self) -> MemberRecord:
        """The member record of this VM."""
        return self._own_record

    def announce(self, own_vm: EntryVm, *, wall_ms: int, gone: bool = False) -> None:
        """Announce a changed record of this VM, at the next version."""
        version = self._own_record.version + 1
        self._own_record = MemberRecord(vm=own_vm, version=version, gone=gone, at_ms=wall_ms)
        self._merge(self._own_record, None)

    def add_peer(self, record: MemberRecord) -> None:
        """Merge the record of a VM that has just replied with it."""
        if record.vm.id.name != self.own_vm.id.name:
            self._merge(record, None)

    def mark_silent(self, vm: VmId, *, wall_ms: int) -> bool:
        """Mark a VM as silent.

        :return: whether this changed the view.
        """
        record = self.view.get(vm.name)
        if record is None or record.vm.id != vm or not record.live:
            return False
        return self._merge(mark_silent(record, wall_ms), None)

    def publish(self, name: str, data: bytes, *, urgent: bool) -> bool:
        """Set a note of this VM.

        :return: whether it changed.
        """
        note = Note(name, data, urgent)
        if self._changes.get(("note", name)) == note:
            return False
        self._changes.put(("note", name), note)
        return True

    def set_own_load(self, load: RegionLoad, *, wall_ms: int) -> None:
        """Set a load forecast of the own region, if it changed or was last sent long ago."""
        key = ("own", load.region, load.served)
        known = self._changes.get(key)
        if isinstance(known, OwnForecast) and not _should_send(known.forecast, load, wall_ms):
            return
        forecast = LoadForecast(
            load.region, load.served, round(load.wait_ms), round(load.free_tokens), wall_ms
        )
        self._changes.put(key, OwnForecast(forecast))

    def region_loads(self, now_ms: int) -> tuple[RegionLoad, ...]:
        """Return the load forecasts of other regions that are not too old to act on."""
        return tuple(
            RegionLoad(
                region=item.forecast.region,
                served=item.forecast.served,
                wait_ms=float(item.forecast.wait_ms),
                free_tokens=float(item.forecast.free_tokens),
                at_ms=item.at_ms,
            )
            for item in self._changes.since(0)
            if isinstance(item, RemoteForecast) and now_ms - item.at_ms <= LOAD_VALID_MS
        )

    def record_data_centre_contact(self, data_centre: str, *, now_ms: int) -> None:
        """Count a message that this VM itself received from another data centre."""
        key = ("contact", data_centre)
        known = self._changes.get(key)
        count = known.count + 1 if isinstance(known, Contact) else 1
        self._changes.put(key, Contact(data_centre, count))
        self._last_contact_ms[data_centre] = now_ms

    def ms_since_contact(self, data_centre: str, now_ms: int) -> int:
        """Return the time since any VM here last received a message from a data centre, in ms."""
        return now_ms - self._last_contact_ms.get(data_centre, self._started_ms)

    def exclude_pause(self, ms: int, now_ms: int) -> None:
        """Exclude a pause of this process from the time since data centres were last seen."""
        for name, last_seen_ms in self._last_contact_ms.items():
            self._last_contact_ms[name] = min(now_ms, last_seen_ms + ms)

    def has_urgent_updates(self, to: VmId) -> bool:
        """Return whether a peer has not acknowledged a changed record or an urgent note."""
        sync = self._sync_states.get(to, SyncState())
        return any(
            isinstance(item, MemberRecord) or (isinstance(item, Note) and item.urgent)
            for item in self._changes.since(sync.acked_seq, to=to)
        )

    def next_heartbeat(self, to: EntryVm) -> Heartbeat:
        """Return the next heartbeat to a peer."""
        sync = self._sync_states.setdefault(to.id, SyncState())
        since_seq = sync.acked_seq if sync.synced else None
        return self._build_heartbeat(
            to.id, to.data_centre, received_seq=sync.received_seq, since_seq=since_seq
        )

    def on_request(
        self, sender: VmId, heartbeat: Heartbeat, *, now_ms: int, wall_ms: int
    ) -> tuple[Heartbeat, Updates]:
        """Merge a peer's heartbeat and return the reply."""
        updates = self._apply(sender, heartbeat, now_ms=now_ms, wall_ms=wall_ms)
        sync = self._sync_states.setdefault(sender, SyncState())
        same = heartbeat.digest == self.view.digest
        if heartbeat.whole or same:
            sync.received_seq = max(sync.received_seq, heartbeat.seq)
        sync.acked_seq = heartbeat.have
        since_seq = None if heartbeat.have == 0 and same else heartbeat.have
        reply = self._build_heartbeat(
            sender, heartbeat.data_centre, received_seq=sync.received_seq, since_seq=since_seq
        )
        return replace(reply, same=same), updates

    def on_reply(
        self, to: VmId, request: Heartbeat, reply: Heartbeat, *, now_ms: int, wall_ms: int
    ) -> Updates:
        """Merge the reply to a heartbeat."""
        updates = self._apply(to, reply, now_ms=now_ms, wall_ms=wall_ms)
        sync = self._sync_states.setdefault(to, SyncState())
        sync.received_seq = max(sync.received_seq, reply.seq)
        if sync.synced or reply.same:
            sync.acked_seq = request.seq
        sync.synced = True
        return updates

    def prune(self, wall_ms: int) -> None:
        """Remove VMs that departed long ago, and the sync state of all that are not live."""
        for name in self.view.remove_departed(wall_ms):
            self._changes.remove(("member", name))
        for vm in tuple(self._sync_states):
            record = self.view.get(vm.name)
            if record is None or record.vm.id != vm or not record.live:
                del self._sync_states[vm]

    def _build_heartbeat(
        self, to: VmId, data_centre: str, *, received_seq: int, since_seq: int | None
    ) -> Heartbeat:
        # Views are usually equal at the first exchange, so of all records only the own one is sent.
        local = data_centre == self.own_vm.data_centre
        members: list[MemberRecord] = []
        notes: dict[str, bytes] = {}
        loads: list[LoadForecast] = []
        contacts: dict[str, int] = {}
        for item in self._changes.since(since_seq or 0, to=to):
            match item:
                case MemberRecord():
                    if since_seq is not None or item is self._own_record:
                        members.append(item)
                case Note(name, data):
                    notes[name] = data
                case OwnForecast(forecast) if not local:
                    loads.append(forecast)
                case RemoteForecast(forecast) if local:
                    loads.append(forecast)
                case Contact(name, count) if local:
                    contacts[name] = count
        return Heartbeat(
            have=received_seq,
            seq=self._changes.seq,
            digest=self.view.digest,
            data_centre=self.own_vm.data_centre,
            whole=since_seq is not None,
            members=tuple(members),
            notes=notes,
            loads=tuple(loads),
            contacts=contacts,
        )

    def _apply(self, sender: VmId, heartbeat: Heartbeat, *, now_ms: int, wall_ms: int) -> Updates:
        members = tuple(
            record for record in heartbeat.members if self._merge_received(record, sender, wall_ms)
        )
        for load in heartbeat.loads:
            self._merge_load(load, sender, now_ms)
        for data_centre, count in heartbeat.contacts.items():
            self._merge_contact(data_centre, count, sender, now_ms)
        if heartbeat.data_centre != self.own_vm.data_centre:
            self.record_data_centre_contact(heartbeat.data_centre, now_ms=now_ms)
        # Two heartbeats of a peer, one of them a reply, can overtake each other: the older one must
        # not replace a newer note.
        if heartbeat.seq <= self._sync_states.setdefault(sender, SyncState()).received_seq:
            return Updates(members)
        return Updates(members, tuple(Note(name, data) for name, data in heartbeat.notes.items()))

    def _merge_received(self, record: MemberRecord, source: VmId, wall_ms: int) -> bool:
        if record.vm.id.name == self.own_vm.id.name:
            return self._merge_own(record, source, wall_ms)
        if not record.live and wall_ms - record.at_ms > DEPARTED_RETENTION_MS:
            return False
        return self._merge(record, source)

    def _merge_own(self, record: MemberRecord, source: VmId, wall_ms: int) -> bool:
        own_record = self._own_record
        if record.vm.id.incarnation > own_record.vm.id.incarnation:
            # A later process has this VM's name: this one was replaced while it was paused or cut
            # off. It must not contend for the name, and only merges the record.
            self.superseded = True
            return self._merge(record, source)
        if record.vm.id == own_record.vm.id and not own_record.gone and not record.live:
            self._own_record = refute(own_record, record, wall_ms)
            return self._merge(self._own_record, None)
        return False

    def _merge(self, record: MemberRecord, source: VmId | None) -> bool:
        if not self.view.merge(record):
            return False
        self._changes.put(("member", record.vm.id.name), record, source=source)
        self.generation += 1
        return True

    def _merge_load(self, forecast: LoadForecast, source: VmId, now_ms: int) -> None:
        if forecast.region == self.own_vm.region:
            return
        key = ("load", forecast.region, forecast.served)
        known = self._changes.get(key)
        if isinstance(known, RemoteForecast) and known.forecast.stamp >= forecast.stamp:
            return
        self._changes.put(key, RemoteForecast(forecast, now_ms), source=source)

    def _merge_contact(self, data_centre: str, count: int, source: VmId, now_ms: int) -> None:
        key = ("contact", data_centre)
        known = self._changes.get(key)
        if isinstance(known, Contact) and known.count >= count:
            return
        self._changes.put(key, Contact(data_centre, count), source=source)
        self._last_contact_ms[data_centre] = now_ms


def _should_send(last_sent: LoadForecast, load: RegionLoad, wall_ms: int) -> bool:
    age_ms = wall_ms - last_sent.stamp
    if age_ms < MIN_LOAD_INTERVAL_MS or age_ms >= MAX_LOAD_INTERVAL_MS:
        return age_ms >= MAX_LOAD_INTERVAL_MS
    wait_step = max(
        MIN_WAIT_CHANGE_MS, MIN_LOAD_CHANGE_FRACTION * max(last_sent.wait_ms, load.wait_ms)
    )
    free_step = MIN_LOAD_CHANGE_FRACTION * max(last_sent.free_tokens, load.free_tokens, 1.0)
    return (
        abs(last_sent.wait_ms - load.wait_ms) > wait_step
        or abs(last_sent.free_tokens - load.free_tokens) > free_step
    )
