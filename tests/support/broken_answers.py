"""A server whose answers break off: at any byte, and with any end of the connection."""

from __future__ import annotations

import asyncio
import re
from contextlib import asynccontextmanager
from dataclasses import dataclass

import anyio

from support.raw_server import listen, reset

LIMIT_S = 5
# After bytes and before a reset, so that the other end reads them.
RESET_AFTER_S = 0.002
ID_LINE = re.compile(rb"\r\n([a-z-]*request-id: [^\r]*\r\n)", re.IGNORECASE)
LENGTH_LINE = re.compile(rb"\r\ncontent-length: (\d+)\r\n", re.IGNORECASE)
FINAL_LINE = re.compile(rb"HTTP/1\.1 [2-5][^\r]*\r\n")
EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\nlink: </a>; rel=preload\r\n\r\n"
MARKS = b"\r\n: ,"


def framed(body, framing, *, headers):
    """Return an answer as it goes over the wire."""
    head = b"HTTP/1.1 200 OK\r\n" + headers
    match framing:
        case "length":
            return head + b"content-length: %d\r\n\r\n" % len(body) + body
        case "early hints":
            return EARLY_HINTS + framed(body, "length", headers=headers)
        case "chunked":
            size = len(body) // 2
            parts = (body[:size], body[size:])
            chunks = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts if part)
            return head + b"transfer-encoding: chunked\r\n\r\n" + chunks + b"0\r\nx-t: 1\r\n\r\n"
        case "close":
            return head + b"\r\n" + body
    raise ValueError(framing)


def missing_counts(answer, *, head_only=False):
    """Return how many bytes may be missing at the end: at and beside all that delimits something.

    :param head_only: only those with which the head isn't whole.
    """
    head_size = answer.index(b"\r\n\r\n", answer.rindex(b"HTTP/1.1 ")) + 4
    near = {at + side for at, byte in enumerate(answer) if byte in MARKS for side in (-1, 0, 1, 2)}
    near |= {0, 1, head_size, head_size + 1, (head_size + len(answer)) // 2, len(answer) - 1}
    most = (head_size if head_only else len(answer)) - 1
    return sorted(len(answer) - size for size in near if 0 <= size <= most)


@dataclass
class BrokenAnswers:
    """What each request gets: an answer without its last ``missing`` bytes, and then an end.

    ``end``: the server ``closes`` the connection, ``closes its side`` or ``resets`` it.
    """

    answer: bytes = b""
    missing: int = 0
    end: str = "closes"
    port: int = 0

    async def respond(self, reader, writer):
        """Answer one request on a connection."""
        try:
            request = await read_request(reader)
            data = with_id(self.answer, request)
            writer.write(data[: len(data) - self.missing])
            await writer.drain()
            if self.end == "closes its side":
                writer.write_eof()
                await asyncio.wait_for(reader.read(), LIMIT_S)
            elif self.end == "resets":
                await asyncio.sleep(RESET_AFTER_S)
                reset(writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


@asynccontextmanager
async def serve_broken():
    """Serve broken answers."""
    answers = BrokenAnswers()
    async with anyio.create_task_group() as tg:
        answers.port = await listen(tg, answers.respond)
        yield answers
        tg.cancel_scope.cancel()


async def read_request(reader):
    """Read a whole request, as a close before that would be a reset."""
    head = await reader.readuntil(b"\r\n\r\n")
    found = LENGTH_LINE.search(head)
    return head + (await reader.readexactly(int(found[1])) if found else b"")


def with_id(data, request):
    """Return an answer's bytes with the id of its request, as servers echo it."""
    found = ID_LINE.search(request)
    if found is None:
        return data
    return FINAL_LINE.sub(lambda line: line[0] + found[1], data, count=1)
