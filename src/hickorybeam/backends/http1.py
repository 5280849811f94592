"""HTTP/1.1 connection to one backend server: httpcore's sockets with the parser of httptools.

httpcore's own parser is written in Python and took over a third of the relay's processor time
(docs/design/relay.md), so the framing is left to httptools, as uvicorn does on the caller's side.
"""

from __future__ import annotations

import contextlib
import re
from typing import TYPE_CHECKING

import httpcore
import httptools

from hickorybeam.http1.head import Framing, framing_of
from hickorybeam.http1.response_owner import is_merged

if TYPE_CHECKING:
    from hickorybeam.backends.headers import RawHeaders

__all__ = ("BrokenResponseError", "HttpConnection", "InvalidRequestError")

READ_BYTES = 65_536
MAX_HEAD_BYTES = 100_000
SWITCHING_PROTOCOLS = 101
FIRST_FINAL_STATUS = 200
BODILESS_STATUSES = (204, 304)
HEADER_NAME = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
HEADER_VALUE = re.compile(rb"[^\x00-\x08\x0a-\x1f\x7f]*")
REQUEST_TARGET = re.compile(rb"/[\x21-\x7e]*")


class InvalidRequestError(Exception):
    """The request cannot be written as HTTP; nothing was sent."""


class BrokenResponseError(Exception):
    """The response is not HTTP, or ended early."""


class HttpConnection:
    """One connection, which carries one request at a time.

    ``reusable`` is true after a response was read to an end that the other side marked, and
    only if no byte followed: such bytes would be taken for the next response.
    """

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self.status = 0
        self.headers: RawHeaders = []
        self.reusable = False
        self._stream = stream
        self._parser = httptools.HttpResponseParser(self)
        self._is_head_request = False
        self._head_received = False
        self._chunks: list[bytes] = []
        self._complete = False
        self._message_ended = False
        self._keep_alive = False
        self._ends_at_close = False
        self._excess_bytes = False
        self._head_bytes = 0
        self._reason = b""
        self._cut_off = False

    async def send(self, method: str, target: bytes, headers: RawHeaders, body: bytes) -> None:
        """Send a request and read the head of its response.

        :raises InvalidRequestError: nothing was sent.
        :raises BrokenResponseError: the head is missing or malformed.
        """
        data = encode_request(method, target, headers, body)
        self._reset(method)
        # A server may respond and close before it has read the whole request; then the response
        # counts and not the failed write.
        with contextlib.suppress(httpcore.WriteError):
            await self._stream.write(data)
        while not self._head_received:
            await self._read()

    async def next_chunk(self) -> bytes:
        """Return all body bytes that have arrived, empty at the end of the body."""
        while not self._chunks and not self._complete:
            await self._read()
        if not self._chunks:
            self.reusable = self._keep_alive and not self._ends_at_close and not self._excess_bytes
            return b""
        data = self._chunks[0] if len(self._chunks) == 1 else b"".join(self._chunks)
        self._chunks.clear()
        return data

    def is_stale(self) -> bool:
        """Whether the other end has closed the connection or sent unexpected bytes."""
        return bool(self._stream.get_extra_info("is_readable"))

    @property
    def ends_at_close(self) -> bool:
        """Whether the response has neither length nor chunks, so that its connection ends it."""
        return self._ends_at_close

    def cut_off(self) -> None:
        """Note that this end shuts the connection down, so that its end ends no response."""
        self._cut_off = True

    async def aclose(self) -> None:
        """Close the connection."""
        self.reusable = False
        await self._stream.aclose()

    def _reset(self, method: str) -> None:
        self.reusable = False
        self._parser = httptools.HttpResponseParser(self)
        self._is_head_request = method == "HEAD"
        self._head_received = self._complete = self._message_ended = False
        self._ends_at_close = self._excess_bytes = False
        self._chunks.clear()

    async def _read(self) -> None:
        data = await self._stream.read(READ_BYTES)
        if not data:
            if self._head_received and self._ends_at_close and not self._cut_off:
                self._complete = True
                return
            raise BrokenResponseError
        if self._message_ended:
            self._excess_bytes = True
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            if not self._message_ended:
                raise BrokenResponseError from exc
            self._excess_bytes = True

    def on_message_begin(self) -> None:
        """Start the head of a response."""
        if self._message_ended:
            # Its headers must not replace those of the response before it.
            self._excess_bytes = True
            return
        self.headers = []
        self._reason = b""
        self._head_bytes = 0

    def on_status(self, reason: bytes) -> None:
        """Append to the reason phrase."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header."""
        if self._message_ended:
            return
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > MAX_HEAD_BYTES:
            raise BrokenResponseError
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Process a head, except an interim one (1xx), which is not passed on."""
        if self._message_ended:
            return
        if is_merged(self._reason, tuple(self.headers)):
            raise BrokenResponseError
        self.status = self._parser.get_status_code()
        if self.status < FIRST_FINAL_STATUS:
            if self.status == SWITCHING_PROTOCOLS:
                raise BrokenResponseError
            return
        self._head_received = True
        self._keep_alive = self._parser.should_keep_alive()
        if self._is_head_request or self.status in BODILESS_STATUSES:
            self._message_ended = self._complete = True
            return
        headers = tuple((name.lower(), value) for name, value in self.headers)
        framing = framing_of(headers)
        if framing is Framing.UNKNOWN:
            raise BrokenResponseError
        self._ends_at_close = framing is Framing.CLOSE

    def on_body(self, data: bytes) -> None:
        """Store body bytes."""
        if not self._message_ended:
            self._chunks.append(data)

    def on_message_complete(self) -> None:
        """Mark a framed response as complete."""
        if self._head_received and not self._ends_at_close:
            self._message_ended = self._complete = True


def encode_request(method: str, target: bytes, headers: RawHeaders, body: bytes) -> bytes:
    """Return the bytes of a request.

    :raises InvalidRequestError: a name, value or the target could be parsed as something else.
    """
    if not REQUEST_TARGET.fullmatch(target):
        raise InvalidRequestError
    lines = [b"%s %s HTTP/1.1" % (method.encode("ascii"), target)]
    for name, value in headers:
        if not HEADER_NAME.fullmatch(name) or not HEADER_VALUE.fullmatch(value):
            raise InvalidRequestError
        lines.append(b"%s: %s" % (name, value))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
