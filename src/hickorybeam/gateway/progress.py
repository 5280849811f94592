"""What has happened to one request so far, and how its targets are named."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hickorybeam.gateway.attempt import ToPeer, ToServer
from hickorybeam.gateway.event_splitter import EventCutter

if TYPE_CHECKING:
    from hickorybeam.gateway.attempt import Target
    from hickorybeam.http1 import ResponseHead, ResponseWriter
    from hickorybeam.platform import ResponseInfo

__all__ = ("Pace", "Progress", "name_of")


@dataclass(slots=True)
class Pace:
    """When the parts of an answer came, in ms on this VM's clock."""

    first_ms: int | None = None
    last_ms: int = 0
    longest_gap_ms: int = 0

    def came(self, now_ms: int) -> None:
        """Take note of some bytes of the answer."""
        if self.first_ms is None:
            self.first_ms = now_ms
        else:
            self.longest_gap_ms = max(self.longest_gap_ms, now_ms - self.last_ms)
        self.last_ms = now_ms


@dataclass(slots=True)
class Progress:
    """What has happened to one request so far.

    ``runs`` counts sends that may have run; ``flying`` one whose outcome is still open.
    ``rejected``: a server got it and said that it did not run it.
    ``failed`` is a server's own failing answer, kept in case that no better one comes.
    ``refused`` names regions whose VM said that it did not run it.
    ``room_in_ms`` is when the first of them expects to have room.
    ``onward`` is where it goes next, chosen when it was decided to leave a silent server.
    ``here_only``: it came from another VM, so it is run in this region or not at all.
    ``waited_ms`` is the time in line, ``foreseen_ms`` the wait that the last target promised.
    """

    reply: ResponseWriter
    sends: int = 0
    runs: int = 0
    flying: bool = False
    rejected: bool = False
    tried: set[str] = field(default_factory=set)
    refused: set[str] = field(default_factory=set)
    failed: tuple[ResponseHead, ResponseInfo, bytes] | None = None
    cutter: EventCutter = field(default_factory=EventCutter)
    room_in_ms: int | None = None
    why: str = ""
    onward: Target | None = None
    here_only: bool = False
    waited_ms: int = 0
    foreseen_ms: float = 0.0
    pace: Pace = field(default_factory=Pace)

    def refused_by(self, region: str, room_in_ms: int | None) -> None:
        """Take note that a region did not run it, and when it expects to have room."""
        self.refused.add(region)
        if room_in_ms is not None:
            self.room_in_ms = min(room_in_ms, self.room_in_ms or room_in_ms)

    @property
    def ran(self) -> bool:
        """Whether it has run or may have."""
        return self.runs > 0 or self.flying

    @property
    def arrived(self) -> bool:
        """Whether a server has got it, or may have."""
        return self.rejected or self.ran


def name_of(target: Target) -> str:
    """Return the name of a target, for logs and to know it again."""
    match target:
        case ToServer(standing):
            return standing.server.id
        case ToPeer(peer):
            return peer.vm.name
