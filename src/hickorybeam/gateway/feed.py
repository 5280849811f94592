"""The service ``feed``: keeps this VM's routing state in step with the store.

One read loads everything, then one watch over all keys follows the changes. In a large data
centre only a few VMs watch; the others request the changes from one of them when its status
report shows a later revision. While the store is unavailable, the known state stays in force; a
VM without a configuration fetches the entries of another VM.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, ClassVar

import anyio
import msgspec
from absl import logging

from hickorybeam.clock import MS_PER_SECOND
from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.gateway.changes import (
    ChangeLog,
    decode_changes,
    decode_snapshot,
    encode_entries,
    encode_snapshot,
)
from hickorybeam.gateway.known_entries import KnownEntries
from hickorybeam.gateway.pending_changes import PendingChanges, Step
from hickorybeam.gateway.routing_state import RoutingState
from hickorybeam.gateway.seed_bootstrap import SeedBootstrap
from hickorybeam.gateway.store_confirmation import StoreConfirmation
from hickorybeam.gateway.store_history import StoreHistory
from hickorybeam.gateway.vm_client import VmClient
from hickorybeam.kernel import Service
from hickorybeam.ports import FEED, PLATFORM
from hickorybeam.store import PollingPlatform, ReadResult, WatchBatch
from hickorybeam.untrusted import InvalidBytesError

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorybeam.clock import Clock
    from hickorybeam.http1.pool import Address
    from hickorybeam.kernel import Kernel, Started
    from hickorybeam.model.routing import RoutingConfig
    from hickorybeam.settings import GatewaySettings, Settings
    from hickorybeam.store import KeyValue
    from hickorybeam.telemetry import Counters

__all__ = ("CHANGES_PATH", "SNAPSHOT_PATH", "FeedService")

# On the peers' port, followed by the revision after which changes are requested.
CHANGES_PATH = "/changes/"
SNAPSHOT_PATH = "/snapshot"
INITIAL_RETRY_MS = 100
MAX_RETRY_MS = 1_200
# Servers whose leases expired during an outage of the store register again about 2 s after its
# return; an entry still missing then is gone for good.
SERVER_RECOVERY_MS = 2_200
# A server entry deleted within this time after the last failure of the store is taken to have
# expired with it.
RECENT_FAILURE_MS = 3_000
EXPIRY_CHECK_INTERVAL_MS = 200
# Longest lag behind another VM's revision, on top of the pauses of watches: a watcher receives a
# change within two pauses of its own watch, any other VM from the watchers.
MAX_LAG_MS = 1_000


class FeedService(Service):
    """Owns the routing state and notifies listeners of its changes."""

    name: ClassVar[str] = FEED
    needs: ClassVar[tuple[str, ...]] = (PLATFORM,)

    def __init__(self, *, cfg: Settings, clock: Clock, counters: Counters) -> None:
        self.routing_state = RoutingState()
        self._cfg = cfg
        self._clock = clock
        self._batch_listeners: list[Callable[[WatchBatch], None]] = []
        self._config_listeners: list[Callable[[], None]] = []
        self._last_failure_ms = -RECENT_FAILURE_MS
        self._recovered_ms = -SERVER_RECOVERY_MS
        self._store_reachable = False
        # Revision of the latest change known here, sent in status reports.
        self.revision = 0
        self._loaded = False
        self.history = StoreHistory()
        self.confirmation = StoreConfirmation(clock, self._catch_up)
        self._change_log = ChangeLog()
        self._pending = PendingChanges()
        # Whether this VM watches the store itself; otherwise it requests changes from `_source`.
        self.is_watcher = True
        self._source: Address | None = None
        self._changes_available = anyio.Event()
        self._config_known = anyio.Event()
        # Since when another VM has had a later revision, and that revision.
        self._lagging_since_ms: int | None = None
        self._missing_revision = 0
        self._follow_scope = anyio.CancelScope()
        self._vm_client = VmClient(clock)
        self.bootstrap = SeedBootstrap(
            clock=clock,
            vm_client=self._vm_client,
            own_host=cfg.vm.host,
            seeds=cfg.gateway.seeds if cfg.gateway else (),
            is_needed=lambda: self.routing_state.config is None,
            apply=self._apply_bootstrapped,
        )
        self.entries = KnownEntries(
            clock=clock,
            counters=counters,
            routing_state=self.routing_state,
            own_prefix=cfg.platform.prefix,
            on_config=self._record_config,
        )
        self._version_gauge = counters.gauge(
            "config_version", "Version of the configuration in force"
        )

    def bind(self, kernel: Kernel) -> None:
        """Look up the store."""
        self._store = kernel.find(PLATFORM, PollingPlatform)  # type: ignore[type-abstract]

    def reload(self, cfg: GatewaySettings) -> None:
        """Use the new seeds."""
        self.bootstrap.seeds = cfg.seeds

    def on_batch(self, listener: Callable[[WatchBatch], None]) -> None:
        """Register a listener for every batch of changes."""
        self._batch_listeners.append(listener)

    def on_config(self, listener: Callable[[], None]) -> None:
        """Register a listener that is called when another configuration comes into force."""
        self._config_listeners.append(listener)

    def encode_state(self) -> bytes:
        """Return all known entries, encoded for a VM that cannot reach the store."""
        return encode_entries(self.entries.values())

    async def main(self, started: Started) -> None:
        """Follow the store until cancelled."""
        logging.info(
            "following the store: %d entries known, latest change %d, complete to revision %d,"
            " all entries read: %s",
            len(self.entries),
            self.revision,
            self.history.complete_to,
            self._loaded,
        )
        self._pending.apply()
        started()
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._follow)
            tg.start_soon(self.confirmation.run)
            tg.start_soon(self._remove_expired)
            tg.start_soon(self.bootstrap.run)

    async def _follow(self) -> None:
        retry_ms = INITIAL_RETRY_MS
        while True:
            try:
                if not self._loaded:
                    await self._fetch_from_source()
                    await self._read_all()
                retry_ms = INITIAL_RETRY_MS
                with anyio.CancelScope() as self._follow_scope:
                    await (self._watch() if self.is_watcher else self._follow_source())
                continue
            except GatewayError as exc:
                self._loaded = False
                self._last_failure_ms = self._clock.now()
                self._record_failure(exc)
            await self._clock.sleep(retry_ms)
            retry_ms = min(MAX_RETRY_MS, retry_ms * 2)

    async def _fetch_from_source(self) -> bool:
        """Request changes from a live watcher before this VM reads the store again.

        The store may reject this VM but serve others in its data centre. Without their changes,
        this VM would use old entries for as long as that lasts; requested only after its reads
        had failed, they would report servers that turned cold seconds late.

        :return: whether it sent them. If not, it is asked again only after it reports a later
            revision.
        """
        if self._source is None or not self.history.complete_to:
            return False
        try:
            try:
                await self._fetch_changes(self._source)
            except GatewayError as exc:
                logging.info("cannot get changes from another VM, asking for all: %s", exc)
                await self._fetch_snapshot(self._source)
        except GatewayError as exc:
            logging.info("cannot get all entries from another VM: %s", exc)
            self._source = None
            return False
        return True

    def _record_failure(self, exc: GatewayError) -> None:
        if exc.kind is ErrorKind.WATCH_COMPACTED:
            logging.info("store: history was compacted, reading all entries again")
            return
        if self._store_reachable:
            logging.warning("store unreachable: %s", exc)
        self._store_reachable = False

    async def _watch(self) -> None:
        async for batch in self._store.watch("", after=self.history.complete_to):
            self._mark_reachable()
            self._receive(batch)

    async def _catch_up(self) -> None:
        """Apply all changes that the store has now, whatever a pending poll will bring.

        :raises GatewayError: the store can't be reached, or this VM has to read all entries.
        """
        if not self._loaded:
            raise GatewayError(ErrorKind.PLATFORM_OUT, "not all entries have been read")
        for batch in await self._store.catch_up("", after=self.history.complete_to):
            self._receive(batch)

    async def _follow_source(self) -> None:
        """Request changes whenever another VM has some; return if the store must be read."""
        while True:
            await self._changes_available.wait()
            self._changes_available = anyio.Event()
            # Without a source, the VM that has the changes was asked before and did not send them.
            if self._source is not None and not await self._fetch_from_source():
                self._loaded = False
                return

    async def _fetch_changes(self, source: Address) -> None:
        raw = await self._vm_client.get(source, f"{CHANGES_PATH}{self.history.complete_to}")
        try:
            changes = decode_changes(raw)
        except InvalidBytesError as exc:
            raise GatewayError(ErrorKind.PEER_UNREACHABLE, repr(exc)) from exc
        self._last_failure_ms = max(self._last_failure_ms, self._clock.now() - changes.trouble_ms)
        for batch in changes.to_watch_batches():
            self._receive(batch)
        self.history.note_complete(changes.revision)

    async def _fetch_snapshot(self, source: Address) -> None:
        """Request all entries of another VM, which has dropped changes that this one lacks.

        It does so when it reads all entries itself, as VMs do beside one that the store rejects.
        """
        raw = await self._vm_client.get(source, SNAPSHOT_PATH)
        try:
            snapshot = decode_snapshot(raw)
        except InvalidBytesError as exc:
            raise GatewayError(ErrorKind.PEER_UNREACHABLE, repr(exc)) from exc
        self._last_failure_ms = max(self._last_failure_ms, self._clock.now() - snapshot.trouble_ms)
        if snapshot.revision > self.history.complete_to:
            self._apply_all(snapshot.revision, snapshot.items())

    async def wait_for_config(self, limit_ms: float) -> None:
        """Wait until a configuration is known, or until the limit has passed."""
        with anyio.move_on_after(limit_ms / MS_PER_SECOND):
            await self._config_known.wait()

    def changes_after(self, revision: int) -> bytes | None:
        """Return the encoded changes after a revision, ``None`` if some are not known here."""
        if not self._loaded:
            return None
        trouble_ms = self._trouble_ms()
        found = self._change_log.changes_after(
            revision, complete_to=self.history.complete_to, trouble_ms=trouble_ms
        )
        return None if found is None else msgspec.msgpack.encode(found)

    def encode_snapshot(self) -> bytes | None:
        """Return all entries, encoded; ``None`` if some may not be known here."""
        if not self._loaded:
            return None
        items = self.entries.listed()
        return encode_snapshot(self.history.complete_to, self._trouble_ms(), items)

    @property
    def watches_store(self) -> bool:
        """Whether this VM watches the store and reaches it, so that others may request changes.

        A poll that the store leaves unanswered shows so only when it ends, seconds later, and the
        VM that takes over has a poll of its own to wait for. Other calls fail sooner.
        """
        reachable = self._store_reachable and not self._store.failing
        return self.is_watcher and self._loaded and reachable

    def set_watcher(self, is_watcher: bool) -> None:
        """Watch the store from now on, or leave that to other VMs of the data centre."""
        if is_watcher != self.is_watcher:
            logging.info("this VM %s the store", "watches" if is_watcher else "no longer watches")
            self.is_watcher = is_watcher
            self._follow_scope.cancel()

    def note_peer_revision(self, revision: int, now_ms: int, *, source: Address | None) -> None:
        """Process the revision that another VM reported.

        :param source: address to request its changes from; ``None`` if it can't provide them.
        """
        if revision > self.history.complete_to and source is not None:
            self._source = source
            self._changes_available.set()
        self._check_lag(revision, now_ms)

    def _check_lag(self, revision: int, now_ms: int) -> None:
        """Read all entries again if another VM has had a later revision for too long.

        A connection that silently broke shows no error; without other VMs' reports it would be
        detected only when the call itself times out.

        :param revision: the other VM's revision.
        """
        if self.history.complete_to >= self._missing_revision:
            self._lagging_since_ms = None
        if revision <= self.history.complete_to or not self._store_reachable:
            # During an outage of the store, reads are retried anyway.
            return
        if self._lagging_since_ms is None:
            self._lagging_since_ms, self._missing_revision = now_ms, revision
        pauses = 2 if self.is_watcher else 1
        if now_ms - self._lagging_since_ms > MAX_LAG_MS + pauses * self._store.watch_pause_ms:
            logging.info("another VM has revision %d, reading all entries again", revision)
            self._lagging_since_ms = None
            self._loaded = False
            self._follow_scope.cancel()

    def server_recovery_ms(self, now_ms: int) -> int:
        """Return the remaining time in which servers may register again after an outage."""
        return max(0, self._recovered_ms + SERVER_RECOVERY_MS - now_ms)

    def _mark_reachable(self) -> None:
        if not self._store_reachable:
            logging.info("store reachable")
            self._recovered_ms = self._clock.now()
        self._store_reachable = True

    async def _read_all(self) -> None:
        """Read all entries from the store and apply them."""
        result = await self._read_while_fetching()
        self._mark_reachable()
        if result.revision < self.history.complete_to:
            # Another VM has sent later changes meanwhile; applying this read would undo them.
            self._loaded = True
            return
        self._apply_all(result.revision, result.items)

    def _apply_all(self, revision: int, items: tuple[KeyValue, ...]) -> None:
        """Apply all entries that there are at a revision, and the deletions of all others."""
        if revision > self.history.complete_to:
            self.history.begin(revision, self._clock.now())
        found = {item.key for item in items}
        deletes = tuple(key for key in self.entries if key not in found)
        # The read's own revision counts every write to the store. Reported to other VMs, it would
        # make all of them, one after the other, read all entries again for nothing.
        latest = max((item.mod_revision for item in items), default=0)
        self._add_changes(WatchBatch(revision, items, deletes), latest=latest)
        self._pending.add([Step("a whole read", partial(self._complete_read, revision))])
        self._pending.apply()

    def _complete_read(self, revision: int) -> None:
        self.history.note_complete(revision)
        self._change_log.reset(revision)
        self._loaded = True

    async def _read_while_fetching(self) -> ReadResult:
        """Read all keys, and keep fetching changes from another VM while the read is pending.

        A read that the store leaves unanswered takes seconds to fail. Without the changes made
        meanwhile, this VM would act on an evacuation that much later, and send at the full rate
        to a server that had turned cold.
        """
        found: ReadResult | GatewayError
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._fetch_repeatedly)
            try:
                # One read of all keys: the store holds little else, and each call is billed.
                found = await self._store.read_prefix("")
            except GatewayError as exc:
                found = exc
            tg.cancel_scope.cancel()
        if isinstance(found, GatewayError):
            raise found
        return found

    async def _fetch_repeatedly(self) -> None:
        while True:
            await self._changes_available.wait()
            self._changes_available = anyio.Event()
            await self._fetch_from_source()

    def _receive(self, batch: WatchBatch) -> None:
        """Apply a batch from a watch, this VM's or another's, and keep it in the change log.

        One that is known already would undo later changes of its keys.
        """
        if batch.revision <= self.history.complete_to:
            return
        changed = bool(batch.puts or batch.deletes)
        self._add_changes(batch, latest=batch.revision if changed else 0)
        self._pending.add([Step("a whole batch", partial(self._complete_batch, batch))])
        self._pending.apply()

    def _complete_batch(self, batch: WatchBatch) -> None:
        self.history.note_complete(batch.revision)
        self._change_log.add(batch)

    def _add_changes(self, batch: WatchBatch, *, latest: int) -> None:
        """Add a batch's changes, and that listeners are notified of it, to what is pending.

        :param latest: revision of the latest change in it, 0 if there is none.
        """
        self.revision = max(self.revision, latest)
        self._pending.add(Step(item.key, partial(self.entries.put, item)) for item in batch.puts)
        self._pending.add(Step(key, partial(self._delete, key)) for key in batch.deletes)
        self._pending.add(
            Step("a batch for a listener", partial(listener, batch))
            for listener in self._batch_listeners
        )

    def _delete(self, key: str) -> None:
        """Apply a deletion; a server's entry may only have expired with the store."""
        has_failed = self._trouble_ms() < RECENT_FAILURE_MS
        self.entries.delete(key, keep_ms=SERVER_RECOVERY_MS if has_failed else 0)

    def _trouble_ms(self) -> int:
        """Return the time since the store last failed this VM, or the VM that it gets changes from.

        A poll may outlive an outage that shows in other calls only.
        """
        times_ms = (self._last_failure_ms, self._store.failed_ms)
        return self._clock.now() - max(it for it in times_ms if it is not None)

    def _record_config(self, config: RoutingConfig) -> None:
        self._version_gauge.set(config.version)
        self._config_known.set()
        for listener in self._config_listeners:
            listener()

    async def _remove_expired(self) -> None:
        """Remove servers that expired with the store and did not register again in time."""
        while True:
            await self._clock.sleep(EXPIRY_CHECK_INTERVAL_MS)
            self.entries.remove_expired()

    def _apply_bootstrapped(self, items: list[KeyValue]) -> None:
        """Apply the entries that another VM has sent."""
        self._add_changes(WatchBatch(0, tuple(items)), latest=0)
        self._pending.apply()
