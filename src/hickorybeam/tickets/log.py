"""Storage of the log of change tickets in the platform.

``config/head`` holds the last position, ``config/log/<position>`` the tickets, and
``config/snapshot`` the head of the latest snapshot, whose parts are in
``config/parts/<position>/<n>``.

A ticket is appended by one transaction that compares only the head. Every accepted ticket
changes the head, so an unchanged head implies that every object still has the number that the
ticket was checked against; also comparing the objects' numbers would add nothing. Comparing
only that the next position is free would not be enough: once compaction has removed that
position, the delayed write of a paused VM would find it free again.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.store import Compare, Delete, Put
from hickorybeam.store.values import json_value
from hickorybeam.tickets.codec import (
    Head,
    LogEntry,
    Snapshot,
    SnapshotHead,
    decode_snapshot,
    encode_snapshot,
)
from hickorybeam.untrusted import InvalidBytesError

if TYPE_CHECKING:
    from hickorybeam.store import Platform, WatchBatch
    from hickorybeam.tickets.apply import LogState

__all__ = ("LOG_PREFIX", "HeadRead", "Page", "TicketLog", "entries_of")

HEAD_KEY = "config/head"
LOG_PREFIX = "config/log/"
SNAPSHOT_KEY = "config/snapshot"
PARTS_PREFIX = "config/parts/"
MAX_PAGE_ENTRIES = 100
# The platform service by default allows 128 operations in one transaction.
MAX_DELETES_PER_TXN = 100


@dataclass(frozen=True, slots=True)
class HeadRead:
    """The head and the revision of its last write; 0 if it was never written."""

    head: Head
    mod_revision: int


@dataclass(frozen=True, slots=True)
class Page:
    """Consecutive entries in order, and the revision at which they were read."""

    entries: tuple[LogEntry, ...]
    revision: int


class TicketLog:
    """Reads, appends to and compacts the log.

    :param platform: key-value store that holds the log; its errors are passed on.
    """

    def __init__(self, platform: Platform) -> None:
        self._platform = platform

    async def head(self) -> HeadRead:
        """Return the head of the log."""
        found = await self._platform.read(HEAD_KEY)
        if not found.items:
            return HeadRead(Head(), 0)
        item = found.items[0]
        return HeadRead(json_value(item, Head), item.mod_revision)

    async def append(self, read: HeadRead, entry: LogEntry) -> bool:
        """Append a ticket after the head that was read; :return: whether the head was unchanged."""
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
        """Return the entries that follow a position, up to the first gap."""
        entries: list[LogEntry] = []
        while True:
            start = _entry_key(after + len(entries) + 1)
            read = await self._platform.read_prefix(LOG_PREFIX, start=start, limit=MAX_PAGE_ENTRIES)
            found = tuple(json_value(item, LogEntry) for item in read.items)
            for entry in found:
                if entry.position != after + len(entries) + 1:
                    return Page(tuple(entries), read.revision)
                entries.append(entry)
            if len(found) < MAX_PAGE_ENTRIES:
                return Page(tuple(entries), read.revision)

    async def snapshot_head(self) -> tuple[SnapshotHead | None, int]:
        """Return the head of the latest snapshot, and the revision of its last write."""
        found = await self._platform.read(SNAPSHOT_KEY)
        if not found.items:
            return None, 0
        item = found.items[0]
        return json_value(item, SnapshotHead), item.mod_revision

    async def snapshot(self) -> LogState | None:
        """Return the state of the latest snapshot, or ``None`` when there is none.

        A snapshot that is replaced while it is read lacks parts; then the newer one is read.
        """
        while True:
            head, _ = await self.snapshot_head()
            if head is None:
                return None
            found = await self._platform.read_prefix(_parts_prefix(head.position))
            if len(found.items) == head.parts:
                parts = tuple(item.value for item in found.items)
                return _readable_snapshot(Snapshot(head, parts))

    async def compact(self, state: LogState) -> bool:
        """Write a snapshot, then delete the previous one and the entries that it covers.

        Entries between the two snapshots stay, so that a VM that is only a little behind still
        finds the tickets themselves. :return: whether this snapshot became the latest.
        """
        old, revision = await self.snapshot_head()
        if old is not None and old.position >= state.position:
            return False
        snapshot = encode_snapshot(state)
        for index, part in enumerate(snapshot.parts):
            await self._platform.txn((), (Put(_part_key(state.position, index), part),))
        # Two VMs may write snapshots at once: only the one that sees the old head unchanged wins.
        done = await self._platform.txn(
            (Compare(SNAPSHOT_KEY, revision),),
            (Put(SNAPSHOT_KEY, msgspec.json.encode(snapshot.head)),),
        )
        if not done.done:
            await self._delete_unused_parts(snapshot.head)
        elif old is not None:
            await self._delete_superseded(old)
        return done.done

    async def _delete_unused_parts(self, own: SnapshotHead) -> None:
        current, _ = await self.snapshot_head()
        if current is not None and current.position != own.position:
            keys = (_part_key(own.position, index) for index in range(own.parts))
            await self._platform.txn((), tuple(Delete(key) for key in keys))

    async def _delete_superseded(self, old: SnapshotHead) -> None:
        parts = [_part_key(old.position, index) for index in range(old.parts)]
        read = await self._platform.read_prefix(LOG_PREFIX, limit=10 * MAX_DELETES_PER_TXN)
        last = _entry_key(old.position)
        keys = [*parts, *(item.key for item in read.items if item.key <= last)]
        for at in range(0, len(keys), MAX_DELETES_PER_TXN):
            chunk = keys[at : at + MAX_DELETES_PER_TXN]
            await self._platform.txn((), tuple(Delete(key) for key in chunk))


def _readable_snapshot(snapshot: Snapshot) -> LogState:
    try:
        return decode_snapshot(snapshot)
    except InvalidBytesError as exc:
        raise GatewayError(ErrorKind.PLATFORM_OUT, f"snapshot can't be read: {exc}") from exc


def entries_of(batch: WatchBatch) -> tuple[LogEntry, ...]:
    """Return the log entries in a batch of a watch."""
    return tuple(json_value(item, LogEntry) for item in batch.puts)


def _entry_key(position: int) -> str:
    return f"{LOG_PREFIX}{position:012d}"


def _parts_prefix(position: int) -> str:
    return f"{PARTS_PREFIX}{position:012d}/"


def _part_key(position: int, index: int) -> str:
    return f"{_parts_prefix(position)}{index:04d}"
