"""Record each send of a request, with its times and how it ended.

Two runs of one request can only be told apart afterwards if both VMs say when each send began and
ended. A line for each request would cost as much as the request, so a request that was sent once
and got a whole response is only counted.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from hickorybeam.telemetry import Counters

__all__ = ("NotRunGround", "SendCounts", "SendEnd", "SendRecord", "ground_of", "is_notable")


class NotRunGround(Enum):
    """On what ground a send counts as not run.

    ``UNSENT``: not a byte of it was sent. ``SERVER``, ``VM``: the word of the one it was sent to.
    """

    UNSENT = "unsent"
    SERVER = "server"
    VM = "vm"


class SendEnd(Enum):
    """How a send ended.

    ``OPEN``: it has not. ``ANSWERED``: a whole response came. ``NOT_RUN``: the request was
    certainly not run. ``BROKEN``: the response broke off. ``SILENT``: nothing came in time.
    ``LEFT``: the caller, the VM that forwarded the request, or the deadline ended it.
    """

    OPEN = "open"
    ANSWERED = "answered"
    NOT_RUN = "not_run"
    BROKEN = "broken"
    SILENT = "silent"
    LEFT = "left"


# After these, what was sent may still run somewhere.
UNSETTLED_ENDS = frozenset({SendEnd.OPEN, SendEnd.BROKEN, SendEnd.SILENT, SendEnd.LEFT})


@dataclass(slots=True)
class SendRecord:
    """One send of a request, on this VM's clock.

    ``target`` is a server's id or a VM's name. ``run`` names the run that another region's VM was
    asked for, empty if a server was asked. ``conn`` tells its connection; it is empty if there was
    none, or if this is the only send and got a whole response. If it was not run, ``ground`` tells
    how that is known, and ``why`` in words.
    """

    target: str
    run: str
    sent_ms: int
    ended_ms: int = 0
    end: SendEnd = SendEnd.OPEN
    conn: str = ""
    ground: NotRunGround | None = None
    why: str = ""

    def close(self, end: SendEnd, now_ms: int) -> None:
        """Record how it ended; further calls do nothing."""
        if self.end is SendEnd.OPEN:
            self.end, self.ended_ms = end, now_ms

    def close_not_run(self, now_ms: int, *, ground: NotRunGround, why: str) -> None:
        """Record that it was not run, and how that is known."""
        self.close(SendEnd.NOT_RUN, now_ms)
        self.ground, self.why = ground, why

    def describe(self, arrived_ms: int) -> str:
        """Return it as text, in ms since the request arrived."""
        via = f" as {self.run}" if self.run else ""
        times = f"{self.sent_ms - arrived_ms}-{self.ended_ms - arrived_ms}"
        on = f" on {self.conn}" if self.conn else ""
        text = f"{self.target}{via} {times} ms {self.end.value}"
        if self.ground is None:
            return f"{text}{on}"
        return f"{text} by {self.ground.value}{on}: {self.why}"


class SendCounts:
    """Counts how sends ended, to servers and to other regions' VMs."""

    def __init__(self, counters: Counters) -> None:
        sends = counters.counter("sends", "Sends of requests, by their end", ("to", "end"))
        self._children = {
            (to_vm, end): sends.labels("vm" if to_vm else "server", end.value)
            for to_vm in (False, True)
            for end in SendEnd
        }

    def count(self, record: SendRecord) -> None:
        """Count a send that ended."""
        self._children[bool(record.run), record.end].inc()


def ground_of(records: Sequence[SendRecord]) -> NotRunGround:
    """Return on what ground a request that was sent was not run: the weakest of its sends."""
    grounds = {it.ground for it in records}
    for ground in (NotRunGround.SERVER, NotRunGround.VM):
        if ground in grounds:
            return ground
    return NotRunGround.UNSENT


def is_notable(records: Sequence[SendRecord]) -> bool:
    """Return whether a request was sent more than once, or may still run after its end."""
    return len(records) > 1 or any(it.end in UNSETTLED_ENDS for it in records)
