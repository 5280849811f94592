"""Odd values and bytes, grown from a sound example, for every decoder of bytes from outside."""

from __future__ import annotations

import copy
import json
import math

import msgspec
from hypothesis import settings
from hypothesis import strategies as st

# Beyond what a recursive decoder can follow, and just below it.
DEPTHS = (900, 5_000)
DEEP = tuple(f"<deep {kind} {depth}>" for kind in ("list", "map") for depth in DEPTHS)
ODD_LEAVES = (
    *DEEP,
    None,
    True,
    0,
    -1,
    2**31,
    2**53 + 1,
    2**63,
    2**64 - 1,
    10**30,
    10**400,
    0.5,
    -1e308,
    math.nan,
    math.inf,
    "",
    "x" * 5_000,
    "9" * 5_000,
    "a..b:1",
    "a..b",
    f"{'h' * 64}.example:80",
    "127.0.0.1:70000",
    "127.0.0.1:-1",
    "::1:80",
    "\x00",
    "\r\nhop-account: other",
    "\u00e9",
    "\u65e5\u672c",
    "\ud800",
    [],
    {},
    [[], {}],
)
ADDED_NAME = "a-field-that-nobody-reads"

# The same values in each run.
FIXED = settings(derandomize=True, database=None, deadline=None, print_blob=False)


def as_json(value):
    """Encode a value as JSON, odd ones as well."""
    match value:
        case str() if value in DEEP:
            _, kind, depth = value.strip("<>").split()
            opened, closed = ("[", "]") if kind == "list" else ('{"a":', "}")
            return opened * int(depth) + "1" + closed * int(depth)
        case dict():
            return "{" + ",".join(f"{json.dumps(k)}:{as_json(v)}" for k, v in value.items()) + "}"
        case list() | tuple():
            return "[" + ",".join(map(as_json, value)) + "]"
        case _:
            return json.dumps(value)


def as_msgpack(value):
    """Encode a value as MessagePack; what it has no form for becomes a text."""
    match value:
        case str() if value in DEEP:
            _, kind, depth = value.strip("<>").split()
            return (b"\x91" if kind == "list" else b"\x81\xa1a") * int(depth) + b"\x01"
        case dict():
            pairs = b"".join(as_msgpack(k) + as_msgpack(v) for k, v in value.items())
            return b"\xdf" + len(value).to_bytes(4, "big") + pairs
        case list() | tuple():
            return b"\xdd" + len(value).to_bytes(4, "big") + b"".join(map(as_msgpack, value))
        case int() if not -(2**63) <= value < 2**64:
            return as_msgpack(str(value))
        case str():
            data = value.encode("utf-8", "surrogatepass")
            return b"\xdb" + len(data).to_bytes(4, "big") + data
        case _:
            return msgspec.msgpack.encode(value)


def places(value, path=()):
    """Return the paths of all values inside a value, its own first."""
    found = [path]
    match value:
        case dict():
            for name, item in value.items():
                found += places(item, (*path, name))
        case list() | tuple():
            for number, item in enumerate(value):
                found += places(item, (*path, number))
    return found


def changed(value, path, leaf, change):
    """Return a value in which what stands at a path is replaced, left out, or added to."""
    if not path:
        return {**value, ADDED_NAME: leaf} if change == "add" and isinstance(value, dict) else leaf
    value = copy.deepcopy(value)
    if isinstance(value, tuple):
        value = list(value)
    inner = value[path[0]]
    if change == "drop" and len(path) == 1:
        del value[path[0]]
    else:
        value[path[0]] = changed(inner, path[1:], leaf, change)
    return value


@st.composite
def odd_values(draw, example):
    """Draw values that differ from a sound one in one to three places."""
    value = example
    for _ in range(draw(st.integers(1, 3))):
        path = draw(st.sampled_from(places(value)))
        leaf = draw(st.sampled_from(ODD_LEAVES))
        value = changed(value, path, leaf, draw(st.sampled_from(("replace", "drop", "add"))))
    return value


@st.composite
def broken_bytes(draw, sound):
    """Draw bytes that differ from sound ones: cut, with others in between, or all of them odd."""
    match draw(st.integers(0, 3)):
        case 0:
            return sound[: draw(st.integers(0, len(sound)))]
        case 1:
            at = draw(st.integers(0, len(sound)))
            return sound[:at] + draw(st.binary(min_size=1, max_size=12)) + sound[at:]
        case 2:
            return draw(st.binary(max_size=200))
        case _:
            return draw(st.sampled_from((b"[", b'{"a":', b"\x91", b"\x81\xa1a"))) * 5_000


def odd_json(example):
    """Draw JSON, or what looks like it."""
    return st.one_of(
        odd_values(example).map(lambda it: as_json(it).encode()),
        broken_bytes(as_json(example).encode()),
    )


def odd_msgpack(example):
    """Draw MessagePack, or what looks like it."""
    return st.one_of(odd_values(example).map(as_msgpack), broken_bytes(as_msgpack(example)))


def odd_header(example):
    """Draw values of a header: no end of a line and no NUL, which the parser refuses."""
    leaves = st.sampled_from([it for it in ODD_LEAVES if isinstance(it, str)])
    texts = leaves.map(lambda it: it.encode("utf-8", "surrogatepass"))
    numbers = st.sampled_from((b"9" * 5_000, b"-1", b"1e400", b"nan", b"0x10", b"1_000", b"\xb2"))
    return st.one_of(texts, numbers, broken_bytes(example)).map(
        lambda it: it.translate(None, b"\r\n\x00")
    )
