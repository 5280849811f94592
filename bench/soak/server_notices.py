"""Faults of the gateway's soak in which servers say of themselves what they need.

Each sets a server up, waits until all VMs have been told, and judges what arrives from then on. No
other fault begins meanwhile.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import anyio

from hickorybeam.standins.server import ServerFaults

if TYPE_CHECKING:
    from bench.soak.target import SoakTarget

    from hickorybeam.standins.server import ServerStandIn

__all__ = ("ask_for_rest", "name_limit", "say_leaving")

# By then every VM of the region has sent to the server or heard of it from another one.
TOLD_AFTER_S = 2.0
LIMITS_PER_S = (0.5, 1.0, 2.1, 6.0)
LIMIT_WINDOW_S = 4.0
LIMIT_RATIO = 1.5
LIMIT_SLACK = 5
REST_S = 5.0
# Requests of one VM that may reach a server in its rest.
REST_SLACK = 2
LEAVING_WATCHED_S = 2.0
ALL = 1_000_000


async def name_limit(soak: SoakTarget) -> None:
    """Let a server name a limit; all VMs together keep to it."""
    server = soak.rng.choice(soak.servers)
    per_s = soak.rng.choice(LIMITS_PER_S)
    server.limit = b"%g" % per_s
    await anyio.sleep(TOLD_AFTER_S)
    arrived = await arrivals_during(server, LIMIT_WINDOW_S)
    server.limit = None
    allowed = LIMIT_RATIO * per_s * LIMIT_WINDOW_S + LIMIT_SLACK
    if arrived > allowed:
        soak.broken(f"{server.id} named {per_s:g} requests/s and got {arrived}, allowed {allowed}")


async def ask_for_rest(soak: SoakTarget) -> None:
    """Let a server turn all VMs away and ask for rest; none of them goes on sending."""
    server = soak.rng.choice(soak.servers)
    server.rest_s, server.faults.full = b"%g" % REST_S, ALL
    await anyio.sleep(TOLD_AFTER_S)
    arrived = await arrivals_during(server, REST_S - TOLD_AFTER_S - 1.0)
    server.rest_s, server.faults = None, ServerFaults()
    allowed = REST_SLACK * soak.vm_count
    if arrived > allowed:
        soak.broken(f"{server.id} asked for rest and got {arrived} requests, allowed {allowed}")


async def say_leaving(soak: SoakTarget) -> None:
    """Let a server say that it is leaving, and start anew afterwards; it gets nothing meanwhile."""
    server = soak.rng.choice(soak.servers)
    server.leaving = True
    await anyio.sleep(TOLD_AFTER_S)
    arrived = await arrivals_during(server, LEAVING_WATCHED_S)
    server.leaving = False
    server.register(cold_ms=500, born=int(time.time() * 1000))
    if arrived:
        soak.broken(f"{server.id} said that it is leaving and got {arrived} requests")


async def arrivals_during(server: ServerStandIn, seconds: float) -> int:
    """Return how many requests reach a server from now on."""
    before = len(server.arrivals)
    await anyio.sleep(seconds)
    return len(server.arrivals) - before
