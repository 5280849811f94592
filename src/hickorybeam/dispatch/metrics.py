"""Metrics of the load policy, and the latest reasons for its decisions."""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING

from hickorybeam.policy.health import HealthState

if TYPE_CHECKING:
    from hickorybeam.policy.scheduler import Scheduler
    from hickorybeam.telemetry import Counters

__all__ = ("DispatchMetrics", "Explanation", "Explanations")

MS_PER_SECOND = 1000
MAX_EXPLANATIONS_PER_ACCOUNT = 8
# Sized for 850 accounts; beyond the limit, the least recently explained one is dropped.
MAX_ACCOUNTS = 1_000


class DispatchMetrics:
    """Metrics of dispatch. Label values come from closed lists or the configuration."""

    def __init__(self, counters: Counters) -> None:
        self.refused = counters.counter(
            "dispatch_refusals", "Calls refused by the load policy", ("reason",)
        )
        self.spilled = counters.counter(
            "dispatch_spills", "Calls sent to another region", ("region", "reason")
        )
        self.retries_denied = counters.counter(
            "dispatch_retries_denied", "Failed calls not sent again", ("reason",)
        )
        self.ended_by_ticket = counters.counter(
            "dispatch_ended_by_ticket", "Running calls ended because a ticket forbids them"
        )
        self.wait = counters.histogram(
            "dispatch_wait", "Time from arrival to a decision", ("length", "outcome")
        )
        self.first_part = counters.histogram(
            "dispatch_first_part", "Time from arrival to the answer's first part", ("place",)
        )
        self._queued = counters.gauge("dispatch_queued", "Calls that wait", ("served",))
        self._queued_tokens = counters.gauge(
            "dispatch_queued_tokens", "Tokens of calls that wait", ("served",)
        )
        self._memory = counters.gauge("dispatch_memory_bytes", "Bytes of request bodies held")
        self._in_flight = counters.gauge(
            "dispatch_backend_in_flight", "Calls of this VM at a backend server", ("backend",)
        )
        self._limit = counters.gauge(
            "dispatch_backend_limit", "Adaptive limit at a backend server", ("backend",)
        )
        self._ejected = counters.gauge(
            "dispatch_backend_ejected", "1 while a backend server gets no work", ("backend",)
        )
        self._shown_backends: set[str] = set()

    def update_gauges(self, scheduler: Scheduler, now: int) -> None:
        """Set the gauges from the scheduler's state."""
        for served, (jobs, tokens) in scheduler.waiting().items():
            self._queued.labels(served).set(jobs)
            self._queued_tokens.labels(served).set(tokens)
        self._memory.set(scheduler.memory_held)
        table = scheduler.backends
        limits, in_flight = table.limits(), table.in_flight()
        for name in self._shown_backends - limits.keys():
            for gauge in (self._in_flight, self._limit, self._ejected):
                gauge.remove(name)
        self._shown_backends = set(limits)
        for name, limit in limits.items():
            ejected = table.health.state(name) is HealthState.EJECTED
            self._limit.labels(name).set(limit)
            self._in_flight.labels(name).set(in_flight[name])
            self._ejected.labels(name).set(ejected)

    def observe_wait(self, ms: int, *, long: bool, outcome: str) -> None:
        """Record the time from a call's arrival to its decision."""
        length = "long" if long else "short"
        self.wait.labels(length, outcome).observe(ms / MS_PER_SECOND)


@dataclass(frozen=True, slots=True, kw_only=True)
class Explanation:
    """Why one call was refused or sent to another region.

    :param at: ms since the epoch.
    :param kind: error kind of a refusal, or ``spilled``.
    :param region: where it was sent, empty for a refusal.
    """

    at: int
    served: str
    kind: str
    reason: str
    region: str = ""
    retry_after_ms: int | None = None


class Explanations:
    """The last few explanations of each account, for the operator's status command."""

    def __init__(self) -> None:
        self._by_account: OrderedDict[str, deque[Explanation]] = OrderedDict()

    def add(self, account: str, explanation: Explanation) -> None:
        """Add an explanation, dropping the oldest beyond the limits."""
        recent = self._by_account.get(account)
        if recent is None:
            recent = self._by_account[account] = deque(maxlen=MAX_EXPLANATIONS_PER_ACCOUNT)
        recent.append(explanation)
        self._by_account.move_to_end(account)
        if len(self._by_account) > MAX_ACCOUNTS:
            self._by_account.popitem(last=False)

    def as_dict(self) -> dict[str, list[dict[str, object]]]:
        """Return the explanations of each account, newest last, ready for JSON."""
        return {
            name: [asdict(explanation) for explanation in recent]
            for name, recent in self._by_account.items()
        }
