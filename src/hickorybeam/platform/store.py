"""The store's port over the platform's calls."""

from __future__ import annotations

import base64
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, ClassVar
from urllib.parse import quote

import anyio
import msgspec

from hickorybeam.clock import MS_PER_SECOND
from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.http1 import BrokenAnswerError, ConnectFailedError, UpstreamPool
from hickorybeam.http1.head import request_bytes
from hickorybeam.kernel import Service
from hickorybeam.ports import PLATFORM
from hickorybeam.sockets import split_address
from hickorybeam.store.port import (
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
from hickorybeam.store.retry import RetryBudget, backoff_ms

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Mapping

    from hickorybeam.clock import Clock
    from hickorybeam.settings import Settings
    from hickorybeam.telemetry import Counters

__all__ = ("PlatformStore",)

READ_ATTEMPTS = 3
# Whoever reads tries again by itself while the store is out. Each refused call is paid for, and in
# a large fleet a third of the VMs may be turned away at once.
READS_SAVED = 3.0
CONNECT_MS = 400
SILENT_MS = 1_500
# How long one call of a watch waits at the store where nothing else is asked for. A watch that
# went silent is noticed this long plus the margin after its last answer, inside the 6 s that a
# VM may be out of reach and the 4 s in which a change has to be in force after that.
WATCH_WAIT_MS = 6_000
WATCH_MARGIN_MS = 900
WATCH_CONNECTION_AGE_MS = 60_000
OK, NOT_FOUND, GONE, CONFLICT, TOO_MANY, UNAVAILABLE = 200, 404, 410, 412, 429, 503
JSON = ((b"content-type", b"application/json"),)


@dataclass(slots=True, eq=False)
class _WaitingWatch:
    """A call of a watch that waits at the store since ``asked_ms``."""

    scope: anyio.CancelScope
    asked_ms: int


class PlatformStore(Service):
    """Calls the platform's store.

    A write is sent at most once: when its answer is lost, ``PLATFORM_UNKNOWN`` is raised and
    the owner of the key reads back. Reads are sent again within a budget.
    """

    name: ClassVar[str] = PLATFORM
    watch_poll_timeout_ms: int = WATCH_WAIT_MS
    watch_pause_ms: int = 0

    def __init__(self, *, cfg: Settings, clock: Clock, counters: Counters) -> None:
        self._address = split_address(cfg.platform.urls[0].removeprefix("http://"))
        self._timeout_ms = cfg.platform.timeout_ms
        self._clock = clock
        self._pool = UpstreamPool(clock, connect_ms=CONNECT_MS, silent_ms=SILENT_MS)
        self._budget = RetryBudget(burst=READS_SAVED)
        self._rng = random.Random()
        self._waiting: set[_WaitingWatch] = set()
        self._failed_ms: int | None = None
        self._calls = counters.counter(
            "platform_calls", "Calls made of the platform", ("kind", "outcome")
        )

    async def read(self, key: str, *, limit: int = 0) -> ReadResult:
        """Read one key."""
        status, reply = await self._read("read", f"/kv-key?key={quote(key, safe='/')}")
        if status == NOT_FOUND:
            return ReadResult(int(reply.get("at") or 0), ())
        return ReadResult(int(reply["at"]), (decode_item(reply),))

    async def read_prefix(self, prefix: str, *, start: str = "", limit: int = 0) -> ReadResult:
        """Read the keys under a prefix; the revision is that of the first page."""
        items: list[KeyValue] = []
        revision = 0
        after = ""
        while True:
            path = f"/kv-range?prefix={quote(prefix, safe='/')}"
            if after:
                path += f"&after={quote(after, safe='/')}"
            _, reply = await self._read("range", path)
            revision = revision or int(reply["at"])
            page = [decode_item(raw) for raw in reply["items"]]
            items += [item for item in page if item.key >= start]
            if not reply.get("has-more") or not page or (limit and len(items) >= limit):
                return ReadResult(revision, tuple(items[:limit] if limit else items))
            after = page[-1].key

    async def txn(self, compares: tuple[Compare, ...], writes: tuple[Write, ...]) -> TxnResult:
        """Apply all writes if every comparison holds, else none."""
        puts = [write for write in writes if isinstance(write, Put)]
        if any(len(put.value) > MAX_VALUE_BYTES for put in puts):
            raise GatewayError(ErrorKind.VALUE_TOO_LARGE)
        body = {
            "expect": [{"key": it.key, "revision": it.mod_revision} for it in compares],
            "write": [
                {"key": it.key, "value": base64.b64encode(it.value).decode(), "lease": it.lease}
                for it in puts
            ],
            "remove": [it.key for it in writes if isinstance(it, Delete)],
        }
        status, reply = await self._write("txn", "POST", "/kv-txn", body)
        if status == NOT_FOUND:
            raise GatewayError(ErrorKind.LEASE_LOST)
        return TxnResult(status == OK, int(reply.get("revision") or 0))

    async def grant(self, ttl_ms: int) -> int:
        """Create a lease."""
        _, reply = await self._write("lease", "POST", "/kv-lease", {"ttl-ms": ttl_ms})
        return int(reply["lease"])

    async def keep_alive(self, lease: int) -> int:
        """Renew a lease and return its time to live in ms, or raise ``LEASE_LOST``."""
        status, reply = await self._write("keep", "POST", f"/kv-keep/{lease}", {})
        if status == NOT_FOUND:
            raise GatewayError(ErrorKind.LEASE_LOST)
        return int(reply["ttl-ms"])

    async def revoke(self, lease: int) -> None:
        """End a lease; its keys are removed. One that lapsed before is no fault."""
        await self._write("revoke", "DELETE", f"/kv-lease-end/{lease}", None)

    async def watch(self, prefix: str, *, after: int) -> AsyncIterator[WatchBatch]:
        """Yield changes after a revision, and empty batches while there are none.

        :raises GatewayError: ``WATCH_COMPACTED``, or ``PLATFORM_OUT`` after which all has to be
            read anew.
        """
        while True:
            status, reply = await self._watch_once(prefix, after)
            if status == GONE:
                raise GatewayError(ErrorKind.WATCH_COMPACTED, f"after {after}")
            batches = decode_batches(reply)
            for batch in batches:
                after = max(after, batch.revision)
                yield batch
            # Once for each call: a backlog of many changes would take as many rests.
            if reply.get("events"):
                await self._clock.sleep(self.watch_pause_ms)

    async def _watch_once(self, prefix: str, after: int) -> tuple[int, Mapping[str, Any]]:
        wait_ms = self.watch_poll_timeout_ms
        path = f"/kv-watch?prefix={quote(prefix, safe='/')}&after={after}&wait-ms={wait_ms}"
        waiting = _WaitingWatch(anyio.CancelScope(), self._clock.now())
        self._waiting.add(waiting)
        try:
            with waiting.scope:
                return await self._call(
                    "watch", "GET", path, None, limit_ms=wait_ms + WATCH_MARGIN_MS
                )
        finally:
            self._waiting.discard(waiting)
        raise GatewayError(ErrorKind.PLATFORM_OUT, "watch: other calls failed and work again")

    def _failed(self, kind: str, outcome: str) -> None:
        self._failed_ms = self._clock.now()
        self._count(kind, outcome)

    def _worked(self) -> None:
        """End the watches that were asked before a call failed, now that one works again.

        A store that was silent never answers what it was asked meanwhile, and the connection
        shows no error. The watch would wait its time out, and changes made in an outage would be
        in force seconds after its end, though other calls work. One read and one call of a watch
        more for each outage.
        """
        if self._failed_ms is None:
            return
        for waiting in self._waiting:
            if waiting.asked_ms <= self._failed_ms:
                waiting.scope.cancel()
        self._failed_ms = None

    async def _read(self, kind: str, path: str) -> tuple[int, Mapping[str, Any]]:
        self._budget.earn()
        for attempt in range(1, READ_ATTEMPTS + 1):
            try:
                return await self._call(kind, "GET", path, None, limit_ms=self._timeout_ms)
            except GatewayError:
                if attempt == READ_ATTEMPTS or not self._budget.spend():
                    raise
                await self._clock.sleep(backoff_ms(attempt, self._rng))
        raise GatewayError(ErrorKind.PLATFORM_OUT)

    async def _write(
        self, kind: str, method: str, path: str, body: object | None
    ) -> tuple[int, Mapping[str, Any]]:
        return await self._call(kind, method, path, body, limit_ms=self._timeout_ms, write=True)

    async def _call(
        self,
        kind: str,
        method: str,
        path: str,
        body: object | None,
        *,
        limit_ms: int,
        write: bool = False,
    ) -> tuple[int, Mapping[str, Any]]:
        try:
            status, raw = await self._exchange(method, path, body, limit_ms=limit_ms)
        except ConnectFailedError as exc:
            self._failed(kind, "out")
            raise GatewayError(ErrorKind.PLATFORM_OUT, str(exc)) from exc
        except (BrokenAnswerError, TimeoutError) as exc:
            # One silent connection may stand for all; the next call opens a new one.
            self._pool.forget(self._address)
            self._failed(kind, "unknown")
            lost = ErrorKind.PLATFORM_UNKNOWN if write else ErrorKind.PLATFORM_OUT
            raise GatewayError(lost, f"{kind}: {exc!r}") from exc
        return self._checked(kind, status, raw)

    async def _exchange(
        self, method: str, path: str, body: object | None, *, limit_ms: int
    ) -> tuple[int, bytes]:
        data = b"" if body is None else msgspec.json.encode(body)
        headers = (*(JSON if body is not None else ()), (b"host", b"store"))
        conn = await self._pool.take(self._address)
        try:
            with anyio.fail_after(limit_ms / MS_PER_SECOND):
                conn.send(request_bytes(method, path.encode("ascii"), headers, data))
                head = await conn.head()
                raw = await conn.body()
        except BaseException:
            conn.abort()
            raise
        self._pool.give_back(self._address, conn)
        return head.status, raw

    def _checked(self, kind: str, status: int, raw: bytes) -> tuple[int, Mapping[str, Any]]:
        if status not in (OK, NOT_FOUND, GONE, CONFLICT):
            self._failed(kind, "refused")
            raise GatewayError(ErrorKind.PLATFORM_OUT, f"{kind}: status {status}")
        try:
            reply = msgspec.json.decode(raw) if raw else {}
        except msgspec.DecodeError as exc:
            self._count(kind, "unknown")
            raise GatewayError(ErrorKind.PLATFORM_UNKNOWN, "the answer can't be read") from exc
        self._count(kind, "ok")
        self._worked()
        return status, reply if isinstance(reply, dict) else {}

    def _count(self, kind: str, outcome: str) -> None:
        self._calls.labels(kind, outcome).inc()


def decode_item(raw: Mapping[str, Any]) -> KeyValue:
    """Read one item; its value is base64."""
    value = base64.b64decode(raw.get("value") or "")
    return KeyValue(raw["key"], value, int(raw["revision"]), int(raw.get("lease") or 0))


def decode_batches(reply: Mapping[str, Any]) -> list[WatchBatch]:
    """Read what a watch brought, one batch for each revision, and how far it has come."""
    puts: dict[int, list[KeyValue]] = {}
    deletes: dict[int, list[str]] = {}
    for raw in reply.get("events") or ():
        if raw.get("deleted"):
            deletes.setdefault(int(raw["revision"]), []).append(raw["key"])
        else:
            item = decode_item(raw)
            puts.setdefault(item.mod_revision, []).append(item)
    batches = [
        WatchBatch(revision, tuple(puts.get(revision, ())), tuple(deletes.get(revision, ())))
        for revision in sorted(puts.keys() | deletes.keys())
    ]
    if not batches or batches[-1].revision < int(reply["at"]):
        batches.append(WatchBatch(int(reply["at"])))
    return batches
