"""Count and log what came of no request on connections to backend servers and other VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorybeam.telemetry.decisions import DecisionLog

if TYPE_CHECKING:
    from hickorybeam.clock import Clock
    from hickorybeam.http1 import Stray
    from hickorybeam.telemetry import Counters

__all__ = ("StrayLog",)


class StrayLog:
    """Counts and logs responses that are not the request's, and bytes that are none."""

    def __init__(self, clock: Clock, counters: Counters) -> None:
        self._log = DecisionLog(clock)
        self._strays = counters.counter("strays", "What came of no request", ("what",))

    def record(self, stray: Stray) -> None:
        """Count and log one.

        Its line names the request that the connection carried last: if a response was awaited, it
        still is, so this isn't its answer.
        """
        self._strays.labels(stray.kind.value).inc()
        self._log.write(
            "stray",
            what=stray.kind.value,
            peer=stray.peer,
            on=stray.on,
            status=stray.status,
            request=stray.request_id,
        )
