"""What a whole daemon spends on control while no caller asks: slopes for docs/CAPACITY.md.

Runs real daemon processes over loopback with an embedded platform and engines, lets them
settle, and reads processor time and memory from /proc. Each table varies one size.

    python -m bench.capacity            # all tables, about six minutes
    python -m bench.capacity --tables vms,accounts
"""

from __future__ import annotations

import subprocess
import sys
import tempfile
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, replace
from pathlib import Path
from typing import TYPE_CHECKING

import anyio
import fire
import msgspec
from bench.processes import cpu_ms, rss_mb

from hickorybeam.demo import NO_ANSWER, Caller
from hickorybeam.demo.deployment import free_ports
from hickorybeam.model import (
    BackendKind,
    BackendServer,
    ChangeTicket,
    ClientAccount,
    ModelService,
    Region,
    key_digest,
)
from hickorybeam.settings import (
    FrontSettings,
    PeerSettings,
    PlatformSettings,
    Settings,
    TlsSettings,
    VmSettings,
)
from hickorybeam.standins import engine, platform

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

OPERATOR = "operator-of-this-bench"
SETTLE_S = 8
MEASURE_S = 12
ENGINE_APPS = 4


@dataclass(frozen=True, slots=True, kw_only=True)
class Size:
    """One fleet: its VMs, how many data centres they stand in, accounts and engines."""

    vms: int = 3
    data_centres: int = 1
    accounts: int = 5
    engines: int = 5
    tickets_per_s: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """What one daemon spent, as the mean over all."""

    cpu_ms_per_s: float
    rss_mb: float
    platform_calls_per_s: float


TABLES: dict[str, tuple[Size, ...]] = {
    "vms": tuple(Size(vms=n) for n in (3, 6, 12, 24)),
    "data_centres": tuple(Size(vms=3 * n, data_centres=n) for n in (1, 2, 4, 9)),
    "accounts": tuple(Size(accounts=n) for n in (5, 100, 400, 850)),
    "engines": tuple(Size(engines=n) for n in (5, 20, 67, 200)),
    "tickets": tuple(Size(tickets_per_s=n) for n in (0.0, 0.2, 1.0, 4.0)),
}


def main(tables: str = ",".join(TABLES)) -> None:
    """Print the tables."""
    names = tables if isinstance(tables, tuple) else str(tables).split(",")
    print("cpu in ms a second, memory in MB and platform calls a second, all per VM, no callers")
    for name in names:
        print(f"\n{name:14} {'vms':>4} {'cpu ms/s':>9} {'rss MB':>8} {'calls/s':>8}")
        for size in TABLES[name]:
            row = anyio.run(measure, size)
            print(
                f"{getattr(size, _field(name)):14} {size.vms:4} {row.cpu_ms_per_s:9.1f} "
                f"{row.rss_mb:8.1f} {row.platform_calls_per_s:8.2f}",
                flush=True,
            )


def _field(table: str) -> str:
    return "tickets_per_s" if table == "tickets" else table


async def measure(size: Size) -> Row:
    """Run one fleet and return what a VM spent."""
    async with AsyncExitStack() as stack:
        served = await stack.enter_async_context(platform.serve())
        ports = [
            (await stack.enter_async_context(engine.serve(models=("m",)))).port
            for _ in range(min(size.engines, ENGINE_APPS))
        ]
        children, urls = await stack.enter_async_context(_daemons(size, served.port))
        operator = Caller(OPERATOR)
        await _submit(operator, urls, _ticket(size, ports))
        await anyio.sleep(SETTLE_S)
        calls = served.app.stand_in.calls.total()
        cpu = sum(cpu_ms(child.pid) for child in children)
        async with anyio.create_task_group() as tg:
            tg.start_soon(_change, operator, urls[0], size)
            await anyio.sleep(MEASURE_S)
            tg.cancel_scope.cancel()
        count = len(children) * MEASURE_S
        return Row(
            cpu_ms_per_s=(sum(cpu_ms(child.pid) for child in children) - cpu) / count,
            rss_mb=sum(rss_mb(child.pid) for child in children) / len(children),
            platform_calls_per_s=(served.app.stand_in.calls.total() - calls) / count,
        )


@asynccontextmanager
async def _daemons(
    size: Size, platform_port: int
) -> AsyncIterator[tuple[list[subprocess.Popen[bytes]], list[str]]]:
    ports = free_ports(2 * size.vms)
    children: list[subprocess.Popen[bytes]] = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            for i in range(size.vms):
                cfg = _settings(i, size, ports[2 * i], ports[2 * i + 1], platform_port)
                children.append(_start(cfg, Path(folder)))
            yield children, [f"http://127.0.0.1:{port}" for port in ports[::2]]
        finally:
            for child in children:
                child.kill()
                child.wait()


def _start(cfg: Settings, folder: Path) -> subprocess.Popen[bytes]:
    path = folder / f"{cfg.vm.name}.json"
    path.write_bytes(msgspec.json.encode(cfg))
    cmd = [sys.executable, "-m", "hickorybeam", "run", str(path)]
    return subprocess.Popen(cmd, stderr=subprocess.DEVNULL)


def _settings(i: int, size: Size, http_port: int, peer_port: int, platform_port: int) -> Settings:
    return Settings(
        vm=VmSettings(
            name=f"vm-{i}",
            region="r",
            data_centre=f"dc-{i % size.data_centres}",
            http_port=http_port,
            peer_port=peer_port,
        ),
        platform=PlatformSettings(urls=(f"http://127.0.0.1:{platform_port}",)),
        peers=PeerSettings(tls=TlsSettings(plain=True)),
        front=FrontSettings(operator_keys=(key_digest(OPERATOR),)),
    )


def _ticket(size: Size, ports: list[int]) -> ChangeTicket:
    engines = tuple(
        BackendServer(
            name=f"e-{i}",
            kind=BackendKind.ENGINE,
            region="r",
            data_centre=f"dc-{i % size.data_centres}",
            host="127.0.0.1",
            port=ports[i % len(ports)],
            serves=("m",),
        )
        for i in range(size.engines)
    )
    return ChangeTicket(
        number=1,
        regions=(Region(name="r", data_centres=tuple(f"dc-{i}" for i in range(9))),),
        accounts=tuple(
            ClientAccount(name=f"account-{i}", rate=1000, burst=5000) for i in range(size.accounts)
        ),
        models=(ModelService(name="m", regions=("r",)),),
        backends=engines,
    )


async def _submit(operator: Caller, urls: list[str], ticket: ChangeTicket) -> None:
    with anyio.fail_after(90):
        for url in urls:
            await _until_up(operator, url)
        body = msgspec.to_builtins(ticket)
        reply = await operator.call("POST", f"{urls[0]}/v1/tickets", body)
    if reply.status != 200:
        raise RuntimeError(reply.body.decode())


async def _until_up(operator: Caller, url: str) -> None:
    while True:
        try:
            await operator.call("GET", f"{url}/healthz")
            return
        except NO_ANSWER:
            pass
        await anyio.sleep(0.2)


async def _change(operator: Caller, url: str, size: Size) -> None:
    account = ClientAccount(name="account-0", rate=1000, burst=5000)
    number = 1
    while size.tickets_per_s:
        await anyio.sleep(1 / size.tickets_per_s)
        number += 1
        changed = replace(account, rate=1000 + number)
        body = msgspec.to_builtins(ChangeTicket(number=number, accounts=(changed,)))
        await operator.call("POST", f"{url}/v1/tickets", body)


if __name__ == "__main__":
    fire.Fire(main)
