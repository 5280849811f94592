"""The processes of a soak: daemons as children, stand-ins and relays inside the driver."""

from __future__ import annotations

import signal
import subprocess
import sys
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio
import msgspec

from hickorybeam.demo import start_backends, start_links
from hickorybeam.standins import platform

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

    from hickorybeam.demo import Backends, Deployment, Links
    from hickorybeam.settings import Settings
    from hickorybeam.standins.platform import ServedPlatform

__all__ = ("Process", "SoakFleet", "start")

STOP_S = 40


@dataclass(slots=True)
class Process:
    """One daemon; ``lives`` counts its starts."""

    cfg: Settings
    settings: Path
    log: Path
    child: subprocess.Popen[bytes] | None = None
    lives: int = 0
    paused: bool = False

    def start(self) -> None:
        """Start a new life."""
        self.lives += 1
        cmd = [sys.executable, "-m", "hickorybeam", "run", str(self.settings)]
        with self.log.open("ab") as out:
            self.child = subprocess.Popen(cmd, stdout=out, stderr=out)

    @property
    def alive(self) -> bool:
        """Whether the process runs, paused or not."""
        return self.child is not None and self.child.poll() is None

    def signal(self, signum: signal.Signals) -> None:
        """Send a signal if it runs."""
        if self.alive and self.child is not None:
            self.paused = {signal.SIGSTOP: True, signal.SIGCONT: False}.get(signum, self.paused)
            self.child.send_signal(signum)

    def end(self) -> None:
        """Stop for good: gracefully, then by force."""
        if not self.alive or self.child is None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            self.child.wait(STOP_S)
        except subprocess.TimeoutExpired:
            self.child.kill()
            self.child.wait()


@dataclass(slots=True)
class SoakFleet:
    """Everything that runs, and the switches."""

    deployment: Deployment
    platform: ServedPlatform
    backends: Backends
    links: Links
    processes: dict[str, Process] = field(default_factory=dict)

    def url(self, vm: str) -> str:
        """Return the address of an entry VM for callers."""
        cfg = self.processes[vm].cfg.vm
        return f"http://{cfg.host}:{cfg.http_port}"


@asynccontextmanager
async def start(deployment: Deployment, folder: Path) -> AsyncIterator[SoakFleet]:
    """Run a deployment's daemons as processes until the block ends.

    :param folder: takes settings and logs.
    """
    async with AsyncExitStack() as stack:
        served = await stack.enter_async_context(platform.serve())
        moved = deployment.with_free_ports()
        backends = await start_backends(moved, stack)
        moved = moved.with_backend_ports(backends.ports())
        links = await start_links(moved, served.port, stack)
        fleet = SoakFleet(moved, served, backends, links)
        for cfg in moved.vms:
            routed = links.routed(cfg)
            path = folder / f"{cfg.vm.name}.json"
            path.write_bytes(msgspec.json.encode(routed))
            proc = Process(routed, path, folder / f"{cfg.vm.name}.log")
            fleet.processes[cfg.vm.name] = proc
            proc.start()
        try:
            yield fleet
        finally:
            # In threads: the platform that the daemons still need lives in this event loop.
            async with anyio.create_task_group() as tg:
                for proc in fleet.processes.values():
                    tg.start_soon(anyio.to_thread.run_sync, proc.end)
