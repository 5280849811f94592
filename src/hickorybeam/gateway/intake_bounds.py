"""What all who connect to a VM may make it hold together, from its settings."""

from __future__ import annotations

import resource
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
# What the kernel keeps of what a connection received, and this process has not read. Together these
# buffers may hold far more than the process does while it is held up. Between VMs, whose answers
# take longer, a smaller one would slow large bodies down.
RECEIVE_BYTES = 32_768
PEER_RECEIVE_BYTES = 131_072
# Memory of one connection: that buffer, what its caller may leave unread, parser and objects.
CONNECTION_BYTES = 81_920
# Each port has connections of its own, so that a crowd at one leaves the others theirs.
PORT_SHARES = {"callers": 0.6, "peers": 0.2, "directory": 0.1, "ready": 0.05, "state": 0.05}
# Connections that wait to be accepted come all at once, before any other can be closed for them.
BACKLOG_SHARE = 1 / 8
MAX_BACKLOG = 2_048
# The share of the memory for servers' answers that are held until they are whole.
HELD_SHARE = 0.1
# Of what a request takes: a buffer that grows is larger than the body in it, and there is a head.
BODY_SHARE = 0.8
LOG_INTERVAL_S = 1


class IntakeBounds:
    """The budget of one process, and the bounds of its ports.

    ``largest_body`` is the size of the largest body that there can be room for, and
    ``max_held_bytes`` what may be held of servers' answers before they are passed on.
    """

    def __init__(self, *, cfg: Settings, clock: Clock, counters: Counters) -> None:
        memory_bytes = cfg.vm.memory_mb * BYTES_PER_MB
        self.budget = MemoryBudget(int(memory_bytes * cfg.intake.request_share), now=clock.now)
        self.largest_body = int(self.budget.largest * BODY_SHARE)
        self.max_held_bytes = min(MAX_HELD_BYTES, int(memory_bytes * HELD_SHARE))
        self._files = min(cfg.vm.file_descriptors, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        self._max_connections = min(
            int(self._files * cfg.intake.descriptor_share),
            int(memory_bytes * cfg.intake.connection_share / CONNECTION_BYTES),
        )
        self._closed = counters.counter(
            "connections_closed", "Connections closed for the sake of others", ("port", "why")
        )
        held = counters.gauge("intake_bytes", "Memory reserved for requests and unread responses")
        held.set_function(lambda: self.budget.taken)

    def of_port(self, port: str) -> Intake:
        """Return the bounds of one of the VM's ports."""
        return Intake(
            self.budget,
            max_connections=max(1, int(self._max_connections * PORT_SHARES[port])),
            backlog=min(MAX_BACKLOG, int(self._files * BACKLOG_SHARE)),
            receive_bytes=PEER_RECEIVE_BYTES if port == "peers" else RECEIVE_BYTES,
            on_closed=partial(self._record_closed, port),
        )

    def _record_closed(self, port: str, why: str, request_id: str) -> None:
        self._closed.labels(port, why).inc()
        if request_id:
            logging.info("closed_for_others", extra={"port": port, "requests": request_id})
            return
        logging.log_every_n_seconds(
            logging.WARNING,
            "closed a connection of port %s (%s) for the sake of others, see connections_closed",
            LOG_INTERVAL_S,
            port,
            why,
        )
