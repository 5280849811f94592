"""A fault of the gateway's soak in which one request ends servers and is repeated.

Its caller sends it again under a new id as soon as it fails, at any VM, while VMs are killed or the
store is silent; sound requests differ from it by their bodies alone.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from bench.soak.crashes import disturb

from hickorybeam.standins.crashes import CrashPoint

if TYPE_CHECKING:
    from bench.soak.target import SoakTarget

    from hickorybeam.standins.server import ServerStandIn

__all__ = ("check_repeated_requests", "repeat_request")

# Paths and the services that serve them.
SERVICES = {"/chat/x": "model", "/plan/x": "model", "/look/x": "books", "/order/x": "books"}
REPEATS = 40
REPEAT_EVERY_S = 0.1
WAIT_MS = 1_000
SOUND_REQUESTS = 12
MIN_SOUND_SERVED = 0.5
# Servers that may end under one request, and the time in which VMs that were killed or had no store
# may still have to hear of the last end.
ENDS_TO_LEARN = 3
CONTACT_MS = 2_000


async def repeat_request(soak: SoakTarget) -> None:
    """Let one request end servers, and repeat it, while VMs or the store fail beside it."""
    path = soak.rng.choice(list(SERVICES))
    number = soak.rng.randrange(16**6)
    bad, sound = b'{"n": "%06x"}' % number, b'{"n": "%06x"}' % (number ^ 1)
    point = soak.rng.choice(list(CrashPoint))
    for server in servers_of(soak, path):
        server.crash.bodies |= {bad}
        server.crash.point = point
    async with anyio.create_task_group() as tg:
        tg.start_soon(disturb, soak)
        for _ in range(REPEATS):
            await soak.send(path, "small", WAIT_MS, bad)
            await anyio.sleep(soak.rng.choice((0.0, REPEAT_EVERY_S)))
    disturbed = soak.disturbed
    served = 0
    for _ in range(SOUND_REQUESTS):
        answer = await soak.send(path, "small", WAIT_MS, sound)
        served += answer.whole and answer.status == 200
    if served < SOUND_REQUESTS * MIN_SOUND_SERVED and not disturbed and not soak.disturbed:
        soak.broken(f"{served} of {SOUND_REQUESTS} sound requests beside {bad!r} were served")


def servers_of(soak: SoakTarget, path: str) -> list[ServerStandIn]:
    """Return the servers of the service that serves a path."""
    return [it for it in soak.servers if it.service == SERVICES[path]]


def check_repeated_requests(soak: SoakTarget) -> None:
    """Judge how often servers got requests under which three of them had ended."""
    for body in set().union(*(it.crash.bodies for it in soak.servers)):
        times = sorted(it.at_ms for server in soak.servers for it in server.ran if it.body == body)
        soak.count(f"ends under a request: {len(times)}")
        if len(times) <= ENDS_TO_LEARN:
            continue
        late = [it for it in times if it > times[ENDS_TO_LEARN - 1] + CONTACT_MS]
        if late:
            soak.broken(f"{body!r} reached servers {len(late)} times after three had ended")
