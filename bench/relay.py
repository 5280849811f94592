"""What one entry VM adds to a call, and what relaying costs.

One process runs the engine, one the gateway (real front, dispatch-free pass-through, real
backends), and this one the load. Prints a table. Run it as
``python bench/relay.py [--streams 2000] [--profile out/relay.prof]``.
"""

from __future__ import annotations

import contextlib
import cProfile
import os
import signal
import statistics
import subprocess
import sys
import time
from contextlib import aclosing
from pathlib import Path
from typing import TYPE_CHECKING, Any

import anyio
import fire
import httpcore
import msgspec

from hickorybeam.backends import BackendsService
from hickorybeam.clock import SystemClock
from hickorybeam.front import FrontService
from hickorybeam.kernel import Kernel, Service
from hickorybeam.model import (
    BackendKind,
    BackendServer,
    ClientAccount,
    ClientKey,
    ConfigState,
    ModelService,
    Region,
    Versioned,
    key_digest,
    ref_of,
)
from hickorybeam.ports import CONFIG, DISPATCH
from hickorybeam.settings import FrontSettings, PlatformSettings, Settings, VmSettings
from hickorybeam.telemetry import Counters

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator

SECRET = "sk-bench"
TICK = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")
ENGINE_ARGS = ("--slots", "4000", "--step_ms", "1", "--per_sequence_ms", "0")


class Config(Service):
    """One account, one key, one model."""

    name = CONFIG

    def __init__(self, port: int) -> None:
        engine = BackendServer(
            name="engine",
            kind=BackendKind.ENGINE,
            region="here",
            data_centre="dc",
            host="127.0.0.1",
            port=port,
            serves=("small",),
        )
        objects = (
            Region(name="here", data_centres=("dc",)),
            ClientAccount(name="a", rate=1e9, burst=1e9),
            ClientKey(name=key_digest(SECRET), account="a"),
            ModelService(name="small", regions=("here",)),
            engine,
        )
        self.engine = engine
        self.state = ConfigState(1, 1, {ref_of(obj): Versioned(1, obj) for obj in objects})

    def current(self) -> ConfigState:
        """Return the state."""
        return self.state

    def age_ms(self) -> int:
        """Say that it is fresh."""
        return 0

    async def wait_for(self, position: int, *, timeout_ms: int) -> ConfigState:
        """Return the state."""
        return self.state

    async def wait_past(self, position: int) -> ConfigState:
        """Nothing ever changes."""
        if position >= self.state.position:
            await anyio.sleep_forever()
        return self.state

    async def submit(self, ticket: Any) -> int:
        """Take nothing."""
        return 1


class PassThrough(Service):
    """Sends every call to the engine, so that the figures are those of front and backends."""

    name = DISPATCH

    def __init__(self, backends: BackendsService, engine: BackendServer) -> None:
        self.backends = backends
        self.engine = engine

    async def run(self, call: Any) -> AsyncIterator[Any]:
        """Run a call at the engine."""
        async with aclosing(self.backends.run(call, self.engine)) as parts:  # type: ignore
            async for part in parts:
                yield part


async def gateway(engine_port: int) -> None:
    """Run the gateway until the process is told to end."""
    clock = SystemClock()
    cfg = Settings(
        vm=VmSettings(name="vm", region="here", data_centre="dc"),
        platform=PlatformSettings(urls=()),
        front=FrontSettings(max_connections_per_address=10_000, memory_bytes=1_000_000_000),
    )
    counters = Counters()
    common: dict[str, Any] = {"cfg": cfg, "clock": clock, "counters": counters}
    backends = BackendsService(**common)
    config = Config(engine_port)
    front = FrontService(**common)
    kernel = Kernel(clock)
    for service in (config, backends, PassThrough(backends, config.engine), front):
        kernel.add(service)
    with anyio.open_signal_receiver(signal.SIGTERM) as signals:
        async with anyio.create_task_group() as tg:
            tg.start_soon(
                lambda: kernel.run(
                    ready=lambda: print(f"listening on 127.0.0.1:{front.port}", flush=True)
                )
            )
            async for _ in signals:
                tg.cancel_scope.cancel()
                return


def run_gateway(engine_port: int, profile: str = "") -> None:
    """Entry point of the gateway's process."""
    if not profile:
        anyio.run(gateway, engine_port)
        return
    profiler = cProfile.Profile()
    profiler.enable()
    anyio.run(gateway, engine_port)
    profiler.disable()
    profiler.dump_stats(profile)


@contextlib.contextmanager
def process(*args: str) -> Iterator[tuple[int, int]]:
    """Start a process that prints its port; yield pid and port."""
    proc = subprocess.Popen([sys.executable, *args], stdout=subprocess.PIPE, text=True)
    try:
        assert proc.stdout is not None
        line = proc.stdout.readline()
        yield proc.pid, int(line.rpartition(":")[2])
    finally:
        proc.terminate()
        proc.wait(10)


def cpu_s(pid: int) -> float:
    """Return processor seconds that a process used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICK


def resident(pid: int) -> int:
    """Return bytes of memory that a process holds."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE


def request_of(port: int, *, tokens: int, stream: bool) -> httpcore.Request:
    """Return one chat call."""
    messages = [{"role": "user", "content": "hello " * 40}]
    body = {"model": "small", "messages": messages, "max_tokens": tokens, "stream": stream}
    data = msgspec.json.encode(body)
    headers = {
        "host": "x",
        "authorization": f"Bearer {SECRET}",
        "content-type": "application/json",
        "content-length": str(len(data)),
    }
    url = f"http://127.0.0.1:{port}/v1/chat/completions"
    return httpcore.Request("POST", url, headers=headers, content=data)


async def latencies(port: int, count: int) -> list[float]:
    """Return ms of one-token calls, one after the other."""
    found = []
    async with httpcore.AsyncConnectionPool(max_connections=1) as pool:
        for number in range(count + 20):
            begun = time.perf_counter()
            response = await pool.handle_async_request(request_of(port, tokens=1, stream=True))
            await response.aread()
            await response.aclose()
            assert response.status == 200, response.status
            if number >= 20:
                found.append((time.perf_counter() - begun) * 1000)
    return sorted(found)


async def hold(port: int, *, streams: int, tokens: int, seen: list[int]) -> None:
    """Open many streams at once and read all of them to their end."""

    async def read() -> None:
        conn = httpcore.AsyncHTTPConnection(httpcore.Origin(b"http", b"127.0.0.1", port))
        response = await conn.handle_async_request(request_of(port, tokens=tokens, stream=True))
        assert response.status == 200, await response.aread()
        last = b""
        async for chunk in response.aiter_stream():
            last = (last + chunk)[-20:]
        assert last.endswith(b"data: [DONE]\n\n"), last
        seen.append(1)
        await conn.aclose()

    async with anyio.create_task_group() as tg:
        for number in range(streams):
            tg.start_soon(read)
            if number % 50 == 49:
                await anyio.sleep(0.02)


def pick(values: list[float], quantile: float) -> float:
    """Return a quantile of sorted values."""
    return values[min(len(values) - 1, int(len(values) * quantile))]


def row(name: str, value: str) -> None:
    """Print one line of the table."""
    print(f"{name:<52} {value:>18}")


def main(
    streams: int = 2_000, tokens: int = 40, calls: int = 400, profile: str = "", steps: int = 250
) -> None:
    """Print the table.

    :param tokens: tokens of each of the many streams.
    :param steps: ms between two tokens of a stream while many are open.
    """
    bench = str(Path(__file__))
    with process("-m", "hickorybeam.standins.engine", *ENGINE_ARGS) as (_, engine):
        args = ["gateway", str(engine)] + ([profile] if profile else [])
        with process(bench, *args) as (pid, port):
            direct = anyio.run(latencies, engine, calls)
            begun = cpu_s(pid)
            through = anyio.run(latencies, port, calls)
            per_call = (cpu_s(pid) - begun) / (calls + 20) * 1e6
            for quantile, name in ((0.5, "median"), (0.99, "99th percentile")):
                added = pick(through, quantile) - pick(direct, quantile)
                row(f"added latency, {name}", f"{added:.2f} ms")
            row("direct, median", f"{statistics.median(direct):.2f} ms")
            row("processor for a one-token call", f"{per_call:.0f} us")
            long = 2_000
            begun = cpu_s(pid)
            wall = time.perf_counter()
            anyio.run(lambda: hold(port, streams=32, tokens=long, seen=[]))
            wall = time.perf_counter() - wall
            used = cpu_s(pid) - begun
            row("processor for a relayed token, 32 streams", f"{used / 32 / long * 1e6:.1f} us")
            row("tokens a second, 32 streams (engine's pace)", f"{32 * long / wall:.0f}")
            row("tokens a second that one core could relay", f"{32 * long / used:.0f}")
    slow = (*ENGINE_ARGS[:2], "--step_ms", str(steps), "--per_sequence_ms", "0")
    with (
        process("-m", "hickorybeam.standins.engine", *slow) as (_, engine),
        process(bench, "gateway", str(engine)) as (pid, port),
    ):
        many_streams(pid, port, streams=streams, tokens=tokens)


def many_streams(pid: int, port: int, *, streams: int, tokens: int) -> None:
    """Hold many streams open and print what each takes."""
    anyio.run(lambda: hold(port, streams=8, tokens=2, seen=[]))
    idle = resident(pid)
    begun = cpu_s(pid)
    wall = time.perf_counter()
    seen: list[int] = []
    most = 0

    async def watched() -> None:
        nonlocal most
        async with anyio.create_task_group() as tg:
            tg.start_soon(sample)
            await hold(port, streams=streams, tokens=tokens, seen=seen)
            tg.cancel_scope.cancel()

    async def sample() -> None:
        nonlocal most
        while True:
            most = max(most, resident(pid))
            await anyio.sleep(0.2)

    anyio.run(watched)
    wall = time.perf_counter() - wall
    used = cpu_s(pid) - begun
    row(f"whole streams of {streams} open at once", str(len(seen)))
    row("memory for an open stream", f"{(most - idle) / streams / 1024:.1f} KiB")
    row("processor for a token, all included", f"{used / streams / tokens * 1e6:.1f} us")
    row("tokens a second", f"{streams * tokens / wall:.0f}")


if __name__ == "__main__":
    if sys.argv[1:2] == ["gateway"]:
        run_gateway(int(sys.argv[2]), *sys.argv[3:])
    else:
        fire.Fire(main)
