"""Client of the platform's key-value store; implements the port of ``store/port.py``."""

from __future__ import annotations

import base64
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING, ClassVar
from urllib.parse import quote

import anyio
import msgspec
from absl import logging

from hickorybeam.clock import MS_PER_SECOND
from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.http1 import BrokenResponseError, ConnectFailedError, UpstreamPool
from hickorybeam.http1.head import request_bytes
from hickorybeam.kernel import Service
from hickorybeam.platform.replies import StoreReply, decode_batches, decode_items, decode_reply
from hickorybeam.platform.reply_checks import (
    misfit_of_batches,
    misfit_of_commit,
    misfit_of_page,
    misfit_of_revision,
)
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
    from collections.abc import AsyncIterator

    from hickorybeam.clock import Clock
    from hickorybeam.settings import Settings
    from hickorybeam.telemetry import Counters

__all__ = ("PlatformStore",)

MAX_READ_ATTEMPTS = 3
# Small, as callers of a read retry by themselves during an outage. Each rejected call is paid for,
# and in a large fleet a third of the VMs may be rejected at once.
MAX_SAVED_RETRIES = 3.0
CONNECT_TIMEOUT_MS = 400
UNACKNOWLEDGED_TIMEOUT_MS = 1_500
# Default time that the store holds one poll of a watch. A silent watch is noticed this long plus
# the margin after its last response: within the 6 s for which a VM may be unreachable plus the 4 s
# in which a change must then be in force.
WATCH_POLL_TIMEOUT_MS = 6_000
WATCH_POLL_MARGIN_MS = 900
# A page holds about a megabyte, or one value in base64. A watch with more changes than this is read
# anew, page by page.
MAX_RESPONSE_BYTES = 8_388_608
# Of all pages of one read.
MAX_READ_BYTES = 67_108_864
CATCH_UP = "catch_up"
OK, NOT_FOUND, GONE, CONFLICT = 200, 404, 410, 412
# With these the store has done nothing. What any other status means for a write that it isn't an
# answer to is unknown.
REJECTIONS = frozenset({400, 403, 413, 429, 503})
# The statuses that answer a call, by its kind; any other is a failure, or another call's.
ANSWERS = {
    "read": (OK, NOT_FOUND),
    "range": (OK,),
    "watch": (OK, GONE),
    CATCH_UP: (OK, GONE),
    "txn": (OK, NOT_FOUND, CONFLICT),
    "lease": (OK,),
    "keep": (OK, NOT_FOUND),
    "revoke": (OK, NOT_FOUND),
}
JSON = ((b"content-type", b"application/json"),)
# Fields of a good response, by kind of call. A response without a length whose connection ended
# early may lack all of them.
REQUIRED_FIELDS = {
    "read": ("key", "revision", "at"),
    "range": ("items", "at"),
    "watch": ("at",),
    CATCH_UP: ("at",),
    "txn": ("revision",),
    "lease": ("lease",),
    "keep": ("ttl_ms",),
}


def watch_path(prefix: str, after: int, *, wait_ms: int) -> str:
    """Return the path of one poll for the changes after a revision."""
    return f"/kv-watch?prefix={quote(prefix, safe='/')}&after={after}&wait-ms={wait_ms}"


@dataclass(slots=True, eq=False)
class _PendingPoll:
    """A poll of a watch that the store holds since ``started_ms``."""

    scope: anyio.CancelScope
    started_ms: int


class PlatformStore(Service):
    """Client of the platform's store.

    A write is sent at most once: if its response is lost, ``PLATFORM_UNKNOWN`` is raised and the
    owner of the key reads it back. Reads are retried within a budget.
    """

    name: ClassVar[str] = PLATFORM
    watch_poll_timeout_ms: int = WATCH_POLL_TIMEOUT_MS
    watch_pause_ms: int = 0

    def __init__(self, *, cfg: Settings, clock: Clock, counters: Counters) -> None:
        self._address = split_address(cfg.platform.urls[0].removeprefix("http://"))
        self._timeout_ms = cfg.platform.timeout_ms
        self._clock = clock
        self._pool = UpstreamPool(
            clock, connect_ms=CONNECT_TIMEOUT_MS, silent_ms=UNACKNOWLEDGED_TIMEOUT_MS
        )
        self._retry_budget = RetryBudget(burst=MAX_SAVED_RETRIES)
        self._rng = random.Random()
        self._pending_polls: set[_PendingPoll] = set()
        self._failing_since_ms: int | None = None
        self._failed_ms: int | None = None
        self._answered_ms: int | None = None
        # The highest revision of all replies, and the lease that was granted last.
        self._known_revision = 0
        self._last_lease: int | None = None
        self._calls = counters.counter(
            "platform_calls", "Calls made of the platform", ("kind", "outcome")
        )
        age = counters.gauge(
            "store_answer_age_ms", "Time since the store last answered a call, -1 if never, in ms"
        )
        age.set_function(self._answer_age_ms)

    @property
    def failing(self) -> bool:
        """Whether a call has failed, and none has succeeded since."""
        return self._failing_since_ms is not None

    @property
    def answered_ms(self) -> int | None:
        """When a call last succeeded; ``None`` if none has."""
        return self._answered_ms

    @property
    def failed_ms(self) -> int | None:
        """When a call last failed; ``None`` if none has."""
        return self._failed_ms

    async def read(self, key: str, *, limit: int = 0) -> ReadResult:
        """Read one key."""
        status, reply = await self._read("read", f"/kv-key?key={quote(key, safe='/')}")
        at = reply.at or 0
        if status == NOT_FOUND:
            return ReadResult(at, ())
        if reply.key != key:
            raise self._misfit("read", f"key {reply.key!r} for {key!r}")
        item = KeyValue(reply.key or key, reply.value or b"", reply.revision or 0, reply.lease or 0)
        return ReadResult(at, (item,))

    async def read_prefix(self, prefix: str, *, start: str = "", limit: int = 0) -> ReadResult:
        """Read the keys under a prefix; the returned revision is that of the first page."""
        items: list[KeyValue] = []
        size = revision = 0
        after = ""
        while True:
            path = f"/kv-range?prefix={quote(prefix, safe='/')}"
            if after:
                path += f"&after={quote(after, safe='/')}"
            _, reply = await self._read("range", path)
            revision = revision or reply.at or 0
            page = decode_items(reply.items or ())
            if why := misfit_of_page(page, prefix=prefix, after=after):
                raise self._misfit("range", why)
            items += [item for item in page if item.key >= start]
            if not reply.has_more or (limit and len(items) >= limit):
                return ReadResult(revision, tuple(items[:limit] if limit else items))
            size += sum(len(item.value) for item in page)
            if not page or page[-1].key <= after or size > MAX_READ_BYTES:
                raise GatewayError(
                    ErrorKind.PLATFORM_OUT, f"no page follows {after!r} after {size} bytes"
                )
            after = page[-1].key

    async def txn(self, compares: tuple[Compare, ...], writes: tuple[Write, ...]) -> TxnResult:
        """Apply all writes if every comparison holds, otherwise none."""
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
        known = self._known_revision
        status, reply = await self._write("txn", "POST", "/kv-txn", body)
        if status == NOT_FOUND:
            raise GatewayError(ErrorKind.LEASE_LOST)
        if status == OK and puts and (why := misfit_of_commit(reply, known)):
            raise self._misfit("txn", why, error=ErrorKind.PLATFORM_UNKNOWN)
        self._note_revision(reply.revision if status == OK else None)
        return TxnResult(status == OK, reply.revision or 0)

    async def grant(self, ttl_ms: int) -> int:
        """Create a lease."""
        _, reply = await self._write("lease", "POST", "/kv-lease", {"ttl-ms": ttl_ms})
        if reply.lease == self._last_lease:
            why = f"lease {reply.lease} was granted before"
            raise self._misfit("lease", why, error=ErrorKind.PLATFORM_UNKNOWN)
        self._last_lease = reply.lease
        return reply.lease or 0

    async def keep_alive(self, lease: int) -> int:
        """Renew a lease and return its time to live in ms, or raise ``LEASE_LOST``."""
        status, reply = await self._write("keep", "POST", f"/kv-keep/{lease}", {})
        if status == NOT_FOUND:
            raise GatewayError(ErrorKind.LEASE_LOST)
        return reply.ttl_ms or 0

    async def revoke(self, lease: int) -> None:
        """End a lease, which removes its keys; an expired one is no error."""
        await self._write("revoke", "DELETE", f"/kv-lease-end/{lease}", None)

    async def watch(self, prefix: str, *, after: int) -> AsyncIterator[WatchBatch]:
        """Yield changes after a revision, and empty batches while there are none.

        :raises GatewayError: ``WATCH_COMPACTED``, or ``PLATFORM_OUT``, after which everything must
            be read again.
        """
        while True:
            status, reply = await self._poll(prefix, after)
            for batch in self._batches_of(status, reply, prefix, after):
                after = max(after, batch.revision)
                yield batch
            # Once per poll: a pause per batch would delay a backlog of changes.
            if reply.events:
                await self._clock.sleep(self.watch_pause_ms)

    async def catch_up(self, prefix: str, *, after: int) -> list[WatchBatch]:
        """Return the changes after a revision, at the least those until the call began.

        :raises GatewayError: as a watch does.
        """
        path = watch_path(prefix, after, wait_ms=0)
        status, reply = await self._call(CATCH_UP, "GET", path, None, limit_ms=self._timeout_ms)
        return self._batches_of(status, reply, prefix, after)

    def _batches_of(
        self, status: int, reply: StoreReply, prefix: str, after: int
    ) -> list[WatchBatch]:
        """Return the batches of a poll's reply, if it is one."""
        if status == GONE:
            raise GatewayError(ErrorKind.WATCH_COMPACTED, f"after {after}")
        batches = decode_batches(reply)
        if why := misfit_of_batches(batches, prefix=prefix, after=after):
            raise self._misfit("watch", why)
        return batches

    async def _poll(self, prefix: str, after: int) -> tuple[int, StoreReply]:
        poll_timeout_ms = self.watch_poll_timeout_ms
        path = watch_path(prefix, after, wait_ms=poll_timeout_ms)
        poll = _PendingPoll(anyio.CancelScope(), self._clock.now())
        self._pending_polls.add(poll)
        try:
            with poll.scope:
                return await self._call(
                    "watch", "GET", path, None, limit_ms=poll_timeout_ms + WATCH_POLL_MARGIN_MS
                )
        finally:
            self._pending_polls.discard(poll)
        raise GatewayError(
            ErrorKind.PLATFORM_OUT,
            "watch: poll cancelled, it began before the store's last failure",
        )

    def _misfit(
        self, kind: str, why: str, *, error: ErrorKind = ErrorKind.PLATFORM_OUT
    ) -> GatewayError:
        """Return the error for a reply that is another call's; the connections may hold more."""
        self._pool.close_idle(self._address)
        self._record_failure(kind, "misfit")
        return GatewayError(error, f"{kind}: the reply is another call's: {why}")

    def _note_revision(self, revision: int | None) -> None:
        self._known_revision = max(self._known_revision, revision or 0)

    def _record_failure(self, kind: str, outcome: str) -> None:
        self._count(kind, outcome)
        if kind == CATCH_UP:
            # Made beside the calls that keep this VM in step, most where the store is at its
            # limit. Its failure must not end a watch that works.
            return
        self._failed_ms = self._clock.now()
        if self._failing_since_ms is None:
            self._failing_since_ms = self._failed_ms
            logging.warning(
                "store: a call (%s) failed (%s), the last answer came %d ms ago",
                kind,
                outcome,
                self._answer_age_ms(),
            )

    def _answer_age_ms(self) -> int:
        return -1 if self._answered_ms is None else self._clock.now() - self._answered_ms

    def _record_success(self, kind: str) -> None:
        now = self._answered_ms = self._clock.now()
        self._count(kind, "ok")
        if self._failing_since_ms is not None:
            logging.info(
                "store: a call (%s) succeeded, %d ms after the first that failed",
                kind,
                now - self._failing_since_ms,
            )
            self._cancel_stale_polls()
            self._failing_since_ms = None

    def _cancel_stale_polls(self) -> None:
        """Cancel polls that began before a call failed, now that one has succeeded again.

        A store that was silent never responds to a poll of that time, and the connection shows no
        error. The poll would run into its timeout, and changes made during the outage would be in
        force seconds after its end, though other calls work. Costs one more read and one more
        poll per outage.
        """
        for poll in self._pending_polls:
            if self._failed_ms is not None and poll.started_ms <= self._failed_ms:
                poll.scope.cancel()

    async def _read(self, kind: str, path: str) -> tuple[int, StoreReply]:
        self._retry_budget.earn()
        for attempt in range(1, MAX_READ_ATTEMPTS + 1):
            try:
                return await self._call(kind, "GET", path, None, limit_ms=self._timeout_ms)
            except GatewayError:
                if attempt == MAX_READ_ATTEMPTS or not self._retry_budget.spend():
                    raise
                await self._clock.sleep(backoff_ms(attempt, self._rng))
        raise GatewayError(ErrorKind.PLATFORM_OUT)

    async def _write(
        self, kind: str, method: str, path: str, body: object | None
    ) -> tuple[int, StoreReply]:
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
    ) -> tuple[int, StoreReply]:
        known = self._known_revision
        try:
            status, raw = await self._exchange(method, path, body, limit_ms=limit_ms)
        except ConnectFailedError as exc:
            self._record_failure(kind, "out")
            raise GatewayError(ErrorKind.PLATFORM_OUT, str(exc)) from exc
        except (BrokenResponseError, TimeoutError) as exc:
            # The other idle connections may be dead, too; the next call opens a new one.
            self._pool.close_idle(self._address)
            self._record_failure(kind, "unknown")
            error = ErrorKind.PLATFORM_UNKNOWN if write else ErrorKind.PLATFORM_OUT
            raise GatewayError(error, f"{kind}: {exc!r}") from exc
        status, reply = self._check_response(kind, status, raw, write=write)
        if why := misfit_of_revision(reply, known):
            error = ErrorKind.PLATFORM_UNKNOWN if write else ErrorKind.PLATFORM_OUT
            raise self._misfit(kind, why, error=error)
        self._note_revision(reply.at)
        return status, reply

    async def _exchange(
        self, method: str, path: str, body: object | None, *, limit_ms: int
    ) -> tuple[int, bytes]:
        data = b"" if body is None else msgspec.json.encode(body)
        headers = (*(JSON if body is not None else ()), (b"host", b"store"))
        fresh = self._pool.sent_strays(self._address)
        conn = await self._pool.acquire(self._address, fresh=fresh)
        try:
            with anyio.fail_after(limit_ms / MS_PER_SECOND):
                conn.send(request_bytes(method, path.encode("ascii"), headers, data))
                head = await conn.read_head()
                raw = await conn.read_body(max_bytes=MAX_RESPONSE_BYTES)
        except BaseException:
            conn.abort()
            raise
        self._pool.release(self._address, conn)
        return head.status, raw

    def _check_response(
        self, kind: str, status: int, raw: bytes, *, write: bool
    ) -> tuple[int, StoreReply]:
        if status not in ANSWERS[kind]:
            is_unknown = write and status not in REJECTIONS
            self._record_failure(kind, "unknown" if is_unknown else "refused")
            error = ErrorKind.PLATFORM_UNKNOWN if is_unknown else ErrorKind.PLATFORM_OUT
            raise GatewayError(error, f"{kind}: unexpected status {status}")
        reply = decode_reply(raw)
        required = REQUIRED_FIELDS.get(kind, ()) if status == OK else ()
        missing = reply.missing_fields(required) if reply is not None else ()
        if reply is None or missing:
            self._count(kind, "unknown")
            what = f"lacks {', '.join(missing)}" if reply is not None else "can't be read"
            error = ErrorKind.PLATFORM_UNKNOWN if write else ErrorKind.PLATFORM_OUT
            raise GatewayError(error, f"{kind}: the response of {len(raw)} bytes {what}")
        self._record_success(kind)
        return status, reply

    def _count(self, kind: str, outcome: str) -> None:
        self._calls.labels(kind, outcome).inc()
