"""Decode callers' requests and encode the headers that go on to a backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorybeam.http1 import RequestId, find_header, header_bytes, parse_count
from hickorybeam.model.routing import PromptPart, RelayCall
from hickorybeam.platform import names

if TYPE_CHECKING:
    from hickorybeam.http1 import IncomingRequest, RawHeaders

__all__ = ("NO_ID", "decode_call", "decode_parts", "server_headers")

# Of health checks, which bear no id.
NO_ID = RequestId(names.REQUEST_ID, b"")

# For callers that declare no deadline.
DEFAULT_DEADLINE_MS = 60_000
MAX_PROMPT_PARTS = 64


def decode_call(req: IncomingRequest) -> RelayCall:
    """Decode a caller's request; invalid headers count as not sent."""
    headers = req.headers
    remaining_ms = parse_count(find_header(headers, names.DEADLINE))
    prompt, output = token_counts(find_header(headers, names.TOKENS))
    return RelayCall(
        request_id=decode_request_id(headers),
        method=req.method,
        target=req.target,
        host=without_port(decode_text(find_header(headers, b"host"))),
        path=req.target.partition(b"?")[0].decode("latin-1"),
        headers=forwarded_headers(headers),
        body=req.body,
        key=bearer_key(find_header(headers, names.AUTHORIZATION)),
        arrived_ms=req.arrived_ms,
        deadline_ms=req.arrived_ms
        + (DEFAULT_DEADLINE_MS if remaining_ms is None else remaining_ms),
        model=decode_text(find_header(headers, names.MODEL)),
        prompt_tokens=prompt,
        output_tokens=output,
        tokens_told=prompt + output > 0,
        parts=decode_parts(find_header(headers, names.PREFIX)),
        resume_after=decode_text(find_header(headers, names.LAST_EVENT)) or None,
        resumes=decode_text(find_header(headers, names.RESUMES)) or None,
    )


def server_headers(
    call: RelayCall,
    *,
    server_id: str,
    account: str | None,
    left_ms: int,
    urgency: int,
    resume_after: str | None,
    copy_from: str | None = None,
) -> RawHeaders:
    """Return the headers of a call to a backend server.

    :param left_ms: time remaining for the server to work on it.
    :param urgency: 0 is the most urgent, 9 the least.
    :param resume_after: id of the last event that the caller received, if a stream is resumed.
    :param copy_from: ``host:port`` of a server that holds shared parts of the prompt.
    """
    replaced = {names.DEADLINE, names.LAST_EVENT}
    headers = [pair for pair in call.headers if pair[0] not in replaced]
    headers.append((names.DEADLINE, b"%d" % max(1, left_ms)))
    headers.append((names.EXPECT_SERVER, server_id.encode("latin-1")))
    headers.append((names.URGENCY, b"%d" % urgency))
    if account is not None:
        headers.append((names.ACCOUNT, header_bytes(account)))
    if copy_from is not None:
        headers.append((names.COPY_FROM, copy_from.encode("ascii")))
    if resume_after is not None:
        headers.append((names.LAST_EVENT, resume_after.encode("latin-1")))
    return tuple(headers)


def forwarded_headers(headers: RawHeaders) -> RawHeaders:
    """Drop hop-by-hop headers and those that only the gateway may set."""
    dropped = names.HOP_BY_HOP | names.GATEWAY_ONLY
    for name, value in headers:
        if name == b"connection":
            listed = {part.strip().lower() for part in value.split(b",")}
            dropped |= listed - names.ALWAYS_FORWARDED
    return tuple(pair for pair in headers if pair[0] not in dropped)


def decode_parts(value: bytes | None) -> tuple[PromptPart, ...]:
    """Decode the parts of a prompt in order; an invalid list counts as empty."""
    if not value:
        return ()
    parts = []
    for entry in value.split(b",")[:MAX_PROMPT_PARTS]:
        name, _, tokens = entry.strip().rpartition(b":")
        size = parse_count(tokens)
        if not name or size is None:
            return ()
        parts.append(PromptPart(name.decode("latin-1"), size))
    return tuple(parts)


def decode_request_id(headers: RawHeaders) -> str:
    """Decode a request's id; empty without one, and with several, as a server echoes any."""
    found = {value for name, value in headers if name == names.REQUEST_ID}
    return decode_text(found.pop()) if len(found) == 1 else ""


def token_counts(value: bytes | None) -> tuple[int, int]:
    """Decode prompt tokens and maximum output tokens; both are 0 unless both are declared."""
    first, _, second = (value or b"").partition(b",")
    prompt, output = parse_count(first), parse_count(second)
    return (0, 0) if prompt is None or output is None else (prompt, output)


def bearer_key(value: bytes | None) -> str | None:
    """Return the key of an Authorization header, if its scheme is Bearer."""
    if value is None or value[: len(names.BEARER)].lower() != names.BEARER:
        return None
    return value[len(names.BEARER) :].strip().decode("latin-1")


def without_port(value: str) -> str:
    """Return the requested host in lower case, without its port."""
    host, _, port = value.lower().rpartition(":")
    return host if port.isdigit() else value.lower()


def decode_text(value: bytes | None) -> str:
    """Decode a header's value; a missing one is empty."""
    return (value or b"").decode("latin-1")
