"""Stand-in for a plain service that takes bookings or orders and counts what it runs.

Run it as a process with ``python -m hickorybeam.standins.plain --port 9101``; its first line
of output is ``listening on HOST:PORT``.
"""

from __future__ import annotations

import contextlib
import itertools
from collections import Counter, deque
from typing import TYPE_CHECKING, Any

import fire
import msgspec

from hickorybeam.clock import Clock, SystemClock
from hickorybeam.httpserve import serve_app
from hickorybeam.standins.http import Exchange, Fault, FaultKind, Faults, Served, run_process

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from hickorybeam.standins.http import Receive, Scope, Send

__all__ = ("PlainApp", "main", "serve")

KEPT_REQUESTS = 10_000
PART_BYTES = 65_536


class PlainApp:
    """The service as an ASGI app.

    ``POST /bookings`` stores the body and answers 201; ``GET /bookings`` lists; ``GET
    /bookings/N`` shows; ``GET /bytes?count=N`` streams N bytes; ``GET /empty`` answers 204;
    ``GET /unchanged`` answers 304; ``GET /hints`` sends hop-by-hop headers. Every run is
    counted by the request id that came with it.
    """

    def __init__(self, *, name: str = "plain", clock: Clock | None = None) -> None:
        self.name = name
        self.clock = clock or SystemClock()
        self.faults = Faults()
        self.headers: deque[dict[str, str]] = deque(maxlen=KEPT_REQUESTS)
        self.executions: Counter[str] = Counter()
        self.bookings: dict[int, Any] = {}
        self._ids = itertools.count(1)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        exchange = Exchange(scope, receive, send)
        match (exchange.method, exchange.path):
            case "POST", "/fault":
                self.faults.set(msgspec.json.decode(await exchange.body(), type=Fault))
                await exchange.json(200, {})
            case "GET", "/seen":
                seen = {"requests": list(self.headers), "executions": dict(self.executions)}
                await exchange.json(200, seen)
            case _:
                await self._serve(exchange)

    async def _serve(self, exchange: Exchange) -> None:
        request_id = exchange.headers.get("x-request-id", "")
        self.headers.append(exchange.headers)
        body = await exchange.body()
        fault = self.faults.take()
        match fault.kind:
            case FaultKind.REFUSE:
                await exchange.json(503, {"error": "full"}, headers={"x-ran": "no"})
                return
            case FaultKind.FAIL:
                await exchange.json(fault.status, {"error": "failed"})
                return
            case FaultKind.LATE | FaultKind.SLOW:
                await self.clock.sleep(fault.ms)
            case _:
                pass
        self.executions[request_id] += 1
        if fault.kind is FaultKind.ACCEPT_SILENT:
            await exchange.gone()
            return
        if fault.kind is FaultKind.CUT and not fault.after:
            exchange.cut()
            return
        echoed = "another" if fault.kind is FaultKind.CROSSED else request_id
        await self._answer(exchange, body, fault, {"x-request-id": echoed})

    async def _answer(
        self, exchange: Exchange, body: bytes, fault: Fault, headers: dict[str, str]
    ) -> None:
        match (exchange.method, exchange.path.strip("/").split("/")):
            case "POST", ["bookings" | "orders"]:
                number = next(self._ids)
                self.bookings[number] = msgspec.json.decode(body or b"null")
                await exchange.json(201, {"id": number}, headers=headers)
            case "GET" | "HEAD", ["bookings" | "orders"]:
                await exchange.json(200, {"bookings": self.bookings}, headers=headers)
            case "GET", ["bookings" | "orders", number] if number.isdigit():
                booking = self.bookings.get(int(number))
                await exchange.json(200 if booking is not None else 404, booking, headers=headers)
            case "GET" | "HEAD", ["bytes"]:
                await self._bytes(exchange, fault, headers)
            case _, ["empty"]:
                await exchange.start(204, headers)
                await exchange.write(b"", more=False)
            case "GET", ["unchanged"]:
                await exchange.start(304, headers | {"etag": '"1"', "content-length": "10"})
                await exchange.write(b"", more=False)
            case "GET", ["hints"]:
                hop = {"connection": "x-hint", "x-hint": "1", "keep-alive": "timeout=9"}
                await exchange.json(200, {}, headers=headers | hop | {"x-kept": "1"})
            case _, ["echo", *_]:
                echo = {"method": exchange.method, "path": exchange.path, "query": exchange.query}
                await exchange.json(200, echo | {"body": body.decode()}, headers=headers)
            case _:
                await exchange.json(404, {"error": "no such path"}, headers=headers)

    async def _bytes(self, exchange: Exchange, fault: Fault, headers: dict[str, str]) -> None:
        count = int(exchange.query.get("count", "10"))
        if exchange.query.get("length") != "0":
            headers = headers | {"content-length": str(count)}
        await exchange.start(200, headers)
        sent = 0
        while sent < count:
            part = min(PART_BYTES, count - sent)
            if fault.after and sent + part > fault.after:
                await self._strike(exchange, fault, sent)
                return
            await exchange.write(b"b" * part)
            sent += part
        await exchange.write(b"", more=False)

    async def _strike(self, exchange: Exchange, fault: Fault, sent: int) -> None:
        await exchange.write(b"b" * (fault.after - sent))
        if fault.kind is FaultKind.SILENT:
            await exchange.gone()
            return
        exchange.cut()


@contextlib.asynccontextmanager
async def serve(
    *, port: int = 0, host: str = "127.0.0.1", app: PlainApp | None = None, **options: Any
) -> AsyncIterator[Served[PlainApp]]:
    """Serve a plain service inside this process until the block ends."""
    app = app or PlainApp(**options)
    async with serve_app(app, host=host, port=port) as listener:
        yield Served(app, listener)


def main(port: int = 0, host: str = "127.0.0.1", name: str = "plain") -> None:
    """Run a plain service as a process."""
    run_process(serve(host=host, port=port, name=name))


if __name__ == "__main__":
    fire.Fire(main)
