"""What a prompt costs a region's VMs when it is served, and when it is refused for want of a slot.

    python -m bench.overload_cost

Five VM processes of one region before stand-in servers, one of them the placement coordinator. The
processor time is that of all five, less what they spend without callers. In the second round every
slot is held by a request that hangs, so each prompt is refused at once.
"""

from __future__ import annotations

import tempfile
from contextlib import AsyncExitStack
from pathlib import Path
from typing import TYPE_CHECKING

import anyio
import fire
from bench.gateway_cost import start_daemon
from bench.processes import cpu_ms

from hickorybeam.clock import SystemClock
from hickorybeam.demo.deployment import free_ports
from hickorybeam.http1 import UpstreamPool
from hickorybeam.http1.head import request_bytes
from hickorybeam.settings import (
    GatewaySettings,
    LogSettings,
    PeerSettings,
    PlatformSettings,
    Settings,
    TlsSettings,
    VmSettings,
)
from hickorybeam.standins.deployment import REGIONS, caller_headers, first_config
from hickorybeam.standins.keyvalue import serve_store
from hickorybeam.standins.server import ServerStandIn, serve_server

if TYPE_CHECKING:
    import subprocess

VMS = 5
SERVERS = 14
SLOTS = 4
EVENTS = 10
SETTLE_S = 6
IDLE_S = 3
CALLERS = 8
HUNG_WAIT_MS = 120_000
OK, REFUSED = 200, 503


class Region:
    """The VM processes of one region, and the ports on which callers reach them."""

    def __init__(self, children: list[subprocess.Popen[bytes]], ports: list[int]) -> None:
        self._children = children
        self._ports = ports
        self._pool = UpstreamPool(SystemClock(), connect_ms=1_000, silent_ms=HUNG_WAIT_MS)

    def cpu_ms(self) -> float:
        """Return the processor time that all VMs have used."""
        return sum(cpu_ms(child.pid) for child in self._children)

    async def ask(self, number: int, *, wait_ms: int) -> int:
        """Send a prompt to one of the VMs and return the status of its response."""
        address = ("127.0.0.1", self._ports[number % len(self._ports)])
        headers = caller_headers(f"{number:016x}", key="large", wait_ms=wait_ms, tokens=b"3020,40")
        part = (b"x-hickorybeam-prompt-prefix", b"5c1e:3000,%x:20" % number)
        conn = await self._pool.acquire(address)
        conn.send(request_bytes("POST", b"/chat/x", (*headers, part), b"{}"))
        head = await conn.read_head()
        await conn.read_body()
        self._pool.release(address, conn)
        return head.status

    async def cost_ms(self, numbers: range, status: int, idle_ms_per_s: float) -> float:
        """Return the processor time of a prompt; all are expected to end with a status."""
        clock, limit = SystemClock(), anyio.Semaphore(CALLERS)
        began_ms, before = clock.now(), self.cpu_ms()

        async def one(number: int) -> None:
            async with limit:
                found = await self.ask(number, wait_ms=2_900)
            if found != status:
                raise RuntimeError(f"prompt {number}: status {found}, expected {status}")

        async with anyio.create_task_group() as tg:
            for number in numbers:
                tg.start_soon(one, number)
        took_s = (clock.now() - began_ms) / 1000
        return (self.cpu_ms() - before - idle_ms_per_s * took_s) / len(numbers)


async def measure(prompts: int) -> None:
    """Print what a served and a refused prompt cost."""
    async with AsyncExitStack() as stack:
        served = await stack.enter_async_context(serve_store())
        served.app.configure(first_config())
        servers = [
            ServerStandIn(f"m{number}", "model", "north-1", served.app, events=EVENTS, slots=SLOTS)
            for number in range(SERVERS)
        ]
        for server in servers:
            await stack.enter_async_context(serve_server(server))
        region = start_region(stack, served.url)
        await anyio.sleep(SETTLE_S)
        before = region.cpu_ms()
        await anyio.sleep(IDLE_S)
        idle = (region.cpu_ms() - before) / IDLE_S
        cost_served = await region.cost_ms(range(prompts), OK, idle)
        print(f"served, {EVENTS} events: {cost_served:.3f} ms of processor a prompt")
        async with anyio.create_task_group() as tg:
            for server in servers:
                server.faults.hung = 10 * SLOTS
            held = SERVERS * (2 * SLOTS)
            for number in range(held):
                tg.start_soon(lambda n=number: region.ask(1_000_000 + n, wait_ms=2_900))
            await anyio.sleep(1)
            refused = await region.cost_ms(range(prompts, 2 * prompts), REFUSED, idle)
            print(f"refused: {refused:.3f} ms of processor a prompt")
            print(f"a refusal costs {refused / cost_served:.2f} of a served prompt")
            tg.cancel_scope.cancel()


def start_region(stack: AsyncExitStack, store_url: str) -> Region:
    """Start the VM processes; the stack ends them."""
    folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
    ports = free_ports(2 * VMS)
    children = []
    for number in range(VMS):
        cfg = Settings(
            vm=VmSettings(
                name=f"n{number}",
                region="north",
                data_centre="north-1",
                peer_port=ports[VMS + number],
            ),
            platform=PlatformSettings(urls=(store_url,), prefix="hickorybeam/"),
            peers=PeerSettings(tls=TlsSettings(plain=True)),
            gateway=GatewaySettings(callers=f"127.0.0.1:{ports[number]}", regions=REGIONS),
            log=LogSettings(level="warning"),
        )
        child = start_daemon(cfg, folder / f"n{number}.json")
        stack.callback(child.wait)
        stack.callback(child.kill)
        children.append(child)
    return Region(children, ports[:VMS])


def main(prompts: int = 300) -> None:
    """Measure once."""
    anyio.run(measure, prompts)


if __name__ == "__main__":
    fire.Fire(main)
