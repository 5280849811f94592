"""The stream that a stand-in server sends: with chunks, or without any framing."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hickorybeam.http1 import RawHeaders, ResponseWriter

__all__ = ("StreamReply", "header_lines")

EVENT_STREAM = (b"content-type", b"text/event-stream")


class StreamReply:
    """Writes a stream's events.

    :param unframed: the stream has no length and no chunks, and ends with its connection.
    """

    def __init__(self, reply: ResponseWriter, headers: RawHeaders, *, unframed: bool) -> None:
        self._reply = reply
        self._headers = (*headers, EVENT_STREAM)
        self._unframed = unframed

    def start(self) -> None:
        """Send the head."""
        if self._unframed:
            self._reply.send_raw(b"HTTP/1.1 200 OK\r\n" + header_lines(self._headers) + b"\r\n")
        else:
            self._reply.start(200, self._headers)

    async def send(self, data: bytes) -> None:
        """Send bytes of events."""
        if self._unframed:
            self._reply.send_raw(data)
        else:
            await self._reply.send_chunk(data)

    def end(self) -> None:
        """End the stream properly."""
        if self._unframed:
            self._reply.end_by_close()
        else:
            self._reply.end()


def header_lines(headers: RawHeaders) -> bytes:
    """Return headers as they go over the wire."""
    return b"".join(b"%s: %s\r\n" % pair for pair in headers)
