"""What a load run sends and when, drawn from a seed before anything is sent.

An open loop does not wait for answers: a slow gateway faces the same arrivals as a fast one,
so its queueing shows in the figures instead of thinning the load.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

__all__ = ("Arrival", "Plan", "Stream", "arrivals")

MS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True, kw_only=True)
class Stream:
    """Requests of one account towards some entry VMs.

    ``per_s`` is the mean arrival rate (Poisson). A share ``long_share`` asks for
    ``long_tokens`` of output, the rest for ``short_tokens``.
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
    """Return every request of a plan in order of time."""
    found: list[Arrival] = []
    for stream in plan.streams:
        # One generator per account: changing one account's rate leaves the others' arrivals.
        rng = random.Random(f"{plan.seed}/{stream.account}")
        at_ms = 0.0
        while True:
            at_ms += rng.expovariate(stream.per_s) * MS_PER_SECOND
            if at_ms >= plan.duration_ms:
                break
            found.append(_arrival(stream, at_ms, rng))
    return tuple(sorted(found, key=lambda item: (item.at_ms, item.account)))


def _arrival(stream: Stream, at_ms: float, rng: random.Random) -> Arrival:
    long = rng.random() < stream.long_share
    prefix = rng.randrange(stream.prefixes)
    start = [f"course-{stream.account}-{prefix}"] * (stream.prompt_words // 2)
    rest = [f"w{rng.randrange(10_000)}" for _ in range(stream.prompt_words - len(start))]
    return Arrival(
        at_ms=at_ms,
        account=stream.account,
        key=stream.key,
        url=rng.choice(stream.urls),
        prompt=" ".join([*start, *rest]),
        max_tokens=stream.long_tokens if long else stream.short_tokens,
        long=long,
    )
