"""Heads of requests and responses, and their encoding."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus

__all__ = (
    "Framing",
    "ResponseHead",
    "IncomingRequest",
    "RawHeaders",
    "response_head_bytes",
    "find_header",
    "framing_of",
    "has_ambiguous_framing",
    "request_bytes",
    "request_head_bytes",
)

RawHeaders = tuple[tuple[bytes, bytes], ...]

CHUNKED = b"chunked"
KNOWN_CODINGS = frozenset({CHUNKED, b"identity"})
# Framing is set anew on each hop; a forwarded value would contradict it.
FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding", b"connection", b"keep-alive"})


@dataclass(frozen=True, slots=True, kw_only=True)
class IncomingRequest:
    """A caller's complete request; ``arrived_ms`` is the time at which its head was complete.

    Header names are in lower case.
    """

    method: str
    target: bytes
    headers: RawHeaders
    body: bytes
    arrived_ms: int


class Framing(Enum):
    """How a response tells where its body ends; ``UNKNOWN``: by a coding that can't be read."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response; header names are in lower case.

    ``opened_ms`` is when the connection was opened on which it came, on this VM's clock.
    """

    status: int
    headers: RawHeaders
    opened_ms: int = 0

    @property
    def framing(self) -> Framing:
        """How the response tells where its body ends."""
        return framing_of(self.headers)


def framing_of(headers: RawHeaders) -> Framing:
    """Return how a response with these headers tells where its body ends.

    Of the transfer codings only chunked marks the end, and identity changes nothing. No request
    asks for another one, so its name is damaged, or what it encodes would reach a caller that can't
    decode it.
    """
    values = [value for name, value in headers if name == b"transfer-encoding"]
    if values:
        return _framing_by_codings(values)
    if find_header(headers, b"content-length") is not None:
        return Framing.LENGTH
    return Framing.CLOSE


def _framing_by_codings(values: list[bytes]) -> Framing:
    found = [coding.strip().lower() for coding in b",".join(values).split(b",")]
    codings = [coding for coding in found if coding]
    if not KNOWN_CODINGS.issuperset(codings):
        return Framing.UNKNOWN
    if CHUNKED not in codings:
        return Framing.CLOSE
    return Framing.CHUNKED if codings[-1] == CHUNKED else Framing.UNKNOWN


def find_header(headers: RawHeaders, name: bytes) -> bytes | None:
    """Return the value of the first header of this name (in lower case), or ``None``."""
    for key, value in headers:
        if key == name:
            return value
    return None


def has_ambiguous_framing(headers: RawHeaders) -> bool:
    """Return whether two parsers could disagree on where this request's body ends.

    Such a request allows request smuggling: a caller hides a second request in the body of the
    first, and a backend server runs it although the gateway never checked it.
    """
    lengths = {value for name, value in headers if name == b"content-length"}
    codings = [value.lower() for name, value in headers if name == b"transfer-encoding"]
    if codings and (lengths or codings != [b"chunked"]):
        return True
    return len(lengths) > 1 or any(not value.isdigit() for value in lengths)


def request_bytes(method: str, target: bytes, headers: RawHeaders, body: bytes) -> bytes:
    """Encode a request with new framing."""
    return request_head_bytes(method, target, headers, body) + body


def request_head_bytes(method: str, target: bytes, headers: RawHeaders, body: bytes) -> bytes:
    """Encode the head of a request with new framing for its body."""
    lines = [b"%s %s HTTP/1.1" % (method.encode("ascii"), target)]
    lines += [b"%s: %s" % pair for pair in headers if pair[0] not in FRAMING_HEADERS]
    if body or method in ("POST", "PUT", "PATCH"):
        lines.append(b"content-length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n"


def response_head_bytes(
    status: int, headers: RawHeaders, *, length: int | None, close: bool, chunked: bool = True
) -> bytes:
    """Encode the head of a response.

    :param length: size of the body in bytes; ``None`` if it isn't known yet.
    :param chunked: a body of unknown length comes in chunks; otherwise it ends with its connection.
    :param close: the connection closes after the response.
    """
    try:
        reason = HTTPStatus(status).phrase
    except ValueError:
        reason = "Unknown"
    lines = [b"HTTP/1.1 %d %s" % (status, reason.encode("ascii"))]
    lines += [b"%s: %s" % pair for pair in headers if pair[0] not in FRAMING_HEADERS]
    if length is not None:
        lines.append(b"content-length: %d" % length)
    elif chunked:
        lines.append(b"transfer-encoding: chunked")
    if close:
        lines.append(b"connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n"
