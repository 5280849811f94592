"""Outlier ejection: which backend servers get work, judged by the requests sent to them.

Each rule guards against one failure:

- A server that fails fast is always the least loaded, so least-loaded choice would send it
  nearly everything, and most callers would get its error. Failures cut its weight at once,
  several in a row eject it, and a failure's short response time doesn't count as speed.
- A slow server determines the 99th percentile long before its queue shows it, because its first
  tokens come late and the samples with them. An overdue first token counts as a sample at its
  current age, without waiting for its arrival.
- All servers fail together when the cause is the input, the network or the gateway. Ejecting all
  would turn a partial failure into a complete one, so at most half of the servers of one model
  or service are ejected at a time.
- A server that rejects at once always looks idle. One that says for how long it wants rest gets
  nothing until then, whatever its other calls come to.
- A server returns with cold caches, and full load at once would make it the next outlier. Its
  weight climbs from that of a probe to 1 over ``RAMP_MS``.
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

# Three failures in a row happen by chance once in 8000 calls at the 5% error rate of an engine
# that restarts occasionally, and eject a dead one within three calls.
EJECT_AFTER_FAILURES = 3
# Each recent failure halves the weight; its effect decays over this time.
FAILURE_MEMORY_MS = 5_000
# A first token is late after this many times the median of the other servers'. A full batch also
# lengthens it, but for all servers of a pool alike.
SLOW_FACTOR = 4.0
# Lower bound of that median: below it a difference is scheduling noise, not a slow server.
MIN_NORMAL_MS = 25.0
# Late first tokens in a row, of requests sent over at least this time. Prompts that arrive
# together at a healthy server make several late at once, but their prefill takes a few hundred ms;
# a slow server stays late.
MIN_SLOW_IN_A_ROW = 3
MIN_SLOW_SPAN_MS = 800
# A single first token that is this many times later still is enough. Calls that never get one
# keep their server loaded, so that few others follow and there may never be several in a row.
NO_RESPONSE_FACTOR = 8.0
SAMPLE_WEIGHT = 0.3
# Doubled for each consecutive ejection up to MAX_EJECTION_MS, which bounds how long a recovered
# server stays unused. A second is longer than a restart of a plain service and shorter than a
# caller's timeout.
INITIAL_EJECTION_MS = 1_000
# A slow server is probed later than a failed one: each probe costs a caller the wait until it is
# recalled. With ten seconds between them, a VM with ten requests a second keeps such probes under
# 1% of its requests, and so out of its 99th percentile.
INITIAL_SLOW_EJECTION_MS = 10_000
# A server that can't be ejected, because half of its pool already is, still backs off after a
# failure: 100 ms, doubled for each in a row up to ten seconds, and then gets one call as a probe.
# Without the back-off a dead region's servers fail a call every few ms and use up queue and retry
# budget.
INITIAL_BACKOFF_MS = 100
MAX_BACKOFF_MS = 10_000
SUSPECT_AFTER_FAILURES = 2
# A call is recalled from a server known to be slow after this proportion of the time that counts
# as late for others, since no further evidence is needed.
RECALL_RATIO = 0.375
MAX_EJECTION_MS = 30_000
RAMP_MS = 5_000
PROBE_WEIGHT = 0.1
MAX_EJECTED_SHARE = 0.5


class HealthState(Enum):
    """Whether a server gets work: all, none, probes, or a growing share."""

    SERVING = auto()
    EJECTED = auto()
    PROBING = auto()
    RAMPING = auto()


@dataclass(slots=True)
class Health:
    """State, failures and first-token times of one backend server."""

    state: HealthState = HealthState.SERVING
    since_ms: int = 0
    ejection_ms: int = INITIAL_EJECTION_MS
    failures_in_a_row: int = 0
    backoff_until_ms: int = 0
    rest_until_ms: int = 0
    failures: float = 0.0
    last_failure_ms: int = 0
    first_token_ms: float = 0.0
    samples: int = 0
    late_sent_ms: list[int] = field(default_factory=list)
    awaiting_first_token: dict[int, tuple[int, float]] = field(default_factory=dict)

    def recent_failures(self, now_ms: int) -> float:
        age = now_ms - self.last_failure_ms
        return self.failures * max(0.0, 1.0 - age / FAILURE_MEMORY_MS)


class HealthTable:
    """Health of every backend server that this VM sends to."""

    def __init__(self) -> None:
        self._by_server: dict[str, Health] = {}
        self.ejections = 0

    def record(self, server: str) -> Health:
        """Return a server's record, a new one for an unknown server."""
        found = self._by_server.get(server)
        if found is None:
            found = self._by_server[server] = Health()
        return found

    def retain(self, servers: Iterable[str]) -> None:
        """Forget every server that is no longer configured."""
        configured = set(servers)
        for name in [name for name in self._by_server if name not in configured]:
            del self._by_server[name]

    def record_start(self, server: str, job: int, now_ms: int, *, scale: float) -> None:
        """Record that a job was sent.

        :param scale: how long its first token may take, relative to a short prompt.
        """
        self.record(server).awaiting_first_token[job] = (now_ms, scale)

    def record_first_token(
        self, server: str, job: int, now_ms: int, pool: Iterable[str]
    ) -> float | None:
        """Record a first token; return its time in ms scaled to a short prompt, if awaited.

        :param pool: every server of the same model or service.
        """
        health = self.record(server)
        sent = health.awaiting_first_token.pop(job, None)
        if sent is None:
            return None
        sent_ms, scale = sent
        sample = (now_ms - sent_ms) / scale
        if sample > self._max_normal_ms(server, pool):
            health.late_sent_ms.append(sent_ms)
        else:
            health.late_sent_ms.clear()
        health.samples += 1
        weight = 1.0 if health.samples == 1 else SAMPLE_WEIGHT
        health.first_token_ms += weight * (sample - health.first_token_ms)
        return sample

    def record_success(self, server: str, now_ms: int) -> None:
        """Record a successful end of a job."""
        health = self.record(server)
        health.failures_in_a_row = 0
        health.backoff_until_ms = now_ms
        if health.state is HealthState.PROBING and not health.late_sent_ms:
            self._set_state(health, HealthState.RAMPING, now_ms)

    def record_failure(self, server: str, job: int, now_ms: int, peers: Iterable[str]) -> None:
        """Record a failure caused by the server; eject it after several in a row.

        :param peers: every server of the same model or service, this one included.
        """
        health = self.record(server)
        health.awaiting_first_token.pop(job, None)
        health.failures = health.recent_failures(now_ms) + 1.0
        health.last_failure_ms = now_ms
        health.failures_in_a_row += 1
        backoff_ms = INITIAL_BACKOFF_MS * 2 ** min(10, health.failures_in_a_row - 1)
        health.backoff_until_ms = now_ms + min(MAX_BACKOFF_MS, backoff_ms)
        if health.state is HealthState.PROBING or health.failures_in_a_row >= EJECT_AFTER_FAILURES:
            self._eject(server, now_ms, peers)

    def record_rest(self, server: str, rest_ms: int, now_ms: int) -> None:
        """Record for how long a server wants no calls; success of another call doesn't end it."""
        health = self.record(server)
        health.rest_until_ms = max(health.rest_until_ms, now_ms + rest_ms)

    def discard_job(self, server: str, job: int) -> None:
        """Forget a job that ended for a reason unrelated to the server's health."""
        self.record(server).awaiting_first_token.pop(job, None)

    def update_states(self, now_ms: int, pool: Iterable[str]) -> None:
        """Eject servers of a pool that are slow compared with the others; readmit others."""
        servers = list(pool)
        for name in servers:
            health = self.record(name)
            if (
                health.state is HealthState.EJECTED
                and now_ms - health.since_ms >= health.ejection_ms
            ):
                self._set_state(health, HealthState.PROBING, now_ms)
            elif health.state is HealthState.RAMPING and now_ms - health.since_ms >= RAMP_MS:
                self._set_state(health, HealthState.SERVING, now_ms)
                health.ejection_ms = INITIAL_EJECTION_MS
            if health.state is not HealthState.EJECTED and self._is_slow(name, now_ms, servers):
                health.ejection_ms = max(health.ejection_ms, INITIAL_SLOW_EJECTION_MS)
                self._eject(name, now_ms, servers)

    def weight(self, server: str, now_ms: int) -> float:
        """Return the share of its normal load that a server should get now, 0 for none."""
        health = self.record(server)
        if now_ms < health.rest_until_ms:
            return 0.0
        match health.state:
            case HealthState.EJECTED:
                return 0.0
            case HealthState.PROBING:
                return PROBE_WEIGHT
            case HealthState.RAMPING:
                climbed = min(1.0, (now_ms - health.since_ms) / RAMP_MS)
                base = PROBE_WEIGHT + (1.0 - PROBE_WEIGHT) * climbed
            case HealthState.SERVING:
                base = 1.0
        return max(PROBE_WEIGHT, base * math.pow(0.5, health.recent_failures(now_ms)))

    def is_backing_off(self, server: str, now_ms: int) -> bool:
        """Return whether a server is in back-off after a failure."""
        return now_ms < self.record(server).backoff_until_ms

    def is_suspect(self, server: str) -> bool:
        """Return whether a server failed several times in a row and gets one call at a time."""
        return self.record(server).failures_in_a_row >= SUSPECT_AFTER_FAILURES

    def take_overdue_jobs(self, server: str, now_ms: int, pool: Iterable[str]) -> list[int]:
        """Return and remove the overdue jobs without a first token to recall from a server.

        Only an ejected or probed server has any. Jobs sent before the ejection, and the probes
        themselves, would otherwise wait at the one server known to be slow. Recalls from other
        servers don't pay off (docs/design/load.md).
        """
        health = self.record(server)
        if health.state not in (HealthState.EJECTED, HealthState.PROBING):
            return []
        limit_ms = self._max_normal_ms(server, pool) * RECALL_RATIO
        found = [
            job
            for job, (sent_ms, scale) in health.awaiting_first_token.items()
            if now_ms - sent_ms > limit_ms * scale
        ]
        for job in found:
            # Its first token will never arrive here, so it counts as late now.
            health.late_sent_ms.append(health.awaiting_first_token.pop(job)[0])
        return found

    def all_failing(self, pool: Iterable[str], now_ms: int) -> bool:
        """Return whether all servers of a pool are ejected, in back-off, or being probed.

        The limit on ejections keeps half of a dead region's servers in use. They fail at once
        and so always look free; without this check the region would keep all its callers.
        """
        return self.failing_share(pool, now_ms) == 1.0

    def failing_share(self, pool: Iterable[str], now_ms: int) -> float:
        """Return the share of a pool that is ejected, in back-off, or being probed."""
        failing = [self._is_failing(self.record(name), now_ms) for name in pool]
        return sum(failing) / len(failing) if failing else 1.0

    def ms_until_available(self, pool: Iterable[str], now_ms: int) -> float:
        """Return the ms until some server of a pool may get work, 0 if one may now."""
        waits = [self._ms_until_available(self.record(name), now_ms) for name in pool]
        return min(waits, default=math.inf)

    def _ms_until_available(self, health: Health, now_ms: int) -> float:
        until_ms = health.backoff_until_ms
        if health.state is HealthState.EJECTED:
            until_ms = health.since_ms + health.ejection_ms
        return max(0, until_ms - now_ms, health.rest_until_ms - now_ms)

    def _is_failing(self, health: Health, now_ms: int) -> bool:
        if health.state is HealthState.EJECTED or now_ms < health.rest_until_ms:
            return True
        if health.state is HealthState.PROBING:
            return bool(health.awaiting_first_token)
        if health.failures_in_a_row < SUSPECT_AFTER_FAILURES:
            return False
        return now_ms < health.backoff_until_ms or bool(health.awaiting_first_token)

    def state(self, server: str) -> HealthState:
        """Return the health state of a server."""
        return self.record(server).state

    def _max_normal_ms(self, server: str, pool: Iterable[str]) -> float:
        """Return the ms after which a first token of this server is late."""
        others = [
            health.first_token_ms
            for name in pool
            if name != server
            and (health := self.record(name)).samples
            and health.state is not HealthState.EJECTED
        ]
        if not others:
            return math.inf
        return SLOW_FACTOR * max(float(median(others)), MIN_NORMAL_MS)

    def _is_slow(self, server: str, now_ms: int, pool: Iterable[str]) -> bool:
        health = self.record(server)
        if not health.awaiting_first_token and not health.late_sent_ms:
            # Nothing to compare; the others' median is costly to compute at each tick.
            return False
        normal_ms = self._max_normal_ms(server, pool)
        ages = [
            ((now_ms - sent_ms) / scale, sent_ms)
            for sent_ms, scale in health.awaiting_first_token.values()
        ]
        late_sent_ms = [
            *health.late_sent_ms,
            *(sent_ms for age, sent_ms in ages if age > normal_ms),
        ]
        if any(age > NO_RESPONSE_FACTOR * normal_ms for age, _ in ages):
            return True
        if health.state is HealthState.PROBING:
            return bool(late_sent_ms)
        return (
            len(late_sent_ms) >= MIN_SLOW_IN_A_ROW
            and max(late_sent_ms) - min(late_sent_ms) >= MIN_SLOW_SPAN_MS
        )

    def _eject(self, server: str, now_ms: int, peers: Iterable[str]) -> None:
        health = self.record(server)
        if health.state is HealthState.EJECTED:
            return
        pool = set(peers) | {server}
        ejected = sum(1 for name in pool if self.record(name).state is HealthState.EJECTED)
        if ejected + 1 > len(pool) * MAX_EJECTED_SHARE:
            return
        if health.state is not HealthState.SERVING:
            health.ejection_ms = min(MAX_EJECTION_MS, health.ejection_ms * 2)
        self._set_state(health, HealthState.EJECTED, now_ms)
        health.failures_in_a_row = 0
        self.ejections += 1

    def _set_state(self, health: Health, state: HealthState, now_ms: int) -> None:
        health.state = state
        health.since_ms = now_ms
        health.late_sent_ms.clear()
