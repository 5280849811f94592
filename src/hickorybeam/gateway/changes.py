"""Changes of the store's entries as one VM hands them to another."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import msgspec

from hickorybeam.store import KeyValue, WatchBatch

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ("ChangeLog", "Changes", "decode_changes", "decode_entries", "encode_entries")

# What is kept for others: about a minute of 20 changes a second, and no more bytes than this.
# Configurations may have a megabyte each: without the bound, a day's changes would take a VM's
# whole memory. Whoever lacks more reads the store.
MOST_KEPT = 1_000
MOST_KEPT_BYTES = 4_000_000


class _Entry(msgspec.Struct, frozen=True, array_like=True):
    key: str
    value: bytes
    revision: int

    def as_item(self) -> KeyValue:
        """Return it as the store gives it out."""
        return KeyValue(self.key, self.value, self.revision)


class _Batch(msgspec.Struct, frozen=True, array_like=True):
    revision: int
    puts: list[_Entry]
    deletes: list[str]

    def size(self) -> int:
        """Return the bytes of its values and keys."""
        return sum(len(it.key) + len(it.value) for it in self.puts) + sum(map(len, self.deletes))


class Changes(msgspec.Struct, frozen=True, array_like=True):
    """What one VM tells another that asked for the changes after a revision.

    ``revision`` is how far its own knowledge is complete. ``trouble_ms`` is how long ago it
    last failed to reach the store: entries that vanished since may have lapsed with it.
    """

    revision: int
    trouble_ms: int
    batches: list[_Batch]

    def as_batches(self) -> list[WatchBatch]:
        """Return the changes in order, as a watch brings them."""
        return [
            WatchBatch(
                it.revision,
                tuple(put.as_item() for put in it.puts),
                tuple(it.deletes),
            )
            for it in self.batches
        ]


def encode_entries(items: Iterable[KeyValue]) -> bytes:
    """Write entries for a VM that cannot reach the store, without their revisions.

    What it learns so must give way to whatever it reads from the store later.
    """
    return msgspec.msgpack.encode([_Entry(it.key, it.value, 0) for it in items])


def decode_entries(data: bytes) -> list[KeyValue]:
    """Read another VM's entries.

    :raises msgspec.MsgspecError: they cannot be read.
    """
    return [it.as_item() for it in msgspec.msgpack.decode(data, type=list[_Entry])]


class ChangeLog:
    """The latest changes that this VM learned, in order."""

    def __init__(self) -> None:
        self._batches: deque[_Batch] = deque()
        self._bytes = 0
        self._complete_after: int | None = None

    def restart(self, revision: int) -> None:
        """Forget all: everything was read anew, as of a revision."""
        self._batches.clear()
        self._bytes = 0
        self._complete_after = revision

    def add(self, batch: WatchBatch) -> None:
        """Keep a batch that a watch brought; empty ones are not kept."""
        if not batch.puts and not batch.deletes:
            return
        puts = [_Entry(it.key, it.value, it.mod_revision) for it in batch.puts]
        kept = _Batch(batch.revision, puts, list(batch.deletes))
        self._batches.append(kept)
        self._bytes += kept.size()
        while len(self._batches) > MOST_KEPT or self._bytes > MOST_KEPT_BYTES:
            oldest = self._batches.popleft()
            self._bytes -= oldest.size()
            self._complete_after = oldest.revision

    def after(self, revision: int, *, complete_to: int, trouble_ms: int) -> Changes | None:
        """Return the changes after a revision, or ``None`` where they are not known any more."""
        if self._complete_after is None or revision < self._complete_after:
            return None
        later = [it for it in self._batches if it.revision > revision]
        return Changes(complete_to, trouble_ms, later)


def decode_changes(data: bytes) -> Changes:
    """Read another VM's answer.

    :raises msgspec.MsgspecError: it cannot be read.
    """
    return msgspec.msgpack.decode(data, type=Changes)
