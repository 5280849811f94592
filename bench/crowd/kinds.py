"""What each client of a crowd sends."""

from __future__ import annotations

import itertools
import time
from typing import TYPE_CHECKING

from hickorybeam.standins.deployment import HOST, KEYS

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = (
    "BODY_BYTES",
    "CHUNKED",
    "END",
    "HEAD_BYTES",
    "KINDS",
    "SMALL_HEADERS",
    "chunks",
    "head",
    "payloads",
)

# What the operator of the scenarios allows.
BODY_BYTES = 1_048_576
HEAD_BYTES = 16_384
END = b"\r\n\r\n"
FULL = b"content-length: %d" % BODY_BYTES
CHUNKED = b"transfer-encoding: chunked"
OVER_BYTES = 2 * BODY_BYTES
PART_BYTES = 120_000
MANY_GETS = 4_000
MANY_STATES = 400
LARGE_CHUNK_BYTES = 65_536
# The first lines of a head, beside which small headers fill the rest.
FIRST_LINES_BYTES = 600
ID_SHIFT = 20

# Ids of requests differ between runs as well.
_ids = itertools.count(int(time.time()) << ID_SHIFT)


def chunks(size: int, total: int) -> bytes:
    """Return a chunked body without its end."""
    return (b"%x\r\n" % size + b"x" * size + b"\r\n") * (total // size)


def head(
    method: bytes, path: str, *lines: bytes, key: str = "small", wait_ms: int = 20_000
) -> bytes:
    """Return the head of a request, without its end."""
    return b"\r\n".join(
        (
            b"%s %s HTTP/1.1" % (method, path.encode()),
            b"host: " + HOST.encode(),
            b"x-hickorybeam-request-id: %016x" % next(_ids),
            b"x-hickorybeam-deadline-milliseconds: %d" % wait_ms,
            b"authorization: Bearer " + KEYS.get(key, key).encode(),
            *lines,
        )
    )


SHORT = b"x" * (BODY_BYTES - 1)
SMALL_HEADERS = b"\r\nab:" * ((HEAD_BYTES - FIRST_LINES_BYTES) // 6)

# The paths of what is sent many times.
MANY_AT_ONCE = {
    "sends 4000 requests at once and reads nothing": "/look/x",
    "sends 4000 requests without a route at once and reads nothing": "/nowhere/x",
}

# What follows the head's first lines; keys are the words of the scenarios.
BODIES: dict[str, Callable[[], tuple[tuple[bytes, ...], bytes]]] = {
    "announces 1 GiB and sends twice the limit": lambda: (
        (b"content-length: %d" % (1 << 30),),
        b"x" * OVER_BYTES,
    ),
    "sends twice the limit in chunks of 64 KiB": lambda: (
        (CHUNKED,),
        chunks(LARGE_CHUNK_BYTES, OVER_BYTES),
    ),
    "stops one byte short": lambda: ((FULL,), SHORT),
    "stops short in chunks of 64 KiB": lambda: ((CHUNKED,), chunks(LARGE_CHUNK_BYTES, BODY_BYTES)),
    "stops short in chunks of 16 bytes": lambda: ((CHUNKED,), chunks(16, BODY_BYTES)),
    "stops short in chunks of 3 bytes": lambda: ((CHUNKED,), chunks(3, BODY_BYTES)),
    "stops after 300 kB in chunks of 2 bytes": lambda: ((CHUNKED,), chunks(2, 300_000)),
    "offers an upgrade and stops one byte short": lambda: (
        (FULL, b"connection: upgrade", b"upgrade: other"),
        SHORT,
    ),
    "expects to be told to go on and stops one byte short": lambda: (
        (FULL, b"expect: 100-continue"),
        SHORT,
    ),
    "sends a whole body": lambda: ((FULL,), b"x" * BODY_BYTES),
    "sends 120 kB of a body": lambda: ((FULL,), b"x" * PART_BYTES),
    "stops 20 bytes short and sends a byte now and then": lambda: (
        (FULL,),
        b"x" * (BODY_BYTES - 20),
    ),
}
KINDS = (
    *BODIES,
    *MANY_AT_ONCE,
    "sends nothing",
    "sends a head of many small headers without its end",
    "sends a request and a body behind it that stops one byte short",
)


def payloads(kind: str, count: int, *, path: str = "/order/x", key: str = "small") -> list[bytes]:
    """Return what each client sends."""
    if kind == "sends nothing":
        return [b""] * count
    if kind == "sends a head of many small headers without its end":
        return [head(b"GET", path, key=key) + SMALL_HEADERS for _ in range(count)]
    if kind == "asks for a large answer and reads nothing":
        return [head(b"GET", "/look/x", key=key) + END for _ in range(count)]
    if kind == "asks for a large answer as the last one and reads nothing":
        last = (b"connection: close",)
        return [head(b"GET", "/look/x", *last, key=key) + END for _ in range(count)]
    if kind in MANY_AT_ONCE:
        return [(head(b"GET", MANY_AT_ONCE[kind], key=key) + END) * MANY_GETS] * count
    if kind == "sends a request and a body behind it that stops one byte short":
        behind = head(b"POST", path, FULL, key=key) + END + SHORT
        return [head(b"GET", "/look/x", key=key) + END + behind for _ in range(count)]
    if kind == "asks 400 times for the state and reads nothing":
        return [b"GET /state HTTP/1.1\r\nhost: x\r\n\r\n" * MANY_STATES] * count
    lines, body = BODIES[kind]()
    return [head(b"POST", path, *lines, key=key) + END + body for _ in range(count)]
