"""Log lines and metrics of overloaded services, and of how their accounts share them."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from absl import logging

from hickorybeam.clock import MS_PER_SECOND

if TYPE_CHECKING:
    from hickorybeam.clock import Clock
    from hickorybeam.telemetry import Counters

__all__ = ("OverloadReport",)

# Accounts that the line on an overload's end names.
MAX_NAMED = 5


@dataclass(slots=True)
class _Overload:
    """One overload: server time used and requests refused since its begin, by account."""

    since_ms: int
    used_ms: Counter[str] = field(default_factory=Counter)
    refused: Counter[str] = field(default_factory=Counter)


class OverloadReport:
    """Reports the overloads of this VM's queues."""

    def __init__(self, clock: Clock, counters: Counters) -> None:
        self._clock = clock
        self._overloads: dict[str, _Overload] = {}
        self._overloaded = counters.gauge(
            "service_overloaded", "Whether a service is overloaded, as placed here", ("service",)
        )
        self._server_time = counters.counter(
            "account_server_seconds", "Server time given to accounts", ("service", "account")
        )
        self._refused = counters.counter(
            "account_refused", "Requests refused for want of a slot", ("service", "account")
        )

    def begin(self, service: str, now_ms: int, *, waiting: int) -> None:
        """Report that an overload began."""
        self._overloads[service] = _Overload(now_ms)
        self._overloaded.labels(service).set(1)
        logging.warning("service %s is overloaded: %d requests wait", service, waiting)

    def end(self, service: str, now_ms: int, *, waiting: int) -> None:
        """Report that an overload ended, and which accounts used the service meanwhile."""
        overload = self._overloads.pop(service, None)
        self._overloaded.labels(service).set(0)
        if overload is None:
            return
        logging.info(
            "overload_ended",
            extra={
                "service": service,
                "lasted_ms": now_ms - overload.since_ms,
                "waiting": waiting,
                "refused": overload.refused.total(),
                "server_ms_by_account": rounded(overload.used_ms.most_common(MAX_NAMED)),
                "refused_by_account": dict(overload.refused.most_common(MAX_NAMED)),
            },
        )

    def count_start(self, service: str, account: str, cost_ms: float) -> None:
        """Count the server time of a request that got a slot."""
        self._server_time.labels(service, account).inc(cost_ms / MS_PER_SECOND)
        overload = self._overloads.get(service)
        if overload is not None:
            overload.used_ms[account] += cost_ms  # type: ignore[assignment]

    def count_refusal(self, service: str, account: str) -> None:
        """Count a request that was refused for want of a slot."""
        self._refused.labels(service, account).inc()
        overload = self._overloads.get(service)
        if overload is not None:
            overload.refused[account] += 1


def rounded(used_ms: list[tuple[str, int]]) -> dict[str, int]:
    """Return server times by account in whole ms."""
    return {account: round(used) for account, used in used_ms}
