"""Stand-in for a model engine: an OpenAI-style API over a continuous batch, with faults.

Run it as a process with ``python -m hickorybeam.standins.engine --port 9001``; its first line
of output is ``listening on HOST:PORT``.
"""

from __future__ import annotations

import contextlib
import itertools
from collections import Counter, deque
from dataclasses import asdict, dataclass, field
from typing import TYPE_CHECKING, Any

import anyio
import fire
import msgspec

from hickorybeam.clock import Clock, SystemClock
from hickorybeam.httpserve import serve_app
from hickorybeam.standins.batch import Batch, EngineShape, Stream, start_of, token_text
from hickorybeam.standins.engine_answers import SseWriter, error_body, whole_answer
from hickorybeam.standins.http import Exchange, Fault, FaultKind, Faults, Served, run_process

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from hickorybeam.standins.http import Receive, Scope, Send

__all__ = ("EngineApp", "answer_text", "main", "serve")

CHARS_PER_TOKEN = 4
DEFAULT_MAX_TOKENS = 16
KEPT_REQUESTS = 10_000
PART_OF_EVENT = b'data: {"choices"'
STREAM_FAULTS = (FaultKind.SILENT, FaultKind.CUT, FaultKind.NO_END, FaultKind.PART)
HTTP_CONFLICT = 409


@dataclass(slots=True)
class Order:
    """An order as the engine received it."""

    order: str
    model: str = ""
    version: str = "1"
    role: str = ""
    fencing: int | None = None


@dataclass(slots=True)
class Seen:
    """What reached the engine, for tests to read."""

    headers: deque[dict[str, str]] = field(default_factory=lambda: deque(maxlen=KEPT_REQUESTS))
    prompts: deque[str] = field(default_factory=lambda: deque(maxlen=KEPT_REQUESTS))
    executions: Counter[str] = field(default_factory=Counter)
    orders: list[Order] = field(default_factory=list)
    refused_orders: list[Order] = field(default_factory=list)
    resumes: int = 0


def prompt_of(body: dict[str, Any]) -> str:
    """Return the prompt's text of either kind of request."""
    if "messages" in body:
        return msgspec.json.encode(body["messages"]).decode()
    prompt = body.get("prompt", "")
    return prompt if isinstance(prompt, str) else msgspec.json.encode(prompt).decode()


def answer_text(body: dict[str, Any]) -> str:
    """Return the whole answer that an engine gives to a request body."""
    count = max_tokens_of(body)
    prompt = prompt_of(body)
    return "".join(token_text(body["model"], prompt, position) for position in range(count))


def max_tokens_of(body: dict[str, Any]) -> int:
    """Return how many tokens a request asks for."""
    return int(body.get("max_completion_tokens") or body.get("max_tokens") or DEFAULT_MAX_TOKENS)


class EngineApp:
    """The engine as an ASGI app.

    :param models: models loaded at the start.
    :param checks_fencing: whether an order with an old fencing number is refused.
    """

    def __init__(
        self,
        *,
        name: str = "engine",
        models: tuple[str, ...] = ("small",),
        shape: EngineShape | None = None,
        checks_fencing: bool = True,
        clock: Clock | None = None,
    ) -> None:
        self.name = name
        self.clock = clock or SystemClock()
        self.shape = shape or EngineShape()
        self.batch = Batch(self.shape, self.clock)
        self.models = dict.fromkeys(models, "1")
        self.role = "both"
        self.fencing = 0
        self.checks_fencing = checks_fencing
        self.leaving = False
        self.faults = Faults()
        self.seen = Seen()
        self._ids = itertools.count(1)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        exchange = Exchange(scope, receive, send)
        match (exchange.method, exchange.path.strip("/").split("/")):
            case "POST", ["v1", "chat", "completions"]:
                await self._generate(exchange, chat=True)
            case "POST", ["v1", "completions"]:
                await self._generate(exchange, chat=False)
            case "GET", ["v1", "models"]:
                data = [{"id": name, "object": "model"} for name in self.models]
                await exchange.json(200, {"object": "list", "data": data})
            case "GET", ["streams", stream_id]:
                await self._resume(exchange, stream_id)
            case "DELETE", ["streams", stream_id]:
                found = self.batch.cancel(stream_id)
                await exchange.json(200 if found else 404, {"cancelled": found})
            case "GET", ["load"]:
                await self._load(exchange)
            case "GET", ["cache-events"]:
                events = self.batch.events_after(int(exchange.query.get("from", "0")))
                await exchange.json(200, {"events": [asdict(event) for event in events]})
            case "POST", ["orders"]:
                await self._order(exchange)
            case "GET", ["state"]:
                await exchange.json(200, self.state())
            case "POST", ["fault"]:
                self.faults.set(msgspec.json.decode(await exchange.body(), type=Fault))
                await exchange.json(200, {})
            case "POST", ["leave"]:
                self.leaving = True
                await exchange.json(200, {})
            case "GET", ["seen"]:
                await exchange.json(200, self.seen_json())
            case _:
                await exchange.json(404, error_body("no such path"))

    def state(self) -> dict[str, Any]:
        """Return what an order can change."""
        return {
            "models": [{"name": name, "version": version} for name, version in self.models.items()],
            "role": self.role,
            "fencing": self.fencing,
            "leaving": self.leaving,
            "checks_fencing": self.checks_fencing,
        }

    def seen_json(self) -> dict[str, Any]:
        """Return what reached the engine."""
        return {
            "requests": list(self.seen.headers),
            "prompts": list(self.seen.prompts),
            "executions": dict(self.seen.executions),
            "cancels": list(self.batch.cancels),
            "orders": [asdict(order) for order in self.seen.orders],
            "refused_orders": [asdict(order) for order in self.seen.refused_orders],
            "resumes": self.seen.resumes,
        }

    async def _generate(self, exchange: Exchange, *, chat: bool) -> None:
        request_id = exchange.headers.get("x-request-id", "")
        self.seen.headers.append(exchange.headers)
        body = msgspec.json.decode(await exchange.body())
        self.seen.prompts.append(prompt_of(body))
        fault = self.faults.take()
        if await self._fail_early(exchange, fault):
            return
        if body.get("model") not in self.models:
            await exchange.json(404, error_body(f"model {body.get('model')!r} is not loaded"))
            return
        stream = self._submit(exchange, body)
        self.seen.executions[request_id] += 1
        if fault.kind is FaultKind.ACCEPT_SILENT:
            await exchange.gone()
            return
        if fault.kind is FaultKind.LATE:
            await self.clock.sleep(fault.ms)
        echoed = "another" if fault.kind is FaultKind.CROSSED else request_id
        headers = {"x-request-id": echoed, "x-stream-id": stream.id}
        if not body.get("stream"):
            await self._answer_whole(exchange, stream, fault, headers, chat=chat)
            return
        usage = bool((body.get("stream_options") or {}).get("include_usage"))
        writer = SseWriter(exchange, stream, chat=chat, usage=usage)
        await self._answer_stream(writer, fault, headers, begin=0)

    async def _fail_early(self, exchange: Exchange, fault: Fault) -> bool:
        self.batch.slowdown = fault.factor if fault.kind is FaultKind.SLOW else 1.0
        match fault.kind:
            case FaultKind.FAIL:
                await exchange.json(fault.status, error_body("the engine failed"))
            case FaultKind.REFUSE:
                headers = {"x-ran": "no", "retry-after": "1"}
                await exchange.json(503, error_body("the queue is full"), headers=headers)
            case _:
                return False
        return True

    def _submit(self, exchange: Exchange, body: dict[str, Any]) -> Stream:
        prompt = prompt_of(body)
        tokens = max(1, len(prompt) // CHARS_PER_TOKEN)
        name = exchange.headers.get("x-prefix", "")
        return self.batch.submit(
            stream_id=f"{self.name}-{next(self._ids)}",
            model=body["model"],
            prompt=prompt,
            prompt_tokens=tokens,
            max_tokens=max_tokens_of(body),
            priority=int(exchange.headers.get("x-priority", "0")),
            parts=(start_of(body["model"], prompt, tokens, name=name),),
        )

    async def _answer_whole(
        self,
        exchange: Exchange,
        stream: Stream,
        fault: Fault,
        headers: dict[str, str],
        *,
        chat: bool,
    ) -> None:
        with anyio.CancelScope() as scope:
            async with anyio.create_task_group() as tg:
                tg.start_soon(_cancel_when_gone, exchange, scope)
                while not stream.done:
                    await stream.changed.wait()
                tg.cancel_scope.cancel()
        if scope.cancelled_caught:
            self.batch.cancel(stream.id)
            return
        data = msgspec.json.encode(whole_answer(stream, chat=chat))
        if fault.kind is FaultKind.GARBLED:
            data = b"{" + data
        length = {"content-type": "application/json", "content-length": str(len(data))}
        await exchange.start(200, headers | length)
        if fault.kind in (FaultKind.SHORT, FaultKind.CUT, FaultKind.SILENT):
            await exchange.write(data[: len(data) // 2])
            if fault.kind is FaultKind.SILENT:
                await exchange.gone()
            exchange.cut()
            return
        await exchange.write(data, more=False)

    async def _resume(self, exchange: Exchange, stream_id: str) -> None:
        stream = self.batch.streams.get(stream_id)
        if stream is None or stream.cancelled:
            await exchange.json(404, error_body("no such stream"))
            return
        self.seen.resumes += 1
        begin = int(exchange.query.get("from", "0"))
        writer = SseWriter(
            exchange,
            stream,
            chat=exchange.query.get("chat") == "1",
            usage=exchange.query.get("usage") == "1",
        )
        fault = self.faults.take()
        if fault.kind is FaultKind.DUPLICATE:
            begin = max(0, begin - 1)
        headers = {"x-request-id": exchange.headers.get("x-request-id", "")}
        await self._answer_stream(writer, fault, headers, begin=begin)

    async def _answer_stream(
        self, writer: SseWriter, fault: Fault, headers: dict[str, str], *, begin: int
    ) -> None:
        await writer.exchange.start(200, headers | {"content-type": "text/event-stream"})
        strikes = fault.kind in STREAM_FAULTS
        position = begin
        while True:
            limit = writer.stream.produced
            if strikes:
                limit = min(limit, max(position, fault.after))
            await writer.tokens(position, limit)
            position = max(position, limit)
            if strikes and position >= fault.after:
                await self._strike(writer.exchange, fault)
                return
            if position >= writer.stream.max_tokens:
                break
            if writer.stream.cancelled:
                writer.exchange.cut()
                return
            if position == writer.stream.produced:
                await writer.stream.changed.wait()
        await writer.finish()

    async def _strike(self, exchange: Exchange, fault: Fault) -> None:
        match fault.kind:
            case FaultKind.SILENT:
                await exchange.gone()
            case FaultKind.NO_END:
                await exchange.write(b"", more=False)
            case FaultKind.PART:
                await exchange.write(PART_OF_EVENT, more=False)
            case _:
                exchange.cut()

    async def _load(self, exchange: Exchange) -> None:
        load = asdict(self.batch.load())
        lag_ms = self.clock.now() - load.pop("at_ms")
        await exchange.json(200, load | {"lag_ms": lag_ms, "leaving": self.leaving})

    async def _order(self, exchange: Exchange) -> None:
        order = msgspec.json.decode(await exchange.body(), type=Order)
        fencing = order.fencing or 0
        if self.checks_fencing and fencing < self.fencing:
            self.seen.refused_orders.append(order)
            await exchange.json(HTTP_CONFLICT, error_body("old fencing number", code="fenced"))
            return
        fault = self.faults.take()
        if await self._fail_early(exchange, fault):
            return
        if fault.kind is FaultKind.LATE:
            await self.clock.sleep(fault.ms)
        self.fencing = max(self.fencing, fencing)
        self.seen.orders.append(order)
        await self.clock.sleep(self.shape.order_ms)
        match order.order:
            case "load":
                self.models[order.model] = order.version
            case "unload":
                self.models.pop(order.model, None)
            case "role":
                self.role = order.role
            case _:
                await exchange.json(400, error_body(f"unknown order {order.order!r}"))
                return
        if fault.kind is FaultKind.ACCEPT_SILENT:
            await exchange.gone()
            return
        if fault.kind is FaultKind.CUT:
            exchange.cut()
            return
        await exchange.json(200, self.state())


async def _cancel_when_gone(exchange: Exchange, scope: anyio.CancelScope) -> None:
    await exchange.gone()
    scope.cancel()


@contextlib.asynccontextmanager
async def serve(
    *, port: int = 0, host: str = "127.0.0.1", app: EngineApp | None = None, **options: Any
) -> AsyncIterator[Served[EngineApp]]:
    """Serve an engine inside this process until the block ends.

    :param options: passed on to :class:`EngineApp` when no app is given.
    """
    app = app or EngineApp(**options)
    async with anyio.create_task_group() as tg:
        tg.start_soon(app.batch.run)
        async with serve_app(app, host=host, port=port) as listener:
            yield Served(app, listener)
        tg.cancel_scope.cancel()


def main(
    port: int = 0,
    host: str = "127.0.0.1",
    name: str = "engine",
    models: str = "small",
    checks_fencing: bool = True,
    **shape: float,
) -> None:
    """Run an engine as a process.

    :param models: names of loaded models, separated by commas.
    :param shape: fields of :class:`EngineShape`, such as ``--step_ms 10``.
    """
    names = tuple(models) if isinstance(models, list | tuple) else tuple(models.split(","))
    wanted = EngineShape(**shape)  # type: ignore[arg-type]
    app = EngineApp(name=name, models=names, checks_fencing=checks_fencing, shape=wanted)
    run_process(serve(host=host, port=port, app=app))


if __name__ == "__main__":
    fire.Fire(main)
