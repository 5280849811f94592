"""A small gateway of two regions, with links between their VMs that can be harmed."""

from __future__ import annotations

from contextlib import AsyncExitStack, asynccontextmanager
from itertools import permutations

import anyio

from hickorybeam.clock import SystemClock
from hickorybeam.demo.platform import start_platform_fleet
from hickorybeam.http1 import HttpServer
from hickorybeam.standins.links import LinkedStore, Links

NORTH, SOUTH, SECOND = "n1", "s1", "s2"
TIMEOUT_MS = 6_000
CENTRES = {NORTH: "north-1", SOUTH: "south-1"}
SECOND_CENTRE = "south-1"


@asynccontextmanager
async def linked_gateway(*, service="model", second=False):
    """Run a store, a VM and a server in each region; the northern one isn't registered.

    :param second: run another VM in the south.
    """
    centres = {**CENTRES, SECOND: SECOND_CENTRE} if second else CENTRES
    async with AsyncExitStack() as stack:
        tg = await stack.enter_async_context(anyio.create_task_group())
        stack.callback(tg.cancel_scope.cancel)
        fleet = await stack.enter_async_context(start_platform_fleet())
        fleet.links = links = Links()
        for route in fleet.config["routes"]:
            route["timeout-ms"] = TIMEOUT_MS
        fleet.config["version"] += 1
        fleet.configure()
        for pair in permutations(centres, 2):
            await links.add(tg, *pair)
        await fleet.add_server("m9", service, CENTRES[SOUTH])
        late = await fleet.add_server("m1", service, CENTRES[NORTH])
        late.withdraw()
        for name, centre in centres.items():
            store = LinkedStore(fleet.app, links, name)
            server = HttpServer(store.answer, clock=SystemClock(), tasks=tg)
            await server.listen("127.0.0.1", 0)
            fleet.url = f"http://127.0.0.1:{server.port}"
            await fleet.add_vm(name, centre)
        await fleet.until(lambda: knows_southern_server(fleet, service))
        yield fleet


def knows_southern_server(fleet, service):
    """Return whether the northern VM may send requests to the south."""
    vm = fleet.vms[NORTH]
    peers = vm.fleet.peers.by_name.values()
    has_config = vm.routing_state.config is not None
    has_no_other = "m1" not in vm.routing_state.server_states
    has_all = vm.fleet.live_vm_count() == len(fleet.vms)
    has_forecast = any(service in (it.forecasts or {}) for it in peers)
    return has_config and has_no_other and has_all and has_forecast


def spans_of(fleet, request_id):
    """Return the runs of a request, by their begin."""
    spans = [it for server in fleet.servers.values() for it in server.spans]
    return sorted((it for it in spans if it.request_id == request_id), key=lambda it: it.began_ms)
