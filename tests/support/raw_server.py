"""A server that sends given bytes in answer to each request, and nothing else."""

from __future__ import annotations

import socket
import struct

import anyio
from anyio.abc import SocketAttribute

LIMIT_S = 5
RESET = struct.pack("ii", 1, 0)
RESET_AFTER_S = 0.05
EVENT_STREAM = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"


def framed_stream(events, framing):
    """Return a stream's response as it goes over the wire."""
    match framing:
        case "close":
            return EVENT_STREAM + b"\r\n" + events
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

    async def respond(stream):
        async with stream:
            await stream.receive()
            with anyio.move_on_after(LIMIT_S):
                await stream.send(data)
                if stays_open:
                    await anyio.sleep(LIMIT_S)
                if resets:
                    await anyio.sleep(RESET_AFTER_S)
                    sock = stream.extra(SocketAttribute.raw_socket)
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    tg.start_soon(listener.serve, respond)
    return listener.extra(SocketAttribute.local_port)
