"""Metrics of how old the latest news of each data centre's VMs is."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from hickorybeam.telemetry import Counters

__all__ = ("ReportMetrics",)


class ReportMetrics:
    """A gauge by data centre, updated when metrics are read."""

    def __init__(self, counters: Counters) -> None:
        self._age_ms = counters.gauge(
            "report_age_ms",
            "Time since the latest report of a data centre's other VMs, in ms",
            ("data_centre",),
        )

    def update(self, ages_ms: Mapping[str, int]) -> None:
        """Set the gauge from the age of the latest report of each data centre."""
        self._age_ms.clear()
        for data_centre, age_ms in ages_ms.items():
            self._age_ms.labels(data_centre).set(age_ms)
