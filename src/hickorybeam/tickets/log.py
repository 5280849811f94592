"""The log of change tickets as it lies in the platform.

``config/head`` names the last position, ``config/log/<position>`` holds the tickets, and
``config/snapshot`` names the latest state written whole, in ``config/parts/<position>/<n>``.

A ticket is accepted by one transaction that compares the head alone. Every accepted ticket
moves the head, so an unmoved head implies that every object still carries the number that
the ticket was checked against; comparing the objects' numbers too could not fail by itself.
Comparing only that the next position is free would not do: once compaction has removed that
position, the delayed write of a paused VM would find it free again.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from hickorybeam.store import Compare, Delete, Put
from hickorybeam.tickets.codec import (
    Head,
    LogEntry,
    Snapshot,
    SnapshotHead,
    decode_snapshot,
    encode_snapshot,
)

if TYPE_CHECKING:
    from hickorybeam.store import Platform, WatchBatch
    from hickorybeam.tickets.apply import LogState

__all__ = ("LOG_PREFIX", "HeadRead", "Page", "TicketLog", "entries_of")

HEAD_KEY = "config/head"
LOG_PREFIX = "config/log/"
SNAPSHOT_KEY = "config/snapshot"
PARTS_PREFIX = "config/parts/"
PAGE_ENTRIES = 100
# The service's default limit of operations in one transaction is 128.
DELETES_PER_TXN = 100


@dataclass(frozen=True, slots=True)
class HeadRead:
    """The head and the revision of its last write, 0 when there is none yet."""

    head: Head
    mod_revision: int


@dataclass(frozen=True, slots=True)
class Page:
    """Entries in order without a gap, and the revision at which they were read."""

    entries: tuple[LogEntry, ...]
    revision: int


class TicketLog:
    """Reads and writes the log.

    :param platform: the port; its errors pass through.
    """

    def __init__(self, platform: Platform) -> None:
        self._platform = platform

    async def head(self) -> HeadRead:
        """Read the head."""
        found = await self._platform.read(HEAD_KEY)
        if not found.items:
            return HeadRead(Head(), 0)
        item = found.items[0]
        return HeadRead(msgspec.json.decode(item.value, type=Head), item.mod_revision)

    async def append(self, read: HeadRead, entry: LogEntry) -> bool:
        """Write a ticket after the head that was read; :return: whether the head was unmoved."""
        head = Head(entry.position, entry.ticket.number)
        done = await self._platform.txn(
            (Compare(HEAD_KEY, read.mod_revision),),
            (
                Put(_entry_key(entry.position), msgspec.json.encode(entry)),
                Put(HEAD_KEY, msgspec.json.encode(head)),
            ),
        )
        return done.done

    async def entries(self, after: int) -> Page:
        """Read the entries that follow a position, up to the first gap."""
        entries: list[LogEntry] = []
        while True:
            start = _entry_key(after + len(entries) + 1)
            read = await self._platform.read_prefix(LOG_PREFIX, start=start, limit=PAGE_ENTRIES)
            found = tuple(msgspec.json.decode(item.value, type=LogEntry) for item in read.items)
            for entry in found:
                if entry.position != after + len(entries) + 1:
                    return Page(tuple(entries), read.revision)
                entries.append(entry)
            if len(found) < PAGE_ENTRIES:
                return Page(tuple(entries), read.revision)

    async def snapshot_head(self) -> tuple[SnapshotHead | None, int]:
        """Read which state is written whole, and the revision of that note."""
        found = await self._platform.read(SNAPSHOT_KEY)
        if not found.items:
            return None, 0
        item = found.items[0]
        return msgspec.json.decode(item.value, type=SnapshotHead), item.mod_revision

    async def snapshot(self) -> LogState | None:
        """Read the latest state written whole, or ``None`` when there is none.

        A snapshot that is replaced while it is read lacks parts; the newer one is read then.
        """
        while True:
            head, _ = await self.snapshot_head()
            if head is None:
                return None
            found = await self._platform.read_prefix(_parts_prefix(head.position))
            if len(found.items) == head.parts:
                return decode_snapshot(Snapshot(head, tuple(item.value for item in found.items)))

    async def compact(self, state: LogState) -> bool:
        """Write a state whole and remove what the snapshot before it made needless.

        Entries between the two snapshots stay, so that a VM which is only a little behind
        still finds the tickets themselves. :return: whether this snapshot was put in place.
        """
        old, revision = await self.snapshot_head()
        if old is not None and old.position >= state.position:
            return False
        snapshot = encode_snapshot(state)
        for index, part in enumerate(snapshot.parts):
            await self._platform.txn((), (Put(_part_key(state.position, index), part),))
        # Two VMs may write snapshots at once: the note moves only from the one that was read.
        done = await self._platform.txn(
            (Compare(SNAPSHOT_KEY, revision),),
            (Put(SNAPSHOT_KEY, msgspec.json.encode(snapshot.head)),),
        )
        if not done.done:
            await self._drop_parts(snapshot.head)
        elif old is not None:
            await self._remove(old)
        return done.done

    async def _drop_parts(self, mine: SnapshotHead) -> None:
        placed, _ = await self.snapshot_head()
        if placed is not None and placed.position != mine.position:
            keys = (_part_key(mine.position, index) for index in range(mine.parts))
            await self._platform.txn((), tuple(Delete(key) for key in keys))

    async def _remove(self, old: SnapshotHead) -> None:
        parts = [_part_key(old.position, index) for index in range(old.parts)]
        read = await self._platform.read_prefix(LOG_PREFIX, limit=10 * DELETES_PER_TXN)
        last = _entry_key(old.position)
        keys = [*parts, *(item.key for item in read.items if item.key <= last)]
        for at in range(0, len(keys), DELETES_PER_TXN):
            chunk = keys[at : at + DELETES_PER_TXN]
            await self._platform.txn((), tuple(Delete(key) for key in chunk))


def entries_of(batch: WatchBatch) -> tuple[LogEntry, ...]:
    """Return the entries that a watch of the log brought."""
    return tuple(msgspec.json.decode(item.value, type=LogEntry) for item in batch.puts)


def _entry_key(position: int) -> str:
    return f"{LOG_PREFIX}{position:012d}"


def _parts_prefix(position: int) -> str:
    return f"{PARTS_PREFIX}{position:012d}/"


def _part_key(position: int, index: int) -> str:
    return f"{_parts_prefix(position)}{index:04d}"
