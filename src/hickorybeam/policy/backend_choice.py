"""Choose the backend server that runs a job.

- Many VMs choose by late reports. If all of them sent to the server that the last report showed
  idle, it would be the fullest one when the next report comes (herding). So the load of a server
  is this VM's own requests, exact and at once, plus the rest of the report, which fades towards
  its long-run mean as the report ages. Of two servers drawn at random the less loaded one wins,
  so that VMs with the same stale view still spread out.
- Prompts share prefixes. Spread by load alone, every server would compute and keep every prefix,
  and its limited cache would hold none long enough. A rendezvous hash sends a prefix to the same
  server from every VM without messages, and when a server goes only its own prefixes move.
- A prefix may be hot. Affinity alone would put a whole class's prompt at one server. A bound on
  the load (consistent hashing with bounded loads) passes what is above the mean on to the next
  server in the prefix's own order, which then caches it too.
"""

from __future__ import annotations

import hashlib
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

__all__ = ("Candidate", "PeerLoad", "choose_backend")

# A server may be this much above the mean load before a prefix goes on to the next one. 1.25
# is the usual figure of the bounded-load paper (Mirrokni and others, 2016): the expected
# number of tries is then small whatever the mix of prefixes.
MAX_LOAD_FACTOR = 1.25
# A shorter cached prefix saves less than a scheduling step of the engine.
MIN_AFFINITY_PROMPT_TOKENS = 128
# Time constant of a report's weight against the mean: other VMs' requests run for 1-3 s, so an
# older report says no more of the present than the mean does.
REPORT_DECAY_MS = 2_000.0
# Weight of a new report in the mean.
MEAN_WEIGHT = 0.1


@dataclass(frozen=True, slots=True)
class Candidate:
    """A backend server that a job may run on.

    :param speed: rated tokens a second, lowered while the server returns from an ejection.
    :param tokens: tokens in flight there, of this VM and, by estimate, of others.
    :param free: whether it has a slot for the job.
    """

    name: str
    speed: float
    tokens: float
    free: bool


@dataclass(slots=True)
class PeerLoad:
    """Load that other VMs have at a server, estimated from its lagging reports."""

    requests: float = 0.0
    tokens: float = 0.0
    mean_requests: float = 0.0
    mean_tokens: float = 0.0
    as_of: int | None = None

    def update(self, requests: float, tokens: float, as_of: int) -> None:
        """Take a report's load less this VM's own at that time."""
        self.requests = max(0.0, requests)
        self.tokens = max(0.0, tokens)
        if self.as_of is None:
            self.mean_requests, self.mean_tokens = self.requests, self.tokens
        self.mean_requests += MEAN_WEIGHT * (self.requests - self.mean_requests)
        self.mean_tokens += MEAN_WEIGHT * (self.tokens - self.mean_tokens)
        self.as_of = as_of

    def at(self, now: int) -> tuple[float, float]:
        """Return requests and tokens of other VMs, faded towards the mean by age."""
        if self.as_of is None:
            return 0.0, 0.0
        weight = math.exp(-max(0, now - self.as_of) / REPORT_DECAY_MS)
        return (
            self.mean_requests + weight * (self.requests - self.mean_requests),
            self.mean_tokens + weight * (self.tokens - self.mean_tokens),
        )


def choose_backend(
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
    if prefix and prompt_tokens >= MIN_AFFINITY_PROMPT_TOKENS:
        return _by_prefix(candidates, cost=cost, prefix=prefix) or _of_two(free, cost, rng)
    return _of_two(free, cost, rng)


def _by_prefix(candidates: Sequence[Candidate], *, cost: float, prefix: str) -> str | None:
    speed = sum(candidate.speed for candidate in candidates)
    mean_load = (sum(candidate.tokens for candidate in candidates) + cost) / speed
    ranked = sorted(candidates, key=lambda candidate: _rank(prefix, candidate.name))
    for candidate in ranked:
        within = candidate.tokens <= MAX_LOAD_FACTOR * mean_load * candidate.speed
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
