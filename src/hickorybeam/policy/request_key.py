"""Digests of requests by what servers get, so that repeats are known whatever their ids.

Left out is what differs between the repeats of one request: its id, its deadline, the event after
which a stream goes on, and headers that neither the gateway nor a model knows. The service is left
out too: a route may spread its requests over several.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from hickorybeam.model import Call
    from hickorybeam.model.routing import RelayCall

__all__ = (
    "KEY_BYTES",
    "OUTLINE_BYTES",
    "call_key",
    "outline_of",
    "request_key",
    "request_mark",
    "request_outline",
)

OUTLINE_BYTES = 8
BODY_BYTES = 8
KEY_BYTES = OUTLINE_BYTES + BODY_BYTES
MARK_BYTES = 8
# Bytes at each end of a body that a mark covers.
MARKED_BYTES = 32


def request_outline(call: RelayCall, account: str | None) -> bytes:
    """Return a digest of a request without its body, but for the body's length."""
    content = (
        call.method,
        call.host,
        call.target,
        account,
        call.model,
        call.prompt_tokens,
        call.output_tokens,
        [(part.id, part.tokens) for part in call.parts],
        len(call.body),
    )
    return blake2b(msgspec.msgpack.encode(content), digest_size=OUTLINE_BYTES).digest()


def call_key(call: Call) -> bytes:
    """Return a digest of a call of the other interface, which its repeats have too."""
    content = (call.kind.value, call.served, call.account, call.method, call.path, call.stream)
    encoded = msgspec.msgpack.encode((*content, call.max_tokens, len(call.body)))
    return request_key(blake2b(encoded, digest_size=OUTLINE_BYTES).digest(), call.body)


def outline_of(key: bytes) -> bytes:
    """Return the outline of the request that a key belongs to."""
    return key[:OUTLINE_BYTES]


def request_key(outline: bytes, body: bytes) -> bytes:
    """Return a digest of a whole request; it begins with its outline."""
    return outline + blake2b(body, digest_size=BODY_BYTES).digest()


def request_mark(call: RelayCall, account: str | None) -> bytes:
    """Return a mark of a request that costs little; others may have it too.

    It differs from one process to the next.
    """
    body = call.body
    ends = (len(body), body[:MARKED_BYTES], body[-MARKED_BYTES:])
    mark = hash((call.method, call.target, account, *ends))
    return mark.to_bytes(MARK_BYTES, "big", signed=True)
