"""What each client of a crowd sends."""

from __future__ import annotations

from support.crowd import BODY_BYTES, END, HEAD_BYTES, head

FULL = b"content-length: %d" % BODY_BYTES
CHUNKED = b"transfer-encoding: chunked"
OVER_BYTES = 2 * BODY_BYTES
PART_BYTES = 120_000
MANY_GETS = 4_000
LARGE_CHUNK = 65_536


def chunks(size, total):
    """Return a chunked body without its end."""
    return (b"%x\r\n" % size + b"x" * size + b"\r\n") * (total // size)


SHORT = b"x" * (BODY_BYTES - 1)
SMALL_HEADERS = b"\r\nab:" * ((HEAD_BYTES - 600) // 6)

# The paths of what is sent many times.
MANY_AT_ONCE = {
    "sends 4000 requests at once and reads nothing": "/look/x",
    "sends 4000 requests without a route at once and reads nothing": "/nowhere/x",
}

# What follows the head's first lines; keys are the words of the scenarios.
BODIES = {
    "announces 1 GiB and sends twice the limit": lambda: (
        (b"content-length: %d" % (1 << 30),),
        b"x" * OVER_BYTES,
    ),
    "sends twice the limit in chunks of 64 KiB": lambda: (
        (CHUNKED,),
        chunks(LARGE_CHUNK, OVER_BYTES),
    ),
    "stops one byte short": lambda: ((FULL,), SHORT),
    "stops short in chunks of 64 KiB": lambda: ((CHUNKED,), chunks(LARGE_CHUNK, BODY_BYTES)),
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


def payloads(kind, count, *, path="/order/x", key="small"):
    """Return what each client sends."""
    if kind == "sends nothing":
        return [b""] * count
    if kind == "sends a head of many small headers without its end":
        return [head(b"GET", path, key=key) + SMALL_HEADERS for _ in range(count)]
    if kind == "asks for a large answer and reads nothing":
        return [head(b"GET", "/look/x", key=key) + END for _ in range(count)]
    if kind in MANY_AT_ONCE:
        return [(head(b"GET", MANY_AT_ONCE[kind], key=key) + END) * MANY_GETS] * count
    if kind == "sends a request and a body behind it that stops one byte short":
        behind = head(b"POST", path, FULL, key=key) + END + SHORT
        return [head(b"GET", "/look/x", key=key) + END + behind for _ in range(count)]
    if kind == "asks 400 times for the state and reads nothing":
        return [b"GET /state HTTP/1.1\r\nhost: x\r\n\r\n" * 400] * count
    lines, body = BODIES[kind]()
    return [head(b"POST", path, *lines, key=key) + END + body for _ in range(count)]
