"""Outlier ejection: which backend servers get work, judged by what they did for callers.

Load patterns and what happens without each rule:

- A server that fails fast. It is always the least loaded, so least-loaded choice sends it
  nearly everything, and most callers get its error. Here failures cut its weight at once and
  some in a row eject it, and no short answer of a failure counts as speed.
- A slow server. Callers behind it set the 99th percentile long before its queue shows it,
  because its first tokens come late and the samples with them. Here a first token that is
  overdue counts as a sample at its present age, without waiting for its arrival.
- All servers fail together, as when the fault is the input, the network or ourselves. Ejecting
  all turns a partial fault into a whole one, so at most half of the servers of one model or
  service are out at a time.
- A server returns with cold caches. Full load at once makes it the next outlier. Its weight
  climbs from a probe to full over ``RAMP_MS``.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum, auto
from statistics import median
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ("HealthTable", "HealthState")

# Three failures in a row happen by chance once in 8000 calls at the 5% error rate of an
# engine that restarts now and then, and take a dead one out within three calls.
FAILURES_IN_A_ROW = 3
# Each recent failure halves the weight; the memory of it fades over this time.
FAILURE_MEMORY_MS = 5_000
# A first token is late when it takes this many times the median of the other servers'. A full
# batch alone lengthens it, but for all servers of a pool alike.
SLOW_FACTOR = 4.0
# Floor under the comparison: below it a difference is scheduling noise, not a slow server.
SLOW_FLOOR_MS = 25.0
# Late ones in a row, sent over at least this time. A bunch of prompts that arrive together
# at a healthy server makes several late at once, but is read within a few hundred ms; a slow
# server stays late.
SLOW_IN_A_ROW = 3
SLOW_SPAN_MS = 800
# A single one that is this many times later still. Calls that never get a first token keep
# their server loaded, so that few others follow and there may never be several in a row.
SILENT_FACTOR = 8.0
SAMPLE_SHARE = 0.3
# First pause; doubled for each ejection in succession up to the longest. A second is longer
# than a restart of a plain service and shorter than a caller's patience; the longest bounds
# how long a healed server stays unused.
FIRST_PAUSE_MS = 1_000
# A slow server is tried again later than a failed one: each try costs a caller the wait until
# it is recalled. A VM with ten requests a second keeps such tries under 1% of them, and so
# out of its 99th percentile, when they are ten seconds apart.
FIRST_SLOW_PAUSE_MS = 10_000
# A server that may not be ejected, because half of its pool is out already, still rests
# after a failure: 100 ms, doubled for each in a row up to ten seconds, and then gets one call
# to show itself. Without the rest a dead region's servers fail a call every few ms and burn
# through queue and retry budget.
FIRST_REST_MS = 100
LONGEST_REST_MS = 10_000
SUSPECT_FROM = 2
# A call is recalled from a server known to be slow at this share of the time that counts as
# late elsewhere: there is no doubt left to wait for.
RECALL_SHARE = 0.375
LONGEST_PAUSE_MS = 30_000
RAMP_MS = 5_000
PROBE_WEIGHT = 0.1
LARGEST_EJECTED_SHARE = 0.5


class HealthState(Enum):
    """Whether a server gets work."""

    SERVING = auto()
    EJECTED = auto()
    PROBING = auto()
    RAMPING = auto()


@dataclass(slots=True)
class Health:
    """What was seen of one backend server."""

    state: HealthState = HealthState.SERVING
    since: int = 0
    pause: int = FIRST_PAUSE_MS
    failures_in_a_row: int = 0
    resting_until: int = 0
    failures: float = 0.0
    failures_at: int = 0
    first_token: float = 0.0
    samples: int = 0
    late: list[int] = field(default_factory=list)
    waiting: dict[int, tuple[int, float]] = field(default_factory=dict)

    def recent_failures(self, now: int) -> float:
        age = now - self.failures_at
        return self.failures * max(0.0, 1.0 - age / FAILURE_MEMORY_MS)


class HealthTable:
    """Health of every backend server that this VM sends to."""

    def __init__(self) -> None:
        self._health: dict[str, Health] = {}
        self.ejections = 0

    def record(self, server: str) -> Health:
        """Return the record of a server, a fresh one if it is new."""
        found = self._health.get(server)
        if found is None:
            found = self._health[server] = Health()
        return found

    def retain(self, servers: Iterable[str]) -> None:
        """Forget every server that is no longer configured."""
        wanted = set(servers)
        for name in [name for name in self._health if name not in wanted]:
            del self._health[name]

    def record_start(self, server: str, job: int, now: int, *, scale: float) -> None:
        """Note that a job was sent.

        :param scale: how long its first token may take, relative to a short prompt.
        """
        self.record(server).waiting[job] = (now, scale)

    def record_first_token(self, server: str, job: int, now: int, pool: Iterable[str]) -> float | None:
        """Note a first token; returns its time in ms for a short prompt, if it was awaited.

        :param pool: every server of the same model or service.
        """
        health = self.record(server)
        sent = health.waiting.pop(job, None)
        if sent is None:
            return None
        at, scale = sent
        sample = (now - at) / scale
        if sample > self._latest_normal(server, pool):
            health.late.append(at)
        else:
            health.late.clear()
        health.samples += 1
        weight = 1.0 if health.samples == 1 else SAMPLE_SHARE
        health.first_token += weight * (sample - health.first_token)
        return sample

    def record_success(self, server: str, now: int) -> None:
        """Note a proper end."""
        health = self.record(server)
        health.failures_in_a_row = 0
        health.resting_until = now
        if health.state is HealthState.PROBING and not health.late:
            self._set(health, HealthState.RAMPING, now)

    def record_failure(self, server: str, job: int, now: int, peers: Iterable[str]) -> None:
        """Note a failure that is the server's; eject it after some in a row.

        :param peers: every server of the same model or service, this one included.
        """
        health = self.record(server)
        health.waiting.pop(job, None)
        health.failures = health.recent_failures(now) + 1.0
        health.failures_at = now
        health.failures_in_a_row += 1
        doubled = FIRST_REST_MS * 2 ** min(10, health.failures_in_a_row - 1)
        health.resting_until = now + min(LONGEST_REST_MS, doubled)
        if health.state is HealthState.PROBING or health.failures_in_a_row >= FAILURES_IN_A_ROW:
            self._eject(server, now, peers)

    def discard_job(self, server: str, job: int) -> None:
        """Note that a job ended for a reason that says nothing about the server."""
        self.record(server).waiting.pop(job, None)

    def update_states(self, now: int, pool: Iterable[str]) -> None:
        """Eject servers of one pool that are slow against the others; let others return."""
        servers = list(pool)
        for name in servers:
            health = self.record(name)
            if health.state is HealthState.EJECTED and now - health.since >= health.pause:
                self._set(health, HealthState.PROBING, now)
            elif health.state is HealthState.RAMPING and now - health.since >= RAMP_MS:
                self._set(health, HealthState.SERVING, now)
                health.pause = FIRST_PAUSE_MS
            if health.state is not HealthState.EJECTED and self._is_slow(name, now, servers):
                health.pause = max(health.pause, FIRST_SLOW_PAUSE_MS)
                self._eject(name, now, servers)

    def weight(self, server: str, now: int) -> float:
        """Return the share of its normal load that a server should get now, 0 for none."""
        health = self.record(server)
        match health.state:
            case HealthState.EJECTED:
                return 0.0
            case HealthState.PROBING:
                return PROBE_WEIGHT
            case HealthState.RAMPING:
                climbed = min(1.0, (now - health.since) / RAMP_MS)
                base = PROBE_WEIGHT + (1.0 - PROBE_WEIGHT) * climbed
            case HealthState.SERVING:
                base = 1.0
        return max(PROBE_WEIGHT, base * math.pow(0.5, health.recent_failures(now)))

    def is_backing_off(self, server: str, now: int) -> bool:
        """Whether a server rests after a failure."""
        return now < self.record(server).resting_until

    def is_suspect(self, server: str) -> bool:
        """Whether a server failed several times with no success since: one call at a time."""
        return self.record(server).failures_in_a_row >= SUSPECT_FROM

    def take_overdue_jobs(self, server: str, now: int, pool: Iterable[str]) -> list[int]:
        """Return the jobs to recall from a slow server: late and without a first token.

        Asked of servers that are out or being probed. What was sent before the ejection, and
        the probes themselves, would otherwise wait at the one server known to be slow. Recalls
        from servers still in use were tried and do not pay (docs/design/load.md).
        """
        health = self.record(server)
        if health.state not in (HealthState.EJECTED, HealthState.PROBING):
            return []
        limit = self._latest_normal(server, pool) * RECALL_SHARE
        found = [job for job, (at, scale) in health.waiting.items() if now - at > limit * scale]
        for job in found:
            # Its late first token will never be seen; it counts as seen now.
            health.late.append(health.waiting.pop(job)[0])
        return found

    def all_failing(self, pool: Iterable[str], now: int) -> bool:
        """Whether every server of a pool is out, rests after a failure, or is being tried.

        The bound on ejections keeps half of a dead region's servers in use. They fail at once
        and so always look free; without this test the region would keep all its callers.
        """
        return self.failing_share(pool, now) == 1.0

    def failing_share(self, pool: Iterable[str], now: int) -> float:
        """Return the share of a pool that is out, rests after a failure, or is being tried."""
        failing = [self._is_failing(self.record(name), now) for name in pool]
        return sum(failing) / len(failing) if failing else 1.0

    def ms_until_available(self, pool: Iterable[str], now: int) -> float:
        """Return ms until some server of a pool may get work, 0 if one may now."""
        waits = [self._next_try(self.record(name), now) for name in pool]
        return min(waits, default=math.inf)

    def _next_try(self, health: Health, now: int) -> float:
        if health.state is HealthState.EJECTED:
            return max(0, health.since + health.pause - now)
        return max(0, health.resting_until - now)

    def _is_failing(self, health: Health, now: int) -> bool:
        if health.state is HealthState.EJECTED:
            return True
        if health.state is HealthState.PROBING:
            return bool(health.waiting)
        if health.failures_in_a_row < SUSPECT_FROM:
            return False
        return now < health.resting_until or bool(health.waiting)

    def state(self, server: str) -> HealthState:
        """Return whether a server gets work."""
        return self.record(server).state

    def _latest_normal(self, server: str, pool: Iterable[str]) -> float:
        """Return the time in ms past which a first token of this server is late."""
        others = [
            health.first_token
            for name in pool
            if name != server
            and (health := self.record(name)).samples
            and health.state is not HealthState.EJECTED
        ]
        if not others:
            return math.inf
        return SLOW_FACTOR * max(float(median(others)), SLOW_FLOOR_MS)

    def _is_slow(self, server: str, now: int, pool: Iterable[str]) -> bool:
        health = self.record(server)
        if not health.waiting and not health.late:
            # Nothing to judge; the median of the others is work for each server at each tick.
            return False
        normal = self._latest_normal(server, pool)
        ages = [((now - at) / scale, at) for at, scale in health.waiting.values()]
        late = [*health.late, *(at for age, at in ages if age > normal)]
        if any(age > SILENT_FACTOR * normal for age, _ in ages):
            return True
        if health.state is HealthState.PROBING:
            return bool(late)
        return len(late) >= SLOW_IN_A_ROW and max(late) - min(late) >= SLOW_SPAN_MS

    def _eject(self, server: str, now: int, peers: Iterable[str]) -> None:
        health = self.record(server)
        if health.state is HealthState.EJECTED:
            return
        pool = set(peers) | {server}
        out = sum(1 for name in pool if self.record(name).state is HealthState.EJECTED)
        if out + 1 > len(pool) * LARGEST_EJECTED_SHARE:
            return
        if health.state is not HealthState.SERVING:
            health.pause = min(LONGEST_PAUSE_MS, health.pause * 2)
        self._set(health, HealthState.EJECTED, now)
        health.failures_in_a_row = 0
        self.ejections += 1

    def _set(self, health: Health, state: HealthState, now: int) -> None:
        health.state = state
        health.since = now
        health.late.clear()
