"""Callers' requests decoded, and what goes on to a backend server encoded."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorybeam.http1 import find_header
from hickorybeam.model.routing import PromptPart, RelayCall
from hickorybeam.platform import names

if TYPE_CHECKING:
    from hickorybeam.http1 import IncomingRequest, RawHeaders

__all__ = ("decode_call", "decode_parts", "server_headers")

# A caller that tells no deadline, in ms.
DEFAULT_DEADLINE_MS = 60_000
MAX_PARTS = 64


def decode_call(req: IncomingRequest) -> RelayCall:
    """Read a caller's request; what cannot be read counts as not told."""
    headers = req.headers
    patience = number(find_header(headers, names.DEADLINE))
    prompt, output = token_counts(find_header(headers, names.TOKENS))
    return RelayCall(
        request_id=text(find_header(headers, names.REQUEST_ID)),
        method=req.method,
        target=req.target,
        host=host_of(text(find_header(headers, b"host"))),
        path=req.target.partition(b"?")[0].decode("latin-1"),
        headers=passed_on(headers),
        body=req.body,
        key=bearer(find_header(headers, names.AUTHORIZATION)),
        arrived_ms=req.arrived_ms,
        deadline_ms=req.arrived_ms + (DEFAULT_DEADLINE_MS if patience is None else patience),
        prompt_tokens=prompt,
        output_tokens=output,
        tokens_told=prompt + output > 0,
        parts=decode_parts(find_header(headers, names.PREFIX)),
        resume_after=text(find_header(headers, names.LAST_EVENT)) or None,
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
    """Return the headers with which a call goes to a backend server.

    :param left_ms: how long the server may work on it.
    :param urgency: 0 first, 9 last.
    :param resume_after: id of the last event that the caller has, if a stream goes on.
    :param copy_from: ``host:port`` of a server that holds shared parts of the prompt.
    """
    own = {names.DEADLINE, names.LAST_EVENT}
    headers = [pair for pair in call.headers if pair[0] not in own]
    headers.append((names.DEADLINE, b"%d" % max(1, left_ms)))
    headers.append((names.EXPECT_SERVER, server_id.encode("latin-1")))
    headers.append((names.URGENCY, b"%d" % urgency))
    if account is not None:
        headers.append((names.ACCOUNT, account.encode("latin-1", "replace")))
    if copy_from is not None:
        headers.append((names.COPY_FROM, copy_from.encode("ascii")))
    if resume_after is not None:
        headers.append((names.LAST_EVENT, resume_after.encode("latin-1")))
    return tuple(headers)


def passed_on(headers: RawHeaders) -> RawHeaders:
    """Drop what concerns the caller's connection and what only the gateway may set."""
    dropped = names.ONE_CONNECTION | names.OURS
    for name, value in headers:
        if name == b"connection":
            named = {part.strip().lower() for part in value.split(b",")}
            dropped |= named - names.KEPT
    return tuple(pair for pair in headers if pair[0] not in dropped)


def decode_parts(value: bytes | None) -> tuple[PromptPart, ...]:
    """Read the parts of a prompt in order; an unreadable list counts as none."""
    if not value:
        return ()
    parts = []
    for entry in value.split(b",")[:MAX_PARTS]:
        name, _, tokens = entry.strip().rpartition(b":")
        if not name or not tokens.isdigit():
            return ()
        parts.append(PromptPart(name.decode("latin-1"), int(tokens)))
    return tuple(parts)


def token_counts(value: bytes | None) -> tuple[int, int]:
    """Read prompt tokens and the most output tokens, 0 and 0 where they are not told."""
    first, _, second = (value or b"").partition(b",")
    prompt, output = number(first), number(second)
    return (0, 0) if prompt is None or output is None else (prompt, output)


def bearer(value: bytes | None) -> str | None:
    """Return the key that came with a request."""
    if value is None or value[: len(names.BEARER)].lower() != names.BEARER:
        return None
    return value[len(names.BEARER) :].strip().decode("latin-1")


def host_of(value: str) -> str:
    """Return the host that a caller asked for, without its port."""
    host, _, port = value.lower().rpartition(":")
    return host if port.isdigit() else value.lower()


def number(value: bytes | None) -> int | None:
    """Read a whole number that is not negative."""
    digits = (value or b"").strip()
    return int(digits) if digits.isdigit() and len(digits) < 16 else None


def text(value: bytes | None) -> str:
    """Read a header's text."""
    return (value or b"").decode("latin-1")
