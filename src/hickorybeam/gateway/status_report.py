"""What VMs tell each other in datagrams."""

from __future__ import annotations

from enum import Enum

import msgspec

from hickorybeam.model.routing import GatewayVm  # noqa: TC001 - msgspec reads the annotation

__all__ = (
    "NO_USAGE",
    "Audience",
    "GrantedUsage",
    "WaitForecast",
    "ServerUsage",
    "StatusReport",
    "add_usage",
    "subtract_usage",
)

# Requests that run at a server, prompt tokens that are still to be read there, tokens held.
ServerUsage = tuple[int, int, int]
NO_USAGE: ServerUsage = (0, 0, 0)
# Figures of places that other VMs gave, by the giver's name and the server's id.
GrantedUsage = dict[str, dict[str, ServerUsage]]
# How long an empty prompt would wait in a region, in ms, and how many requests run at the server
# where it would.
WaitForecast = tuple[int, int]


class Audience(Enum):
    """Whom a VM tells: its data centre, its region's others, or other regions."""

    NEAR = "near"
    ASIDE = "aside"
    FAR = "far"


class StatusReport(msgspec.Struct, frozen=True, array_like=True, tag="tell"):
    """What a VM says of itself.

    Where ``whole`` is false, ``spent`` and ``servers`` hold only what changed since it was told
    last; a lost datagram is made good by the next whole one. ``follows``: it watches the store
    and reaches it. ``cold`` tells for how many ms servers stay cold that it found so itself; told
    on by others, it would grow by the way of each word. ``granted`` is what this VM has at servers
    by places that others gave it, by their names, and no part of ``servers``.
    """

    name: str
    incarnation: str
    up_ms: int
    leaving: bool
    revision: int
    fresh: bool
    spent: dict[str, float]
    servers: dict[str, ServerUsage]
    forecasts: dict[str, WaitForecast]
    whole: bool = True
    levels: dict[str, float] | None = None
    vm: GatewayVm | None = None
    holds: dict[str, str] = {}
    relayed: list[StatusReport] = []
    follows: bool = False
    cold: dict[str, int] = {}
    granted: GrantedUsage = {}


def add_usage(one: ServerUsage, other: ServerUsage) -> ServerUsage:
    """Return the sum of two figures."""
    return (one[0] + other[0], one[1] + other[1], one[2] + other[2])


def subtract_usage(one: ServerUsage, other: ServerUsage) -> ServerUsage:
    """Return what is left of figures."""
    return (one[0] - other[0], one[1] - other[1], one[2] - other[2])
