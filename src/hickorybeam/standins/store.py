"""The stand-in platform's keys, leases and history: pure, with every time handed in."""

from __future__ import annotations

from dataclasses import dataclass, field

from hickorybeam.errors import ErrorKind, GatewayError
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

__all__ = ("Store",)


@dataclass(slots=True)
class Lease:
    """A lease and the keys that end with it."""

    ttl_ms: int
    deadline: int
    keys: set[str] = field(default_factory=set)


class Store:
    """Keys with revisions, compare-and-swap, leases, and a history for watches."""

    def __init__(self) -> None:
        self.revision = 1
        self.compacted = 0
        self._items: dict[str, KeyValue] = {}
        self._history: list[tuple[int, str, KeyValue | None]] = []
        self._leases: dict[int, Lease] = {}
        self._next_lease = 1_000

    def read(self, key: str) -> ReadResult:
        """Read one key."""
        found = self._items.get(key)
        return ReadResult(self.revision, (found,) if found else ())

    def read_prefix(self, prefix: str, *, start: str = "", limit: int = 0) -> ReadResult:
        """Read the keys under a prefix in order, from ``start`` on."""
        keys = sorted(key for key in self._items if key.startswith(prefix) and key >= start)
        chosen = keys[:limit] if limit else keys
        return ReadResult(self.revision, tuple(self._items[key] for key in chosen))

    def txn(self, compares: tuple[Compare, ...], writes: tuple[Write, ...]) -> TxnResult:
        """Apply all writes if every comparison holds, else none."""
        for write in writes:
            self._check(write)
        if not all(self._holds(compare) for compare in compares):
            return TxnResult(False, self.revision)
        if writes:
            self.revision += 1
        for write in writes:
            self._apply(write)
        return TxnResult(True, self.revision)

    def grant(self, ttl_ms: int, now: int) -> int:
        """Create a lease."""
        self._next_lease += 1
        self._leases[self._next_lease] = Lease(ttl_ms, now + ttl_ms)
        return self._next_lease

    def keep_alive(self, lease: int, now: int) -> int:
        """Renew a lease; :return: its time to live in ms, 0 when it has lapsed."""
        found = self._leases.get(lease)
        if found is None:
            return 0
        found.deadline = now + found.ttl_ms
        return found.ttl_ms

    def revoke(self, lease: int) -> bool:
        """End a lease and remove its keys; :return: whether there was one."""
        found = self._leases.pop(lease, None)
        if found is None:
            return False
        if found.keys:
            self.revision += 1
        for key in sorted(found.keys):
            self._remove(key)
        return True

    def expire(self, now: int) -> None:
        """End every lease whose time has passed."""
        for lease in [key for key, found in self._leases.items() if found.deadline <= now]:
            self.revoke(lease)

    def leases(self) -> tuple[int, ...]:
        """Return the leases that hold."""
        return tuple(self._leases)

    def compact(self) -> None:
        """Forget all history up to now."""
        self.compacted = self.revision
        self._history.clear()

    def changes_after(self, revision: int, prefix: str) -> tuple[WatchBatch, ...]:
        """Return what changed under a prefix, one batch for each revision."""
        if revision < self.compacted:
            raise GatewayError(ErrorKind.WATCH_COMPACTED, f"compacted at {self.compacted}")
        grouped: dict[int, tuple[list[KeyValue], list[str]]] = {}
        for at, key, item in self._history:
            if at > revision and key.startswith(prefix):
                puts, deletes = grouped.setdefault(at, ([], []))
                if item is None:
                    deletes.append(key)
                else:
                    puts.append(item)
        return tuple(
            WatchBatch(at, tuple(puts), tuple(deletes)) for at, (puts, deletes) in grouped.items()
        )

    def _check(self, write: Write) -> None:
        match write:
            case Put(value=value) if len(value) > MAX_VALUE_BYTES:
                raise GatewayError(ErrorKind.VALUE_TOO_LARGE, f"{len(value)} bytes")
            case Put(lease=lease) if lease and lease not in self._leases:
                raise GatewayError(ErrorKind.LEASE_LOST, "the lease of a key has lapsed")

    def _holds(self, compare: Compare) -> bool:
        found = self._items.get(compare.key)
        return (found.mod_revision if found else 0) == compare.mod_revision

    def _apply(self, write: Write) -> None:
        match write:
            case Put(key=key, value=value, lease=lease):
                self._detach(key)
                item = KeyValue(key, value, self.revision, lease)
                self._items[key] = item
                if lease:
                    self._leases[lease].keys.add(key)
                self._history.append((self.revision, key, item))
            case Delete(key=key) if key in self._items:
                self._detach(key)
                self._remove(key)

    def _detach(self, key: str) -> None:
        old = self._items.get(key)
        if old is not None and old.lease in self._leases:
            self._leases[old.lease].keys.discard(key)

    def _remove(self, key: str) -> None:
        self._items.pop(key, None)
        self._history.append((self.revision, key, None))
