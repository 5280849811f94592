"""The stand-in platform as an HTTP server that speaks etcd v3's JSON mapping.

A path before ``/v3`` names a link: ``http://host:port/vm-a/v3/kv/range`` arrives over link
``vm-a``, which has fault switches of its own, so that one client can be cut off.
Faults are switched with ``POST /standin/faults``.
"""

from __future__ import annotations

import argparse
import math
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio
import msgspec

from hickorybeam.clock import Clock, SystemClock
from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.httpserve import serve_app
from hickorybeam.standins.http import CutOffError, Exchange
from hickorybeam.standins.memory import Faults, MemoryPlatform, PlatformStandIn
from hickorybeam.store import Compare, Delete, Put, Write, wire

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from hickorybeam.standins.http import Receive, Scope, Send
    from hickorybeam.store import ReadResult, WatchBatch


__all__ = ("Faults", "MemoryPlatform", "PlatformApp", "PlatformStandIn", "ServedPlatform", "serve")

MS_PER_SECOND = 1000


class FaultOrder(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``POST /standin/faults``; fields that are left out stay as they are."""

    link: str = ""
    out: bool | None = None
    slow_ms: int | None = None
    lose_answers: int | None = None
    drop_requests: int | None = None
    silence_watches: bool = False
    compact: bool = False
    lapse_all: bool = False


@dataclass(frozen=True, slots=True)
class _Failure:
    status: int
    code: int
    text: str


_READS = (wire.RANGE, wire.LEASE_KEEP_ALIVE)
_FAILURES = {
    ErrorKind.VALUE_TOO_LARGE: _Failure(400, wire.CODE_INVALID, "request is too large"),
    ErrorKind.LEASE_LOST: _Failure(404, wire.CODE_NOT_FOUND, "requested lease not found"),
    ErrorKind.PLATFORM_OUT: _Failure(503, wire.CODE_UNAVAILABLE, "no leader"),
}


class PlatformApp:
    """ASGI application over one :class:`PlatformStandIn`."""

    def __init__(self, stand_in: PlatformStandIn) -> None:
        self.stand_in = stand_in
        self._links: dict[str, Faults] = {}

    def link(self, name: str) -> Faults:
        """Return the fault switches of one link; the empty name holds for all."""
        if not name:
            return self.stand_in.faults
        return self._links.setdefault(name, self.stand_in.new_faults())

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        if scope["type"] != "http":
            return
        exchange = Exchange(scope, receive, send)
        body = await exchange.body()
        name, _, rest = exchange.path.partition("/v3/")
        path = f"/v3/{rest}"
        try:
            if exchange.path == "/standin/faults":
                self._switch(msgspec.json.decode(body, type=FaultOrder))
                await exchange.json(200, {})
            elif exchange.path == "/standin/calls":
                await exchange.json(200, dict(self.stand_in.calls))
            elif path == wire.WATCH:
                await self._watch(self._faults(name), body, exchange)
            else:
                await self._unary(self._faults(name), path, body, exchange)
        except GatewayError as exc:
            failure = _FAILURES[exc.kind]
            reply = wire.StatusReply(
                code=failure.code, message=failure.text, error=f"etcdserver: {failure.text}"
            )
            await exchange.json(failure.status, reply)
        except msgspec.MsgspecError as exc:
            reply = wire.StatusReply(code=wire.CODE_INVALID, message=str(exc))
            await exchange.json(400, reply)

    def _faults(self, name: str) -> tuple[Faults, ...]:
        link = name.strip("/")
        return (self.stand_in.faults, self.link(link)) if link else (self.stand_in.faults,)

    async def _unary(
        self, faults: tuple[Faults, ...], path: str, body: bytes, exchange: Exchange
    ) -> None:
        for switch in faults:
            if switch.out:
                raise GatewayError(ErrorKind.PLATFORM_OUT)
            if switch.take_dropped_request(write=path not in _READS):
                await exchange.gone()
                return
            await self.stand_in.clock.sleep(switch.slow_ms)
        self.stand_in.expire()
        reply, writes = self._handle(path, body)
        if writes:
            self.stand_in.notify()
            if any(switch.take_lost_answer() for switch in faults):
                # More bytes are promised than come, so the connection closes unanswered.
                await exchange.start(200, {"content-length": "2"})
                raise CutOffError
        self.stand_in.bytes_sent += len(msgspec.json.encode(reply))
        await exchange.json(200, reply)

    def _handle(self, path: str, body: bytes) -> tuple[wire.Message, bool]:
        store, now = self.stand_in.store, self.stand_in.clock.now()
        match path:
            case wire.RANGE:
                self.stand_in.count("read")
                return self._range(msgspec.json.decode(body, type=wire.RangeRequest)), False
            case wire.TXN:
                self.stand_in.count("txn")
                return self._txn(msgspec.json.decode(body, type=wire.TxnRequest)), True
            case wire.LEASE_GRANT:
                self.stand_in.count("lease")
                grant = msgspec.json.decode(body, type=wire.LeaseGrantRequest)
                lease = store.grant(int(grant.ttl) * MS_PER_SECOND, now)
                return wire.LeaseGrantReply(id=str(lease), ttl=grant.ttl), True
            case wire.LEASE_KEEP_ALIVE:
                self.stand_in.count("lease")
                request = msgspec.json.decode(body, type=wire.LeaseRequest)
                left = math.ceil(store.keep_alive(int(request.id), now) / MS_PER_SECOND)
                result = wire.KeepAliveResult(id=request.id, ttl=str(left))
                return wire.KeepAliveReply(result=result), False
            case wire.LEASE_REVOKE:
                self.stand_in.count("lease")
                request = msgspec.json.decode(body, type=wire.LeaseRequest)
                if not store.revoke(int(request.id)):
                    raise GatewayError(ErrorKind.LEASE_LOST)
                return wire.StatusReply(), True
        raise msgspec.ValidationError(f"no such call: {path}")

    def _range(self, request: wire.RangeRequest) -> wire.RangeReply:
        store, key = self.stand_in.store, request.key.decode()
        if not request.range_end:
            return _range_reply(store.read(key))
        prefix = _prefix_of(request.range_end)
        return _range_reply(store.read_prefix(prefix, start=key, limit=int(request.limit)))

    def _txn(self, request: wire.TxnRequest) -> wire.TxnReply:
        compares = tuple(
            Compare(each.key.decode(), int(each.mod_revision)) for each in request.compare
        )
        done = self.stand_in.store.txn(compares, tuple(_write(each) for each in request.success))
        return wire.TxnReply(header=wire.Header(revision=str(done.revision)), succeeded=done.done)

    async def _watch(self, faults: tuple[Faults, ...], body: bytes, exchange: Exchange) -> None:
        create = msgspec.json.decode(body, type=wire.WatchRequest).create
        prefix, after = _prefix_of(create.range_end), int(create.start_revision) - 1
        self.stand_in.count("watch")
        await exchange.start(200, {"content-type": "application/json"})
        await self._send_result(exchange, wire.WatchResult(header=self._header(), created=True))
        async with anyio.create_task_group() as tg:

            async def relay() -> None:
                try:
                    async for batch in self.stand_in.watch(prefix, after, faults):
                        await self._send_result(exchange, _watch_result(batch))
                except GatewayError as exc:
                    if exc.kind is ErrorKind.WATCH_COMPACTED:
                        compacted = str(self.stand_in.store.compacted)
                        await self._send_result(
                            exchange,
                            wire.WatchResult(
                                header=self._header(), canceled=True, compact_revision=compacted
                            ),
                        )
                await exchange.write(b"", more=False)
                tg.cancel_scope.cancel()

            tg.start_soon(relay)
            await exchange.gone()
            tg.cancel_scope.cancel()

    async def _send_result(self, exchange: Exchange, result: wire.WatchResult) -> None:
        line = msgspec.json.encode(wire.WatchReply(result=result)) + b"\n"
        self.stand_in.bytes_sent += len(line)
        await exchange.write(line)

    def _header(self) -> wire.Header:
        return wire.Header(revision=str(self.stand_in.store.revision))

    def _switch(self, order: FaultOrder) -> None:
        faults = self.link(order.link)
        for field in ("slow_ms", "lose_answers", "drop_requests"):
            value = getattr(order, field)
            if value is not None:
                setattr(faults, field, value)
        if order.out is not None:
            faults.set_out(order.out)
        if order.silence_watches:
            faults.silence_watches()
        if order.compact:
            self.stand_in.store.compact()
        if order.lapse_all:
            for lease in self.stand_in.store.leases():
                self.stand_in.lapse(lease)


@dataclass(frozen=True, slots=True)
class ServedPlatform:
    """A stand-in that listens."""

    port: int
    app: PlatformApp

    @property
    def url(self) -> str:
        """The address for ``platform.urls``."""
        return f"http://127.0.0.1:{self.port}"

    @property
    def stand_in(self) -> PlatformStandIn:
        """The store and its faults."""
        return self.app.stand_in


@asynccontextmanager
async def serve(*, port: int = 0, clock: Clock | None = None) -> AsyncIterator[ServedPlatform]:
    """Serve a stand-in on loopback until the context ends."""
    stand_in = PlatformStandIn(clock or SystemClock())
    app = PlatformApp(stand_in)
    async with serve_app(app, port=port) as listener, anyio.create_task_group() as tg:
        tg.start_soon(stand_in.run)
        yield ServedPlatform(listener.port, app)
        tg.cancel_scope.cancel()


def _prefix_of(range_end: bytes) -> str:
    return (range_end[:-1] + bytes((range_end[-1] - 1,))).decode()


def _range_reply(result: ReadResult) -> wire.RangeReply:
    kvs = tuple(wire.as_key_value_message(item) for item in result.items)
    header = wire.Header(revision=str(result.revision))
    return wire.RangeReply(header=header, kvs=kvs, count=str(len(kvs)))


def _write(operation: wire.Operation) -> Write:
    if operation.put is not None:
        put = operation.put
        return Put(put.key.decode(), put.value, int(put.lease))
    if operation.delete is not None:
        return Delete(operation.delete.key.decode())
    raise msgspec.ValidationError("an operation is empty")


def _watch_result(batch: WatchBatch) -> wire.WatchResult:
    puts = tuple(wire.Event(kv=wire.as_key_value_message(item)) for item in batch.puts)
    deletes = tuple(
        wire.Event(kv=wire.KeyValueMessage(key=key.encode()), type="DELETE")
        for key in batch.deletes
    )
    header = wire.Header(revision=str(batch.revision))
    return wire.WatchResult(header=header, events=puts + deletes)


async def _main(port: int) -> None:
    async with serve(port=port) as served:
        print(f"listening on 127.0.0.1:{served.port}", flush=True)
        await anyio.sleep_forever()


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description="Run a stand-in platform.")
    parser.add_argument("--port", type=int, default=0)
    anyio.run(_main, parser.parse_args().port)
