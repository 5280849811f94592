"""Send the arrivals of a plan and time what comes back."""

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

__all__ = ("Outcome", "drive")

TIMEOUT_S = 60.0
MAX_CONNECTIONS = 4_000
UNREACHABLE = "unreachable"
CUT_OFF = "cut_off"
OK = 200
DONE = b"data: [DONE]"
REGION_HEADER = b"x-hickorybeam-region"


@dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """What the caller of one arrival received; times in ms from sending."""

    account: str
    long: bool
    code: str = ""
    region: str = ""
    first_ms: float = 0.0
    end_ms: float = 0.0
    between_ms: float = 0.0
    tokens: int = 0
    ran: str = "yes"


async def drive(model: str, planned: Sequence[Arrival]) -> list[Outcome]:
    """Send every arrival at its time and return all outcomes, in order of completion."""
    outcomes: list[Outcome] = []
    limit = MAX_CONNECTIONS
    async with httpcore.AsyncConnectionPool(max_connections=limit) as pool:
        begun = time.perf_counter()

        async def one(arrival: Arrival) -> None:
            outcomes.append(await _send(pool, model, arrival))

        async with anyio.create_task_group() as tg:
            for arrival in planned:
                left = begun + arrival.at_ms / 1000 - time.perf_counter()
                if left > 0:
                    await anyio.sleep(left)
                tg.start_soon(one, arrival)
    return outcomes


async def _send(pool: httpcore.AsyncConnectionPool, model: str, arrival: Arrival) -> Outcome:
    body = {
        "model": model,
        "messages": [{"role": "user", "content": arrival.prompt}],
        "max_tokens": arrival.max_tokens,
        "stream": True,
    }
    begun = time.perf_counter()
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
        ) as resp:
            if resp.status != OK:
                return _refused(arrival, await resp.aread(), begun)
            return await _streamed(arrival, resp, begun)
    except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError):
        return Outcome(
            account=arrival.account, long=arrival.long, code=UNREACHABLE, end_ms=_since(begun)
        )


async def _streamed(arrival: Arrival, resp: httpcore.Response, begun: float) -> Outcome:
    first, last, tokens, done = 0.0, 0.0, 0, False
    async for part in resp.aiter_stream():
        here = part.count(b"data: ")
        done = done or DONE in part
        if b'"content"' in part and not first:
            first = _since(begun)
        tokens += here
        last = _since(begun)
    region = dict(resp.headers).get(REGION_HEADER, b"").decode()
    return Outcome(
        account=arrival.account,
        long=arrival.long,
        code="" if done else CUT_OFF,
        region=region,
        first_ms=first or last,
        end_ms=last,
        between_ms=(last - first) / max(1, tokens - 2),
        tokens=max(0, tokens - 1),
    )


def _refused(arrival: Arrival, body: bytes, begun: float) -> Outcome:
    error = json.loads(body)["error"]
    return Outcome(
        account=arrival.account,
        long=arrival.long,
        code=error["code"],
        ran=error["ran"],
        end_ms=_since(begun),
    )


def _since(begun: float) -> float:
    return (time.perf_counter() - begun) * 1000
