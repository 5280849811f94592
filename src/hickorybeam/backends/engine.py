"""Calls to model engines: streamed and whole answers, resume after a lost connection."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from hickorybeam.backends.caller import Caller, Outgoing, fault, lost
from hickorybeam.backends.exchange import Exchange, ExchangeError
from hickorybeam.backends.headers import engine_headers, returned
from hickorybeam.backends.sse import SseReader, usage_of
from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.model import CallKind, ResponseChunk, ResponseEnd, ResponseHead, ResponsePart

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Callable

    from prometheus_client import Counter

    from hickorybeam.model import BackendServer, Call

__all__ = ("EngineCall", "run_engine")

PATHS = {CallKind.CHAT: b"/v1/chat/completions", CallKind.COMPLETION: b"/v1/completions"}
EVENT_STREAM = "text/event-stream"
NOT_FOUND = 404
FIRST_SERVER_ERROR = 500
OK = 200
# An engine whose connections break again and again is given up; dispatch then decides.
MAX_RESUMES = 3
MAX_WHOLE_BYTES = 16_000_000


class EngineCall:
    """One streamed call and where it stands."""

    def __init__(
        self, caller: Caller, call: Call, backend: BackendServer, retries: Counter
    ) -> None:
        self.stream_id = ""
        self._caller = caller
        self._call = call
        self._backend = backend
        self._retries = retries
        self._resumes = 0
        self._host = f"{backend.host}:{backend.port}".encode()
        body, strip_usage = with_usage(call)
        self._body = body
        self.reader = SseReader(strip_usage=strip_usage)
        self.exchange: Exchange | None = None

    async def open(self) -> Exchange:
        """Send the call to the engine."""
        request = Outgoing(
            method="POST",
            target=PATHS[self._call.kind],
            headers=engine_headers(self._call, self._host),
            body=self._body,
        )
        limit = self._call.deadline_ms
        if self._call.stream:
            limit = min(limit, self._caller.cfg.first_byte_ms)
        try:
            self.exchange = await self._caller.open(
                self._call, self._backend, request, first_byte_ms=limit
            )
        except ExchangeError as exc:
            raise lost(self._call, self._backend, exc, begun=False) from exc
        self.stream_id = self.exchange.header(b"x-stream-id")
        return self.exchange

    async def next_part(self) -> ResponseChunk | None:
        """Return the next whole events, resuming as needed; ``None`` at the proper end."""
        while True:
            assert self.exchange is not None
            try:
                chunk = await self.exchange.next_chunk()
                part = self._take(chunk)
            except (ExchangeError, ValueError) as exc:
                await self._resume(exc if isinstance(exc, ExchangeError) else broken())
                continue
            if part is not None:
                return part
            if not chunk:
                return None

    def expect(self) -> None:
        """Start the limit for the next token."""
        if self.exchange is not None:
            self.exchange.expect()

    async def close(self) -> None:
        """Close the connection, if any."""
        if self.exchange is not None:
            await self.exchange.close()

    def _take(self, chunk: bytes) -> ResponseChunk | None:
        if not chunk:
            if not self.reader.done:
                raise broken()
            return None
        pieces = self.reader.feed(chunk)
        if pieces is None or not pieces.data:
            self.expect()
            return None
        return ResponseChunk(pieces.data, pieces.events)

    async def _resume(self, exc: ExchangeError) -> None:
        """Go on at the same engine over a new connection, from the next token.

        The old connection is never asked again: once it has fallen silent it may stay so for
        good, while new ones work.
        """
        begun = self.reader.position > 0
        error = lost(self._call, self._backend, exc, begun=begun)
        self._resumes += 1
        if not self.stream_id or not self._call.idempotent or self._resumes > MAX_RESUMES:
            raise error
        await self.close()
        self.exchange = None
        self._retries.labels("resume").inc()
        try:
            exchange = await self._caller.open(
                self._call,
                self._backend,
                self._resume_request(),
                first_byte_ms=self._caller.cfg.between_ms,
                fresh=True,
            )
        except (ExchangeError, GatewayError):
            raise error from exc
        self.exchange = exchange
        if exchange.status != OK:
            raise error
        self.reader.resume()
        self.expect()

    def _resume_request(self) -> Outgoing:
        chat = int(self._call.kind is CallKind.CHAT)
        target = f"/streams/{self.stream_id}?from={self.reader.position}&chat={chat}&usage=1"
        return Outgoing(
            method="GET", target=target.encode(), headers=engine_headers(self._call, self._host)
        )


async def run_engine(
    caller: Caller,
    call: Call,
    backend: BackendServer,
    *,
    retries: Counter,
    cancel: Callable[[BackendServer, str], None],
) -> AsyncGenerator[ResponsePart, None]:
    """Run a call at an engine and yield its answer.

    :param cancel: told the stream's id when the answer is not read to its end.
    """
    run = EngineCall(caller, call, backend, retries)
    ended = False
    try:
        exchange = await run.open()
        check_status(exchange, call, backend)
        streamed = exchange.header(b"content-type").startswith(EVENT_STREAM)
        if streamed and exchange.status == OK:
            first = await run.next_part()
            # The head waits for the first token: until then another engine may still serve.
            yield ResponseHead(exchange.status, returned(exchange.headers))
            part = first
            while part is not None:
                yield part
                if run.reader.done:
                    break
                run.expect()
                part = await run.next_part()
            ended = True
            await drain_end(run)
            yield ResponseEnd(run.reader.usage, backend.name, backend.region)
            return
        body = await whole_body(run, exchange, call, backend)
        ended = True
        yield ResponseHead(exchange.status, returned(exchange.headers))
        usage = whole_usage(body, call, backend) if exchange.status == OK else None
        yield ResponseChunk(body, usage.completion_tokens if usage else 0)
        yield ResponseEnd(usage, backend.name, backend.region)
    finally:
        if not ended and run.stream_id:
            cancel(backend, run.stream_id)
        await run.close()


async def drain_end(run: EngineCall) -> None:
    """Read the end of the body after the last event, so that the connection can be reused."""
    if run.exchange is None:
        return
    run.exchange.expect()
    try:
        await run.exchange.next_chunk()
    except ExchangeError:
        # The answer is whole by its own end mark; only the connection is lost.
        return


async def whole_body(
    run: EngineCall, exchange: Exchange, call: Call, backend: BackendServer
) -> bytes:
    """Read an answer that is not streamed."""
    exchange.expect()
    try:
        return await exchange.read(MAX_WHOLE_BYTES)
    except ExchangeError as exc:
        raise lost(call, backend, exc, begun=True) from exc


def check_status(exchange: Exchange, call: Call, backend: BackendServer) -> None:
    """Raise for answers that mean the engine did not serve; others are the caller's."""
    if exchange.status == NOT_FOUND:
        raise GatewayError(ErrorKind.BACKEND_REFUSED, f"{backend.name} lacks {call.served}")
    if exchange.status >= FIRST_SERVER_ERROR:
        raise fault(call, backend, ErrorKind.BACKEND_FAILED, f"status {exchange.status}")


def whole_usage(body: bytes, call: Call, backend: BackendServer) -> Any:
    """Return the usage of a whole answer, or raise when the answer is malformed."""
    try:
        return usage_of(body)
    except ValueError as exc:
        raise fault(call, backend, ErrorKind.BACKEND_FAILED, "malformed answer") from exc


def with_usage(call: Call) -> tuple[bytes, bool]:
    """Return the body that asks for usage, and whether the caller did not ask.

    Without usage the account would be charged by estimate.
    """
    if not call.stream:
        return call.body, False
    body = msgspec.json.decode(call.body, type=dict[str, msgspec.Raw])
    options = msgspec.json.decode(body.get("stream_options", b"null")) or {}
    if options.get("include_usage"):
        return call.body, False
    body["stream_options"] = msgspec.Raw(msgspec.json.encode(options | {"include_usage": True}))
    return msgspec.json.encode(body), True


def broken() -> ExchangeError:
    """Return the error of a stream that ended without its end mark."""
    return ExchangeError(silent=False)
