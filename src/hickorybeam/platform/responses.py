"""Backend servers' answers decoded into facts, and which headers a caller gets."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from hickorybeam.http1 import find_header
from hickorybeam.platform import names

if TYPE_CHECKING:
    from hickorybeam.http1 import ResponseHead, RawHeaders

__all__ = ("ResponseInfo", "ServerLoad", "decode_response", "for_caller", "refusal_headers")

MISDIRECTED = 421
# Statuses that promise that a request was not run; only the gateway or a server that says so
# may use them.
PROMISES = (408, 421, 429, 503)


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """What a backend server tells of itself: requests that run, that wait, and its slots."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ResponseInfo:
    """What the head of a backend server's answer says.

    ``not_run`` is a promise of the server; ``implies_not_run`` is true for statuses that would make
    one to the caller; ``signed`` answers are the server's own.
    """

    status: int
    signed: bool
    not_run: bool
    misdirected: bool
    implies_not_run: bool
    load: ServerLoad | None
    cold_ms: int | None
    streamed: bool


def decode_response(head: ResponseHead) -> ResponseInfo:
    """Read the head of an answer."""
    headers = head.headers
    misdirected = head.status == MISDIRECTED
    return ResponseInfo(
        status=head.status,
        signed=bool(find_header(headers, names.SIGNATURE)),
        not_run=misdirected or find_header(headers, names.NOT_RUN) is not None,
        misdirected=misdirected,
        implies_not_run=head.status in PROMISES,
        load=decode_load(find_header(headers, names.LOAD)),
        cold_ms=decode_cold(find_header(headers, names.COLD)),
        streamed=(find_header(headers, b"content-type") or b"").startswith(b"text/event-stream"),
    )


def decode_load(value: bytes | None) -> ServerLoad | None:
    """Read a server's load, if it tells any."""
    figures = [part.strip() for part in (value or b"").split(b",")]
    if len(figures) != 3 or not all(figure.isdigit() for figure in figures):
        return None
    running, waiting, slots = map(int, figures)
    return ServerLoad(running, waiting, slots)


def decode_cold(value: bytes | None) -> int | None:
    """Read for how many ms a server stays cold."""
    digits = (value or b"").strip()
    return int(digits) if digits.isdigit() else None


def for_caller(headers: RawHeaders) -> RawHeaders:
    """Drop what concerns the server's connection or only the gateway."""
    dropped = names.ONE_CONNECTION | {names.LOAD, names.COLD}
    return tuple(pair for pair in headers if pair[0] not in dropped)


def refusal_headers(request_id: str, *, retry_after_ms: int | None) -> RawHeaders:
    """Return the headers of an answer of the gateway's own."""
    headers = [(names.REQUEST_ID, request_id.encode("latin-1"))] if request_id else []
    if retry_after_ms is not None:
        headers.append((names.RETRY_AFTER, b"%.3f" % (retry_after_ms / 1000)))
    return tuple(headers)
