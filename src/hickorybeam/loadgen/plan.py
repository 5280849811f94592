"""Requests of a load run and their times, drawn from a seed before anything is sent.

The loop is open: it does not wait for responses. A slow gateway gets the same arrivals as a fast
one, so its queueing shows in the latencies instead of reducing the load.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

__all__ = ("Arrival", "Plan", "Stream", "arrivals")

MS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True, kw_only=True)
class Stream:
    """Requests of one account to a set of entry VMs.

    ``per_s`` is the mean rate of the Poisson arrivals. The share ``long_share`` of the requests
    asks for ``long_tokens`` output tokens, the others for ``short_tokens``.
    """

    account: str
    key: str
    urls: tuple[str, ...]
    per_s: float
    prompt_words: int = 40
    short_tokens: int = 32
    long_tokens: int = 400
    long_share: float = 0.1
    prefixes: int = 8


@dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """A load run; the same plan gives the same arrivals."""

    model: str
    streams: tuple[Stream, ...]
    duration_ms: int = 10_000
    seed: int = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class Arrival:
    """One request to send."""

    at_ms: float
    account: str
    key: str
    url: str
    prompt: str
    max_tokens: int
    long: bool


def arrivals(plan: Plan) -> tuple[Arrival, ...]:
    """Return every request of a plan, in order of time."""
    planned: list[Arrival] = []
    for stream in plan.streams:
        # One generator per account: the rate of one account does not change the others' arrivals.
        rng = random.Random(f"{plan.seed}/{stream.account}")
        at_ms = 0.0
        while True:
            at_ms += rng.expovariate(stream.per_s) * MS_PER_SECOND
            if at_ms >= plan.duration_ms:
                break
            planned.append(_arrival(stream, at_ms, rng))
    return tuple(sorted(planned, key=lambda item: (item.at_ms, item.account)))


def _arrival(stream: Stream, at_ms: float, rng: random.Random) -> Arrival:
    long = rng.random() < stream.long_share
    prefix = rng.randrange(stream.prefixes)
    prompt_start = [f"course-{stream.account}-{prefix}"] * (stream.prompt_words // 2)
    prompt_rest = [
        f"w{rng.randrange(10_000)}" for _ in range(stream.prompt_words - len(prompt_start))
    ]
    return Arrival(
        at_ms=at_ms,
        account=stream.account,
        key=stream.key,
        url=rng.choice(stream.urls),
        prompt=" ".join([*prompt_start, *prompt_rest]),
        max_tokens=stream.long_tokens if long else stream.short_tokens,
        long=long,
    )
