"""The stand-in store as an HTTP server that speaks the platform's calls."""

from __future__ import annotations

import base64
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs

import anyio
import msgspec

from hickorybeam.clock import MS_PER_SECOND, Clock, SystemClock
from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.http1 import HttpServer
from hickorybeam.http1.head import response_head_bytes
from hickorybeam.platform import names
from hickorybeam.standins.memory import PlatformStandIn
from hickorybeam.store import Compare, Delete, KeyValue, Put

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Mapping

    from hickorybeam.http1 import IncomingRequest, ResponseWriter
    from hickorybeam.store import WatchBatch

__all__ = ("KeyValueApp", "ServedStore", "serve_store")

JSON = ((b"content-type", b"application/json"),)
PAGE = 500
FAILURES = {ErrorKind.LEASE_LOST: 404, ErrorKind.WATCH_COMPACTED: 410}


class KeyValueApp:
    """Answers the store's calls.

    Beside the stand-in's own faults, ``turn_away`` is a status that every call gets, 0 for
    none; ``silent`` leaves every call unanswered; the next ``deaf_watches`` watches never answer;
    ``odd_items`` holds, by ``items`` and ``events``, what comes before each item of an answer;
    ``answer_share`` is the share of each answer's body that comes before the connection ends in
    order, ``None`` for whole answers.
    """

    def __init__(self, stand_in: PlatformStandIn) -> None:
        self.stand_in = stand_in
        self.turn_away = 0
        self.silent = False
        self.deaf_watches = 0
        self.answer_share: float | None = None
        self.page = PAGE
        self.odd_items: Mapping[str, Mapping[str, Any]] = {}

    def put(self, key: str, value: bytes) -> None:
        """Write a key as an operator or a backend server would."""
        self.stand_in.store.txn((), (Put(key, value),))
        self.stand_in.notify()

    def configure(self, config: Mapping[str, Any]) -> None:
        """Write a configuration as the operator does."""
        self.put(names.CONFIG_KEY, msgspec.json.encode(config))

    def delete(self, key: str) -> None:
        """Remove a key as an operator would, or as a lapsed lease does."""
        self.stand_in.store.txn((), (Delete(key),))
        self.stand_in.notify()

    async def answer(self, req: IncomingRequest, reply: ResponseWriter) -> None:
        """Answer one call, or fail it as the switches say."""
        faults = self.stand_in.faults
        if self.silent or faults.take_dropped_request(write=req.method != "GET"):
            await anyio.sleep_forever()
        if self.turn_away or faults.out:
            reply.send(self.turn_away or 503)
            return
        await self.stand_in.clock.sleep(faults.slow_ms)
        self.stand_in.expire()
        path, _, query = req.target.decode("latin-1").partition("?")
        told = {name: found[0] for name, found in parse_qs(query).items()}
        try:
            status, body = await self._call(req.method, path, told, req.body)
        except GatewayError as exc:
            status, body = FAILURES.get(exc.kind, 503), {}
        if req.method != "GET":
            self.stand_in.notify()
            if faults.take_lost_answer():
                reply.abort()
                return
        await self._before_answer()
        data = msgspec.json.encode(self._with_odd_items(self._shown(body)))
        if self.answer_share is None:
            reply.send(status, JSON, data)
            return
        reply.send_raw(response_head_bytes(status, JSON, length=None, close=True, chunked=False))
        reply.send_raw(data[: round(len(data) * self.answer_share)])
        reply.end_by_close()

    async def _before_answer(self) -> None:
        """Wait until the answer to a call may go."""

    def show(self, item: Mapping[str, Any]) -> Mapping[str, Any]:
        """Return an item as the caller sees it."""
        return item

    def _shown(self, body: Mapping[str, Any]) -> Mapping[str, Any]:
        if "key" in body:
            return self.show(body)
        for field in ("items", "events"):
            if field in body:
                body = {**body, field: [self.show(it) for it in body[field]]}
        return body

    def _with_odd_items(self, body: Mapping[str, Any]) -> Mapping[str, Any]:
        for field in self.odd_items.keys() & body.keys():
            pairs = [(self.odd_items[field], item) for item in body[field]]
            body = {**body, field: [it for pair in pairs for it in pair]}
        return body

    async def _call(
        self, method: str, path: str, told: Mapping[str, str], raw: bytes
    ) -> tuple[int, Mapping[str, Any]]:
        store, now = self.stand_in.store, self.stand_in.clock.now()
        body = msgspec.json.decode(raw) if raw else {}
        kind, _, name = path.removeprefix("/").partition("/")
        self.stand_in.count(kind.removeprefix("kv-"))
        match kind:
            case "kv-key":
                found = store.read(told["key"])
                item = as_item(found.items[0]) if found.items else {}
                return (200 if found.items else 404), {**item, "at": found.revision}
            case "kv-range":
                return 200, self._page(told)
            case "kv-watch":
                return 200, await self._watch(told)
            case "kv-txn":
                return self._txn(body)
            case "kv-lease":
                return 200, {"lease": store.grant(body["ttl-ms"], now), "ttl-ms": body["ttl-ms"]}
            case "kv-keep":
                left = store.keep_alive(int(name), now)
                return (200 if left else 404), {"ttl-ms": left}
            case "kv-lease-end":
                return (200 if store.revoke(int(name)) else 404), {}
        return 404, {}

    def _page(self, told: Mapping[str, str]) -> Mapping[str, Any]:
        after = told.get("after", "")
        found = self.stand_in.store.read_prefix(told.get("prefix", ""), start=after)
        items = [it for it in found.items if it.key > after or not after]
        return {
            "items": [as_item(it) for it in items[: self.page]],
            "has-more": len(items) > self.page,
            "at": found.revision,
        }

    async def _watch(self, told: Mapping[str, str]) -> Mapping[str, Any]:
        if self.deaf_watches:
            self.deaf_watches -= 1
            await anyio.sleep_forever()
        after, prefix = int(told["after"]), told.get("prefix", "")
        events: list[Mapping[str, Any]] = []
        faults = self.stand_in.faults
        with anyio.move_on_after(int(told["wait-ms"]) / MS_PER_SECOND):
            async for batch in self.stand_in.watch(prefix, after, (faults,)):
                events += as_events(batch)
                after = batch.revision
                break
        for batch in self.stand_in.store.changes_after(after, prefix) if events else ():
            events += as_events(batch)
            after = batch.revision
        return {"events": events, "at": after if events else self.stand_in.store.revision}

    def _txn(self, body: Mapping[str, Any]) -> tuple[int, Mapping[str, Any]]:
        compares = tuple(Compare(it["key"], it["revision"]) for it in body["expect"])
        writes = [
            Put(it["key"], base64.b64decode(it["value"]), it.get("lease", 0))
            for it in body["write"]
        ]
        deletes = [Delete(key) for key in body.get("remove", ())]
        done = self.stand_in.store.txn(compares, (*writes, *deletes))
        return (200 if done.done else 412), {"revision": done.revision}


class ServedStore:
    """A stand-in store that listens."""

    def __init__(self, app: KeyValueApp, server: HttpServer) -> None:
        self.app = app
        self.server = server

    @property
    def url(self) -> str:
        """The address to call."""
        return f"http://127.0.0.1:{self.server.port}"


@asynccontextmanager
async def serve_store(*, clock: Clock | None = None) -> AsyncIterator[ServedStore]:
    """Serve a stand-in store on a free port until the block ends."""
    stand_in = PlatformStandIn(clock or SystemClock())
    app = KeyValueApp(stand_in)
    async with anyio.create_task_group() as tg:
        server = HttpServer(app.answer, clock=SystemClock(), tasks=tg)
        await server.listen("127.0.0.1", 0)
        tg.start_soon(stand_in.run)
        try:
            yield ServedStore(app, server)
        finally:
            server.stop_accepting()
            tg.cancel_scope.cancel()


def as_item(item: KeyValue) -> dict[str, Any]:
    """Return an item as the store writes it."""
    return {
        "key": item.key,
        "value": base64.b64encode(item.value).decode(),
        "revision": item.mod_revision,
        "created": item.mod_revision,
        "lease": item.lease,
    }


def as_events(batch: WatchBatch) -> list[Mapping[str, Any]]:
    """Return a batch as the events of a watch."""
    gone: list[Mapping[str, Any]] = [
        {"key": key, "revision": batch.revision, "deleted": True} for key in batch.deletes
    ]
    return [*map(as_item, batch.puts), *gone]
