"""Processor time of one gateway VM for each relayed request and each relayed event.

python -m bench.gateway_relay
"""

from __future__ import annotations

import tempfile
from pathlib import Path

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


async def measure(requests: int, streams: int, events: int) -> None:
    """Print what a lookup and an event cost."""
    callers, peers = free_ports(2)
    async with serve_store() as served:
        served.app.configure(first_config())
        books = ServerStandIn("b", "books", "north-1", served.app, work_ms=0, slots=64)
        model = ServerStandIn("m", "model", "north-1", served.app, events=events, slots=64)
        async with serve_server(books), serve_server(model):
            cfg = Settings(
                vm=VmSettings(name="n", region="north", data_centre="north-1", peer_port=peers),
                platform=PlatformSettings(urls=(served.url,), prefix="hickorybeam/"),
                peers=PeerSettings(tls=TlsSettings(plain=True)),
                gateway=GatewaySettings(callers=f"127.0.0.1:{callers}", regions=REGIONS),
                log=LogSettings(level="warning"),
            )
            with tempfile.TemporaryDirectory() as folder:
                child = start_daemon(cfg, Path(folder) / "n.json")
                try:
                    await anyio.sleep(3)
                    idle = cpu_ms(child.pid)
                    await anyio.sleep(2)
                    idle = (cpu_ms(child.pid) - idle) / 2
                    for name, count, path, tokens, per in (
                        ("lookup", requests, "/look/x", None, 1),
                        ("event", streams, "/chat/x", b"50,10", events),
                    ):
                        spent, took = await _ask(child.pid, callers, count, path, tokens)
                        cost = (spent - idle * took) / (count * per)
                        print(f"{name}: {cost:.3f} ms of processor ({count} requests)")
                finally:
                    child.kill()
                    child.wait()


async def _ask(
    pid: int, port: int, count: int, path: str, tokens: bytes | None
) -> tuple[float, float]:
    clock = SystemClock()
    pool = UpstreamPool(clock, connect_ms=1_000, silent_ms=5_000)
    begun, before = clock.now(), cpu_ms(pid)
    limit = anyio.Semaphore(4)

    async def one(number: int) -> None:
        async with limit:
            headers = caller_headers(f"{number:016x}", key="small", wait_ms=2_900, tokens=tokens)
            conn = await pool.acquire(("127.0.0.1", port))
            method = "GET" if tokens is None else "POST"
            conn.send(request_bytes(method, path.encode(), headers, b""))
            head = await conn.read_head()
            await conn.read_body()
            if head.status != 200:
                raise RuntimeError(f"status {head.status}")
            pool.release(("127.0.0.1", port), conn)

    async with anyio.create_task_group() as tg:
        for number in range(count):
            tg.start_soon(one, number)
    return cpu_ms(pid) - before, (clock.now() - begun) / 1000


def main(requests: int = 3_000, streams: int = 60, events: int = 200) -> None:
    """Measure once."""
    anyio.run(measure, requests, streams, events)


if __name__ == "__main__":
    fire.Fire(main)
