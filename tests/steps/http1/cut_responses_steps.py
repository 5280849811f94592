from __future__ import annotations

from behave import then

from hickorybeam.backends.http1 import BrokenResponseError as BrokenCallError
from hickorybeam.backends.http1 import HttpConnection
from hickorybeam.http1 import BrokenResponseError, RequestId, UpstreamConnection
from steps.http1.upstream_steps import FakeTransport

BODY = b"0123456789abcdefg"
CHUNKS = b"11\r\n0123456789abcdefg\r\n0\r\n\r\n"
ID = b"x-request-id: a\r\n"
ID_HEADER = RequestId(b"x-request-id", b"a")


def response(lines, body, *, before=b"", status=b"HTTP/1.1 200 OK"):
    head = b"".join(line + b"\r\n" for line in (status, *lines))
    return before + head + ID + b"\r\n" + body


def early_hints(*lines):
    head = (b"HTTP/1.1 103 Early Hints", b"link: </a>", *lines)
    return b"".join(line + b"\r\n" for line in head) + b"\r\n"


LENGTH = (b"content-length: 17",)
CODED = b"transfer-encoding: "
RESPONSES = {
    "a length": response(LENGTH, BODY),
    "a length, and spaces after it": response((b"content-length: 17  ",), BODY),
    "a length, early hints before it": response(LENGTH, BODY, before=early_hints()),
    "a length of early hints before it": response(
        LENGTH, BODY, before=early_hints(b"content-length: 17")
    ),
    "a length, with HTTP/1.0": response(LENGTH, BODY, status=b"HTTP/1.0 200 OK"),
    "a length, and a close": response((*LENGTH, b"connection: close"), BODY),
    "a length, and an offered protocol": response(
        (*LENGTH, b"connection: upgrade", b"upgrade: h2c"), BODY
    ),
    "chunks": response((CODED + b"chunked",), CHUNKS),
    "chunks, and spaces after the name": response((CODED + b"chunked  ",), CHUNKS),
    "chunks in capitals": response((b"Transfer-Encoding: CHUNKED",), CHUNKS),
    "chunks after identity": response((CODED + b"identity", CODED + b"chunked"), CHUNKS),
    "chunks after identity, one header": response((CODED + b"identity, chunked",), CHUNKS),
    "chunks, and trailers": response((CODED + b"chunked",), CHUNKS[:-2] + b"x-t: 1\r\n\r\n"),
    "chunks with extensions": response(
        (CODED + b"chunked",), CHUNKS.replace(b"11\r\n", b"11;a=b\r\n")
    ),
    "no content": response((), b"", status=b"HTTP/1.1 204 No Content"),
    "no content, and a length": response(LENGTH, b"", status=b"HTTP/1.1 204 No Content"),
    "nothing modified, and a length": response(LENGTH, b"", status=b"HTTP/1.1 304 Not Modified"),
    "neither": response((), BODY),
    "neither, early hints before it": response((), BODY, before=early_hints()),
    "identity": response((CODED + b"identity",), BODY),
    "neither, with HTTP/1.0": response((), BODY, status=b"HTTP/1.0 200 OK"),
    "two lengths": response((b"content-length: 1", *LENGTH), BODY),
    "one length twice": response((*LENGTH, *LENGTH), BODY),
    "a list of lengths": response((b"content-length: 17, 17",), BODY),
    "an empty length": response((b"content-length:",), BODY),
    "a negative length": response((b"content-length: -1",), BODY),
    "a length with a sign": response((b"content-length: +17",), BODY),
    "a length cut by a space": response((b"content-length: 1 7",), BODY),
    "a name of a length alone": response((b"content-length",), BODY),
    "a length after a space": response((b"content-length : 17",), BODY),
    "a length and chunks": response((*LENGTH, CODED + b"chunked"), CHUNKS),
    "chunks and a length": response((CODED + b"chunked", *LENGTH), CHUNKS),
    "a length and identity": response((*LENGTH, CODED + b"identity"), BODY),
    "an empty coding": response((CODED,), CHUNKS),
    "chunks, and a tab after the name": response((CODED + b"chunked\t",), CHUNKS),
    "a coding's name cut short": response((CODED + b"chunke",), CHUNKS),
    "a coding nobody asked for": response((CODED + b"gzip",), BODY),
    "chunks of a coding nobody asked for": response((CODED + b"gzip, chunked",), CHUNKS),
    "chunks before identity": response((CODED + b"chunked", CODED + b"identity"), CHUNKS),
    "chunks with a parameter": response((CODED + b"chunked;q=1",), CHUNKS),
    "a chunk with a size cut short": response(
        (CODED + b"chunked",), CHUNKS.replace(b"11\r\n", b"1\r\n")
    ),
    "a chunk without a size": response((CODED + b"chunked",), CHUNKS.replace(b"11\r\n", b"\r\n")),
    "lines ended by LF": response(LENGTH, BODY).replace(b"\r\n", b"\n"),
    "lines ended by CR": response(LENGTH, BODY).replace(b"\r\n", b"\r"),
    "a status of two digits": response(LENGTH, BODY, status=b"HTTP/1.1 20 OK"),
    "no status": response(LENGTH, BODY, status=b"HTTP/1.1"),
    "another protocol from now on": response(
        (b"connection: upgrade", b"upgrade: h2c"), BODY, status=b"HTTP/1.1 101 Switching"
    ),
}


def pieces(data, size):
    return [data[at : at + size] for at in range(0, len(data), size)]


async def read_upstream(data, size, *, expected_id=ID_HEADER):
    """Return the body that the gateway's connection takes for whole, ``None`` if it is broken."""
    conn = UpstreamConnection()
    conn.connection_made(FakeTransport())
    conn.send(b"GET / HTTP/1.1\r\n\r\n", expected_id=expected_id)
    for piece in pieces(data, size):
        conn.data_received(piece)
    conn.eof_received()
    conn.connection_lost(None)
    try:
        await conn.read_head()
        return await conn.read_body()
    except BrokenResponseError:
        return None


async def read_without_ids(data, size):
    """Return the same of a connection to another end that knows no ids."""
    return await read_upstream(data, size, expected_id=None)


class FakeStream:
    """A stream that gives pieces and then its end."""

    def __init__(self, data, size):
        self._pieces = pieces(data, size)

    async def write(self, data):
        pass

    async def read(self, max_bytes):
        return self._pieces.pop(0) if self._pieces else b""


async def read_call(data, size):
    """Return the body that a connection of the backends takes for whole, ``None`` if broken."""
    conn = HttpConnection(FakeStream(data, size))
    try:
        await conn.send("GET", b"/", [], b"")
        body = b""
        while part := await conn.next_chunk():
            body += part
    except BrokenCallError:
        return None
    return body


async def whole_bodies(framing):
    """Return by connection, piece size and cut the bodies that count as whole."""
    data = RESPONSES[framing]
    found = {}
    for read in (read_upstream, read_without_ids, read_call):
        for size in (1, len(data)):
            bodies = {cut: await read(data[:cut], size) for cut in range(len(data) + 1)}
            taken = {cut: body for cut, body in bodies.items() if body is not None}
            found[read.__name__, size] = taken
    return data, found


def check(context, framing, expected):
    data, found = context.call(whole_bodies, framing)
    for where, taken in found.items():
        assert taken == expected(data), (where, taken)


@then('both connections take a response with "{framing}" for whole only with its last byte')
def step_last_byte(context, framing):
    has_body = not framing.startswith("no")
    check(context, framing, lambda data: {len(data): BODY if has_body else b""})


@then('both connections take a response with "{framing}" for whole from its head on')
def step_from_head(context, framing):
    def bodies(data):
        start = len(data) - len(BODY)
        return {cut: data[start:cut] for cut in range(start, len(data) + 1)}

    check(context, framing, bodies)


@then('both connections take a response with "{framing}" for whole never')
def step_never(context, framing):
    check(context, framing, lambda data: {})
