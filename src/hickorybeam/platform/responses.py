"""Decode backend servers' responses and choose the headers that the caller gets."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hickorybeam.http1 import (
    find_header,
    is_event_stream,
    parse_count,
    parse_decimal,
    parse_retry_after_ms,
)
from hickorybeam.platform import names
from hickorybeam.policy.time_factor import MAX_TIME_FACTOR

if TYPE_CHECKING:
    from hickorybeam.http1 import RawHeaders, ResponseHead

__all__ = ("ResponseInfo", "ServerLoad", "decode_response", "refusal_headers", "response_headers")

MISDIRECTED = 421
# A caller takes these to mean that the request was not run. Only the gateway, or a server that
# states it, may use them.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Running, waiting and slots; a server may add how long work takes there.
LOAD_FIGURES = 3
MAX_DIGITS = 9
# With these, a server that turns a request away may say for how long it wants rest.
REST_STATUSES = (429, 503)


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """Load that a backend server reports: running requests, waiting requests, and its slots.

    ``time_factor`` is how long work takes there at the moment, relative to usual, if it says so.
    """

    running: int
    waiting: int
    slots: int
    time_factor: float | None = None
    has_invalid_factor: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class ResponseInfo:
    """The decoded head of a backend server's response.

    ``not_run``: the server states that it did not run the request. ``implies_not_run``: the status
    would tell the caller so. ``signed``: the response comes from the server itself.
    ``limit_per_s``: requests per second that the server takes from all VMs together, infinite if
    it names no limit, ``None`` if what it names is invalid. ``rest_ms``: for how long the server
    wants no requests of this VM, 0 if it doesn't say. ``leaving``: the server will end soon.
    ``server_id``: which server responded, if it says so.
    """

    status: int
    signed: bool
    not_run: bool
    misdirected: bool
    implies_not_run: bool
    load: ServerLoad | None
    cold_ms: int | None
    limit_per_s: float | None
    rest_ms: int
    leaving: bool
    server_id: str | None
    streamed: bool


def decode_response(head: ResponseHead) -> ResponseInfo:
    """Decode the head of a response."""
    headers = head.headers
    misdirected = head.status == MISDIRECTED
    return ResponseInfo(
        status=head.status,
        signed=bool(find_header(headers, names.SIGNATURE)),
        not_run=misdirected or find_header(headers, names.NOT_RUN) is not None,
        misdirected=misdirected,
        implies_not_run=head.status in NOT_RUN_STATUSES,
        load=decode_load(find_header(headers, names.LOAD)),
        cold_ms=decode_cold(find_header(headers, names.COLD)),
        limit_per_s=decode_limit(find_header(headers, names.LIMIT)),
        leaving=(find_header(headers, names.LEAVING) or b"").strip() == b"1",
        server_id=decode_server_id(find_header(headers, names.SERVER_ID)),
        rest_ms=decode_rest(head.status, find_header(headers, names.RETRY_AFTER)),
        streamed=is_event_stream(find_header(headers, b"content-type")),
    )


def decode_load(value: bytes | None) -> ServerLoad | None:
    """Decode the load that a server reports, if it reports a valid one."""
    figures = [part.strip() for part in (value or b"").split(b",")]
    if len(figures) not in (LOAD_FIGURES, LOAD_FIGURES + 1):
        return None
    counts = figures[:LOAD_FIGURES]
    if not all(is_count(figure) for figure in counts):
        return None
    running, waiting, slots = map(int, counts)
    if len(figures) == LOAD_FIGURES:
        return ServerLoad(running, waiting, slots)
    factor = decode_time_factor(figures[LOAD_FIGURES])
    return ServerLoad(running, waiting, slots, factor, has_invalid_factor=factor is None)


def is_count(figure: bytes) -> bool:
    """Return whether a figure is a whole number of a size that makes sense."""
    return figure.isdigit() and len(figure) <= MAX_DIGITS


def decode_time_factor(figure: bytes) -> float | None:
    """Decode how long work takes, stated in percent of usual; ``None`` if it makes no sense."""
    factor = int(figure) / 100 if is_count(figure) else 0.0
    return factor if 0 < factor <= MAX_TIME_FACTOR else None


def decode_cold(value: bytes | None) -> int | None:
    """Decode how long a server stays cold, in ms."""
    return parse_count(value)


def decode_limit(value: bytes | None) -> float | None:
    """Decode the limit that a server names, in requests per second; infinite without a header."""
    return math.inf if value is None else parse_decimal(value)


def decode_rest(status: int, value: bytes | None) -> int:
    """Decode for how long a server wants rest, in ms; 0 if it doesn't say, or invalidly."""
    return parse_retry_after_ms(value or b"") if status in REST_STATUSES else 0


def decode_server_id(value: bytes | None) -> str | None:
    """Decode the id of the server that responded."""
    return value.strip().decode("latin-1") if value else None


def response_headers(headers: RawHeaders) -> RawHeaders:
    """Drop hop-by-hop headers and those meant for the gateway only.

    The length stays, as the answer to a HEAD request has no other one; a body is framed anew.
    """
    dropped = (names.HOP_BY_HOP - {b"content-length"}) | {names.LOAD, names.COLD}
    return tuple(pair for pair in headers if pair[0] not in dropped)


def refusal_headers(request_id: str, *, retry_after_ms: int | None) -> RawHeaders:
    """Return the headers of a refusal by the gateway itself."""
    headers = [(names.REQUEST_ID, request_id.encode("latin-1"))] if request_id else []
    if retry_after_ms is not None:
        headers.append((names.RETRY_AFTER, b"%.3f" % (retry_after_ms / 1000)))
    return tuple(headers)
