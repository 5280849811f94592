"""One request of a caller: its head, its body within limits, and the ways to answer it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio
import msgspec

from hickorybeam.errors import ErrorKind, GatewayError, error_response
from hickorybeam.front.refusals import refusal_body, refusal_headers
from hickorybeam.httpserve import CONNECTION_KEY

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, MutableMapping

    from hickorybeam.front.memory import MemoryGate
    from hickorybeam.front.protocol import CallerProtocol

    Scope = MutableMapping[str, Any]
    Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
    Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]

__all__ = ("CallerGoneError", "Request")

NO_BODY_STATUSES = (204, 304)


class CallerGoneError(Exception):
    """The caller closed its connection; there is nobody to answer."""


class Request:
    """A request and its answer.

    :param request_id: this VM's own id for it; a caller's would not be unique.
    """

    def __init__(self, scope: Scope, receive: Receive, send: Send, *, request_id: str) -> None:
        self.id = request_id
        self.method: str = scope["method"]
        self.path: str = scope["path"]
        self.raw_path: bytes = scope["raw_path"]
        self.query: bytes = scope["query_string"]
        self.raw_headers: list[tuple[bytes, bytes]] = scope["headers"]
        self.conn: CallerProtocol = scope["extensions"][CONNECTION_KEY]
        self.address: str = scope["client"][0] if scope["client"] else ""
        self.answered = False
        self.held_bytes = 0
        self.closing = False
        self._asked_body = False
        self.counted = False
        self.allow = ""
        self.param: str | None = None
        self._receive = receive
        self._send = send

    def header(self, name: bytes) -> str:
        """Return the first header of this name, empty if there is none."""
        for key, value in self.raw_headers:
            if key == name:
                return value.decode("latin-1")
        return ""

    async def body(self, memory: MemoryGate, *, limit: int) -> bytes:
        """Read the body.

        :raises GatewayError: ``BODY_TOO_LARGE``, ``VM_FULL`` or ``CALLER_TIMEOUT``.
        :raises CallerGoneError: the caller left before the body was whole.
        """
        self._asked_body = True
        declared = self.header(b"content-length")
        if declared and int(declared) > limit:
            raise GatewayError(ErrorKind.BODY_TOO_LARGE, f"the limit is {limit} bytes")
        with anyio.CancelScope() as scope:
            self.conn.on_late_body(scope.cancel)
            try:
                return await self._read(memory, limit)
            finally:
                self.conn.on_late_body(None)
        raise GatewayError(ErrorKind.CALLER_TIMEOUT)

    async def _read(self, memory: MemoryGate, limit: int) -> bytes:
        parts: list[bytes] = []
        size = 0
        while True:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                raise CallerGoneError
            part: bytes = message.get("body", b"")
            memory.reserve(len(part))
            self.held_bytes += len(part)
            parts.append(part)
            size += len(part)
            if size > limit:
                raise GatewayError(ErrorKind.BODY_TOO_LARGE, f"the limit is {limit} bytes")
            if not message.get("more_body"):
                return b"".join(parts)

    async def start(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Send status and headers."""
        if status in NO_BODY_STATUSES:
            # Some servers give a length with 304; the answer has no body all the same.
            headers = [header for header in headers if header[0] != b"content-length"]
        headers.append((b"x-request-id", self.id.encode()))
        if self.closing or (self.header(b"expect") and not self._asked_body):
            # A caller that waits to be told to send its body may send its next request
            # instead, and the parser would take that request for the body.
            headers.append((b"connection", b"close"))
        self.answered = True
        await self._send({"type": "http.response.start", "status": status, "headers": headers})

    async def write(self, data: bytes, *, more: bool = True) -> None:
        """Send a part of the body; waits while the caller does not read."""
        await self._send({"type": "http.response.body", "body": data, "more_body": more})

    async def json(
        self, status: int, value: object, *, headers: tuple[tuple[bytes, bytes], ...] = ()
    ) -> None:
        """Send a whole JSON answer."""
        data = msgspec.json.encode(value)
        await self.whole(status, data, (b"content-type", b"application/json"), *headers)

    async def whole(self, status: int, data: bytes, *headers: tuple[bytes, bytes]) -> None:
        """Send a whole answer."""
        await self.start(status, [*headers, (b"content-length", b"%d" % len(data))])
        await self.write(data, more=False)

    async def refuse(self, exc: GatewayError) -> None:
        """Send a refusal."""
        headers = refusal_headers(exc)
        if self.allow:
            headers.append((b"allow", self.allow.encode()))
        body = refusal_body(exc, param=self.param)
        await self.whole(error_response(exc.kind).status, body, *headers)
