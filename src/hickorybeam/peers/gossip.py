"""What heartbeats say and what is learned from them; no I/O and no clock reads.

Two kinds of link: between VMs of one data centre, and between the delegates of two. Records
of VMs and a VM's own notes travel on both. A region's forecasts leave it by its delegates and
then spread inside the other data centres; contacts with other data centres spread inside one.
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

# A forecast is told again when it moved by a fifth and more than the noise, or after a while;
# and not more often than it can cross the other data centres, where each one that moves is
# carried by every heartbeat.
MIN_LOAD_INTERVAL_MS = 2_000
MIN_LOAD_CHANGE_FRACTION = 0.2
MIN_WAIT_CHANGE_MS = 20.0
MAX_LOAD_INTERVAL_MS = 5_000
LOAD_VALID_MS = 20_000


@dataclass(frozen=True, slots=True)
class Note:
    """One of the VM's own notes; ``urgent`` ones do not wait for the next heartbeat."""

    name: str
    data: bytes
    urgent: bool = False


@dataclass(frozen=True, slots=True)
class Contact:
    """How often a data centre was heard from."""

    data_centre: str
    count: int


@dataclass(frozen=True, slots=True)
class OwnForecast:
    """A forecast of this VM's own region."""

    forecast: LoadForecast


@dataclass(frozen=True, slots=True)
class RemoteForecast:
    """A forecast of another region and when it arrived here."""

    forecast: LoadForecast
    at_ms: int


Item = MemberRecord | Note | Contact | OwnForecast | RemoteForecast


@dataclass(slots=True)
class SyncState:
    """What two VMs have told each other, in the sequence numbers of each."""

    have: int = 0
    acked_seq: int = 0
    synced: bool = False


@dataclass(frozen=True, slots=True)
class Updates:
    """What a heartbeat changed here."""

    members: tuple[MemberRecord, ...] = ()
    notes: tuple[Note, ...] = ()


class GossipState:
    """One VM's view, and what each peer has been told of it.

    :param own_vm: this VM.
    :param now_ms: monotonic time.
    :param wall_ms: wall time.
    """

    def __init__(self, own_vm: EntryVm, *, now_ms: int, wall_ms: int) -> None:
        self.view = MembershipView()
        self.superseded = False
        self.generation = 0
        self._changes: ChangeLog[Item] = ChangeLog()
        self._sync_states: dict[VmId, SyncState] = {}
        self._contact_ms: dict[str, int] = {}
        self._began_ms = now_ms
        self._own_record = MemberRecord(vm=own_vm, at_ms=wall_ms)
        self._take(self._own_record, None)

    @property
    def own_vm(self) -> EntryVm:
        """This VM as it last announced itself."""
        return self._own_record.vm

    @property
    def own_record(self) -> MemberRecord:
        """This VM's own record."""
        return self._own_record

    def announce(self, own_vm: EntryVm, *, wall_ms: int, gone: bool = False) -> None:
        """Change what is known of this VM."""
        version = self._own_record.version + 1
        self._own_record = MemberRecord(vm=own_vm, version=version, gone=gone, at_ms=wall_ms)
        self._take(self._own_record, None)

    def add_peer(self, record: MemberRecord) -> None:
        """Take in a VM that has just answered for itself."""
        if record.vm.id.name != self.own_vm.id.name:
            self._take(record, None)

    def mark_silent(self, vm: VmId, *, wall_ms: int) -> bool:
        """Mark a VM as silent.

        :return: whether that changed the view.
        """
        record = self.view.get(vm.name)
        if record is None or record.vm.id != vm or not record.live:
            return False
        return self._take(mark_silent(record, wall_ms), None)

    def publish(self, name: str, data: bytes, *, urgent: bool) -> bool:
        """Set one of the VM's own notes.

        :return: whether it changed.
        """
        note = Note(name, data, urgent)
        if self._changes.get(("note", name)) == note:
            return False
        self._changes.put(("note", name), note)
        return True

    def set_own_load(self, load: RegionLoad, *, wall_ms: int) -> None:
        """Set a forecast of this VM's own region, if it moved or was told long ago."""
        key = ("own", load.region, load.served)
        known = self._changes.get(key)
        if isinstance(known, OwnForecast) and not _moved(known.forecast, load, wall_ms):
            return
        forecast = LoadForecast(
            load.region, load.served, round(load.wait_ms), round(load.free_tokens), wall_ms
        )
        self._changes.put(key, OwnForecast(forecast))

    def region_loads(self, now_ms: int) -> tuple[RegionLoad, ...]:
        """Return other regions' forecasts that are not too old to act on."""
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
        """Note that another data centre was heard from, here and not by hearsay."""
        key = ("contact", data_centre)
        known = self._changes.get(key)
        count = known.count + 1 if isinstance(known, Contact) else 1
        self._changes.put(key, Contact(data_centre, count))
        self._contact_ms[data_centre] = now_ms

    def ms_since_contact(self, data_centre: str, now_ms: int) -> int:
        """Return for how long no VM of this data centre has heard from another one, in ms."""
        return now_ms - self._contact_ms.get(data_centre, self._began_ms)

    def exclude_pause(self, ms: int, now_ms: int) -> None:
        """Leave out of all silences a time in which this VM could not hear anything."""
        for name, last_seen_ms in self._contact_ms.items():
            self._contact_ms[name] = min(now_ms, last_seen_ms + ms)

    def has_urgent_updates(self, to: VmId) -> bool:
        """Whether a peer has not been told something that should not wait."""
        link = self._sync_states.get(to, SyncState())
        return any(
            isinstance(item, MemberRecord) or (isinstance(item, Note) and item.urgent)
            for item in self._changes.since(link.acked_seq, to=to)
        )

    def next_heartbeat(self, to: EntryVm) -> Heartbeat:
        """Return the next heartbeat to a peer."""
        link = self._sync_states.setdefault(to.id, SyncState())
        told = link.acked_seq if link.synced else None
        return self._message(to.id, to.data_centre, have=link.have, told=told)

    def on_request(
        self, sender: VmId, beat: Heartbeat, *, now_ms: int, wall_ms: int
    ) -> tuple[Heartbeat, Updates]:
        """Take in a peer's heartbeat and return the reply."""
        updates = self._apply(sender, beat, now_ms=now_ms, wall_ms=wall_ms)
        link = self._sync_states.setdefault(sender, SyncState())
        same = beat.digest == self.view.digest
        if beat.whole or same:
            link.have = max(link.have, beat.seq)
        link.acked_seq = beat.have
        told = None if beat.have == 0 and same else beat.have
        reply = self._message(sender, beat.data_centre, have=link.have, told=told)
        return replace(reply, same=same), updates

    def on_reply(
        self, to: VmId, request: Heartbeat, reply: Heartbeat, *, now_ms: int, wall_ms: int
    ) -> Updates:
        """Take in the reply to a heartbeat."""
        updates = self._apply(to, reply, now_ms=now_ms, wall_ms=wall_ms)
        link = self._sync_states.setdefault(to, SyncState())
        link.have = max(link.have, reply.seq)
        if link.synced or reply.same:
            link.acked_seq = request.seq
        link.synced = True
        return updates

    def prune(self, wall_ms: int) -> None:
        """Forget VMs long departed, and the links to all that are not alive."""
        for name in self.view.remove_departed(wall_ms):
            self._changes.drop(("member", name))
        for vm in tuple(self._sync_states):
            record = self.view.get(vm.name)
            if record is None or record.vm.id != vm or not record.live:
                del self._sync_states[vm]

    def _message(self, to: VmId, data_centre: str, *, have: int, told: int | None) -> Heartbeat:
        # On a first meeting the views are most often equal: only what says who I am goes out.
        local = data_centre == self.own_vm.data_centre
        members: list[MemberRecord] = []
        notes: dict[str, bytes] = {}
        loads: list[LoadForecast] = []
        contacts: dict[str, int] = {}
        for item in self._changes.since(told or 0, to=to):
            match item:
                case MemberRecord():
                    if told is not None or item is self._own_record:
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
            have=have,
            seq=self._changes.seq,
            digest=self.view.digest,
            data_centre=self.own_vm.data_centre,
            whole=told is not None,
            members=tuple(members),
            notes=notes,
            loads=tuple(loads),
            contacts=contacts,
        )

    def _apply(self, sender: VmId, beat: Heartbeat, *, now_ms: int, wall_ms: int) -> Updates:
        members = tuple(record for record in beat.members if self._learn(record, sender, wall_ms))
        for load in beat.loads:
            self._learn_load(load, sender, now_ms)
        for data_centre, count in beat.contacts.items():
            self._learn_contact(data_centre, count, sender, now_ms)
        if beat.data_centre != self.own_vm.data_centre:
            self.record_data_centre_contact(beat.data_centre, now_ms=now_ms)
        # Two heartbeats of a peer, one of them a reply, can overtake each other: an older one
        # must not put an older note in place of a newer.
        if beat.seq <= self._sync_states.setdefault(sender, SyncState()).have:
            return Updates(members)
        return Updates(members, tuple(Note(name, data) for name, data in beat.notes.items()))

    def _learn(self, record: MemberRecord, source: VmId, wall_ms: int) -> bool:
        if record.vm.id.name == self.own_vm.id.name:
            return self._hear_of_myself(record, source, wall_ms)
        if not record.live and wall_ms - record.at_ms > DEPARTED_RETENTION_MS:
            return False
        return self._take(record, source)

    def _hear_of_myself(self, record: MemberRecord, source: VmId, wall_ms: int) -> bool:
        own_record = self._own_record
        if record.vm.id.incarnation > own_record.vm.id.incarnation:
            # A later process has this VM's name: this one was paused or cut off while it was
            # replaced. It must not fight for the name; it only takes the news in.
            self.superseded = True
            return self._take(record, source)
        if record.vm.id == own_record.vm.id and not own_record.gone and not record.live:
            self._own_record = refute(own_record, record, wall_ms)
            return self._take(self._own_record, None)
        return False

    def _take(self, record: MemberRecord, source: VmId | None) -> bool:
        if not self.view.merge(record):
            return False
        self._changes.put(("member", record.vm.id.name), record, source=source)
        self.generation += 1
        return True

    def _learn_load(self, forecast: LoadForecast, source: VmId, now_ms: int) -> None:
        if forecast.region == self.own_vm.region:
            return
        key = ("load", forecast.region, forecast.served)
        known = self._changes.get(key)
        if isinstance(known, RemoteForecast) and known.forecast.stamp >= forecast.stamp:
            return
        self._changes.put(key, RemoteForecast(forecast, now_ms), source=source)

    def _learn_contact(self, data_centre: str, count: int, source: VmId, now_ms: int) -> None:
        key = ("contact", data_centre)
        known = self._changes.get(key)
        if isinstance(known, Contact) and known.count >= count:
            return
        self._changes.put(key, Contact(data_centre, count), source=source)
        self._contact_ms[data_centre] = now_ms


def _moved(told: LoadForecast, load: RegionLoad, wall_ms: int) -> bool:
    age_ms = wall_ms - told.stamp
    if age_ms < MIN_LOAD_INTERVAL_MS or age_ms >= MAX_LOAD_INTERVAL_MS:
        return age_ms >= MAX_LOAD_INTERVAL_MS
    wait_step = max(MIN_WAIT_CHANGE_MS, MIN_LOAD_CHANGE_FRACTION * max(told.wait_ms, load.wait_ms))
    free_step = MIN_LOAD_CHANGE_FRACTION * max(told.free_tokens, load.free_tokens, 1.0)
    return (
        abs(told.wait_ms - load.wait_ms) > wait_step
        or abs(told.free_tokens - load.free_tokens) > free_step
    )
