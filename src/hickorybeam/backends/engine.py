"""Calls to model engines: streamed and other responses, resume after a lost connection."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from hickorybeam.backends.exchange import Exchange, ExchangeError
from hickorybeam.backends.headers import engine_headers, returned_headers
from hickorybeam.backends.http_client import (
    HttpClient,
    HttpRequest,
    lost_response_error,
    possibly_run_error,
)
from hickorybeam.backends.sse import SseReader, usage_of
from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.http1 import is_event_stream
from hickorybeam.model import CallKind, ResponseChunk, ResponseEnd, ResponseHead, ResponsePart
from hickorybeam.untrusted import decode_json

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Callable

    from prometheus_client import Counter

    from hickorybeam.model import BackendServer, Call

__all__ = ("EngineCall", "run_engine")

PATHS = {CallKind.CHAT: b"/v1/chat/completions", CallKind.COMPLETION: b"/v1/completions"}
NOT_FOUND = 404
FIRST_SERVER_ERROR = 500
OK = 200
# With more broken connections the attempt fails, and dispatch decides on a retry.
MAX_RESUMES = 3
MAX_BODY_BYTES = 16_000_000


class EngineCall:
    """One call to an engine and the position reached in its stream."""

    def __init__(
        self, client: HttpClient, call: Call, backend: BackendServer, retries: Counter
    ) -> None:
        self.stream_id = ""
        self._client = client
        self._call = call
        self._backend = backend
        self._retries = retries
        self._resumes = 0
        self._host = f"{backend.host}:{backend.port}".encode()
        body, strip_usage = body_requesting_usage(call)
        self._body = body
        self.reader = SseReader(strip_usage=strip_usage)
        self.exchange: Exchange | None = None

    async def open(self) -> Exchange:
        """Send the call and read the head of the response."""
        request = HttpRequest(
            method="POST",
            target=PATHS[self._call.kind],
            headers=engine_headers(self._call, self._host),
            body=self._body,
        )
        timeout_ms = self._call.deadline_ms
        if self._call.stream:
            timeout_ms = min(timeout_ms, self._client.cfg.first_byte_ms)
        try:
            self.exchange = await self._client.open(
                self._call, self._backend, request, first_byte_timeout_ms=timeout_ms
            )
        except ExchangeError as exc:
            raise lost_response_error(
                self._call, self._backend, exc, response_started=False
            ) from exc
        self.stream_id = self.exchange.header(b"x-stream-id")
        return self.exchange

    async def next_part(self) -> ResponseChunk | None:
        """Return the next complete events, resuming as needed; ``None`` at the stream's end."""
        while True:
            assert self.exchange is not None
            try:
                chunk = await self.exchange.next_chunk()
                part = self._parse(chunk)
            except (ExchangeError, ValueError) as exc:
                await self._resume(exc if isinstance(exc, ExchangeError) else broken_stream_error())
                continue
            if part is not None:
                return part
            if not chunk:
                return None

    def start_read_timeout(self) -> None:
        """Start the timeout for the next token."""
        if self.exchange is not None:
            self.exchange.start_read_timeout()

    async def close(self) -> None:
        """Close the connection, if any."""
        if self.exchange is not None:
            await self.exchange.close()

    def _parse(self, chunk: bytes) -> ResponseChunk | None:
        if not chunk:
            if not self.reader.done:
                raise broken_stream_error()
            return None
        batch = self.reader.feed(chunk)
        if batch is None or not batch.data:
            self.start_read_timeout()
            return None
        return ResponseChunk(batch.data, batch.events)

    async def _resume(self, exc: ExchangeError) -> None:
        """Resume at the same engine over a new connection, from the next token.

        The old connection is not used again: once silent, it may stay so for good while new
        ones work.
        """
        response_started = self.reader.position > 0
        error = lost_response_error(
            self._call, self._backend, exc, response_started=response_started
        )
        self._resumes += 1
        if not self.stream_id or not self._call.idempotent or self._resumes > MAX_RESUMES:
            raise error
        await self.close()
        self.exchange = None
        self._retries.labels("resume").inc()
        try:
            exchange = await self._client.open(
                self._call,
                self._backend,
                self._resume_request(),
                first_byte_timeout_ms=self._client.cfg.between_ms,
                fresh=True,
            )
        except (ExchangeError, GatewayError):
            raise error from exc
        self.exchange = exchange
        if exchange.status != OK:
            raise error
        self.reader.resume()
        self.start_read_timeout()

    def _resume_request(self) -> HttpRequest:
        chat = int(self._call.kind is CallKind.CHAT)
        target = f"/streams/{self.stream_id}?from={self.reader.position}&chat={chat}&usage=1"
        return HttpRequest(
            method="GET", target=target.encode(), headers=engine_headers(self._call, self._host)
        )


async def run_engine(
    client: HttpClient,
    call: Call,
    backend: BackendServer,
    *,
    retries: Counter,
    cancel: Callable[[BackendServer, str], None],
) -> AsyncGenerator[ResponsePart, None]:
    """Run a call at an engine and yield its response.

    :param cancel: called with the stream's id if the response is not read to its end.
    """
    engine_call = EngineCall(client, call, backend, retries)
    response_complete = False
    try:
        exchange = await engine_call.open()
        check_status(exchange, call, backend)
        content_type = exchange.header(b"content-type").encode("latin-1")
        if is_event_stream(content_type) and exchange.status == OK:
            first = await engine_call.next_part()
            # The head is held until the first token: until then another engine may serve the call.
            yield ResponseHead(exchange.status, returned_headers(exchange.headers))
            part = first
            while part is not None:
                yield part
                if engine_call.reader.done:
                    break
                engine_call.start_read_timeout()
                part = await engine_call.next_part()
            response_complete = True
            await drain_body(engine_call)
            yield ResponseEnd(engine_call.reader.usage, backend.name, backend.region)
            return
        body = await read_body(engine_call, exchange, call, backend)
        response_complete = True
        yield ResponseHead(exchange.status, returned_headers(exchange.headers))
        usage = response_usage(body, call, backend) if exchange.status == OK else None
        yield ResponseChunk(body, usage.completion_tokens if usage else 0)
        yield ResponseEnd(usage, backend.name, backend.region)
    finally:
        if not response_complete and engine_call.stream_id:
            cancel(backend, engine_call.stream_id)
        await engine_call.close()


async def drain_body(engine_call: EngineCall) -> None:
    """Read the end of the body after the last event, so that the connection can be reused."""
    if engine_call.exchange is None:
        return
    engine_call.exchange.start_read_timeout()
    try:
        await engine_call.exchange.next_chunk()
    except ExchangeError:
        # The response is complete by its end mark; only the connection is lost.
        return


async def read_body(
    engine_call: EngineCall, exchange: Exchange, call: Call, backend: BackendServer
) -> bytes:
    """Read a response that is not streamed."""
    exchange.start_read_timeout()
    try:
        return await exchange.read(MAX_BODY_BYTES, shows_end=exchange.status == OK)
    except ExchangeError as exc:
        raise lost_response_error(call, backend, exc, response_started=True) from exc


def check_status(exchange: Exchange, call: Call, backend: BackendServer) -> None:
    """Raise if the engine did not serve the call; other responses go to the caller."""
    if exchange.status == NOT_FOUND:
        raise GatewayError(ErrorKind.BACKEND_REFUSED, f"{backend.name} lacks {call.served}")
    if exchange.status >= FIRST_SERVER_ERROR:
        raise possibly_run_error(
            call, backend, ErrorKind.BACKEND_FAILED, f"status {exchange.status}"
        )


def response_usage(body: bytes, call: Call, backend: BackendServer) -> Any:
    """Return the usage in a response that is not streamed, or raise if it is malformed."""
    try:
        return usage_of(body)
    except ValueError as exc:
        raise possibly_run_error(
            call, backend, ErrorKind.BACKEND_FAILED, "malformed answer"
        ) from exc


def body_requesting_usage(call: Call) -> tuple[bytes, bool]:
    """Return the body that asks for usage, and whether the caller did not ask.

    Without usage the account would be charged by estimate.
    """
    if not call.stream:
        return call.body, False
    body = decode_json(call.body, dict[str, msgspec.Raw])
    raw_options = body.get("stream_options", b"null")
    options = decode_json(raw_options, dict[str, Any] | None) or {}  # type: ignore[arg-type]
    if options.get("include_usage"):
        return call.body, False
    body["stream_options"] = msgspec.Raw(msgspec.json.encode(options | {"include_usage": True}))
    return msgspec.json.encode(body), True


def broken_stream_error() -> ExchangeError:
    """Return the error of a stream that ended without its end mark."""
    return ExchangeError(timed_out=False)
