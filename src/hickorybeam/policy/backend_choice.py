"""Which backend server runs a job.

Load patterns and what happens without each rule:

- Many VMs with late reports. All of them send to the server that the last report showed
  idle, and it is the fullest one when the next report comes (herding). Here the load is this
  VM's own requests, exact and at once, plus the report's remainder, which fades towards its
  long-run mean as the report ages; and of two servers drawn at random the less loaded one
  wins, so that VMs with the same stale view still spread out.
- Shared prompt prefixes. Spread by load alone, every server computes and keeps every prefix
  and its limited cache holds none long enough. A rendezvous hash sends a prefix to the same
  server from every VM with no talk, and when a server goes only its own prefixes move.
- A hot prefix. Affinity alone puts a whole class's prompt at one server. The bound on load
  (consistent hashing with bounded loads) passes what is above the mean on to the next server
  in the prefix's own order, which then caches it too.
"""

from __future__ import annotations

import hashlib
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

__all__ = ("Candidate", "OthersLoad", "choose")

# A server may be this much above the mean load before a prefix goes on to the next one. 1.25
# is the usual figure of the bounded-load paper (Mirrokni and others, 2016): the expected
# number of tries is then small whatever the mix of prefixes.
LOAD_BOUND = 1.25
# Below this a cached prefix saves less than a scheduling step of the engine.
SHORTEST_AFFINE_PROMPT = 128
# Over this age a report says no more of the present than the mean does: other VMs' requests
# run for 1-3 s.
REPORT_MEMORY_MS = 2_000.0
MEAN_SHARE = 0.1


@dataclass(frozen=True, slots=True)
class Candidate:
    """A backend server as the choice sees it.

    :param speed: rated tokens a second, lowered while the server returns from an ejection.
    :param tokens: tokens in flight there, of this VM and, by estimate, of others.
    :param free: whether it has a slot for the job.
    """

    name: str
    speed: float
    tokens: float
    free: bool

    @property
    def load(self) -> float:
        """Seconds of work at the server."""
        return self.tokens / self.speed


@dataclass(slots=True)
class OthersLoad:
    """What other VMs have at a server, judged from its lagging reports."""

    requests: float = 0.0
    tokens: float = 0.0
    mean_requests: float = 0.0
    mean_tokens: float = 0.0
    as_of: int | None = None

    def heard(self, requests: float, tokens: float, as_of: int) -> None:
        """Take a report's figures less this VM's own at that time."""
        self.requests = max(0.0, requests)
        self.tokens = max(0.0, tokens)
        if self.as_of is None:
            self.mean_requests, self.mean_tokens = self.requests, self.tokens
        self.mean_requests += MEAN_SHARE * (self.requests - self.mean_requests)
        self.mean_tokens += MEAN_SHARE * (self.tokens - self.mean_tokens)
        self.as_of = as_of

    def at(self, now: int) -> tuple[float, float]:
        """Return requests and tokens of others, faded towards the mean by age."""
        if self.as_of is None:
            return 0.0, 0.0
        trust = math.exp(-max(0, now - self.as_of) / REPORT_MEMORY_MS)
        return (
            self.mean_requests + trust * (self.requests - self.mean_requests),
            self.mean_tokens + trust * (self.tokens - self.mean_tokens),
        )


def choose(
    candidates: Sequence[Candidate],
    *,
    cost: float,
    prefix: str,
    prompt_tokens: int,
    rng: random.Random,
) -> str | None:
    """Return the server that a job should run on, ``None`` when none is free."""
    free = [candidate for candidate in candidates if candidate.free]
    if not free:
        return None
    if prefix and prompt_tokens >= SHORTEST_AFFINE_PROMPT:
        return _by_prefix(candidates, cost=cost, prefix=prefix) or _of_two(free, cost, rng)
    return _of_two(free, cost, rng)


def _by_prefix(candidates: Sequence[Candidate], *, cost: float, prefix: str) -> str | None:
    speed = sum(candidate.speed for candidate in candidates)
    mean = (sum(candidate.tokens for candidate in candidates) + cost) / speed
    ranked = sorted(candidates, key=lambda candidate: _rank(prefix, candidate.name))
    for candidate in ranked:
        within = candidate.tokens <= LOAD_BOUND * mean * candidate.speed
        if candidate.free and within:
            return candidate.name
    return None


def _rank(prefix: str, server: str) -> bytes:
    return hashlib.blake2b(f"{prefix}\0{server}".encode(), digest_size=8).digest()


def _of_two(free: Sequence[Candidate], cost: float, rng: random.Random) -> str:
    if len(free) == 1:
        return free[0].name
    first, second = rng.sample(range(len(free)), 2)
    pair = (free[first], free[second])
    return min(pair, key=lambda candidate: (candidate.tokens + cost) / candidate.speed).name
