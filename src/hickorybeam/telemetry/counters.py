"""Counters, histograms and gauges of one gateway, in their own registry.

With a registry per object instead of the library's global one, several gateways can run in one test
process. Label values are closed lists or names from the configuration, never a key, a prompt, a
request id or a caller's address.
"""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from hickorybeam.telemetry.logs import dropped_lines

__all__ = ("Counters",)

WAIT_BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0)


class Counters:
    """All metrics of one gateway; each service creates its own in addition to the shared ones."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.refusals = self.counter("refusals", "Requests refused", ("kind",))
        self.retries = self.counter("retries", "Calls sent again", ("reason",))
        self.requests = self.counter("requests", "Requests answered", ("kind", "outcome"))
        dropped = self.gauge(
            "log_lines_lost", "Log lines dropped, since nobody read those before them"
        )
        dropped.set_function(dropped_lines)
        self.position = self.gauge("config_position", "Position of the ticket log in force")

    def counter(self, name: str, text: str, labels: tuple[str, ...] = ()) -> Counter:
        """Create a counter named ``hickorybeam_<name>_total``."""
        return Counter(f"hickorybeam_{name}", text, labels, registry=self.registry)

    def gauge(self, name: str, text: str, labels: tuple[str, ...] = ()) -> Gauge:
        """Create a gauge named ``hickorybeam_<name>``."""
        return Gauge(f"hickorybeam_{name}", text, labels, registry=self.registry)

    def histogram(self, name: str, text: str, labels: tuple[str, ...] = ()) -> Histogram:
        """Create a histogram of seconds named ``hickorybeam_<name>_seconds``."""
        return Histogram(
            f"hickorybeam_{name}_seconds",
            text,
            labels,
            registry=self.registry,
            buckets=WAIT_BUCKETS_S,
        )

    def text(self) -> bytes:
        """Return all metrics in the Prometheus exposition format."""
        return generate_latest(self.registry)
