"""Metrics of what this VM has learned of each service's servers, for operators to see it shift."""

from __future__ import annotations

import math
from collections import defaultdict
from statistics import median
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hickorybeam.policy.server_choice import ServerState
    from hickorybeam.telemetry import Counters

__all__ = ("LearnedMetrics",)


class LearnedMetrics:
    """Gauges by service, medians or counts over its servers; updated when metrics are read."""

    def __init__(self, counters: Counters) -> None:
        self._prefill = counters.gauge(
            "server_prefill_tokens_per_ms", "Learned prefill speed of a server", ("service",)
        )
        self._slot = counters.gauge(
            "server_slot_ms", "Learned time for which a request holds a slot", ("service",)
        )
        self._factor = counters.gauge(
            "server_time_factor", "How long work takes at a server, 1 is usual", ("service",)
        )
        self._telling = counters.gauge(
            "servers_telling_speed", "Servers that say how long work takes there", ("service",)
        )
        self._limited = counters.gauge(
            "servers_limited", "Servers that named a limit to their request rate", ("service",)
        )

    def update(self, states: Iterable[ServerState], now_ms: int) -> None:
        """Set the gauges from what is known of all servers now."""
        by_service: defaultdict[str, list[ServerState]] = defaultdict(list)
        for state in states:
            by_service[state.server.service].append(state)
        for service, found in by_service.items():
            speeds = [it.speed for it in found]
            self._prefill.labels(service).set(median(it.prefill_tokens_per_ms for it in speeds))
            self._slot.labels(service).set(median(it.slot_ms for it in speeds))
            factors = [it.time_factor for it in found]
            self._factor.labels(service).set(median(it.at(now_ms) for it in factors))
            self._telling.labels(service).set(sum(it.heard_ms is not None for it in factors))
            self._limited.labels(service).set(sum(math.isfinite(it.limit_per_s) for it in found))
