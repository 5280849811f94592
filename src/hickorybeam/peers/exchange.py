"""What heartbeats say and what is learned from them; no I/O and no clock reads.

Two kinds of link: between VMs of one data centre, and between the delegates of two. Records
of VMs and a VM's own notes travel on both. A region's forecasts leave it by its delegates and
then spread inside the other data centres; contacts with other data centres spread inside one.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from hickorybeam.model import RegionLoad
from hickorybeam.peers.changes import Changes
from hickorybeam.peers.heartbeat import Heartbeat, LoadNews
from hickorybeam.peers.view import FORGET_MS, MemberRecord, Roster, accuse, refute

if TYPE_CHECKING:
    from hickorybeam.model import EntryVm, VmId

__all__ = ("Exchange", "News")

# A forecast is told again when it moved by a fifth and more than the noise, or after a while;
# and not more often than it can cross the other data centres, where each one that moves is
# carried by every heartbeat.
LOAD_SPACING_MS = 2_000
LOAD_STEP = 0.2
LOAD_NOISE_MS = 20.0
LOAD_REFRESH_MS = 5_000
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
class OwnLoad:
    """A forecast of this VM's own region."""

    news: LoadNews


@dataclass(frozen=True, slots=True)
class ForeignLoad:
    """A forecast of another region and when it arrived here."""

    news: LoadNews
    at_ms: int


Item = MemberRecord | Note | Contact | OwnLoad | ForeignLoad


@dataclass(slots=True)
class Link:
    """What two VMs have told each other, in the sequence numbers of each."""

    have: int = 0
    acked: int = 0
    met: bool = False


@dataclass(frozen=True, slots=True)
class News:
    """What a heartbeat changed here."""

    members: tuple[MemberRecord, ...] = ()
    notes: tuple[Note, ...] = ()


class Exchange:
    """One VM's view, and what each peer has been told of it.

    :param me: this VM.
    :param now_ms: monotonic time.
    :param wall_ms: wall time.
    """

    def __init__(self, me: EntryVm, *, now_ms: int, wall_ms: int) -> None:
        self.roster = Roster()
        self.superseded = False
        self.generation = 0
        self._changes: Changes[Item] = Changes()
        self._links: dict[VmId, Link] = {}
        self._contact_ms: dict[str, int] = {}
        self._began_ms = now_ms
        self._mine = MemberRecord(vm=me, at_ms=wall_ms)
        self._take(self._mine, None)

    @property
    def me(self) -> EntryVm:
        """This VM as it last announced itself."""
        return self._mine.vm

    @property
    def mine(self) -> MemberRecord:
        """This VM's own record."""
        return self._mine

    def announce(self, me: EntryVm, *, wall_ms: int, gone: bool = False) -> None:
        """Change what is known of this VM."""
        version = self._mine.version + 1
        self._mine = MemberRecord(vm=me, version=version, gone=gone, at_ms=wall_ms)
        self._take(self._mine, None)

    def meet(self, record: MemberRecord) -> None:
        """Take in a VM that has just answered for itself."""
        if record.vm.id.name != self.me.id.name:
            self._take(record, None)

    def accuse(self, vm: VmId, *, wall_ms: int) -> bool:
        """Mark a VM as silent.

        :return: whether that changed the view.
        """
        record = self.roster.get(vm.name)
        if record is None or record.vm.id != vm or not record.alive:
            return False
        return self._take(accuse(record, wall_ms), None)

    def publish(self, name: str, data: bytes, *, urgent: bool) -> bool:
        """Set one of the VM's own notes.

        :return: whether it changed.
        """
        note = Note(name, data, urgent)
        if self._changes.get(("note", name)) == note:
            return False
        self._changes.put(("note", name), note)
        return True

    def report(self, load: RegionLoad, *, wall_ms: int) -> None:
        """Set a forecast of this VM's own region, if it moved or was told long ago."""
        key = ("own", load.region, load.served)
        known = self._changes.get(key)
        if isinstance(known, OwnLoad) and not _moved(known.news, load, wall_ms):
            return
        news = LoadNews(
            load.region, load.served, round(load.wait_ms), round(load.free_tokens), wall_ms
        )
        self._changes.put(key, OwnLoad(news))

    def loads(self, now_ms: int) -> tuple[RegionLoad, ...]:
        """Return other regions' forecasts that are not too old to act on."""
        return tuple(
            RegionLoad(
                region=item.news.region,
                served=item.news.served,
                wait_ms=float(item.news.wait_ms),
                free_tokens=float(item.news.free_tokens),
                at_ms=item.at_ms,
            )
            for item in self._changes.since(0)
            if isinstance(item, ForeignLoad) and now_ms - item.at_ms <= LOAD_VALID_MS
        )

    def contact(self, data_centre: str, *, now_ms: int) -> None:
        """Note that another data centre was heard from, here and not by hearsay."""
        key = ("contact", data_centre)
        known = self._changes.get(key)
        count = known.count + 1 if isinstance(known, Contact) else 1
        self._changes.put(key, Contact(data_centre, count))
        self._contact_ms[data_centre] = now_ms

    def silent_for(self, data_centre: str, now_ms: int) -> int:
        """Return for how long no VM of this data centre has heard from another one, in ms."""
        return now_ms - self._contact_ms.get(data_centre, self._began_ms)

    def excuse(self, ms: int, now_ms: int) -> None:
        """Leave out of all silences a time in which this VM could not hear anything."""
        for name, heard_ms in self._contact_ms.items():
            self._contact_ms[name] = min(now_ms, heard_ms + ms)

    def owes(self, to: VmId) -> bool:
        """Whether a peer has not been told something that should not wait."""
        link = self._links.get(to, Link())
        return any(
            isinstance(item, MemberRecord) or (isinstance(item, Note) and item.urgent)
            for item in self._changes.since(link.acked, to=to)
        )

    def request(self, to: EntryVm) -> Heartbeat:
        """Return the next heartbeat to a peer."""
        link = self._links.setdefault(to.id, Link())
        told = link.acked if link.met else None
        return self._message(to.id, to.data_centre, have=link.have, told=told)

    def on_request(
        self, sender: VmId, beat: Heartbeat, *, now_ms: int, wall_ms: int
    ) -> tuple[Heartbeat, News]:
        """Take in a peer's heartbeat and return the reply."""
        news = self._apply(sender, beat, now_ms=now_ms, wall_ms=wall_ms)
        link = self._links.setdefault(sender, Link())
        same = beat.digest == self.roster.digest
        if beat.whole or same:
            link.have = max(link.have, beat.seq)
        link.acked = beat.have
        told = None if beat.have == 0 and same else beat.have
        reply = self._message(sender, beat.data_centre, have=link.have, told=told)
        return replace(reply, same=same), news

    def on_reply(
        self, to: VmId, request: Heartbeat, reply: Heartbeat, *, now_ms: int, wall_ms: int
    ) -> News:
        """Take in the reply to a heartbeat."""
        news = self._apply(to, reply, now_ms=now_ms, wall_ms=wall_ms)
        link = self._links.setdefault(to, Link())
        link.have = max(link.have, reply.seq)
        if link.met or reply.same:
            link.acked = request.seq
        link.met = True
        return news

    def tidy(self, wall_ms: int) -> None:
        """Forget VMs long departed, and the links to all that are not alive."""
        for name in self.roster.forget(wall_ms):
            self._changes.drop(("member", name))
        for vm in tuple(self._links):
            record = self.roster.get(vm.name)
            if record is None or record.vm.id != vm or not record.alive:
                del self._links[vm]

    def _message(self, to: VmId, data_centre: str, *, have: int, told: int | None) -> Heartbeat:
        # On a first meeting the views are most often equal: only what says who I am goes out.
        local = data_centre == self.me.data_centre
        members: list[MemberRecord] = []
        notes: dict[str, bytes] = {}
        loads: list[LoadNews] = []
        contacts: dict[str, int] = {}
        for item in self._changes.since(told or 0, to=to):
            match item:
                case MemberRecord():
                    if told is not None or item is self._mine:
                        members.append(item)
                case Note(name, data):
                    notes[name] = data
                case OwnLoad(news) if not local:
                    loads.append(news)
                case ForeignLoad(news) if local:
                    loads.append(news)
                case Contact(name, count) if local:
                    contacts[name] = count
        return Heartbeat(
            have=have,
            seq=self._changes.seq,
            digest=self.roster.digest,
            data_centre=self.me.data_centre,
            whole=told is not None,
            members=tuple(members),
            notes=notes,
            loads=tuple(loads),
            contacts=contacts,
        )

    def _apply(self, sender: VmId, beat: Heartbeat, *, now_ms: int, wall_ms: int) -> News:
        members = tuple(record for record in beat.members if self._learn(record, sender, wall_ms))
        for load in beat.loads:
            self._learn_load(load, sender, now_ms)
        for data_centre, count in beat.contacts.items():
            self._learn_contact(data_centre, count, sender, now_ms)
        if beat.data_centre != self.me.data_centre:
            self.contact(beat.data_centre, now_ms=now_ms)
        # Two heartbeats of a peer, one of them a reply, can overtake each other: an older one
        # must not put an older note in place of a newer.
        if beat.seq <= self._links.setdefault(sender, Link()).have:
            return News(members)
        return News(members, tuple(Note(name, data) for name, data in beat.notes.items()))

    def _learn(self, record: MemberRecord, source: VmId, wall_ms: int) -> bool:
        if record.vm.id.name == self.me.id.name:
            return self._hear_of_myself(record, source, wall_ms)
        if not record.alive and wall_ms - record.at_ms > FORGET_MS:
            return False
        return self._take(record, source)

    def _hear_of_myself(self, record: MemberRecord, source: VmId, wall_ms: int) -> bool:
        mine = self._mine
        if record.vm.id.incarnation > mine.vm.id.incarnation:
            # A later process has this VM's name: this one was paused or cut off while it was
            # replaced. It must not fight for the name; it only takes the news in.
            self.superseded = True
            return self._take(record, source)
        if record.vm.id == mine.vm.id and not mine.gone and not record.alive:
            self._mine = refute(mine, record, wall_ms)
            return self._take(self._mine, None)
        return False

    def _take(self, record: MemberRecord, source: VmId | None) -> bool:
        if not self.roster.merge(record):
            return False
        self._changes.put(("member", record.vm.id.name), record, source=source)
        self.generation += 1
        return True

    def _learn_load(self, news: LoadNews, source: VmId, now_ms: int) -> None:
        if news.region == self.me.region:
            return
        key = ("load", news.region, news.served)
        known = self._changes.get(key)
        if isinstance(known, ForeignLoad) and known.news.stamp >= news.stamp:
            return
        self._changes.put(key, ForeignLoad(news, now_ms), source=source)

    def _learn_contact(self, data_centre: str, count: int, source: VmId, now_ms: int) -> None:
        key = ("contact", data_centre)
        known = self._changes.get(key)
        if isinstance(known, Contact) and known.count >= count:
            return
        self._changes.put(key, Contact(data_centre, count), source=source)
        self._contact_ms[data_centre] = now_ms


def _moved(told: LoadNews, load: RegionLoad, wall_ms: int) -> bool:
    age_ms = wall_ms - told.stamp
    if age_ms < LOAD_SPACING_MS or age_ms >= LOAD_REFRESH_MS:
        return age_ms >= LOAD_REFRESH_MS
    wait_step = max(LOAD_NOISE_MS, LOAD_STEP * max(told.wait_ms, load.wait_ms))
    free_step = LOAD_STEP * max(told.free_tokens, load.free_tokens, 1.0)
    return (
        abs(told.wait_ms - load.wait_ms) > wait_step
        or abs(told.free_tokens - load.free_tokens) > free_step
    )
