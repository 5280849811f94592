"""What all who connect to a VM may make it hold together, from its settings."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from absl import logging

from hickorybeam.gateway.held_bytes import MAX_HELD_BYTES
from hickorybeam.http1 import Intake
from hickorybeam.policy.memory_budget import MemoryBudget

if TYPE_CHECKING:
    from hickorybeam.clock import Clock
    from hickorybeam.settings import Settings
    from hickorybeam.telemetry import Counters

__all__ = ("IntakeBounds",)

BYTES_PER_MB = 1_000_000
# The share of the memory for servers' answers that are held until they are whole.
HELD_SHARE = 0.1
# Of what a request takes: a buffer that grows is larger than the body in it, and there is a head.
BODY_SHARE = 0.8
LOG_INTERVAL_S = 1


class IntakeBounds:
    """The budget of one process, and the bounds of its ports."""

    def __init__(self, *, cfg: Settings, clock: Clock, counters: Counters) -> None:
        memory_bytes = self._memory_bytes = cfg.vm.memory_mb * BYTES_PER_MB
        self.budget = MemoryBudget(int(memory_bytes * cfg.intake.request_share), now=clock.now)
        self._closed = counters.counter(
            "connections_closed", "Connections closed for the sake of others", ("port", "why")
        )
        held = counters.gauge("intake_bytes", "Memory reserved for requests and unread responses")
        held.set_function(lambda: self.budget.taken)

    @property
    def largest_body(self) -> int:
        """The size of the largest body that there can be room for."""
        return int(self.budget.largest * BODY_SHARE)

    @property
    def max_held_bytes(self) -> int:
        """What may be held of servers' answers before they are passed on."""
        return min(MAX_HELD_BYTES, int(self._memory_bytes * HELD_SHARE))

    def of_port(self, port: str) -> Intake:
        """Return the bounds of one of the VM's ports."""
        return Intake(
            self.budget,
            on_closed=partial(self._record_closed, port),
        )

    def _record_closed(self, port: str, why: str) -> None:
        counter = self._closed.labels(port, why)
        counter.inc()
        logging.log_every_n_seconds(
            logging.WARNING,
            "closed a connection of port %s (%s) for the sake of others, see connections_closed",
            LOG_INTERVAL_S,
            port,
            why,
        )
