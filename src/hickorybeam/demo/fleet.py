"""Run every process of a deployment inside this one, with links that can be cut."""

from __future__ import annotations

from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio

from hickorybeam.daemon import Daemon
from hickorybeam.demo.backends import start_backends
from hickorybeam.demo.links import start_links
from hickorybeam.ports import MEMBERS, Members
from hickorybeam.standins import platform
from hickorybeam.standins.relay import LinkState

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from anyio.abc import TaskGroup

    from hickorybeam.demo.backends import Backends
    from hickorybeam.demo.deployment import Deployment
    from hickorybeam.demo.links import Links
    from hickorybeam.settings import Settings
    from hickorybeam.standins.platform import ServedPlatform

__all__ = ("Fleet", "start_fleet")

# VMs that start together hear of each other within a second or two; the limit ends a hung run.
MEET_LIMIT_S = 20.0
MEET_POLL_S = 0.02


@dataclass(slots=True)
class Fleet:
    """A running deployment."""

    deployment: Deployment
    platform: ServedPlatform
    backends: Backends
    links: Links
    daemons: dict[str, Daemon] = field(default_factory=dict)

    def url(self, vm: str) -> str:
        """Return the address of an entry VM for callers."""
        return self.daemons[vm].own_vm().http_address

    def vms_of(self, region: str) -> list[str]:
        """Return the names of a region's entry VMs."""
        return [cfg.vm.name for cfg in self.deployment.vms if cfg.vm.region == region]

    async def met(self) -> None:
        """Wait until every entry VM knows every other one.

        Whoever makes an account's ledger splits it over the VMs that it knows. One that isn't
        known yet gets its part two rounds later, and refuses until then if it is cut off.
        """
        views = [it.kernel.find(MEMBERS, Members) for it in self.daemons.values()]  # type: ignore[type-abstract]
        with anyio.fail_after(MEET_LIMIT_S):
            while any(len(view.vms()) < len(views) for view in views):  # noqa: ASYNC110 - set by others
                await anyio.sleep(MEET_POLL_S)

    async def cut(self, region: str) -> None:
        """Cut a region off from the other regions and from the platform."""
        await self.links.set_region(region, LinkState.CUT)

    async def heal(self, region: str) -> None:
        """Join a region to the others again."""
        await self.links.set_region(region, LinkState.PASS)


@asynccontextmanager
async def start_fleet(deployment: Deployment, *, delay_ms: float = 0.0) -> AsyncIterator[Fleet]:
    """Run a deployment on free ports until the block ends.

    :param delay_ms: one-way delay between regions.
    """
    async with AsyncExitStack() as stack:
        served = await stack.enter_async_context(platform.serve())
        moved = deployment.with_free_ports()
        backends = await start_backends(moved, stack)
        moved = moved.with_backend_ports(backends.ports())
        links = await start_links(moved, served.port, stack, delay_ms=delay_ms)
        fleet = Fleet(moved, served, backends, links)
        tg = await stack.enter_async_context(anyio.create_task_group())
        for cfg in moved.vms:
            await _start_daemon(fleet, links.routed(cfg), tg)
        try:
            yield fleet
        finally:
            for daemon in fleet.daemons.values():
                daemon.kernel.stop()


async def _start_daemon(fleet: Fleet, cfg: Settings, tg: TaskGroup) -> None:
    daemon = Daemon.build(cfg)
    fleet.daemons[cfg.vm.name] = daemon
    ready = anyio.Event()

    async def run() -> None:
        await daemon.kernel.run(ready=ready.set)

    tg.start_soon(run)
    await ready.wait()
