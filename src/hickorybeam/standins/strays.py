"""A relay before a server that puts bytes of no request between the server's responses.

They come as soon as a connection is accepted, before the right response, behind an interim one,
or some ms after it, where the next response is expected. The server behind it runs unchanged, and
keeps what it ran.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import re
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from hickorybeam.http1.head import response_head_bytes
from hickorybeam.platform import names

if TYPE_CHECKING:
    from asyncio import StreamReader, StreamWriter
    from collections.abc import AsyncIterator

    from hickorybeam.http1 import RawHeaders

__all__ = ("FORMS", "RAW_FORMS", "STRAY_BODY", "Moment", "StrayRelay", "serve_strays")

HOST = "127.0.0.1"
READ_BYTES = 65_536
ID_LINE = re.compile(rb"\r\n" + names.REQUEST_ID + rb": ([^\r]*)", re.IGNORECASE)
CHUNKED = b"transfer-encoding: chunked"
LAST_CHUNK = b"0\r\n\r\n"
AFTER_S = (0.004, 0.015)
STRAY_BODY = b"stray"
SIGNED = (names.SIGNATURE, b"signed-stray")
MARKED = (names.NOT_RUN, b"1")
UNKNOWN_ID = b"of-another-request"


class Moment(Enum):
    """When the bytes come."""

    ACCEPT = "at accept"
    BEFORE = "before the right response"
    INTERIM = "behind an interim response with the id"
    AFTER = "after the right response"


WORDS: dict[str, tuple[int, RawHeaders]] = {
    "a marked 503": (503, (MARKED,)),
    "a marked 429": (429, (MARKED,)),
    "a marked 400": (400, (MARKED,)),
    "a 421": (421, ((names.SERVER_ID, b"stray"),)),
    "a signed 200": (200, (SIGNED,)),
    "a signed stream": (200, (SIGNED, (b"content-type", b"text/event-stream"))),
    "a signed 500": (500, (SIGNED,)),
    "an unmarked 503": (503, ()),
    "an unmarked 429": (429, ()),
    "an unmarked 408": (408, ()),
    "a VM's mark": (503, ((b"hop-not-run", b"not-asked"),)),
}
IDS = ("no id", "an empty id", "another's id", "two ids", "a list of ids")
FORMS = tuple(f"{word} with {ids}" for word in WORDS for ids in IDS)
# They harm the framing of what follows, so that the right response may be lost.
RAW_FORMS = (
    "no HTTP",
    "half a status line",
    "half a head",
    "half a marked head",
    "a signed head that takes in what follows",
    "a close",
)


def stray_bytes(form: str, own: bytes, other: bytes) -> bytes:
    """Return the bytes of a form.

    :param own: the id of the request whose response is expected, or was last.
    :param other: that of another request.
    """
    match form:
        case "no HTTP":
            return b"\x00\x01 no response \r\n\r\n"
        case "half a status line":
            return b"HTTP/1.1 421 "
        case "half a marked head":
            return b"HTTP/1.1 503 Full\r\n" + names.NOT_RUN + b": 1\r\nx-a: "
        case "half a head":
            return b"HTTP/1.1 200 OK\r\nx-a: "
        case "a signed head that takes in what follows":
            return response_head_bytes(200, (SIGNED,), length=400, close=False) + STRAY_BODY
        case "a close":
            return response_head_bytes(503, (MARKED,), length=0, close=True)
    word, _, ids = form.partition(" with ")
    status, more = WORDS[word]
    found: tuple[bytes, ...] = {
        "no id": (),
        "an empty id": (b"",),
        "another's id": (other,),
        "two ids": (own, other),
        "a list of ids": (own + b", " + other,),
    }[ids]
    headers = (*((names.REQUEST_ID, it) for it in found), *more)
    return response_head_bytes(status, headers, length=len(STRAY_BODY), close=False) + STRAY_BODY


@dataclass
class StrayRelay:
    """A relay to one server.

    ``form`` names the bytes that are put in, empty for none; ``moment`` is when, and ``share`` is
    the part of the connections or responses that they come with. ``sent`` counts them.
    """

    target_port: int
    port: int = 0
    form: str = ""
    moment: Moment = Moment.AFTER
    share: float = 1.0
    sent: int = 0
    conns: set[StreamWriter] = field(default_factory=set)
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    _last_id: bytes = UNKNOWN_ID

    async def carry(self, reader: StreamReader, writer: StreamWriter) -> None:
        """Carry one connection until either end closes it."""
        try:
            far_reader, far_writer = await asyncio.open_connection(HOST, self.target_port)
        except OSError:
            writer.transport.abort()
            return
        conn = _Connection(self, writer)
        self.conns.add(writer)
        if self.moment is Moment.ACCEPT:
            conn.put_in()
        ways = [
            asyncio.ensure_future(conn.forth(reader, far_writer)),
            asyncio.ensure_future(conn.back(far_reader)),
        ]
        try:
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for way in ways:
                way.cancel()
            conn.end()
            self.conns.discard(writer)
            far_writer.close()
            writer.close()

    def close_all(self) -> None:
        """Close all connections, so that the next requests come on new ones."""
        for writer in tuple(self.conns):
            writer.close()

    def take(self, own: bytes) -> bytes:
        """Return the bytes to put in now, empty for none."""
        if not self.form or self.rng.random() >= self.share:
            return b""
        self.sent += 1
        other = self._last_id if self._last_id != own else UNKNOWN_ID
        return stray_bytes(self.form, own, other)

    def note_id(self, request_id: bytes) -> None:
        """Keep an id, as that of another request."""
        self._last_id = request_id


class _Connection:
    """One relayed connection."""

    def __init__(self, relay: StrayRelay, writer: StreamWriter) -> None:
        self._relay = relay
        self._writer = writer
        self._own = UNKNOWN_ID
        self._chunked = False
        self._inside = False
        self._later: asyncio.TimerHandle | None = None

    def put_in(self) -> None:
        """Send bytes of no request, if it is their turn."""
        data = self._relay.take(self._own)
        if data and not self._writer.is_closing():
            if self._relay.moment is Moment.INTERIM:
                hints = response_head_bytes(
                    103, ((names.REQUEST_ID, self._own),), length=None, close=False, chunked=False
                )
                data = hints + data
            self._writer.write(data)

    def _put_in_after(self) -> None:
        """Send them where the next response is expected, and not inside one."""
        if not self._inside:
            self.put_in()

    def end(self) -> None:
        """Send nothing more."""
        if self._later is not None:
            self._later.cancel()

    async def forth(self, reader: StreamReader, far: StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                found = ID_LINE.search(data)
                if found:
                    self._relay.note_id(self._own)
                    self._own = found[1]
                far.write(data)
                if found and self._relay.moment in (Moment.BEFORE, Moment.INTERIM):
                    self.put_in()

    async def back(self, far: StreamReader) -> None:
        with contextlib.suppress(OSError):
            while data := await far.read(READ_BYTES):
                if data.startswith(b"HTTP/1.1"):
                    self._chunked = CHUNKED in data
                self._writer.write(data)
                self._inside = self._chunked and not data.endswith(LAST_CHUNK)
                if not self._inside and self._relay.moment is Moment.AFTER:
                    self.end()
                    after_s = self._relay.rng.uniform(*AFTER_S)
                    loop = asyncio.get_running_loop()
                    self._later = loop.call_later(after_s, self._put_in_after)


@asynccontextmanager
async def serve_strays(target_port: int, *, seed: int = 1) -> AsyncIterator[StrayRelay]:
    """Relay a free port to a server's until the block ends."""
    relay = StrayRelay(target_port, rng=random.Random(seed))
    server = await asyncio.start_server(relay.carry, HOST, 0)
    relay.port = server.sockets[0].getsockname()[1]
    try:
        yield relay
    finally:
        server.close()
