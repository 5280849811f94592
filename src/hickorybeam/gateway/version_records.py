"""A record in the store of the versions that have served lately, for VMs that start later.

VMs tell each other how many versions a service has had; if all end at once, none remembers one
whose last server has left. The record outlives them. A version is added when its first server
registers, and removed by a VM that has followed the store for as long as streams are taken up.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import msgspec

from hickorybeam.errors import GatewayError
from hickorybeam.policy.version_history import GONE_VERSION_MS
from hickorybeam.store import Compare, Put
from hickorybeam.untrusted import InvalidBytesError, decode_json

if TYPE_CHECKING:
    from collections.abc import Mapping

    from hickorybeam.clock import Clock
    from hickorybeam.gateway.feed import FeedService
    from hickorybeam.store import KeyValue, Platform, WatchBatch

__all__ = ("VersionRecords",)

RECORD = "versions"
CHECK_INTERVAL_MS = 200
# Between two writes of one VM, each of which is paid for, also while the store takes none.
PAUSE_MS = 500
# Several VMs see a change at about the same time; the rest see the first one's record before they
# write. A version that has gone is in no hurry to be removed.
MAX_ADD_DELAY_MS = 400
MAX_REMOVE_DELAY_MS = 10_000

Versions = dict[str, frozenset[bytes]]


class _Record(msgspec.Struct, frozen=True):
    """Keys of the versions of each service's servers, as hexadecimal numbers."""

    versions: dict[str, list[str]]


class VersionRecords:
    """Keeps the record in step with what this VM knows, and what this VM knows with the record.

    :param prefix: prefix of the gateway's own keys.
    """

    def __init__(self, *, clock: Clock, store: Platform, prefix: str, feed: FeedService) -> None:
        self._clock = clock
        self._store = store
        self._prefix = prefix
        self._feed = feed
        self._history = feed.routing_state.version_history
        self._rng = random.Random()
        self._recorded: Versions | None = None
        self._revision = 0
        self._has_read = False
        # The store held nothing of the gateway, so that no caller has a stream of before.
        self._is_first_start = False
        self._due_ms: int | None = None

    @property
    def is_known(self) -> bool:
        """Whether this VM knows all versions that served before it followed the store."""
        return self._recorded is not None

    def apply(self, batch: WatchBatch) -> None:
        """Apply a batch of changes of the store; the first one is a whole read."""
        if batch.revision and not self._has_read:
            self._has_read = True
            own = (it for it in batch.puts if it.key.startswith(self._prefix))
            self._is_first_start = next(own, None) is None
        key = self._prefix + RECORD
        for item in batch.puts:
            if item.key == key and item.mod_revision > self._revision:
                self._take(item)
        if key in batch.deletes:
            self._recorded, self._revision = None, 0

    def _take(self, item: KeyValue) -> None:
        """Note the versions of a record that have no servers now; when they left isn't known."""
        self._is_first_start = False
        self._recorded, self._revision = decode(item.value), item.mod_revision
        if self._recorded is None or self._remembers():
            return
        now = self._clock.now()
        for service, keys in self._recorded.items():
            for key in keys - self._history.present(service):
                self._history.note_gone(service, key, now)

    async def keep(self) -> None:
        """Write the record when it is due, until cancelled."""
        while True:
            await self._clock.sleep(CHECK_INTERVAL_MS)
            added, removed = self._missing(), self._outlived()
            if not added and not removed and not self._may_begin():
                self._due_ms = None
                continue
            now = self._clock.now()
            limit_ms = MAX_ADD_DELAY_MS if added or self._recorded is None else MAX_REMOVE_DELAY_MS
            if self._due_ms is None or self._due_ms > now + limit_ms:
                self._due_ms = now + round(self._rng.uniform(0, limit_ms))
            if now >= self._due_ms:
                await self._write()
                self._due_ms = None
                await self._clock.sleep(PAUSE_MS)

    def _may_begin(self) -> bool:
        """Return whether this VM may write the first record: it knows all versions of before."""
        is_reader = self._has_read and self._feed.watches_store
        return self._recorded is None and is_reader and (self._is_first_start or self._remembers())

    def _missing(self) -> Versions:
        """Return the versions that have servers and aren't recorded."""
        if self._recorded is None or not self._feed.watches_store:
            return {}
        return without(self._history.all_present(), self._recorded)

    def _outlived(self) -> Versions:
        """Return the versions that are recorded, and that no caller has streams of any more."""
        if self._recorded is None or not self._feed.watches_store or not self._remembers():
            return {}
        return without(self._recorded, self._history.all_known(self._clock.now()))

    def _remembers(self) -> bool:
        """Return whether this VM has followed the store for as long as streams are taken up."""
        return self._feed.history.complete_after(GONE_VERSION_MS, self._clock.now()) > 0

    async def _write(self) -> None:
        confirmation = self._feed.confirmation.request()
        await confirmation.done.wait()
        if not confirmation.confirmed or (self._recorded is None and not self._may_begin()):
            return
        versions = self._wanted()
        if versions == self._recorded:
            # Another VM has written it meanwhile.
            return
        record = _Record({it: sorted(key.hex() for key in versions[it]) for it in versions})
        key = self._prefix + RECORD
        try:
            result = await self._store.txn(
                (Compare(key, self._revision),), (Put(key, msgspec.json.encode(record)),)
            )
        except GatewayError:
            # The store is away, or the answer is lost: the watch tells.
            return
        if result.done:
            self._is_first_start = False
            self._recorded, self._revision = versions, result.revision

    def _wanted(self) -> Versions:
        """Return what is to be recorded."""
        if self._recorded is None:
            return self._history.all_known(self._clock.now())
        kept, present = without(self._recorded, self._outlived()), self._history.all_present()
        nothing: frozenset[bytes] = frozenset()
        return {it: kept.get(it, nothing) | present.get(it, nothing) for it in {**kept, **present}}


def without(
    versions: Mapping[str, frozenset[bytes]], others: Mapping[str, frozenset[bytes]]
) -> Versions:
    """Return the versions that are not among others, by service; services without any are out."""
    left = {it: keys - others.get(it, frozenset()) for it, keys in versions.items()}
    return {it: keys for it, keys in left.items() if keys}


def decode(value: bytes) -> Versions | None:
    """Decode a record, ``None`` if it is none."""
    try:
        record = decode_json(value, _Record)
        return {it: frozenset(map(bytes.fromhex, keys)) for it, keys in record.versions.items()}
    except (InvalidBytesError, ValueError):
        return None
