"""HTTP/1.1 towards one backend server: httpcore's sockets and the parser of uvicorn.

httpcore's own connection was used first. Its parser is written in Python and took over a
third of the relay's processor time (docs/design/relay.md), so the framing is left to
httptools, which uvicorn uses on the other side.
"""

from __future__ import annotations

import contextlib
import re
from typing import TYPE_CHECKING

import httpcore
import httptools

if TYPE_CHECKING:
    from hickorybeam.backends.headers import RawHeaders

__all__ = ("BrokenResponseError", "HttpConnection", "InvalidRequestError")

READ_BYTES = 65_536
MAX_HEAD_BYTES = 100_000
SWITCHING_PROTOCOLS = 101
FIRST_FINAL_STATUS = 200
BODILESS = (204, 304)
TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
VALUE = re.compile(rb"[^\x00-\x08\x0a-\x1f\x7f]*")
TARGET = re.compile(rb"/[\x21-\x7e]*")


class InvalidRequestError(Exception):
    """The request cannot be written as HTTP; nothing was sent."""


class BrokenResponseError(Exception):
    """The answer is not HTTP, or ended before its proper end."""


class HttpConnection:
    """One connection; one request at a time.

    ``reusable`` holds after an answer was read to an end that the other side marked, and only
    if it sent not a byte more: such bytes would be taken for the next answer.
    """

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self.status = 0
        self.headers: RawHeaders = []
        self.reusable = False
        self._stream = stream
        self._parser = httptools.HttpResponseParser(self)
        self._is_head = False
        self._head = False
        self._parts: list[bytes] = []
        self._whole = False
        self._ended = False
        self._keep_alive = False
        self._until_close = False
        self._surplus = False
        self._head_bytes = 0

    async def send(self, method: str, target: bytes, headers: RawHeaders, body: bytes) -> None:
        """Send a request and read the head of its answer.

        :raises InvalidRequestError: nothing was sent.
        :raises BrokenResponseError: the answer's head did not come.
        """
        data = request_bytes(method, target, headers, body)
        self._start(method)
        # A server may answer and close before it has read the whole request; then the answer
        # counts and not the failed write.
        with contextlib.suppress(httpcore.WriteError):
            await self._stream.write(data)
        while not self._head:
            await self._read()

    async def next_chunk(self) -> bytes:
        """Return all body bytes that have arrived, empty at the proper end."""
        while not self._parts and not self._whole:
            await self._read()
        if not self._parts:
            self.reusable = self._keep_alive and not self._until_close and not self._surplus
            return b""
        data = self._parts[0] if len(self._parts) == 1 else b"".join(self._parts)
        self._parts.clear()
        return data

    def has_expired(self) -> bool:
        """Whether the other end has closed, or sent bytes that nobody asked for."""
        return bool(self._stream.get_extra_info("is_readable"))

    async def aclose(self) -> None:
        """Close the connection."""
        self.reusable = False
        await self._stream.aclose()

    def _start(self, method: str) -> None:
        self.reusable = False
        self._parser = httptools.HttpResponseParser(self)
        self._is_head = method == "HEAD"
        self._head = self._whole = self._ended = False
        self._until_close = self._surplus = False
        self._parts.clear()

    async def _read(self) -> None:
        data = await self._stream.read(READ_BYTES)
        if not data:
            if self._head and self._until_close:
                self._whole = True
                return
            raise BrokenResponseError
        if self._ended:
            self._surplus = True
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            raise BrokenResponseError from exc

    def on_message_begin(self) -> None:
        """Start the head of an answer."""
        if self._ended:
            self._surplus = True
        self.headers = []
        self._head_bytes = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header."""
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > MAX_HEAD_BYTES:
            raise BrokenResponseError
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Take the head, unless it is an interim one (1xx), which is not passed on."""
        if self._ended:
            return
        self.status = self._parser.get_status_code()
        if self.status < FIRST_FINAL_STATUS:
            if self.status == SWITCHING_PROTOCOLS:
                raise BrokenResponseError
            return
        self._head = True
        self._keep_alive = self._parser.should_keep_alive()
        if self._is_head or self.status in BODILESS:
            self._ended = self._whole = True
            return
        self._until_close = not framed(self.headers)

    def on_body(self, data: bytes) -> None:
        """Take body bytes."""
        if not self._ended:
            self._parts.append(data)

    def on_message_complete(self) -> None:
        """Take the proper end."""
        if self._head and not self._until_close:
            self._ended = self._whole = True


def framed(headers: RawHeaders) -> bool:
    """Whether an answer marks its own end; otherwise it ends with its connection."""
    names = {name.lower(): value.lower() for name, value in headers}
    if b"transfer-encoding" in names:
        return names[b"transfer-encoding"].endswith(b"chunked")
    return b"content-length" in names


def request_bytes(method: str, target: bytes, headers: RawHeaders, body: bytes) -> bytes:
    """Return a request as it goes over the wire.

    :raises InvalidRequestError: a name, value or the target could be read as something else.
    """
    if not TARGET.fullmatch(target):
        raise InvalidRequestError
    lines = [b"%s %s HTTP/1.1" % (method.encode("ascii"), target)]
    for name, value in headers:
        if not TOKEN.fullmatch(name) or not VALUE.fullmatch(value):
            raise InvalidRequestError
        lines.append(b"%s: %s" % (name, value))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
