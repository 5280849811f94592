"""This VM's record in the store of requests that servers ended under, for after the end of all VMs.

What is blocked has records of its own. Ends that don't suffice yet would be lost if all VMs ended,
and counted anew from the next one on. A record is bound to a lease, so that nobody has to delete
it.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import anyio
import msgspec

from hickorybeam.errors import GatewayError
from hickorybeam.gateway.crashes.block_records import StoredCrash, stored_crashes, told_part
from hickorybeam.store import Put
from hickorybeam.untrusted import decode_json

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from hickorybeam.clock import Clock
    from hickorybeam.policy.crash_messages import ToldPart
    from hickorybeam.store import Platform, WatchBatch

__all__ = ("SuspectRecords",)

# A request that ends servers comes again within minutes.
LEASE_MS = 600_000
MIN_INTERVAL_MS = 200
# VMs that record what one server's end took with it. Where a rack ends, all VMs see it, and each
# record goes to each VM.
MAX_RECORDING_VMS = 40


class StoredSuspect(msgspec.Struct, frozen=True, array_like=True):
    """A request as the store keeps it: its key in hexadecimal, and the crashes under it."""

    key: str
    crashes: list[StoredCrash]


class SuspectRecords:
    """Keeps this VM's record, and reads those of all VMs.

    :param prefix: prefix of the records' keys.
    :param suspects: returns what this VM knows of the requests to record.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        store: Platform,
        prefix: str,
        vm: str,
        suspects: Callable[[], list[ToldPart]],
    ) -> None:
        self._clock = clock
        self._store = store
        self._prefix = prefix
        self._key = prefix + vm
        self._suspects = suspects
        self._rng = random.Random()
        self._due = anyio.Event()

    def plan_write(self, *, vms: int, is_repeated: bool) -> None:
        """Record what is known, now that a server ended here.

        :param vms: the number of known VMs, this one included.
        :param is_repeated: a request was there that another server had ended under.
        """
        if is_repeated or self._rng.random() * vms < MAX_RECORDING_VMS:
            self._due.set()

    async def keep(self) -> None:
        """Write when it is due, until cancelled."""
        while True:
            await self._due.wait()
            self._due = anyio.Event()
            await self._write()
            await self._clock.sleep(MIN_INTERVAL_MS)

    def apply(self, batch: WatchBatch) -> list[ToldPart]:
        """Return what a batch of changes of the store tells of requests."""
        told: list[ToldPart] = []
        for item in batch.puts:
            if item.key.startswith(self._prefix):
                told += self._decode(item.value)
        return told

    async def _write(self) -> None:
        stored = [
            StoredSuspect(it.part.hex(), stored_crashes(it.crashes, self._clock.wall()))
            for it in self._suspects()
        ]
        if not stored:
            return
        try:
            lease = await self._store.grant(LEASE_MS)
            await self._store.txn((), (Put(self._key, msgspec.json.encode(stored), lease),))
        except GatewayError:
            # The store is away: other VMs know the same. The next end is recorded again.
            return

    def _decode(self, value: bytes) -> Iterable[ToldPart]:
        try:
            stored = decode_json(value, list[StoredSuspect])
            wall_ms = self._clock.wall()
            return [
                told_part(bytes.fromhex(it.key), it.crashes, wall_ms, blocked=False)
                for it in stored
            ]
        except ValueError:
            return []
