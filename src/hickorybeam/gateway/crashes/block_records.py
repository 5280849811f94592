"""Records of what is blocked in the store, for VMs that start after all others have ended."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from hickorybeam.errors import GatewayError
from hickorybeam.model.bounds import BoundedInt  # noqa: TC001 - read by msgspec
from hickorybeam.policy.block_trials import trial_due_ms
from hickorybeam.policy.crash_evidence import KEEP_BLOCKED_MS
from hickorybeam.policy.crash_messages import ToldCrash, ToldPart
from hickorybeam.policy.crash_suspects import is_request_key
from hickorybeam.store import Compare, Delete, Put
from hickorybeam.untrusted import checked, decode_json

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hickorybeam.clock import Clock
    from hickorybeam.store import KeyValue, Platform, WatchBatch, Write

__all__ = ("BlockRecords", "StoredBlock", "StoredCrash", "stored_crashes", "told_part")

# The VM that has blocked a part records it at once. Others do if that fails, one after the other,
# so that the rest see the record before they write it.
MIN_WRITE_DELAY_MS = 2_000
MAX_WRITE_DELAY_MS = 10_000


class StoredCrash(msgspec.Struct, frozen=True, array_like=True):
    """A crash as the store keeps it: digests in hexadecimal, and the wall time in ms."""

    server: str
    at_ms: BoundedInt
    request: str


class StoredBlock(msgspec.Struct, frozen=True):
    """The record of a blocked part: its crashes, and the trials that were let through since."""

    crashes: list[StoredCrash]
    trials: BoundedInt = 0
    trial_ms: BoundedInt = 0

    def last_ms(self) -> int:
        """Return the wall time of the last crash or trial."""
        return max([self.trial_ms, *(crash.at_ms for crash in self.crashes)])


@dataclass(frozen=True, slots=True)
class _Record:
    block: StoredBlock
    revision: int


class BlockRecords:
    """Keeps the store's records of blocked parts in step with what this VM knows.

    :param prefix: prefix of the records' keys.
    """

    def __init__(self, *, clock: Clock, store: Platform, prefix: str) -> None:
        self._clock = clock
        self._store = store
        self._prefix = prefix
        self._rng = random.Random()
        self._records: dict[bytes, _Record] = {}
        self._write_due_ms: dict[bytes, int] = {}

    def apply(self, batch: WatchBatch) -> list[ToldPart]:
        """Apply a batch of changes of the store, and return what it tells of parts."""
        told = []
        for item in batch.puts:
            if (part := self._part_of(item.key)) is not None:
                told += self._apply_record(part, item)
        for key in batch.deletes:
            if (part := self._part_of(key)) is not None:
                told += self._apply_deletion(part)
        return told

    def plan_write(self, part: bytes, *, at_once: bool) -> None:
        """Record a blocked part soon, unless another VM does."""
        delay_ms = 0 if at_once else self._rng.uniform(MIN_WRITE_DELAY_MS, MAX_WRITE_DELAY_MS)
        self._write_due_ms[part] = self._clock.now() + round(delay_ms)

    async def write_due(self, blocked: dict[bytes, ToldPart]) -> None:
        """Record parts that are due, and delete records of parts that aren't blocked any more.

        :param blocked: what is known of each blocked part.
        """
        now = self._clock.now()
        for part, due_ms in tuple(self._write_due_ms.items()):
            if due_ms > now:
                continue
            del self._write_due_ms[part]
            told, record = blocked.get(part), self._records.get(part)
            if told is not None and record is None:
                await self._write(part, self._stored(told), revision=0)
            elif told is None and record is not None:
                await self._try(part, (), (Delete(self._key(part)),))

    async def take_trial(self, part: bytes) -> bool:
        """Take the fleet's next trial of a blocked part, if one is due.

        :return: whether this VM may let one request through. Without the store none may.
        """
        record = self._records.get(part)
        if record is None:
            return False
        block, wall_ms = record.block, self._clock.wall()
        due_ms = trial_due_ms(
            trials=block.trials, last_ms=block.last_ms(), of_request=is_request_key(part)
        )
        if due_ms is None or wall_ms < due_ms:
            return False
        taken = msgspec.structs.replace(block, trials=block.trials + 1, trial_ms=wall_ms)
        return await self._write(part, taken, revision=record.revision)

    def _apply_record(self, part: bytes, item: KeyValue) -> list[ToldPart]:
        try:
            block = decode_json(item.value, StoredBlock)
            told = told_part(part, block.crashes, self._clock.wall(), blocked=True)
        except ValueError:
            return []
        self._records[part] = _Record(block, item.mod_revision)
        if self._clock.wall() - block.last_ms() > KEEP_BLOCKED_MS:
            self.plan_write(part, at_once=False)
            return []
        return [told]

    def _apply_deletion(self, part: bytes) -> list[ToldPart]:
        """Clear a part of the crashes of a record that a VM has deleted."""
        record = self._records.pop(part, None)
        if record is None:
            return []
        cleared = [bytes.fromhex(crash.server) for crash in record.block.crashes]
        return [ToldPart(part, [], cleared, False)]

    def _stored(self, told: ToldPart) -> StoredBlock:
        return StoredBlock(stored_crashes(told.crashes, self._clock.wall()))

    async def _write(self, part: bytes, block: StoredBlock, *, revision: int) -> bool:
        key = self._key(part)
        return await self._try(
            part, (Compare(key, revision),), (Put(key, msgspec.json.encode(block)),)
        )

    async def _try(
        self, part: bytes, compares: tuple[Compare, ...], writes: tuple[Write, ...]
    ) -> bool:
        """Write to the store; if it doesn't respond, plan to look at the record again."""
        try:
            return (await self._store.txn(compares, writes)).done
        except GatewayError:
            self.plan_write(part, at_once=False)
            return False

    def _key(self, part: bytes) -> str:
        return self._prefix + part.hex()

    def _part_of(self, key: str) -> bytes | None:
        if not key.startswith(self._prefix):
            return None
        try:
            return bytes.fromhex(key.removeprefix(self._prefix))
        except ValueError:
            return None


def stored_crashes(crashes: Iterable[ToldCrash], wall_ms: int) -> list[StoredCrash]:
    """Return crashes as the store keeps them."""
    return [StoredCrash(it.server.hex(), wall_ms - it.age_ms, it.request.hex()) for it in crashes]


def told_part(
    part: bytes, crashes: Iterable[StoredCrash], wall_ms: int, *, blocked: bool
) -> ToldPart:
    """Return what a record of the store says of a part or request, as VMs tell it.

    :raises ValueError: a digest is no hexadecimal number, or VMs can't tell each other of it.
    """
    told = [
        ToldCrash(bytes.fromhex(it.server), wall_ms - it.at_ms, bytes.fromhex(it.request))
        for it in crashes
    ]
    return checked(ToldPart(part, told, [], blocked), ToldPart)
