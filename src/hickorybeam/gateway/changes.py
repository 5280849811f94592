"""Changes of the store's entries, as one VM passes them to another."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import msgspec

from hickorybeam.model.bounds import BoundedInt, Revision  # noqa: TC001 - read by msgspec
from hickorybeam.store import KeyValue, WatchBatch
from hickorybeam.untrusted import decode_msgpack

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = (
    "ChangeLog",
    "ChangesResponse",
    "Snapshot",
    "decode_changes",
    "decode_entries",
    "decode_snapshot",
    "encode_entries",
    "encode_snapshot",
)

# About a minute at 20 changes a second. Bytes are bounded too: a configuration may have a
# megabyte, and a day's changes would fill the VM's memory. Older changes are read from the store.
MAX_KEPT_BATCHES = 1_000
MAX_KEPT_BYTES = 4_000_000


class _Entry(msgspec.Struct, frozen=True, array_like=True):
    key: str
    value: bytes
    revision: int

    def to_key_value(self) -> KeyValue:
        """Return the entry in the form that the store returns."""
        return KeyValue(self.key, self.value, self.revision)


class _Batch(msgspec.Struct, frozen=True, array_like=True):
    revision: int
    puts: list[_Entry]
    deletes: list[str]

    def size_bytes(self) -> int:
        """Return the size of the keys and values."""
        return sum(len(it.key) + len(it.value) for it in self.puts) + sum(map(len, self.deletes))


class ChangesResponse(msgspec.Struct, frozen=True, array_like=True):
    """Response of a VM that was asked for the changes after a revision.

    ``revision`` is the revision up to which the responder's state is complete. ``trouble_ms`` is
    the time since it last failed to reach the store: entries deleted since then may only have
    expired during the outage.
    """

    revision: Revision
    trouble_ms: BoundedInt
    batches: list[_Batch]

    def to_watch_batches(self) -> list[WatchBatch]:
        """Return the changes in order, in the form that a watch yields."""
        return [
            WatchBatch(
                it.revision,
                tuple(put.to_key_value() for put in it.puts),
                tuple(it.deletes),
            )
            for it in self.batches
        ]


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """All entries that a VM knows at a revision, for one that lacks changes dropped since.

    ``trouble_ms`` is that of a ``ChangesResponse``.
    """

    revision: Revision
    trouble_ms: BoundedInt
    entries: list[_Entry]

    def items(self) -> tuple[KeyValue, ...]:
        """Return the entries in the form that the store returns."""
        return tuple(it.to_key_value() for it in self.entries)


def encode_snapshot(revision: int, trouble_ms: int, items: Iterable[KeyValue]) -> bytes:
    """Encode all entries as of a revision."""
    entries = [_Entry(it.key, it.value, it.mod_revision) for it in items]
    return msgspec.msgpack.encode(Snapshot(revision, trouble_ms, entries))


def decode_snapshot(data: bytes) -> Snapshot:
    """Decode another VM's snapshot.

    :raises InvalidBytesError: the data is invalid.
    """
    snapshot: Snapshot = decode_msgpack(data, Snapshot)
    return snapshot


def encode_entries(items: Iterable[KeyValue]) -> bytes:
    """Encode entries for a VM that cannot reach the store.

    Revisions are left out (0), so that whatever that VM later reads from the store takes
    precedence.
    """
    return msgspec.msgpack.encode([_Entry(it.key, it.value, 0) for it in items])


def decode_entries(data: bytes) -> list[KeyValue]:
    """Decode entries that another VM sent.

    :raises InvalidBytesError: the data is invalid.
    """
    return [it.to_key_value() for it in decode_msgpack(data, list[_Entry])]


class ChangeLog:
    """Bounded log of the latest changes that this VM received, in order."""

    def __init__(self) -> None:
        self._batches: deque[_Batch] = deque()
        self._bytes = 0
        self._complete_after: int | None = None

    def reset(self, revision: int) -> None:
        """Drop all changes after everything was read from the store at a revision."""
        self._batches.clear()
        self._bytes = 0
        self._complete_after = revision

    def add(self, batch: WatchBatch) -> None:
        """Append a batch unless it is empty, and drop the oldest ones beyond the limits."""
        if not batch.puts and not batch.deletes:
            return
        puts = [_Entry(it.key, it.value, it.mod_revision) for it in batch.puts]
        kept = _Batch(batch.revision, puts, list(batch.deletes))
        self._batches.append(kept)
        self._bytes += kept.size_bytes()
        while len(self._batches) > MAX_KEPT_BATCHES or self._bytes > MAX_KEPT_BYTES:
            oldest = self._batches.popleft()
            self._bytes -= oldest.size_bytes()
            self._complete_after = oldest.revision

    def changes_after(
        self, revision: int, *, complete_to: int, trouble_ms: int
    ) -> ChangesResponse | None:
        """Return the changes after a revision, or ``None`` if some of them were dropped."""
        if self._complete_after is None or revision < self._complete_after:
            return None
        later = [it for it in self._batches if it.revision > revision]
        return ChangesResponse(complete_to, trouble_ms, later)


def decode_changes(data: bytes) -> ChangesResponse:
    """Decode another VM's response.

    :raises InvalidBytesError: the data is invalid.
    """
    changes: ChangesResponse = decode_msgpack(data, ChangesResponse)
    return changes
