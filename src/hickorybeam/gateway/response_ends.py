"""Counts how backend servers' responses end, by how they are framed."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hickorybeam.http1 import Framing
    from hickorybeam.telemetry import Counters

__all__ = ("ResponseEnd", "ResponseEnds")


class ResponseEnd(Enum):
    """How a response ended: ``BROKEN`` by its connection, ``INSIDE_EVENT`` by its content."""

    WHOLE = "whole"
    BROKEN = "broken"
    INSIDE_EVENT = "inside_event"


class ResponseEnds:
    """Counter of responses whose head arrived.

    A proxy between a server and the VM, or the server's HTTP library, may end a response properly
    that the server didn't finish: then ``INSIDE_EVENT`` rises for framings that mark their end.
    """

    def __init__(self, counters: Counters) -> None:
        self._ends = counters.counter(
            "server_responses", "Responses of servers and VMs by how they ended", ("framing", "end")
        )

    def record(self, framing: Framing, end: ResponseEnd) -> None:
        """Count one response."""
        self._ends.labels(framing.value, end.value).inc()
