"""Client of the platform's key-value service through etcd v3's JSON mapping."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, TypeVar

import anyio
import httpcore
import msgspec

from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.kernel import Service, Started
from hickorybeam.store import wire
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
from hickorybeam.untrusted import InvalidBytesError, decode_json

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from hickorybeam.clock import Clock
    from hickorybeam.settings import Settings
    from hickorybeam.telemetry import Counters

__all__ = ("EtcdPlatform",)

T = TypeVar("T")

HTTP_OK = 200
MS_PER_SECOND = 1000
MAX_READ_ATTEMPTS = 3
MAX_CONNECTIONS = 16
# Below the usual idle limit of servers (5 s), so that the client closes an idle connection first:
# a write sent while the server closes the connection would have an unknown outcome.
MAX_IDLE_S = 4.0
# Enough for the longest line of a watch: one transaction of several values, in base64.
MAX_WATCH_LINE_BYTES = 16_000_000
# In the error text of a request that was rejected before the service proposed it to its replicas,
# so nothing was written.
NO_LEADER_TEXT = "no leader"


class CallKind(Enum):
    """The kinds of calls, as the service counts them."""

    READ = "read"
    TXN = "txn"
    LEASE = "lease"
    WATCH = "watch"


class _NotSentError(Exception):
    """No byte of the request can have reached the service."""


class _NoResponseError(Exception):
    """The request may have reached the service, but no complete response arrived."""


@dataclass(frozen=True, slots=True)
class _RefusalError(Exception):
    """The service responded with an error: its gRPC status code (0 if unknown) and text."""

    code: int
    text: str


class _Connections:
    """A connection pool that is replaced as a whole once one of its connections stalls.

    A firewall that lost track of one connection has lost track of the others too, and each would
    cost another timeout. A retired pool is closed when the last call that uses it ends.
    """

    def __init__(self) -> None:
        self.pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS, keepalive_expiry=MAX_IDLE_S
        )
        self.active_calls = 0
        self.retired = False

    async def release(self) -> None:
        """Count the end of a call; close the pool if it is retired and this was the last one."""
        self.active_calls -= 1
        if self.retired and not self.active_calls:
            with anyio.CancelScope(shield=True):
                await self.pool.aclose()


class EtcdPlatform(Service):
    """Calls the platform's key-value service.

    A write is sent at most once: when its response is lost, ``PLATFORM_UNKNOWN`` is raised and
    the owner of the key reads it back. A write is retried at the next address only if no byte of
    it can have left. Reads are retried, within a budget.
    """

    name = "platform"

    def __init__(self, *, cfg: Settings, clock: Clock, counters: Counters) -> None:
        self._cfg = cfg.platform
        self._clock = clock
        self._urls = tuple(url.rstrip("/") for url in cfg.platform.urls)
        self._url_index = 0
        self._connections = _Connections()
        self._retry_budget = RetryBudget()
        self._rng = random.Random()
        self._call_counter = counters.counter(
            "platform_calls", "Calls made of the platform", ("kind", "outcome")
        )
        self._retry_counter = counters.retries
        timeout_s = cfg.platform.timeout_ms / MS_PER_SECOND
        self._timeouts = {
            "connect": timeout_s / 2,
            "pool": timeout_s / 2,
            "write": timeout_s,
            "read": timeout_s,
        }

    async def main(self, started: Started) -> None:
        """Keep the connection pool until cancelled, then close it."""
        started()
        try:
            await anyio.sleep_forever()
        finally:
            with anyio.CancelScope(shield=True):
                await self._connections.pool.aclose()

    async def read(self, key: str, *, limit: int = 0) -> ReadResult:
        """Read one key."""
        return await self._read_range(wire.RangeRequest(key=self._full_key(key)))

    async def read_prefix(self, prefix: str, *, start: str = "", limit: int = 0) -> ReadResult:
        """Read the keys under a prefix, from ``start`` on, at most ``limit`` (0: all)."""
        request = wire.RangeRequest(
            key=self._full_key(max(prefix, start)),
            range_end=wire.prefix_end(self._full_key(prefix)),
            limit=str(limit),
        )
        return await self._read_range(request)

    async def txn(self, compares: tuple[Compare, ...], writes: tuple[Write, ...]) -> TxnResult:
        """Apply all writes if all comparisons hold, otherwise none."""
        request = wire.TxnRequest(
            compare=tuple(self._to_compare_message(each) for each in compares),
            success=tuple(self._to_operation(each) for each in writes),
        )
        reply = await self._call(CallKind.TXN, wire.TXN, request, wire.TxnReply, write=True)
        return TxnResult(reply.succeeded, int(reply.header.revision))

    async def grant(self, ttl_ms: int) -> int:
        """Create a lease and return its id; rounded up, as the service counts whole seconds."""
        request = wire.LeaseGrantRequest(ttl=str(math.ceil(ttl_ms / MS_PER_SECOND)))
        reply = await self._call(
            CallKind.LEASE, wire.LEASE_GRANT, request, wire.LeaseGrantReply, write=True
        )
        return int(reply.id)

    async def keep_alive(self, lease: int) -> int:
        """Renew a lease and return its time to live in ms; raise ``LEASE_LOST`` if it has ended."""
        request = wire.LeaseRequest(id=str(lease))
        reply = await self._call(
            CallKind.LEASE, wire.LEASE_KEEP_ALIVE, request, wire.KeepAliveReply, write=False
        )
        ttl_s = int(reply.result.ttl)
        if ttl_s <= 0:
            raise GatewayError(ErrorKind.LEASE_LOST)
        return ttl_s * MS_PER_SECOND

    async def revoke(self, lease: int) -> None:
        """End a lease and remove its keys; a lease that has expired already is no error."""
        request = wire.LeaseRequest(id=str(lease))
        try:
            await self._call(
                CallKind.LEASE, wire.LEASE_REVOKE, request, wire.StatusReply, write=True
            )
        except GatewayError as exc:
            if exc.kind is not ErrorKind.LEASE_LOST:
                raise

    async def watch(self, prefix: str, *, after: int) -> AsyncIterator[WatchBatch]:
        """Yield the changes after a revision, over a separate connection."""
        start = self._full_key(prefix)
        create = wire.WatchCreate(
            key=start,
            range_end=wire.prefix_end(start),
            start_revision=str(after + 1),
            progress_notify=True,
        )
        async with httpcore.AsyncConnectionPool(max_connections=1) as pool:
            lines = self._watch_lines(pool, wire.WatchRequest(create=create))
            async for line in lines:
                batch = self._to_watch_batch(_decode_watch(line))
                if batch is not None:
                    yield batch

    async def _watch_lines(
        self, pool: httpcore.AsyncConnectionPool, request: wire.WatchRequest
    ) -> AsyncIterator[bytes]:
        """Open a watch and yield the lines of its response."""
        # No read timeout, because nothing may change for hours. The caller detects a stalled watch
        # by the reads that it makes beside it.
        extensions = {"timeout": {**self._timeouts, "read": None}}
        try:
            async with pool.stream(
                "POST",
                self._urls[self._url_index] + wire.WATCH,
                headers=[("content-type", "application/json")],
                content=msgspec.json.encode(request),
                extensions=extensions,
            ) as response:
                if response.status != HTTP_OK:
                    raise GatewayError(ErrorKind.PLATFORM_OUT, f"status {response.status}")
                self._count_call(CallKind.WATCH, "ok")
                partial = b""
                async for chunk in response.aiter_stream():
                    *lines, partial = (partial + chunk).split(b"\n")
                    if len(partial) > MAX_WATCH_LINE_BYTES:
                        raise GatewayError(ErrorKind.PLATFORM_OUT, "a watch line has no end")
                    for line in lines:
                        if line.strip():
                            yield line
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as exc:
            self._next_url()
            self._count_call(CallKind.WATCH, "out")
            raise GatewayError(ErrorKind.PLATFORM_OUT, f"watch: {type(exc).__name__}") from exc
        raise GatewayError(ErrorKind.PLATFORM_OUT, "the watch ended")

    def _to_watch_batch(self, reply: wire.WatchReply) -> WatchBatch | None:
        """Return the changes of a watch's line; ``None`` for the line that confirms its start."""
        result = reply.result
        if result is None:
            text = reply.error.message if reply.error else ""
            raise GatewayError(ErrorKind.PLATFORM_OUT, f"watch: {text}")
        if int(result.compact_revision):
            raise GatewayError(ErrorKind.WATCH_COMPACTED, f"at {result.compact_revision}")
        if result.canceled:
            raise GatewayError(ErrorKind.PLATFORM_OUT, "the watch was cancelled")
        if result.created:
            return None
        puts = tuple(self._to_key_value(event.kv) for event in result.events if event.type == "PUT")
        deletes = tuple(
            self._to_key_value(event.kv).key for event in result.events if event.type == "DELETE"
        )
        return WatchBatch(int(result.header.revision), puts, deletes)

    async def _read_range(self, request: wire.RangeRequest) -> ReadResult:
        reply = await self._call(CallKind.READ, wire.RANGE, request, wire.RangeReply, write=False)
        items = tuple(self._to_key_value(item) for item in reply.kvs)
        return ReadResult(int(reply.header.revision), items)

    async def _call(
        self, kind: CallKind, path: str, request: wire.Message, reply: type[T], *, write: bool
    ) -> T:
        """Send a request and return its decoded response; retry as the class describes."""
        body = msgspec.json.encode(request)
        attempts = len(self._urls) if write else max(MAX_READ_ATTEMPTS, len(self._urls))
        self._retry_budget.earn()
        for attempt in range(1, attempts + 1):
            try:
                decoded = _decode(await self._post(path, body), reply)
            except (_NotSentError, _NoResponseError) as exc:
                self._next_url()
                if write and isinstance(exc, _NoResponseError):
                    self._count_call(kind, "unknown")
                    raise GatewayError(ErrorKind.PLATFORM_UNKNOWN, str(exc)) from exc
                if attempt == attempts or not self._retry_budget.spend():
                    break
                self._retry_counter.labels(f"platform_{kind.value}").inc()
                await self._clock.sleep(backoff_ms(attempt, self._rng))
            except _RefusalError as exc:
                self._count_call(kind, "refused")
                raise self._to_gateway_error(exc, write=write) from exc
            else:
                self._count_call(kind, "ok")
                return decoded
        self._count_call(kind, "out")
        raise GatewayError(ErrorKind.PLATFORM_OUT, "no address of the platform answers")

    async def _post(self, path: str, body: bytes) -> bytes:
        """Send a request body to the current address and return the body of the response."""
        connections = self._connections
        connections.active_calls += 1
        try:
            # The library's timeouts are for single steps; this one is for the whole call.
            with anyio.fail_after(2 * self._cfg.timeout_ms / MS_PER_SECOND):
                response = await connections.pool.request(
                    "POST",
                    self._urls[self._url_index] + path,
                    headers=[("content-type", "application/json")],
                    content=body,
                    extensions={"timeout": self._timeouts},
                )
        except (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout) as exc:
            raise _NotSentError(type(exc).__name__) from exc
        except (TimeoutError, httpcore.TimeoutException) as exc:
            self._retire(connections)
            raise _NoResponseError("no answer in time") from exc
        except (httpcore.NetworkError, httpcore.ProtocolError) as exc:
            self._retire(connections)
            raise _NoResponseError(type(exc).__name__) from exc
        finally:
            await connections.release()
        if response.status != HTTP_OK:
            raise _decode_refusal(response.status, response.content)
        return response.content

    def _to_gateway_error(self, refusal: _RefusalError, *, write: bool) -> GatewayError:
        """Return the error for a rejected call; it tells whether a write may have taken effect."""
        match refusal.code:
            case wire.CODE_NOT_FOUND:
                return GatewayError(ErrorKind.LEASE_LOST, refusal.text)
            case wire.CODE_INVALID if "too large" in refusal.text:
                return GatewayError(ErrorKind.VALUE_TOO_LARGE, refusal.text)
            case wire.CODE_INVALID | wire.CODE_TOO_MANY:
                return GatewayError(ErrorKind.PLATFORM_OUT, refusal.text)
            case wire.CODE_UNAVAILABLE if NO_LEADER_TEXT in refusal.text or not write:
                return GatewayError(ErrorKind.PLATFORM_OUT, refusal.text)
        # With any other error, the write may have been proposed already and may yet take effect.
        kind = ErrorKind.PLATFORM_UNKNOWN if write else ErrorKind.PLATFORM_OUT
        return GatewayError(kind, refusal.text)

    def _retire(self, connections: _Connections) -> None:
        """Replace a pool with a new one; it closes itself after its last call."""
        connections.retired = True
        if self._connections is connections:
            self._connections = _Connections()

    def _next_url(self) -> None:
        self._url_index = (self._url_index + 1) % len(self._urls)

    def _count_call(self, kind: CallKind, outcome: str) -> None:
        self._call_counter.labels(kind.value, outcome).inc()

    def _full_key(self, key: str) -> bytes:
        return (self._cfg.prefix + key).encode()

    def _to_key_value(self, item: wire.KeyValueMessage) -> KeyValue:
        key = item.key.decode().removeprefix(self._cfg.prefix)
        return KeyValue(key, item.value, int(item.mod_revision), int(item.lease))

    def _to_compare_message(self, compare: Compare) -> wire.CompareMessage:
        return wire.CompareMessage(
            key=self._full_key(compare.key), mod_revision=str(compare.mod_revision), target="MOD"
        )

    def _to_operation(self, write: Write) -> wire.Operation:
        match write:
            case Put(value=value) if len(value) > MAX_VALUE_BYTES:
                raise GatewayError(ErrorKind.VALUE_TOO_LARGE, f"{len(value)} bytes")
            case Put(key=key, value=value, lease=lease):
                put = wire.PutRequest(key=self._full_key(key), value=value, lease=str(lease))
                return wire.Operation(put=put)
            case Delete(key=key):
                return wire.Operation(delete=wire.DeleteRequest(key=self._full_key(key)))


def _decode(raw: bytes, reply: type[T]) -> T:
    """Decode a response; one that is cut short or not the service's is handled as none."""
    try:
        return decode_json(raw, reply)
    except InvalidBytesError as exc:
        raise _NoResponseError("the answer can't be read") from exc


def _decode_watch(line: bytes) -> wire.WatchReply:
    try:
        return decode_json(line, wire.WatchReply)
    except InvalidBytesError as exc:
        raise GatewayError(ErrorKind.PLATFORM_OUT, "a watch line can't be read") from exc


def _decode_refusal(status: int, body: bytes) -> _RefusalError:
    """Decode the body of an error response; without a readable body, only its status is known."""
    try:
        reply = decode_json(body, wire.StatusReply)
    except InvalidBytesError:
        return _RefusalError(0, f"status {status}")
    return _RefusalError(reply.code, reply.message or reply.error)
