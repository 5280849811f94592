"""The service ``feed``: keeps this VM's knowledge in step with the store.

One read loads everything and one watch over all keys follows. In a large data centre a few VMs
watch and the others ask one of them for the changes, on hearing that it knows a later one.
While the store is out, what is known stays in force; a VM that knows no configuration asks
another VM for its entries.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

import anyio
import msgspec
from absl import logging

from hickorybeam.clock import MS_PER_SECOND
from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.gateway.vm_client import VmClient
from hickorybeam.gateway.changes import ChangeLog, decode_changes, decode_entries, encode_entries
from hickorybeam.gateway.knowledge import Knowledge
from hickorybeam.kernel import Service
from hickorybeam.platform import (
    EVACUATIONS,
    FEED_PREFIXES,
    Evacuated,
    NewConfig,
    ServerSeen,
    Unreadable,
    decode_entry,
)
from hickorybeam.ports import FEED, PLATFORM
from hickorybeam.sockets import split_address
from hickorybeam.store import KeyValue, PacedPlatform, ReadResult, WatchBatch

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorybeam.clock import Clock
    from hickorybeam.http1.pool import Address
    from hickorybeam.kernel import Kernel, Started
    from hickorybeam.settings import GatewaySettings, Settings
    from hickorybeam.telemetry import Counters

__all__ = ("CHANGES_PATH", "STATE_PATH", "FeedService")

STATE_PATH = "/state"
# Followed by the revision after which changes are asked for; on the peers' port.
CHANGES_PATH = "/changes/"
FIRST_RETRY_MS = 100
LONGEST_RETRY_MS = 1_200
# Entries that lapsed while the store was out are back about 2 s after its return; one that is
# still missing then is gone.
LAPSED_FOR_MS = 2_200
# How long after the last sign of trouble a vanished entry may be a lapsed one.
TROUBLE_MS = 3_000
# For so long another VM may know of a change that has not come here yet. A VM that watches has
# it within two rests of its own watch; one that doesn't is told by those that do.
BEHIND_MS = 1_000


class FeedService(Service):
    """Owns the knowledge; others read it and are told of changes."""

    name: ClassVar[str] = FEED
    needs: ClassVar[tuple[str, ...]] = (PLATFORM,)

    def __init__(self, *, cfg: Settings, clock: Clock, counters: Counters) -> None:
        self.knowledge = Knowledge()
        self._cfg = cfg
        self._clock = clock
        self._items: dict[str, KeyValue] = {}
        self._listeners: list[Callable[[WatchBatch], None]] = []
        self._config_listeners: list[Callable[[], None]] = []
        self._trouble_ms = -TROUBLE_MS
        self._reached_ms = -LAPSED_FOR_MS
        self._lapsing: dict[str, int] = {}
        self._store_ok = False
        # The latest change known here, told to other VMs; and how far knowledge is complete.
        self.revision = 0
        self._complete = 0
        self._loaded = False
        self._log = ChangeLog()
        # Whether this VM watches the store itself, and whom it asks otherwise.
        self.watches = True
        self._source: Address | None = None
        self._news = anyio.Event()
        self._configured = anyio.Event()
        self._seeds = cfg.gateway.seeds if cfg.gateway else ()
        # Since when another VM has known a later change, and which.
        self._behind_since_ms: int | None = None
        self._missing = 0
        self._watching = anyio.CancelScope()
        self._asker = VmClient(clock)
        self._version = counters.gauge("config_version", "Version of the configuration in force")

    def bind(self, kernel: Kernel) -> None:
        """Look up the store."""
        self._store = kernel.find(PLATFORM, PacedPlatform)  # type: ignore[type-abstract]

    def reload(self, cfg: GatewaySettings) -> None:
        """Ask these seeds from now on."""
        self._seeds = cfg.seeds

    def on_batch(self, listener: Callable[[WatchBatch], None]) -> None:
        """Hand every batch of changes to a listener."""
        self._listeners.append(listener)

    def on_config(self, listener: Callable[[], None]) -> None:
        """Call a listener whenever another configuration is in force."""
        self._config_listeners.append(listener)

    def state(self) -> bytes:
        """Return all entries as this VM knows them, for a VM that cannot reach the store."""
        return encode_entries(self._items.values())

    async def main(self, started: Started) -> None:
        """Follow the store until cancelled."""
        started()
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._follow)
            tg.start_soon(self._expire)
            tg.start_soon(self._ask_seeds)

    async def _follow(self) -> None:
        pause = FIRST_RETRY_MS
        while True:
            try:
                if not self._loaded:
                    await self._ask_beside()
                    await self._load()
                pause = FIRST_RETRY_MS
                with anyio.CancelScope() as self._watching:
                    await (self._watch() if self.watches else self._hear())
                continue
            except GatewayError as exc:
                self._loaded = False
                self._trouble_ms = self._clock.now()
                self._lost(exc)
            await self._clock.sleep(pause)
            pause = min(LONGEST_RETRY_MS, pause * 2)

    async def _ask_beside(self) -> bool:
        """Ask a VM that follows the store for changes, before this one reads it anew.

        :return: whether it told them. One that didn't is not asked again before it is heard to
            know something new.

        A store that turns this VM away may serve the ones beside it. Without their word it would
        act on old entries for as long as that lasts. Asked only after the attempts to read had
        failed, they would tell it seconds later of servers that turned cold.
        """
        if self._source is None or not self._complete:
            return False
        try:
            await self._ask_changes(self._source)
        except GatewayError as exc:
            logging.info("no changes from another VM: %s", exc)
            self._source = None
            return False
        return True

    def _lost(self, exc: GatewayError) -> None:
        if exc.kind is ErrorKind.WATCH_COMPACTED:
            logging.info("store: history is gone, reading all again")
            return
        if self._store_ok:
            logging.warning("store lost: %s", exc)
        self._store_ok = False

    async def _watch(self) -> None:
        async for batch in self._store.watch("", after=self._complete):
            self._regained()
            self._learn(batch)

    async def _hear(self) -> None:
        """Ask another VM for changes whenever it is heard to know some; the store if it can't."""
        while True:
            await self._news.wait()
            self._news = anyio.Event()
            # Without a source, the VM that had news was asked before and didn't tell them.
            if self._source is not None and not await self._ask_beside():
                self._loaded = False
                return

    async def _ask_changes(self, source: Address) -> None:
        raw = await self._asker.get(source, f"{CHANGES_PATH}{self._complete}")
        try:
            changes = decode_changes(raw)
        except msgspec.MsgspecError as exc:
            raise GatewayError(ErrorKind.PEER_UNREACHABLE, repr(exc)) from exc
        self._trouble_ms = max(self._trouble_ms, self._clock.now() - changes.trouble_ms)
        for batch in changes.as_batches():
            self._learn(batch)
        self._complete = max(self._complete, changes.revision)

    async def configured(self, limit_ms: float) -> None:
        """Wait until any configuration is known, or until the limit has passed."""
        with anyio.move_on_after(limit_ms / MS_PER_SECOND):
            await self._configured.wait()

    def changes_after(self, revision: int) -> bytes | None:
        """Return the changes after a revision for another VM, if they are all known."""
        if not self._loaded:
            return None
        trouble_ms = self._clock.now() - self._trouble_ms
        found = self._log.after(revision, complete_to=self._complete, trouble_ms=trouble_ms)
        return None if found is None else msgspec.msgpack.encode(found)

    @property
    def follows(self) -> bool:
        """Whether this VM watches the store and reaches it, so that others may ask it."""
        return self.watches and self._loaded and self._store_ok

    def watch_itself(self, watches: bool) -> None:
        """Watch the store from now on, or leave that to others of the data centre."""
        if watches != self.watches:
            logging.info("this VM %s the store", "watches" if watches else "hears others watch")
            self.watches = watches
            self._watching.cancel()

    def told(self, revision: int, now_ms: int, *, source: Address | None) -> None:
        """Take another VM's word on the latest change that it knows.

        :param source: where to ask for it, if it is one that this VM may ask.
        """
        if revision > self._complete and source is not None:
            self._source = source
            self._news.set()
        self._behind(revision, now_ms)

    def _behind(self, revision: int, now_ms: int) -> None:
        """Read anew when another VM has known a later change for a while.

        A connection that went silent for good shows no error; without another VM's word it
        would be found only when the call's own limit has passed.

        :param revision: the latest change that the other VM knows.
        """
        if self._complete >= self._missing:
            self._behind_since_ms = None
        if revision <= self._complete or not self._store_ok:
            # While the store is out, the attempts to reach it go on anyway.
            return
        if self._behind_since_ms is None:
            self._behind_since_ms, self._missing = now_ms, revision
        rests = 2 if self.watches else 1
        if now_ms - self._behind_since_ms > BEHIND_MS + rests * self._store.watch_pause_ms:
            logging.info("another VM knows of change %d, reading anew", revision)
            self._behind_since_ms = None
            self._loaded = False
            self._watching.cancel()

    def settling_ms(self, now_ms: int) -> int:
        """Return how long servers' entries that lapsed with the store may take to come back."""
        return max(0, self._reached_ms + LAPSED_FOR_MS - now_ms)

    def _regained(self) -> None:
        if not self._store_ok:
            logging.info("store reached")
            self._reached_ms = self._clock.now()
        self._store_ok = True

    async def _load(self) -> None:
        """Read everything."""
        result = await self._read_while_hearing()
        self._regained()
        if result.revision < self._complete:
            # Another VM told later changes meanwhile; this read would take them back.
            self._loaded = True
            return
        found = {item.key for item in result.items}
        deletes = tuple(key for key in self._items if key not in found)
        # The revision of a read counts every write to the store; told to other VMs, it would
        # make all of them read anew, for nothing, one after the other.
        latest = max((item.mod_revision for item in result.items), default=0)
        self._apply(WatchBatch(result.revision, result.items, deletes), latest=latest)
        self._complete = max(self._complete, result.revision)
        self._log.restart(result.revision)
        self._loaded = True

    async def _read_while_hearing(self) -> ReadResult:
        """Read all keys, and go on learning from the VM beside while the answer is waited for.

        A read that the store leaves unanswered takes seconds to fail. Deaf meanwhile, a VM would
        learn of an evacuation that much later and send at the full rate to a server that had
        turned cold.
        """
        found: ReadResult | GatewayError
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._hear_meanwhile)
            try:
                # One read of all keys: the store holds little else, and each call is paid for.
                found = await self._store.read_prefix("")
            except GatewayError as exc:
                found = exc
            tg.cancel_scope.cancel()
        if isinstance(found, GatewayError):
            raise found
        return found

    async def _hear_meanwhile(self) -> None:
        while True:
            await self._news.wait()
            self._news = anyio.Event()
            await self._ask_beside()

    def _learn(self, batch: WatchBatch) -> None:
        """Take a batch that a watch brought, here or at another VM."""
        changed = bool(batch.puts or batch.deletes)
        self._apply(batch, latest=batch.revision if changed else 0)
        self._complete = max(self._complete, batch.revision)
        self._log.add(batch)

    def _apply(self, batch: WatchBatch, *, latest: int) -> None:
        """Take entries over and tell listeners.

        :param latest: the latest change among them, 0 if there is none.
        """
        self.revision = max(self.revision, latest)
        for item in batch.puts:
            if not item.key.startswith((*FEED_PREFIXES, self._cfg.platform.prefix)):
                continue
            known = self._items.get(item.key)
            if known is not None and known.mod_revision >= item.mod_revision:
                continue
            self._items[item.key] = item
            self._lapsing.pop(item.key, None)
            self._take(item)
        for key in batch.deletes:
            self._delete(key)
        for listener in self._listeners:
            listener(batch)

    def _take(self, item: KeyValue) -> None:
        if item.key.startswith(self._cfg.platform.prefix):
            return
        match decode_entry(item.key, item.value):
            case NewConfig(config):
                if self.knowledge.take_config(config):
                    logging.info("configuration %d is in force", config.version)
                    self._version.set(config.version)
                    self._configured.set()
                    for listener in self._config_listeners:
                        listener()
            case ServerSeen(server):
                self.knowledge.take_server(server, self._clock.now())
            case Evacuated(data_centre):
                logging.info("data centre %s is evacuated", data_centre)
                self.knowledge.evacuated |= {data_centre}
            case Unreadable(key, why):
                logging.warning("entry %s names nothing to use: %s", key, why)
                self.knowledge.drop_server(key.rpartition("/")[2])

    def _delete(self, key: str) -> None:
        if key not in self._items:
            return
        if key.startswith(EVACUATIONS):
            del self._items[key]
            self.knowledge.evacuated -= {key.removeprefix(EVACUATIONS)}
            logging.info("data centre %s is taken back", key.removeprefix(EVACUATIONS))
        elif self._clock.now() - self._trouble_ms < TROUBLE_MS and self._is_server(key):
            self._lapsing.setdefault(key, self._clock.now() + LAPSED_FOR_MS)
        else:
            self._forget(key)

    def _forget(self, key: str) -> None:
        self._items.pop(key, None)
        if self._is_server(key):
            self.knowledge.drop_server(key.rpartition("/")[2])

    def _is_server(self, key: str) -> bool:
        return key.startswith(FEED_PREFIXES[1])

    async def _expire(self) -> None:
        """Give up the entries that lapsed with the store and did not come back."""
        while True:
            await self._clock.sleep(200)
            now = self._clock.now()
            for key in [key for key, due in self._lapsing.items() if due <= now]:
                del self._lapsing[key]
                self._forget(key)

    async def _ask_seeds(self) -> None:
        """Learn a configuration from another VM while the store cannot be reached.

        Without it, a VM that starts during an outage of the store refuses everything until the
        store is back, although the VMs beside it serve.
        """
        await self._clock.sleep(600)
        while self.knowledge.config is None:
            for seed in self._seeds:
                if self.knowledge.config is None:
                    await self._ask(seed)
            await self._clock.sleep(500)

    async def _ask(self, seed: str) -> None:
        address = split_address(seed)
        if address[0] == self._cfg.vm.host:
            return
        try:
            items = decode_entries(await self._asker.get(address, STATE_PATH))
        except (GatewayError, msgspec.MsgspecError) as exc:
            logging.info("seed %s tells nothing: %r", seed, exc)
            return
        logging.info("%d entries learned from %s", len(items), seed)
        if self.knowledge.config is None:
            self._apply(WatchBatch(0, tuple(items)), latest=0)
