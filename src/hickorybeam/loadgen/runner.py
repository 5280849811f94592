"""Send the arrivals of a plan and measure the responses."""

from __future__ import annotations

import json
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio
import httpcore

if TYPE_CHECKING:
    from collections.abc import Sequence

    from hickorybeam.loadgen.plan import Arrival

__all__ = ("Outcome", "send_arrivals")

TIMEOUT_S = 60.0
MAX_CONNECTIONS = 4_000
UNREACHABLE = "unreachable"
CUT_OFF = "cut_off"
OK = 200
DATA = b"data: "
END_MARK = b"[DONE]"
LINE_ENDS = (b"\n", b"\r")
REGION_HEADER = b"x-hickorybeam-region"


@dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """The response to one arrival; times in ms since the request was sent.

    ``code`` is empty for a complete response, ``between_ms`` the mean time between tokens.
    """

    account: str
    long: bool
    code: str = ""
    region: str = ""
    first_ms: float = 0.0
    end_ms: float = 0.0
    between_ms: float = 0.0
    tokens: int = 0
    ran: str = "yes"


class StreamTally:
    """Counts a stream's events line by line, wherever its reads end."""

    def __init__(self) -> None:
        self.tokens = 0
        self.content_begun = False
        self.ended = False
        self._rest = b""

    def feed(self, data: bytes) -> None:
        """Add bytes of the stream."""
        lines = (self._rest + data).splitlines(keepends=True)
        self._rest = b"" if not lines or lines[-1].endswith(LINE_ENDS) else lines.pop()
        for line in lines:
            if line.startswith(DATA):
                self._add_event(line[len(DATA) :].strip())

    def _add_event(self, content: bytes) -> None:
        if content == END_MARK:
            self.ended = True
            return
        self.tokens += 1
        self.content_begun = self.content_begun or b'"content"' in content


async def send_arrivals(model: str, arrivals: Sequence[Arrival]) -> list[Outcome]:
    """Send every arrival at its time and return the outcomes in order of completion."""
    outcomes: list[Outcome] = []
    limit = MAX_CONNECTIONS
    async with httpcore.AsyncConnectionPool(max_connections=limit) as pool:
        started_s = time.perf_counter()

        async def send_one(arrival: Arrival) -> None:
            outcomes.append(await _send(pool, model, arrival))

        async with anyio.create_task_group() as tg:
            for arrival in arrivals:
                remaining_s = started_s + arrival.at_ms / 1000 - time.perf_counter()
                if remaining_s > 0:
                    await anyio.sleep(remaining_s)
                tg.start_soon(send_one, arrival)
    return outcomes


async def _send(pool: httpcore.AsyncConnectionPool, model: str, arrival: Arrival) -> Outcome:
    body = {
        "model": model,
        "messages": [{"role": "user", "content": arrival.prompt}],
        "max_tokens": arrival.max_tokens,
        "stream": True,
    }
    started_s = time.perf_counter()
    try:
        async with pool.stream(
            "POST",
            f"{arrival.url}/v1/chat/completions",
            headers=[
                ("Authorization", f"Bearer {arrival.key}"),
                ("Content-Type", "application/json"),
            ],
            content=json.dumps(body).encode(),
            extensions={"timeout": dict.fromkeys(("connect", "read", "write", "pool"), TIMEOUT_S)},
        ) as response:
            if response.status != OK:
                return _refused_outcome(arrival, await response.aread(), started_s)
            return await _read_stream(arrival, response, started_s)
    except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError):
        return Outcome(
            account=arrival.account,
            long=arrival.long,
            code=UNREACHABLE,
            end_ms=_ms_since(started_s),
        )


async def _read_stream(arrival: Arrival, response: httpcore.Response, started_s: float) -> Outcome:
    first_ms, last_ms, tally = 0.0, 0.0, StreamTally()
    async for chunk in response.aiter_stream():
        tally.feed(chunk)
        last_ms = _ms_since(started_s)
        if tally.content_begun and not first_ms:
            first_ms = last_ms
    region = dict(response.headers).get(REGION_HEADER, b"").decode()
    return Outcome(
        account=arrival.account,
        long=arrival.long,
        code="" if tally.ended else CUT_OFF,
        region=region,
        first_ms=first_ms or last_ms,
        end_ms=last_ms,
        between_ms=(last_ms - first_ms) / max(1, tally.tokens - 1),
        tokens=tally.tokens,
    )


def _refused_outcome(arrival: Arrival, body: bytes, started_s: float) -> Outcome:
    try:
        error = json.loads(body)["error"]
        code, ran = error["code"], error["ran"]
    except (ValueError, KeyError, TypeError):
        code, ran = CUT_OFF, "unknown"
    return Outcome(
        account=arrival.account,
        long=arrival.long,
        code=code,
        ran=ran,
        end_ms=_ms_since(started_s),
    )


def _ms_since(started_s: float) -> float:
    return (time.perf_counter() - started_s) * 1000
