"""Headers forwarded to a backend server and returned to the caller (RFC 9110, section 7.6)."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hickorybeam.model import Call, Header

__all__ = ("engine_headers", "forwarded_headers", "plain_headers", "returned_headers")

RawHeaders = list[tuple[bytes, bytes]]

HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authentication-info",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
# The caller's credentials stop at the entry VM: with them, a backend server could act as the caller
# towards the gateway or others.
CREDENTIALS = frozenset(
    ("authorization", "x-api-key", "api-key", "cookie", "idempotency-key", "x-auth-token")
)
# Headers of the gateway's own protocol with backend servers; a caller must not set them.
GATEWAY_HEADERS = frozenset(
    ("x-request-id", "x-account", "x-priority", "x-deadline-ms", "x-prefix", "x-ran", "x-stream-id")
)
GATEWAY_HEADER_PREFIX = "x-hickorybeam-"
# Set anew for each connection, since the body is sent in one piece and to another host.
PER_CONNECTION = frozenset(("host", "content-length", "expect", "via", "max-forwards"))

NOT_FORWARDED = HOP_BY_HOP | CREDENTIALS | GATEWAY_HEADERS | PER_CONNECTION
NOT_RETURNED = HOP_BY_HOP | GATEWAY_HEADERS | frozenset(("via",))
SENT_TO_ENGINES = frozenset(("content-type", "accept", "user-agent"))
VIA = (b"via", b"1.1 hickorybeam")


def forwarded_headers(headers: Iterable[Header]) -> tuple[Header, ...]:
    """Return the caller's headers that are forwarded to a backend server."""
    headers = tuple(headers)
    connection_scoped = connection_options(headers)
    return tuple(
        (name, value)
        for name, value in headers
        if (lower_name := name.lower()) not in NOT_FORWARDED
        and lower_name not in connection_scoped
        and not lower_name.startswith(GATEWAY_HEADER_PREFIX)
    )


def returned_headers(raw: Iterable[tuple[bytes, bytes]]) -> tuple[Header, ...]:
    """Return a backend server's headers that are returned to the caller."""
    headers = [(name.decode("latin-1").lower(), value.decode("latin-1")) for name, value in raw]
    connection_scoped = connection_options(headers)
    return tuple(
        (name, value)
        for name, value in headers
        if name not in NOT_RETURNED
        and name not in connection_scoped
        and not name.startswith(GATEWAY_HEADER_PREFIX)
    )


def connection_options(headers: Iterable[Header]) -> frozenset[str]:
    """Return the header names that a ``Connection`` header declares as hop-by-hop."""
    return frozenset(
        option.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for option in value.split(",")
    )


def engine_headers(call: Call, host: bytes) -> RawHeaders:
    """Return the headers of a call to an engine."""
    allowed = [
        header for header in forwarded_headers(call.headers) if header[0].lower() in SENT_TO_ENGINES
    ]
    raw = common_headers(call, host, tuple(allowed))
    raw.append((b"x-priority", b"%d" % call.priority))
    if call.prefix:
        raw.append((b"x-prefix", call.prefix.encode()))
    return raw


def plain_headers(call: Call, host: bytes) -> RawHeaders:
    """Return the headers of a call to a plain service."""
    return [*common_headers(call, host, forwarded_headers(call.headers)), VIA]


def common_headers(call: Call, host: bytes, caller_headers: tuple[Header, ...]) -> RawHeaders:
    """Return the headers that every backend server gets."""
    raw = [(b"host", host)]
    raw.extend((name.encode("latin-1"), value.encode("latin-1")) for name, value in caller_headers)
    raw.append((b"x-request-id", call.request_id.encode()))
    raw.append((b"x-account", call.account.encode()))
    raw.append((b"x-deadline-ms", b"%d" % call.deadline_ms))
    return raw
