"""The stand-in platform within one process: fault switches, and a client without HTTP."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import anyio
import anyio.lowlevel

from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.kernel import Service, Started
from hickorybeam.standins.store import Store
from hickorybeam.store import (
    MAX_VALUE_BYTES,
    Compare,
    Delete,
    KeyValue,
    Put,
    ReadResult,
    TxnResult,
    WatchBatch,
    Write,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from hickorybeam.clock import Clock

__all__ = ("Faults", "MemoryPlatform", "PlatformStandIn")

TICK_MS = 50


class Faults:
    """Switches of the faults on the way between one client, or all, and the platform.

    ``out`` refuses every call with nothing written. ``slow_ms`` delays each. The next
    ``lose_answers`` writes take effect and their answers are lost; the next ``drop_requests``
    calls, or ``drop_writes`` writes, are lost before they take effect. ``out_after_lost`` takes
    the platform out with the first answer that is lost. :meth:`silence_watches` makes the
    watches that are open now say nothing more, for good, while new ones work.
    """

    def __init__(self, wake: Callable[[], None]) -> None:
        self._wake = wake
        self.out = False
        self.slow_ms = 0
        self.lose_answers = 0
        self.drop_requests = 0
        self.drop_writes = 0
        self.out_after_lost = False
        self.silenced = 0

    def set_out(self, out: bool) -> None:
        """Take the platform out or bring it back; open watches break."""
        self.out = out
        self._wake()

    def silence_watches(self) -> None:
        """Silence the watches that are open now."""
        self.silenced += 1
        self._wake()

    def take_lost_answer(self) -> bool:
        """Whether the answer of this write is lost."""
        lost = self.lose_answers > 0
        self.lose_answers -= lost
        if lost and self.out_after_lost:
            self.set_out(True)
        return lost

    def take_dropped_request(self, *, write: bool) -> bool:
        """Whether this call is lost before it takes effect."""
        if write and self.drop_writes > 0:
            self.drop_writes -= 1
            return True
        lost = self.drop_requests > 0
        self.drop_requests -= lost
        return lost


class PlatformStandIn:
    """One store with its clock, its faults and the count of the calls made of it."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.store = Store()
        self.calls: Counter[str] = Counter()
        self.bytes_sent = 0
        self.open_watches = 0
        self.faults = self.new_faults()
        self._changed = anyio.Event()

    def new_faults(self) -> Faults:
        """Return switches for one client, beside the ones that hold for all."""
        return Faults(self.notify)

    def notify(self) -> None:
        """Wake every watch."""
        self._changed.set()
        self._changed = anyio.Event()

    def lapse(self, lease: int) -> None:
        """End a lease now, as after a pause of its holder."""
        self.store.revoke(lease)
        self.notify()

    def count(self, kind: str, size: int = 0) -> None:
        """Count one call and the bytes of its answer."""
        self.calls[kind] += 1
        self.bytes_sent += size

    def expire(self) -> None:
        """End leases whose time has passed."""
        before = self.store.revision
        self.store.expire(self.clock.now())
        if self.store.revision != before:
            self.notify()

    async def run(self) -> None:
        """End leases on time, also when nobody calls."""
        while True:
            await self.clock.sleep(TICK_MS)
            self.expire()

    async def watch(
        self, prefix: str, after: int, faults: tuple[Faults, ...]
    ) -> AsyncIterator[WatchBatch]:
        """Yield changes after a revision, or go silent or break as the faults say."""
        silenced = [switch.silenced for switch in faults]
        self.open_watches += 1
        try:
            async for batch in self._changes(prefix, after, faults, silenced):
                self.bytes_sent += sum(len(item.value) for item in batch.puts)
                yield batch
        finally:
            self.open_watches -= 1

    async def _changes(
        self, prefix: str, after: int, faults: tuple[Faults, ...], silenced: list[int]
    ) -> AsyncIterator[WatchBatch]:
        while True:
            if any(switch.out for switch in faults):
                raise GatewayError(ErrorKind.PLATFORM_OUT, "the watch broke")
            changed = self._changed
            for batch in self.store.changes_after(after, prefix):
                if silenced != [switch.silenced for switch in faults]:
                    await anyio.sleep_forever()
                yield batch
                after = batch.revision
            await changed.wait()


class MemoryPlatform(Service):
    """The platform port over a stand-in of the same process, as one client sees it.

    :param stand_in: the store, which several clients may share.
    :param prefix: the namespace of this client's keys.
    """

    name = "platform"

    def __init__(self, stand_in: PlatformStandIn, *, prefix: str = "/hickorybeam/") -> None:
        self.stand_in = stand_in
        self.faults = stand_in.new_faults()
        self._prefix = prefix

    async def main(self, started: Started) -> None:
        """Keep the leases of the stand-in."""
        started()
        await self.stand_in.run()

    async def read(self, key: str, *, limit: int = 0) -> ReadResult:
        """Read one key."""
        await self._arrive("read", write=False)
        return self._strip(self.stand_in.store.read(self._prefix + key))

    async def read_prefix(self, prefix: str, *, start: str = "", limit: int = 0) -> ReadResult:
        """Read the keys under a prefix."""
        await self._arrive("read", write=False)
        first = self._prefix + start if start else ""
        found = self.stand_in.store.read_prefix(self._prefix + prefix, start=first, limit=limit)
        return self._strip(found)

    async def txn(self, compares: tuple[Compare, ...], writes: tuple[Write, ...]) -> TxnResult:
        """Apply all writes if every comparison holds, else none."""
        for write in writes:
            if isinstance(write, Put) and len(write.value) > MAX_VALUE_BYTES:
                raise GatewayError(ErrorKind.VALUE_TOO_LARGE, f"{len(write.value)} bytes")
        await self._arrive("txn", write=True)
        done = self.stand_in.store.txn(
            tuple(Compare(self._prefix + each.key, each.mod_revision) for each in compares),
            tuple(self._absolute(write) for write in writes),
        )
        self.stand_in.notify()
        self._depart()
        return done

    async def grant(self, ttl_ms: int) -> int:
        """Create a lease."""
        await self._arrive("lease", write=True)
        lease = self.stand_in.store.grant(ttl_ms, self.stand_in.clock.now())
        self._depart()
        return lease

    async def keep_alive(self, lease: int) -> int:
        """Renew a lease."""
        await self._arrive("lease", write=False)
        left = self.stand_in.store.keep_alive(lease, self.stand_in.clock.now())
        if not left:
            raise GatewayError(ErrorKind.LEASE_LOST)
        return left

    async def revoke(self, lease: int) -> None:
        """End a lease."""
        await self._arrive("lease", write=True)
        self.stand_in.lapse(lease)
        self._depart()

    async def watch(self, prefix: str, *, after: int) -> AsyncIterator[WatchBatch]:
        """Yield changes after a revision."""
        await self._arrive("watch", write=False)
        faults = (self.stand_in.faults, self.faults)
        async for batch in self.stand_in.watch(self._prefix + prefix, after, faults):
            puts = tuple(self._relative(item) for item in batch.puts)
            deletes = tuple(key.removeprefix(self._prefix) for key in batch.deletes)
            yield WatchBatch(batch.revision, puts, deletes)

    async def _arrive(self, kind: str, *, write: bool) -> None:
        await anyio.lowlevel.checkpoint()
        for switch in (self.stand_in.faults, self.faults):
            if switch.out:
                raise GatewayError(ErrorKind.PLATFORM_OUT, "the stand-in is out")
            if switch.take_dropped_request(write=write):
                raise self._lost(write=write)
            if switch.slow_ms:
                await self.stand_in.clock.sleep(switch.slow_ms)
        self.stand_in.count(kind)
        self.stand_in.expire()

    def _depart(self) -> None:
        for switch in (self.stand_in.faults, self.faults):
            if switch.take_lost_answer():
                raise self._lost(write=True)

    def _lost(self, *, write: bool) -> GatewayError:
        kind = ErrorKind.PLATFORM_UNKNOWN if write else ErrorKind.PLATFORM_OUT
        return GatewayError(kind, "no answer came")

    def _absolute(self, write: Write) -> Write:
        match write:
            case Put(key=key, value=value, lease=lease):
                return Put(self._prefix + key, value, lease)
            case Delete(key=key):
                return Delete(self._prefix + key)

    def _relative(self, item: KeyValue) -> KeyValue:
        key = item.key.removeprefix(self._prefix)
        return KeyValue(key, item.value, item.mod_revision, item.lease)

    def _strip(self, result: ReadResult) -> ReadResult:
        self.stand_in.bytes_sent += sum(len(item.value) for item in result.items)
        return ReadResult(result.revision, tuple(self._relative(item) for item in result.items))
