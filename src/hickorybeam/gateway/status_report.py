"""Periodic status report that each VM sends to others in datagrams."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

import msgspec

from hickorybeam.model.bounds import BoundedFloat, BoundedInt, NonNegativeFloat, Revision
from hickorybeam.model.routing import GatewayVm  # noqa: TC001 - msgspec reads the annotation
from hickorybeam.policy.crash_messages import ToldPart  # noqa: TC001 - msgspec reads it too
from hickorybeam.policy.stream_versions import ToldStreams  # noqa: TC001 - msgspec reads it too

__all__ = (
    "NO_USAGE",
    "Audience",
    "GrantedUsage",
    "ReportedLimit",
    "ReportedLoad",
    "WaitForecast",
    "ServerUsage",
    "StatusReport",
    "add_usage",
    "subtract_usage",
)

# Usage of a server: running requests, prompt tokens not yet prefilled, tokens held in its memory.
ServerUsage = tuple[BoundedInt, BoundedInt, BoundedInt]
NO_USAGE: ServerUsage = (0, 0, 0)
# Usage in slots that other VMs granted, by the granting VM's name and the server's id.
GrantedUsage = dict[str, dict[str, ServerUsage]]
# Expected wait of an empty prompt in a region, in ms, and the number of requests in flight at the
# server with that wait.
WaitForecast = tuple[BoundedInt, BoundedInt]


class ReportedLimit(NamedTuple):
    """The rate limit that a server's last response to a VM named.

    ``per_s`` is infinite if it named none. ``born_ms`` is the server's start, as its entry in the
    store names it.
    """

    per_s: NonNegativeFloat
    age_ms: BoundedInt
    born_ms: BoundedInt


class ReportedLoad(NamedTuple):
    """What a server's last response to a VM said of its load and speed.

    ``factor`` is how long work took there, relative to usual; ``busy`` counts running and waiting
    requests. ``born_ms`` is the server's start, as its entry in the store names it.
    """

    factor: BoundedFloat
    busy: BoundedInt
    age_ms: BoundedInt
    born_ms: BoundedInt


class Audience(Enum):
    """Receivers of a report: the own data centre, the region's other ones, or other regions."""

    NEAR = "near"
    ASIDE = "aside"
    FAR = "far"


class StatusReport(msgspec.Struct, frozen=True, array_like=True, tag="tell"):
    """Status of one VM, and the reports that it relays (``relayed``).

    If ``whole`` is false, ``spent`` and ``servers`` hold only what changed since the last report;
    the next whole report makes up for a lost datagram. ``follows``: the VM watches the store and
    reaches it. ``cold``: remaining ms of servers that it found cold itself; relayed by others, the
    time would grow by each message's delay. ``granted``: usage in slots that other VMs granted,
    not included in ``servers``. ``limits``: by server, the rate limit that its last response to the
    reporting VM named. ``departing``: by server, the start of those that told it that they are
    leaving. ``leads``: by overloaded service that the VM places for its region, how much more
    server time than their shares accounts have used, in ms. ``loads``: by server, what
    its last response to the reporting VM said. ``streams``: those that began at the VM
    since its last report to the same receivers. ``fresh``: the VM has just started and needs quota
    levels, which an older VM sends it in ``levels``. ``holds``: servers to which shared prompt
    parts were sent, by part id. ``suspects``: parts of prompts that servers crashed under.
    """

    name: str
    incarnation: str
    up_ms: BoundedInt
    leaving: bool
    revision: Revision
    fresh: bool
    spent: dict[str, BoundedFloat]
    servers: dict[str, ServerUsage]
    forecasts: dict[str, WaitForecast]
    whole: bool = True
    levels: dict[str, BoundedFloat] | None = None
    vm: GatewayVm | None = None
    holds: dict[str, str] = {}
    relayed: list[StatusReport] = []
    follows: bool = False
    cold: dict[str, BoundedInt] = {}
    granted: GrantedUsage = {}
    limits: dict[str, ReportedLimit] = {}
    departing: dict[str, BoundedInt] = {}
    leads: dict[str, dict[str, BoundedFloat]] = {}
    loads: dict[str, ReportedLoad] = {}
    streams: list[ToldStreams] = []
    suspects: list[ToldPart] = []


def add_usage(one: ServerUsage, other: ServerUsage) -> ServerUsage:
    """Return the sum of two usages."""
    return (one[0] + other[0], one[1] + other[1], one[2] + other[2])


def subtract_usage(one: ServerUsage, other: ServerUsage) -> ServerUsage:
    """Return a usage less another one."""
    return (one[0] - other[0], one[1] - other[1], one[2] - other[2])
