"""Heads of requests and answers, and how they are written."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus

__all__ = (
    "ResponseHead",
    "IncomingRequest",
    "RawHeaders",
    "response_head_bytes",
    "find_header",
    "framing_fault",
    "request_bytes",
)

RawHeaders = tuple[tuple[bytes, bytes], ...]

# Framing is written anew on each hop; a value that came along would contradict it.
FRAMING = frozenset({b"content-length", b"transfer-encoding", b"connection", b"keep-alive"})


@dataclass(frozen=True, slots=True, kw_only=True)
class IncomingRequest:
    """A caller's whole request; ``arrived_ms`` is when its head was complete.

    Names of headers are in lower case.
    """

    method: str
    target: bytes
    headers: RawHeaders
    body: bytes
    arrived_ms: int


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of an answer; names are in lower case."""

    status: int
    headers: RawHeaders


def find_header(headers: RawHeaders, name: bytes) -> bytes | None:
    """Return the first header of this name, in lower case, if there is one."""
    for key, value in headers:
        if key == name:
            return value
    return None


def framing_fault(headers: RawHeaders) -> bool:
    """Whether two readers could see different ends of this request's body.

    A request with two framings lets a caller hide a second request in the body of the first,
    which a backend server would then run unasked.
    """
    lengths = {value for name, value in headers if name == b"content-length"}
    codings = [value.lower() for name, value in headers if name == b"transfer-encoding"]
    if codings and (lengths or codings != [b"chunked"]):
        return True
    return len(lengths) > 1 or any(not value.isdigit() for value in lengths)


def request_bytes(method: str, target: bytes, headers: RawHeaders, body: bytes) -> bytes:
    """Return a request as it goes over the wire, with a framing of its own."""
    lines = [b"%s %s HTTP/1.1" % (method.encode("ascii"), target)]
    lines += [b"%s: %s" % pair for pair in headers if pair[0] not in FRAMING]
    if body or method in ("POST", "PUT", "PATCH"):
        lines.append(b"content-length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def response_head_bytes(status: int, headers: RawHeaders, *, length: int | None, close: bool) -> bytes:
    """Return the head of an answer.

    :param length: bytes of its body; ``None`` for a body in chunks.
    :param close: the connection ends after it.
    """
    try:
        phrase = HTTPStatus(status).phrase
    except ValueError:
        phrase = "Unknown"
    lines = [b"HTTP/1.1 %d %s" % (status, phrase.encode("ascii"))]
    lines += [b"%s: %s" % pair for pair in headers if pair[0] not in FRAMING]
    if length is None:
        lines.append(b"transfer-encoding: chunked")
    else:
        lines.append(b"content-length: %d" % length)
    if close:
        lines.append(b"connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n"
