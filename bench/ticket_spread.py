"""How soon after its submission a ticket is in force everywhere, and what a change costs.

Usage: ``python bench/ticket_spread.py [--sizes 1x9,4x9] [--changes 40]``; a size is VMs in
each data centre x data centres. All VMs live in this process and speak to a served stand-in
platform and to each other over loopback. The second table compares reading one ticket with
reading the whole state, with the readers of each way at 9 and at 390 VMs.
"""

from __future__ import annotations

import argparse
import random
import statistics
import time
from dataclasses import dataclass, field

import anyio

from hickorybeam.clock import SystemClock
from hickorybeam.errors import GatewayError
from hickorybeam.kernel import Kernel
from hickorybeam.model import (
    BackendKind,
    BackendServer,
    ChangeTicket,
    ClientAccount,
    ClientKey,
    ModelService,
    Region,
    key_digest,
)
from hickorybeam.peers import MembersService, PeersService
from hickorybeam.settings import PeerSettings, PlatformSettings, Settings, TlsSettings, VmSettings
from hickorybeam.standins import platform as standin
from hickorybeam.standins.platform import MemoryPlatform, PlatformStandIn
from hickorybeam.store.etcd import EtcdPlatform
from hickorybeam.telemetry import Counters
from hickorybeam.tickets import ConfigService, LogState, apply
from hickorybeam.tickets.codec import LogEntry
from hickorybeam.tickets.log import TicketLog

SETTLE_MS = 8_000
GAP_MS = 250
REPEATS = 20
# Readers of the platform: two watchers in each of nine data centres, or every VM.
FLEETS = ((9, 9), (390, 18))


@dataclass(slots=True)
class Node:
    """One VM as far as tickets need it."""

    kernel: Kernel
    config: ConfigService
    members: MembersService
    reached: dict[int, float] = field(default_factory=dict)

    async def observe(self) -> None:
        """Note when each position came into force."""
        position = 0
        while True:
            state = await self.config.wait_past(position)
            now = time.perf_counter()
            for passed in range(position + 1, state.position + 1):
                self.reached[passed] = now
            position = state.position


def make_node(url: str, name: str, data_centre: str) -> Node:
    clock, counters = SystemClock(), Counters()
    cfg = Settings(
        vm=VmSettings(name=name, region=f"r{int(data_centre[1:]) // 3}", data_centre=data_centre),
        platform=PlatformSettings(urls=(url,)),
        peers=PeerSettings(tls=TlsSettings(plain=True)),
    )
    kernel = Kernel(clock)
    config = ConfigService(cfg=cfg, clock=clock, counters=counters)
    members = MembersService(cfg=cfg, clock=clock, counters=counters)
    kernel.add(EtcdPlatform(cfg=cfg, clock=clock, counters=counters))
    kernel.add(config)
    kernel.add(PeersService(cfg=cfg, clock=clock, counters=counters))
    kernel.add(members)
    return Node(kernel, config, members)


async def spread(per_centre: int, centres: int, changes: int) -> None:
    """Run one fleet and print its row."""
    clock, rng = SystemClock(), random.Random(1)
    async with standin.serve() as served, anyio.create_task_group() as tg:
        nodes = [
            make_node(served.url, f"vm-{centre}-{index}", f"d{centre}")
            for centre in range(centres)
            for index in range(per_centre)
        ]
        for node in nodes:
            ready = anyio.Event()
            tg.start_soon(lambda node=node, ready=ready: node.kernel.run(ready=ready.set))
            await ready.wait()
            node.members.announce_serving(http_port=1)
            tg.start_soon(node.observe)
        await clock.sleep(SETTLE_MS)
        idle, idle_bytes = await count_idle(served, clock, changes * GAP_MS)
        submitted: dict[int, float] = {}
        before, sent = served.stand_in.calls.copy(), served.stand_in.bytes_sent
        begun = time.perf_counter()
        for number in range(1, changes + 1):
            account = ClientAccount(name=f"acc-{number % 5}", rate=float(number), burst=100.0)
            node = rng.choice(nodes)
            sent_at = time.perf_counter()
            position = await node.config.submit(ChangeTicket(number=number, accounts=(account,)))
            submitted[position] = sent_at
            await clock.sleep(GAP_MS)
        busy_ms = (time.perf_counter() - begun) * 1000
        calls = served.stand_in.calls - before
        sent = served.stand_in.bytes_sent - sent
        await clock.sleep(SETTLE_MS)
        delays = sorted(
            max(0.0, (node.reached.get(position, float("inf")) - at) * 1000)
            for position, at in submitted.items()
            for node in nodes
        )
        extra = sum(calls.values()) - idle * busy_ms / 1000
        sent -= idle_bytes * busy_ms / 1000
        p95, p99 = (delays[int(len(delays) * share)] for share in (0.95, 0.99))
        late = sum(delay == float("inf") for delay in delays)
        print(
            f"{len(nodes):4d} VMs {centres} centres  p50 {statistics.median(delays):7.1f} ms"
            f"  p95 {p95:7.1f}  p99 {p99:7.1f}"
            f"  max {delays[-1]:7.1f}  never {late}  | watches {served.stand_in.open_watches}"
            f"  idle calls/s {idle:5.1f}  calls/change {extra / changes:5.1f}"
            f"  bytes/change {sent / changes:8.0f}",
            flush=True,
        )
        tg.cancel_scope.cancel()


async def count_idle(
    served: standin.ServedPlatform, clock: SystemClock, ms: float
) -> tuple[float, float]:
    """Return calls and bytes per second of a fleet at rest, registrations and leases included."""
    calls, sent = sum(served.stand_in.calls.values()), served.stand_in.bytes_sent
    await clock.sleep(ms)
    seconds = ms / 1000
    calls = sum(served.stand_in.calls.values()) - calls
    return calls / seconds, (served.stand_in.bytes_sent - sent) / seconds


def state_of(accounts: int, keys: int, engines: int, models: int) -> LogState:
    ticket = ChangeTicket(
        number=1,
        regions=tuple(Region(name=f"r{i}", data_centres=(f"d{i}",)) for i in range(3)),
        accounts=tuple(
            ClientAccount(name=f"acc-{i}", rate=10.0, burst=50.0) for i in range(accounts)
        ),
        keys=tuple(
            ClientKey(name=key_digest(str(i)), account=f"acc-{i % accounts}") for i in range(keys)
        ),
        models=tuple(ModelService(name=f"m{i}", regions=("r0", "r1")) for i in range(models)),
        backends=tuple(
            BackendServer(
                name=f"e{i}",
                kind=BackendKind.ENGINE,
                region=f"r{i % 3}",
                data_centre=f"d{i % 3}",
                host="127.0.0.1",
                port=1,
                serves=(f"m{i % models}",),
            )
            for i in range(engines)
        ),
    )
    return apply(LogState(), ticket)


async def compare(title: str, state: LogState) -> None:
    """Print what one reader takes for one change in both ways, and all readers together."""
    stand_in = PlatformStandIn(SystemClock())
    platform = MemoryPlatform(stand_in)
    log = TicketLog(platform)
    key = next(iter(state.config.keys.values()))
    entry = LogEntry(state.position + 1, ChangeTicket(number=2, keys=(key,)))
    await log.append(await log.head(), entry)
    await log.compact(state)
    rows = []
    for name, read in (
        ("one ticket", lambda: log.entries(state.position)),
        ("whole state", log.snapshot),
    ):
        calls, sent = sum(stand_in.calls.values()), stand_in.bytes_sent
        begun = time.perf_counter()
        for _ in range(REPEATS):
            await read()
        ms = (time.perf_counter() - begun) * 1000 / REPEATS
        calls = (sum(stand_in.calls.values()) - calls) / REPEATS
        rows.append((name, calls, (stand_in.bytes_sent - sent) / REPEATS, ms))
    for name, calls, size, ms in rows:
        shown = "  ".join(
            f"{vms} VMs: {size * readers / 1000:9.1f} KB by {readers} watchers,"
            f" {size * vms / 1000:10.1f} KB by all"
            for vms, readers in FLEETS
        )
        print(f"{title:10} {name:12} calls {calls:3.1f}  {size:9.0f} B  {ms:7.2f} ms  | {shown}")


async def run(sizes: list[tuple[int, int]], changes: int) -> None:
    for per_centre, centres in sizes:
        try:
            await spread(per_centre, centres, changes)
        except GatewayError as exc:
            print(f"{per_centre}x{centres}: {exc}")
    await compare("today", state_of(5, 20, 12, 4))
    await compare("letter", state_of(850, 2_000, 600, 32))


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", default="1x9,4x9")
    parser.add_argument("--changes", type=int, default=40)
    args = parser.parse_args()
    sizes = [tuple(map(int, size.split("x"))) for size in args.sizes.split(",")]
    anyio.run(run, sizes, args.changes)


if __name__ == "__main__":
    main()
