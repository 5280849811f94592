"""Calls to plain services: any method, the answer streamed through as it comes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorybeam.backends.caller import Caller, Outgoing, lost
from hickorybeam.backends.exchange import ExchangeError
from hickorybeam.backends.headers import plain_headers, returned
from hickorybeam.model import ResponseChunk, ResponseEnd, ResponseHead, ResponsePart

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from hickorybeam.model import BackendServer, Call

__all__ = ("run_plain",)


async def run_plain(
    caller: Caller, call: Call, backend: BackendServer, *, timeout_ms: int
) -> AsyncGenerator[ResponsePart, None]:
    """Run a call at a plain service and yield its answer.

    :param timeout_ms: limit on the time to the head of the answer.
    """
    host = f"{backend.host}:{backend.port}".encode()
    request = Outgoing(
        method=call.method,
        target=target_of(call.path),
        headers=plain_headers(call, host),
        body=call.body,
    )
    try:
        exchange = await caller.open(call, backend, request, first_byte_ms=timeout_ms)
    except ExchangeError as exc:
        raise lost(call, backend, exc, begun=False) from exc
    try:
        yield ResponseHead(exchange.status, returned(exchange.headers))
        exchange.expect()
        while chunk := await exchange.next_chunk():
            yield ResponseChunk(chunk)
            exchange.expect()
    except ExchangeError as exc:
        raise lost(call, backend, exc, begun=True) from exc
    finally:
        await exchange.close()
    yield ResponseEnd(None, backend.name, backend.region)


def target_of(path: str) -> bytes:
    """Return the request target; the path and query go on as the caller wrote them."""
    return path.encode("ascii") if path.startswith("/") else b"/" + path.encode("ascii")
