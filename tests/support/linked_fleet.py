"""A gateway whose links, between VMs and from each VM to the store, can be harmed."""

from __future__ import annotations

from contextlib import AsyncExitStack, asynccontextmanager
from itertools import permutations

import anyio

from hickorybeam.clock import SystemClock
from hickorybeam.demo.platform import start_platform_fleet
from hickorybeam.http1 import HttpServer
from hickorybeam.standins.deployment import REGIONS
from hickorybeam.standins.links import LinkedStore, LinkHarm, Links

# One way between two regions.
REGIONS_APART = LinkHarm(delay_ms=40)


@asynccontextmanager
async def linked_fleet(places):
    """Run VMs, given by name and data centre, with a link between each two and to the store."""
    async with AsyncExitStack() as stack:
        tg = await stack.enter_async_context(anyio.create_task_group())
        stack.callback(tg.cancel_scope.cancel)
        rig = await stack.enter_async_context(start_platform_fleet())
        rig.links, rig.stores, rig.out_of_step = Links(), {}, set()
        for (name, centre), (other, other_centre) in permutations(places, 2):
            await rig.links.add(tg, name, other)
            if REGIONS[centre] != REGIONS[other_centre]:
                rig.links.way(name, other).apply(REGIONS_APART)
        for name, centre in places:
            store = rig.stores[name] = LinkedStore(rig.app, rig.links, name)
            server = HttpServer(store.answer, clock=SystemClock(), tasks=tg)
            await server.listen("127.0.0.1", 0)
            rig.url = f"http://127.0.0.1:{server.port}"
            await rig.add_vm(name, centre)
        yield rig


def cut_from_vms(rig, names):
    """Silence all links between some VMs and the others; those among them stay whole."""
    for name in names:
        for other in set(rig.vms) - set(names):
            rig.links.way(name, other).apply(LinkHarm(silent=True))
            rig.links.way(other, name).apply(LinkHarm(silent=True))
    rig.out_of_step |= set(names)


def harm_store(rig, names, harm):
    """Harm the ways between some VMs and the store, both ways."""
    for name in names:
        rig.stores[name].harm = harm
    rig.out_of_step |= set(names)
