"""How backend servers' responses end, counted by how they are framed."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from hickorybeam.http1 import BrokenResponseError

if TYPE_CHECKING:
    from hickorybeam.http1 import Framing
    from hickorybeam.telemetry import Counters

__all__ = (
    "EndedInsideEventError",
    "ResponseEnd",
    "ResponseEnds",
    "ResumedAsProofError",
    "UnprovenEndError",
    "broken_end",
)


class ResponseEnd(Enum):
    """How a response ended: ``BROKEN`` by its connection, ``INSIDE_EVENT`` by its content.

    ``UNPROVEN``: its connection closed in order, and nothing showed that its server was done.
    """

    WHOLE = "whole"
    BROKEN = "broken"
    INSIDE_EVENT = "inside_event"
    UNPROVEN = "unproven"


class EndedInsideEventError(BrokenResponseError):
    """A stream ended properly by its framing, but in the middle of an event.

    The server, or something before it, broke off and closed its side in order. Where the body ends
    with its connection, nothing but the content can show that.
    """

    def __init__(self, framing: Framing) -> None:
        super().__init__(f"the stream ended inside an event, framed by {framing.value}")


class UnprovenEndError(BrokenResponseError):
    """A response ended with its connection, and its server did not outlive that.

    A process that ends closes its connections in order, in the middle of what it sends as well.
    """


class ResumedAsProofError(UnprovenEndError):
    """An unframed stream ended at a server that lives on, and another run shows if that was all."""


class ResponseEnds:
    """Counter of responses that were passed on or broke off after their head.

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


def broken_end(exc: BrokenResponseError) -> ResponseEnd:
    """Return how a response ended that counts as broken."""
    match exc:
        case EndedInsideEventError():
            return ResponseEnd.INSIDE_EVENT
        case UnprovenEndError():
            return ResponseEnd.UNPROVEN
        case _:
            return ResponseEnd.BROKEN
