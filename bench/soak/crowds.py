"""A soak of crowds of clients that don't behave, beside kills, restarts and drains.

    python -m bench.soak.crowds --seed 1 --seconds 20

Three real VM processes of 96 MB and 300 descriptors in two regions. Every second or two, drawn from
the seed, a crowd comes to one port of one VM, stays for a while and leaves; beside it VMs are
killed, stopped in order, paused and started again, and the store falls silent. Ordinary callers go
on. Judged are: no VM ends by itself, none holds more than its memory (with what the kernel received
for it) or its descriptors, nothing stays reserved, refusals as not run are true, orders run once,
ordinary answers are right, and all VMs serve after a calm span.
"""

from __future__ import annotations

import re
import signal
import sys
import tempfile
from contextlib import AsyncExitStack
from dataclasses import replace
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

import anyio
import fire
import httpcore
from bench.crowd import BODY_BYTES, HEAD_BYTES, MB, Crowd, SampledProcess, payloads
from bench.crowd.kinds import KINDS
from bench.soak.gateway import FAULTS, PROMISES_NOT_RUN, SERVERS, Soak

from hickorybeam.standins.keyvalue import serve_store
from hickorybeam.standins.server import ServerStandIn, serve_server

if TYPE_CHECKING:
    import subprocess

    from bench.soak.seen import Seen

    from hickorybeam.settings import Settings

MEMORY_MB = 96
FILE_DESCRIPTORS = 300
MOST_FILES = 240
LIMITS = {
    "max-header-bytes": HEAD_BYTES,
    "max-body-bytes": BODY_BYTES,
    "header-timeout-ms": 3_000,
    "idle-timeout-ms": 6_000,
}
PORTS = ("callers", "ready", "directory", "state", "peers")
SAMPLE_S = 0.05
MOST_CLIENTS = 60
# Chunks of some bytes cost their sender processor time as well.
MOST_SMALL_CHUNK_CLIENTS = 6
BESIDE = ("kill", "stop", "pause", "store_silent")
CROWD_SHARE = 0.7
RESERVED = re.compile(rb"^hickorybeam_intake_bytes (.*)$", re.M)
REQUEST_ID = re.compile(rb"x-hickorybeam-request-id: ([0-9a-f]+)")


class CrowdSoak(Soak):
    """The gateway's soak with crowds, and VMs that know how small they are."""

    def __init__(self, *args: object, **kwargs: object) -> None:
        super().__init__(*args, **kwargs)  # type: ignore[arg-type]
        self.config["limits"] = LIMITS
        self._sampled: list[SampledProcess] = []
        self._crowds: list[Crowd] = []

    def _settings(self, i: int, url: str) -> Settings:
        cfg = super()._settings(i, url)
        vm = replace(cfg.vm, memory_mb=MEMORY_MB, file_descriptors=FILE_DESCRIPTORS)
        return replace(cfg, vm=vm)

    def _start(self, i: int) -> subprocess.Popen[bytes]:
        vm = super()._start(i)
        numbers = self._ports[5 * i : 5 * i + 5]
        sampled = SampledProcess(dict(zip(PORTS, numbers, strict=True)), self._paths[i], MEMORY_MB)
        sampled.process = vm
        self._sampled.append(sampled)
        return vm

    async def run(self, seconds: float) -> None:
        """Play the faults, and watch the processes all the while."""
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._watch)
            await super().run(seconds)
            tg.cancel_scope.cancel()
        self._judge_processes()

    async def _watch(self) -> None:
        while True:
            for sampled in self._sampled:
                if sampled.process is not None and sampled.process.poll() is None:
                    sampled.sample()
            await anyio.sleep(SAMPLE_S)

    async def _fault(self) -> None:
        if self.rng.random() < CROWD_SHARE:
            await self._crowd()
        else:
            name = self.rng.choice(BESIDE)
            print(f"  {name}", flush=True)
            await FAULTS[name](self)

    async def _crowd(self) -> None:
        """Let a crowd come, while a fault may come beside it, and leave."""
        kind, port = self.rng.choice(KINDS), self.rng.choice((*PORTS, "callers", "callers"))
        small = "chunks of 3" in kind or "chunks of 16" in kind or "chunks of 2 " in kind
        count = self.rng.randint(2, MOST_SMALL_CHUNK_CLIENTS if small else MOST_CLIENTS)
        i = self.rng.randrange(self.vm_count)
        key = self.rng.choice(("small", "large", "nobody's"))
        path = self.rng.choice(("/order/x", "/local/x", "/chat/x"))
        number = self._ports[5 * i + PORTS.index(port)]
        print(f"  {count} at vm-{i} {port}: {kind}", flush=True)
        crowd = Crowd(
            number,
            payloads(kind, count, path=path, key=key),
            reads="reads nothing" not in kind,
        )
        async with anyio.create_task_group() as tg:
            tg.start_soon(crowd.come)
            if self.rng.random() < 1 - CROWD_SHARE:
                tg.start_soon(FAULTS[self.rng.choice(BESIDE)], self)
        await anyio.sleep(self.rng.uniform(0.0, 1.0))
        crowd.leave()
        self._note(crowd)

    def _note(self, crowd: Crowd) -> None:
        """Note what the crowd's orders were told."""
        for client in crowd.clients:
            found = REQUEST_ID.findall(client.payload[:HEAD_BYTES])
            if len(found) != 1 or not client.payload.startswith(b"POST /order"):
                continue
            self.seen.outcomes[f"crowd {client.status}"] += 1
            self.seen.orders.add(found[0].decode())
            if client.status in PROMISES_NOT_RUN:
                self.seen.not_run.add(found[0].decode())

    async def _check_recovered(self) -> None:
        await super()._check_recovered()
        async with httpcore.AsyncConnectionPool() as pool:
            for i in range(self.vm_count):
                port = self._ports[5 * i + PORTS.index("peers")]
                answer = await pool.request("GET", f"http://127.0.0.1:{port}/metrics")
                (found,) = RESERVED.findall(answer.content)
                if float(found):
                    self.broken(f"vm-{i} has {found.decode()} bytes reserved after a calm span")

    def _judge_processes(self) -> None:
        for sampled in self._sampled:
            code = None if sampled.process is None else sampled.process.poll()
            if code not in (None, 0, -signal.SIGKILL):
                self.broken(f"{sampled.path.stem} ended by itself with code {code}")
            if sampled.most_bytes > MEMORY_MB * MB:
                held = sampled.most_bytes // MB
                self.broken(f"{sampled.path.stem} held {held} MB of {MEMORY_MB}")
            if sampled.most_files > MOST_FILES:
                self.broken(f"{sampled.path.stem} used {sampled.most_files} descriptors")


async def soak(seed: int, seconds: float, *, logs: str = "") -> Seen:
    """Run one soak and return what was seen.

    :param logs: an existing folder that keeps the VMs' logs.
    """
    async with AsyncExitStack() as stack:
        folder = Path(logs or stack.enter_context(tempfile.TemporaryDirectory()))
        served = await stack.enter_async_context(serve_store())
        run = CrowdSoak(served.app, served.url, folder, seed=seed, north=2)
        for centre in ("north-1", "south-1"):
            for name, service in SERVERS:
                server = ServerStandIn(f"{name}-{centre}", service, centre, served.app)
                run.servers.append(await stack.enter_async_context(serve_server(server)))
        await run.run(seconds)
        run.check_runs()
        return run.seen


def main(seed: int = 1, seconds: float = 20.0, logs: str = "") -> None:
    """Run one soak and print its verdict."""
    seen = anyio.run(partial(soak, seed, seconds, logs=logs))
    print(f"soak of crowds, seed {seed}, {seconds} s: {dict(sorted(seen.outcomes.items()))}")
    for text in seen.violations[:20]:
        print(f"VIOLATED {text}")
    print(f"{len(seen.violations)} violations")
    sys.exit(1 if seen.violations else 0)


if __name__ == "__main__":
    fire.Fire(main)
