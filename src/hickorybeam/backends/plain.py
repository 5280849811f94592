"""Calls to plain services: any method, the response relayed as it arrives."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorybeam.backends.exchange import ExchangeError
from hickorybeam.backends.headers import plain_headers, returned_headers
from hickorybeam.backends.http_client import HttpClient, HttpRequest, lost_response_error
from hickorybeam.http1 import EventScanner, is_encoded, is_event_stream
from hickorybeam.model import ResponseChunk, ResponseEnd, ResponseHead, ResponsePart

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from hickorybeam.model import BackendServer, Call

__all__ = ("run_plain",)


async def run_plain(
    client: HttpClient, call: Call, backend: BackendServer, *, timeout_ms: int
) -> AsyncGenerator[ResponsePart, None]:
    """Run a call at a plain service and yield its response.

    :param timeout_ms: limit on the time to the head of the response.
    """
    host = f"{backend.host}:{backend.port}".encode()
    request = HttpRequest(
        method=call.method,
        target=request_target(call.path),
        headers=plain_headers(call, host),
        body=call.body,
    )
    try:
        exchange = await client.open(call, backend, request, first_byte_timeout_ms=timeout_ms)
    except ExchangeError as exc:
        raise lost_response_error(call, backend, exc, response_started=False) from exc
    streamed = is_event_stream(exchange.header(b"content-type").encode("latin-1"))
    encoded = is_encoded(exchange.header(b"content-encoding").encode("latin-1"))
    scanner = EventScanner() if streamed and not encoded else None
    try:
        yield ResponseHead(exchange.status, returned_headers(exchange.headers))
        exchange.start_read_timeout()
        while chunk := await exchange.next_chunk():
            if scanner is not None:
                scanner.feed(chunk)
            yield ResponseChunk(chunk)
            exchange.start_read_timeout()
        if scanner is not None and scanner.inside_event:
            # Its framing says that it is complete; the server broke off all the same.
            raise ExchangeError(timed_out=False)
    except ExchangeError as exc:
        raise lost_response_error(call, backend, exc, response_started=True) from exc
    finally:
        await exchange.close()
    yield ResponseEnd(None, backend.name, backend.region)


def request_target(path: str) -> bytes:
    """Return the request target; path and query are forwarded as the caller wrote them."""
    return path.encode("ascii") if path.startswith("/") else b"/" + path.encode("ascii")
