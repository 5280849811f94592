"""Relay of response parts to the caller's connection."""

from __future__ import annotations

from contextlib import aclosing
from typing import TYPE_CHECKING, cast

import anyio

from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.front.refusals import error_event
from hickorybeam.front.request import CallerDisconnectedError
from hickorybeam.http1 import EventScanner, is_encoded, is_event_stream
from hickorybeam.model import ResponseChunk, ResponseEnd, ResponseHead

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, AsyncIterator

    from hickorybeam.front.request import Request
    from hickorybeam.model import ResponsePart

__all__ = ("relay",)

# Keeps proxies between the VM and the caller from buffering the tokens of a stream.
NO_BUFFERING_HEADERS = ((b"cache-control", b"no-store"), (b"x-accel-buffering", b"no"))


async def relay(req: Request, parts: AsyncIterator[ResponsePart]) -> None:
    """Send a response; close ``parts``, and so cancel the call, if the caller disconnects.

    :raises GatewayError: the call was refused, or its response broke off.
    :raises CallerDisconnectedError: the caller disconnected.
    """
    with anyio.CancelScope() as scope:
        req.conn.add_lost_callback(scope.cancel)
        try:
            async with aclosing(cast("AsyncGenerator[ResponsePart, None]", parts)):
                await send_parts(req, parts)
            return
        finally:
            req.conn.remove_lost_callback(scope.cancel)
    raise CallerDisconnectedError


async def send_parts(req: Request, parts: AsyncIterator[ResponsePart]) -> None:
    """Send head, chunks and end; abort a broken response so that it does not look complete."""
    scanner: EventScanner | None = None
    ended = False
    try:
        async for part in parts:
            match part:
                case ResponseChunk():
                    if scanner is not None:
                        scanner.feed(part.data)
                    await req.write_body(part.data)
                case ResponseHead():
                    streamed = is_stream(part)
                    scanner = EventScanner() if streamed and not has_encoding(part) else None
                    headers = response_headers(part, streamed=streamed)
                    await req.start_response(part.status, headers)
                case ResponseEnd():
                    ended = True
                    await req.write_body(b"", more=False)
        if not ended:
            raise GatewayError(ErrorKind.STREAM_BROKEN)
    except GatewayError as exc:
        if not req.response_started:
            raise
        await abort_response(req, exc, scanner)
        raise


async def abort_response(req: Request, exc: GatewayError, scanner: EventScanner | None) -> None:
    """End a started response so that the caller sees that it is incomplete.

    A stream gets an error event and no end mark; where it broke off inside an event, the error
    event would become a part of that one and is left out. Any other body ends before its last chunk
    or its declared length, which every HTTP client reports as an error.

    :param scanner: what has been sent of a stream, ``None`` for any other response.
    """
    if scanner is not None and not scanner.inside_event:
        await req.write_body(error_event(exc))
    req.conn.close_early()


def is_stream(head: ResponseHead) -> bool:
    """Return whether a response is a stream of server-sent events."""
    return any(
        name == "content-type" and is_event_stream(value.encode("latin-1"))
        for name, value in head.headers
    )


def has_encoding(head: ResponseHead) -> bool:
    """Return whether a response's body is encoded, so that no event can be added to it."""
    return any(
        name == "content-encoding" and is_encoded(value.encode("latin-1"))
        for name, value in head.headers
    )


def response_headers(head: ResponseHead, *, streamed: bool) -> list[tuple[bytes, bytes]]:
    """Return the headers of a response's head, and those against buffering for a stream.

    A stream's length isn't passed on: with it, all of a stream that ends inside an event would
    count as a complete response.
    """
    headers = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in head.headers]
    if streamed:
        headers = [pair for pair in headers if pair[0] != b"content-length"]
        headers.extend(NO_BUFFERING_HEADERS)
    return headers
