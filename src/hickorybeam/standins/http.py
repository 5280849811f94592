"""Small helpers that the HTTP stand-ins share: bodies, JSON answers and fault switches."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Any, Generic, TypeVar
from urllib.parse import parse_qsl

import anyio
import msgspec

from hickorybeam.httpserve import CONNECTION_KEY

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, MutableMapping
    from contextlib import AbstractAsyncContextManager

    from hickorybeam.httpserve import Listener

    Scope = MutableMapping[str, Any]
    Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
    Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]

__all__ = ("CutOffError", "Exchange", "Fault", "FaultKind", "Faults", "Served", "run_process")

A = TypeVar("A")


@dataclass(frozen=True, slots=True)
class Served(Generic[A]):
    """A served stand-in: its app, to be read by tests, and where it listens."""

    app: A
    listener: Listener

    @property
    def port(self) -> int:
        """The port it listens on."""
        return self.listener.port


def run_process(serving: AbstractAsyncContextManager[Served[Any]]) -> None:
    """Serve a stand-in as a process until interrupted; says first where it listens."""

    async def run() -> None:
        async with serving as server:
            print(f"listening on {server.listener.host}:{server.port}", flush=True)
            await anyio.sleep_forever()

    with contextlib.suppress(KeyboardInterrupt):
        anyio.run(run)


class CutOffError(Exception):
    """The other end closed its connection before the request was whole."""


ID_HEADER = "x-request-id"


class FaultKind(Enum):
    """What a stand-in can be told to do wrong.

    ``NO_END`` ends a stream properly without its end mark, ``PART`` in the middle of an event.
    """

    NONE = "none"
    SLOW = "slow"
    FAIL = "fail"
    SILENT = "silent"
    CUT = "cut"
    REFUSE = "refuse"
    LATE = "late"
    ACCEPT_SILENT = "accept_silent"
    CROSSED = "crossed"
    DUPLICATE = "duplicate"
    SHORT = "short"
    NO_END = "no_end"
    PART = "part"
    GARBLED = "garbled"


@dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """One fault switch.

    ``after`` counts tokens or bytes before it strikes, ``ms`` is how late, ``factor`` how
    slow, ``status`` what a failure answers, and ``count`` how many answers it strikes.
    """

    kind: FaultKind = FaultKind.NONE
    after: int = 0
    ms: int = 0
    factor: float = 1.0
    status: int = 500
    count: int = 1_000_000_000


class Faults:
    """The switch of one stand-in; taking it counts down."""

    def __init__(self) -> None:
        self._fault = Fault()
        self._left = 0

    @property
    def current(self) -> Fault:
        """The switch as it stands, not counted down."""
        return self._fault if self._left > 0 else Fault()

    def set(self, fault: Fault) -> None:
        """Turn the switch."""
        self._fault = fault
        self._left = fault.count

    def take(self) -> Fault:
        """Return the fault for one answer."""
        if self._left <= 0:
            return Fault()
        self._left -= 1
        return self._fault


class Exchange:
    """One request and its answer, over the ASGI calls."""

    def __init__(self, scope: Scope, receive: Receive, send: Send) -> None:
        self.method: str = scope["method"]
        self.path: str = scope["path"]
        self.query = dict(parse_qsl(scope["query_string"].decode()))
        self.headers = {name.decode(): value.decode("latin-1") for name, value in scope["headers"]}
        self._conn = scope["extensions"][CONNECTION_KEY]
        self._receive = receive
        self._send = send

    async def body(self) -> bytes:
        """Read the whole body."""
        parts = []
        while True:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                raise CutOffError
            parts.append(message.get("body", b""))
            if not message.get("more_body"):
                return b"".join(parts)

    async def gone(self) -> None:
        """Wait until the other end has closed its connection."""
        while (await self._receive())["type"] != "http.disconnect":
            pass

    def cut(self) -> None:
        """Drop the connection in mid-answer."""
        self._conn.abort()

    async def start(self, status: int, headers: dict[str, str]) -> None:
        """Send status and headers, with the request's id unless they have one."""
        if request_id := self.headers.get(ID_HEADER, ""):
            headers = {ID_HEADER: request_id} | headers
        raw = [(name.encode(), value.encode("latin-1")) for name, value in headers.items()]
        await self._send({"type": "http.response.start", "status": status, "headers": raw})

    async def write(self, data: bytes, *, more: bool = True) -> None:
        """Send a part of the body."""
        await self._send({"type": "http.response.body", "body": data, "more_body": more})

    async def json(
        self, status: int, value: object, *, headers: dict[str, str] | None = None
    ) -> None:
        """Send a whole JSON answer."""
        data = msgspec.json.encode(value)
        head = {"content-type": "application/json", "content-length": str(len(data))}
        await self.start(status, head | (headers or {}))
        await self.write(data, more=False)
