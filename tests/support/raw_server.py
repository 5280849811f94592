"""A server that sends given bytes in answer to each request, and nothing else."""

from __future__ import annotations

import asyncio
import re
import socket
import struct

LIMIT_S = 5
READ_BYTES = 65_536
RESET_AFTER_S = 0.05
FINAL_LINE = re.compile(rb"HTTP/1\.[01] [2-5][^\r]*\r\n")
ID_LINE = re.compile(rb"\r\n(x-request-id: [^\r]*\r\n)", re.IGNORECASE)
EVENT_STREAM = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"


def framed_stream(events, framing):
    """Return a stream's response as it goes over the wire."""
    match framing:
        case "close":
            return EVENT_STREAM + b"\r\n" + events
        case "compressed":
            return EVENT_STREAM + b"content-encoding: gzip\r\n\r\n" + events
        case "length":
            return EVENT_STREAM + b"content-length: %d\r\n\r\n" % len(events) + events
        case "chunked":
            chunk = b"%x\r\n%s\r\n0\r\n\r\n" % (len(events), events)
            return EVENT_STREAM + b"transfer-encoding: chunked\r\n\r\n" + chunk
    raise ValueError(framing)


async def serve_bytes(tg, data, *, stays_open=False, resets=False):
    """Listen until the task group ends, and return the port.

    :param stays_open: wait for the other end to close.
    :param resets: reset the connection after the bytes.
    """

    async def respond(reader, writer):
        try:
            request = await reader.read(READ_BYTES)
            writer.write(with_id(data, request))
            await writer.drain()
            if stays_open:
                await asyncio.sleep(LIMIT_S)
            if resets:
                await asyncio.sleep(RESET_AFTER_S)
                reset(writer)
        finally:
            writer.close()

    return await listen(tg, respond)


def with_id(data, request):
    """Return an answer's bytes with the id of its request, as servers echo it."""
    found = ID_LINE.search(request)
    if found is None or b"x-request-id" in data:
        return data
    return FINAL_LINE.sub(lambda line: line[0] + found[1], data, count=1)


async def listen(tg, respond):
    """Handle connections by reader and writer until the task group ends; return the port."""
    server = await asyncio.start_server(respond, "127.0.0.1", 0)

    async def serve():
        async with server:
            await server.serve_forever()

    tg.start_soon(serve)
    return server.sockets[0].getsockname()[1]


def reset(writer):
    """Reset a connection without an orderly close before, as anyio's streams would do."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
