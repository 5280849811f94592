"""Parser of callers' requests, with bounds on all bytes that it is fed."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import httptools

from hickorybeam.http1.head import (
    IncomingRequest,
    find_header,
    has_ambiguous_framing,
)
from hickorybeam.http1.message_bounds import MessageBounds
from hickorybeam.http1.values import parse_count

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorybeam.clock import Clock
    from hickorybeam.http1.head import RawHeaders
    from hickorybeam.model.routing import CallerLimits

__all__ = ("HEADER_COST_BYTES", "JUDGED", "ParsedRequest", "RequestParser")

# Callers with this version take no chunks.
OLD_HTTP_VERSION = "1.0"
# The method, the version, and the spaces around them and around values.
MAX_UNCOUNTED_HEAD_BYTES = 1_024
BAD_REQUEST, BODY_TOO_LARGE, HEADERS_TOO_LARGE = 400, 413, 431
# In place of an error status: whoever judged the head has its own answer.
JUDGED = -1
# The objects that a header's name and value are kept in, beside their bytes.
HEADER_COST_BYTES = 200
# A buffer that grows takes up to an eighth more than it holds.
GROWTH_SHARE = 8
# A body of this size is only read for a request whose head may be admitted.
LARGE_BODY_BYTES = 65_536
# What a head must hold for a parser to read the body behind it.
FRAMING_NAMES = frozenset({b"content-length", b"transfer-encoding"})
UPGRADE = b"upgrade"


@dataclass(frozen=True, slots=True)
class ParsedRequest:
    """A complete request, and what its connection is to do after the response.

    ``cost_bytes`` is the memory that it takes.
    """

    req: IncomingRequest
    closes: bool
    takes_chunks: bool
    cost_bytes: int


class RequestParser:
    """Parses one request after the other.

    ``refused`` is the error status for a request that broke a rule, 0 while none did; nothing is
    parsed after it. ``in_request``: part of a request has come.

    :param on_request: called with each complete request.
    :param on_expect: called when a caller waits to be told to send its body.
    :param on_large: called with the head of a request whose body is large, before it is read, or
        when as much of it has come; returns whether to read on, ``None`` to be asked again later.
        Otherwise ``refused`` is ``JUDGED``.
    """

    def __init__(
        self,
        clock: Clock,
        limits: Callable[[], CallerLimits],
        *,
        on_request: Callable[[ParsedRequest], None],
        on_expect: Callable[[], None],
        on_large: Callable[[IncomingRequest], bool | None] = lambda head: True,
    ) -> None:
        self._clock = clock
        self._limits = limits
        self._on_request = on_request
        self._on_expect = on_expect
        self._on_large = on_large
        self._parser = httptools.HttpRequestParser(self)
        self.refused = 0
        self.in_request = False
        self._reset_request()

    def _reset_request(self) -> None:
        self._method = ""
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        # One piece as it came, and a buffer from the second on. A list of pieces would cost many
        # times their bytes where each is a chunk of some bytes.
        self._body: bytes | bytearray = b""
        self._is_judged = False
        self._head_bytes = 0
        self._arrived_ms = 0
        self._reads_again = False
        self._bounds = MessageBounds()

    @property
    def cost_bytes(self) -> int:
        """The memory that the request takes that is being read."""
        head = self._head_bytes + HEADER_COST_BYTES * len(self._headers)
        return head + len(self._body) + len(self._body) // GROWTH_SHARE

    def drop(self) -> None:
        """Drop what has come of the request that is being read; nothing may be fed any more."""
        self._reset_request()
        self.refused = self.refused or JUDGED

    def feed(self, data: bytes) -> None:
        """Parse bytes.

        :raises httptools.HttpParserError: they are no request.
        """
        self.in_request = True
        self._bounds.fed_bytes += len(data)
        while True:
            try:
                self._parser.feed_data(data)
                break
            except httptools.HttpParserUpgrade as exc:
                data = self._begin_without_upgrade() + data[exc.args[0] :]
        if self.in_request and not self.refused:
            self._check_bounds()

    def header(self, name: bytes) -> bytes:
        """Return a header of the request that is being read, empty if it has not come."""
        return find_header(tuple(self._headers), name) or b""

    def _begin_without_upgrade(self) -> bytes:
        """Begin to read the body of a request that offers another protocol, which isn't taken up.

        The parser takes such a request to end with its head. Its body would be missing, and be
        read as the next request. So a new parser is given a head that holds the framing alone.

        :return: that head.
        """
        tokens = connection_tokens(self._headers) - {UPGRADE}
        kept = [pair for pair in self._headers if pair[0] in FRAMING_NAMES]
        if tokens:
            kept.append((b"connection", b", ".join(sorted(tokens))))
        version = self._parser.get_http_version().encode("ascii")
        lines = [b"POST / HTTP/" + version, *(b"%s: %s" % pair for pair in kept)]
        self._reads_again = True
        self._parser = httptools.HttpRequestParser(self)
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def _check_bounds(self) -> None:
        """Refuse a request whose bytes go on beside its head and its body."""
        bounds = self._bounds
        most = self._limits().header_bytes + MAX_UNCOUNTED_HEAD_BYTES
        if bounds.head_bytes is None and bounds.other_bytes > most:
            self.refused = HEADERS_TOO_LARGE
        elif bounds.has_excess_framing():
            self.refused = BAD_REQUEST

    def on_url(self, url: bytes) -> None:
        """Append to the request target."""
        if not self._reads_again:
            self._target += url
            self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append one header."""
        if not self._reads_again:
            self._headers.append((name.lower(), value))
            self._count_head(len(name) + len(value) + 4)

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._limits().header_bytes:
            self.refused = self.refused or HEADERS_TOO_LARGE

    def on_headers_complete(self) -> None:
        """Check the head before any part of the body is stored."""
        if self._reads_again:
            return
        self._bounds.end_head()
        self._arrived_ms = self._clock.now()
        self._method = self._parser.get_method().decode("ascii")
        headers = tuple(self._headers)
        if has_ambiguous_framing(headers):
            self.refused = self.refused or BAD_REQUEST
        if self.refused:
            return
        length = find_header(headers, b"content-length")
        if length is not None:
            self._check_length(parse_count(length))
        if not self.refused and find_header(headers, b"expect") == b"100-continue":
            self._judge()
            if not self.refused:
                self._on_expect()

    def _check_length(self, length: int | None) -> None:
        """Refuse a body by its announced length, or judge its head, before any of it is read.

        :param length: ``None`` for a number of more digits than any length has.
        """
        if length is None or length > self._limits().body_bytes:
            self.refused = BODY_TOO_LARGE
        elif length > LARGE_BODY_BYTES:
            self._judge()

    def _judge(self) -> None:
        """Ask whether the body is to be read, until that is decided."""
        if self._is_judged or self.refused:
            return
        reads_on = self._on_large(self._request(b""))
        self._is_judged = reads_on is not None
        if reads_on is False:
            self.refused = JUDGED

    def _request(self, body: bytes) -> IncomingRequest:
        return IncomingRequest(
            method=self._method,
            target=self._target,
            headers=tuple(self._headers),
            body=body,
            arrived_ms=self._arrived_ms,
        )

    def on_body(self, data: bytes) -> None:
        """Append to the body."""
        size = self._bounds.body_bytes = self._bounds.body_bytes + len(data)
        if size > LARGE_BODY_BYTES:
            if size > self._limits().body_bytes:
                self.refused = self.refused or BODY_TOO_LARGE
            self._judge()
        if self.refused:
            return
        if not self._body:
            self._body = data
        elif isinstance(self._body, bytearray):
            self._body += data
        else:
            self._body = bytearray(self._body) + data

    def on_message_complete(self) -> None:
        """Pass the request on, unless its body is still to be read."""
        if self.refused or (self._parser.should_upgrade() and not self._reads_again):
            return
        req = self._request(bytes(self._body))
        cost_bytes = self.cost_bytes
        closes = not self._parser.should_keep_alive()
        takes_chunks = self._parser.get_http_version() != OLD_HTTP_VERSION
        self.in_request = False
        self._reset_request()
        self._on_request(ParsedRequest(req, closes, takes_chunks, cost_bytes))


def connection_tokens(headers: list[tuple[bytes, bytes]] | RawHeaders) -> set[bytes]:
    """Return what the headers say of the connection, in lower case."""
    values = [value for name, value in headers if name == b"connection"]
    return {token.strip().lower() for value in values for token in value.split(b",")} - {b""}
