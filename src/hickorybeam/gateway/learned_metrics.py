"""Metrics of what this VM has learned of each service's servers, for operators to see it shift."""

from __future__ import annotations

from collections import defaultdict
from statistics import median
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hickorybeam.policy.server_choice import ServerState
    from hickorybeam.policy.server_speed import ServerSpeed
    from hickorybeam.telemetry import Counters

__all__ = ("LearnedMetrics",)


class LearnedMetrics:
    """Gauges by service, the medians over its servers; updated when metrics are read."""

    def __init__(self, counters: Counters) -> None:
        self._prefill = counters.gauge(
            "server_prefill_tokens_per_ms", "Learned prefill speed of a server", ("service",)
        )
        self._slot = counters.gauge(
            "server_slot_ms", "Learned time for which a request holds a slot", ("service",)
        )

    def update(self, states: Iterable[ServerState]) -> None:
        """Set the gauges from what is known of all servers."""
        by_service: defaultdict[str, list[ServerSpeed]] = defaultdict(list)
        for state in states:
            by_service[state.server.service].append(state.speed)
        for service, speeds in by_service.items():
            self._prefill.labels(service).set(median(it.prefill_tokens_per_ms for it in speeds))
            self._slot.labels(service).set(median(it.slot_ms for it in speeds))
