"""A caller of the gateway: a few HTTP calls with a key."""

from __future__ import annotations

import json
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import httpcore

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterable

__all__ = ("NO_ANSWER", "Caller", "Reply", "sse_events")

TIMEOUT_S = 30.0
# What a call raises when the other end is not there, falls silent or breaks off.
NO_ANSWER = (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError)
DATA = b"data: "
# How much of a broken answer its error shows.
SHOWN_BYTES = 300


@dataclass(frozen=True, slots=True)
class Reply:
    """A whole answer and when its first byte and its end came, in ms after the request."""

    status: int
    headers: dict[str, str]
    body: bytes
    first_ms: float
    end_ms: float

    def json(self) -> Any:
        """Return the body as JSON."""
        return json.loads(self.body or b"null")

    @property
    def code(self) -> str:
        """The code of a refusal, empty for an answer."""
        return "" if self.status < 400 else str(self.json()["error"]["code"])

    @property
    def text(self) -> str:
        """The text of a chat answer, streamed or not."""
        if "text/event-stream" not in self.headers.get("content-type", ""):
            return str(self.json()["choices"][0]["message"]["content"])
        deltas = (event["choices"] for event in sse_events(self.body) if isinstance(event, dict))
        return "".join(c[0]["delta"].get("content") or "" for c in deltas if c)


@dataclass(slots=True)
class Caller:
    """Calls entry VMs with one key."""

    key: str
    pool: httpcore.AsyncConnectionPool = field(
        default_factory=lambda: httpcore.AsyncConnectionPool(max_connections=1000)
    )

    async def call(
        self,
        method: str,
        url: str,
        body: object = None,
        *,
        headers: Iterable[tuple[str, str]] = (),
    ) -> Reply:
        """Send one request and read the whole answer."""
        sent = [("Authorization", f"Bearer {self.key}"), *headers]
        content = None
        if body is not None:
            content = json.dumps(body).encode()
            sent.append(("Content-Type", "application/json"))
        timeout = dict.fromkeys(("connect", "read", "write", "pool"), TIMEOUT_S)
        begun = time.perf_counter()
        async with self.pool.stream(
            method, url, headers=sent, content=content, extensions={"timeout": timeout}
        ) as resp:
            first = 0.0
            parts: list[bytes] = []
            async for part in _parts(resp):
                first = first or (time.perf_counter() - begun) * 1000
                parts.append(part)
        end = (time.perf_counter() - begun) * 1000
        found = {name.decode().lower(): value.decode() for name, value in resp.headers}
        return Reply(resp.status, found, b"".join(parts), first or end, end)

    async def chat(
        self, url: str, model: str, prompt: str, *, max_tokens: int = 16, stream: bool = True
    ) -> Reply:
        """Ask a model one question."""
        body = {
            "model": model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": max_tokens,
            "stream": stream,
        }
        return await self.call("POST", f"{url}/v1/chat/completions", body)


async def _parts(resp: httpcore.Response) -> AsyncIterator[bytes]:
    """Yield a response's body; the error of one that broke off tells what came last.

    That is the gateway's error event, if the stream got one.
    """
    size, last = 0, b""
    try:
        async for part in resp.aiter_stream():
            size, last = size + len(part), part[-SHOWN_BYTES:]
            yield part
    except httpcore.ProtocolError as exc:
        exc.add_note(f"broke off after {size} bytes that end with {last!r}")
        raise


def sse_events(body: bytes) -> list[Any]:
    """Return the events of a stream; the closing ``[DONE]`` stays a string."""
    lines = (line for line in body.split(b"\n") if line.startswith(DATA))
    return [
        "[DONE]" if line[len(DATA) :].strip() == b"[DONE]" else json.loads(line[len(DATA) :])
        for line in lines
    ]
