"""Daemon of one entry VM: builds all services, registers them with a kernel and runs it."""

from __future__ import annotations

import signal
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio
from absl import logging

from hickorybeam import ports
from hickorybeam.backends import BackendsService
from hickorybeam.clock import SystemClock
from hickorybeam.control import ControlService
from hickorybeam.dispatch import DispatchService
from hickorybeam.front import FrontService
from hickorybeam.kernel import Kernel
from hickorybeam.once import IdempotencyService
from hickorybeam.peers import MembersService, PeersService
from hickorybeam.shares import BudgetService
from hickorybeam.store.etcd import EtcdPlatform
from hickorybeam.telemetry import Counters
from hickorybeam.tickets import ConfigService

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorybeam.clock import Clock
    from hickorybeam.kernel import Service
    from hickorybeam.model import EntryVm
    from hickorybeam.settings import Settings

__all__ = ("Daemon", "run")


@dataclass(frozen=True, slots=True)
class Daemon:
    """A kernel with all services of one entry VM, not yet running."""

    kernel: Kernel
    counters: Counters

    @classmethod
    def build(
        cls, cfg: Settings, *, clock: Clock | None = None, platform: Service | None = None
    ) -> Daemon:
        """Build the services and register them.

        :param platform: replaces the client of the platform's key-value service in tests.
        """
        clock = clock or SystemClock()
        counters = Counters()
        kernel = Kernel(clock)
        kernel.add(platform or EtcdPlatform(cfg=cfg, clock=clock, counters=counters))
        for service in (
            ConfigService,
            PeersService,
            MembersService,
            BudgetService,
            BackendsService,
            DispatchService,
            IdempotencyService,
            FrontService,
        ):
            kernel.add(service(cfg=cfg, clock=clock, counters=counters))
        if cfg.control.enabled:
            kernel.add(ControlService(cfg=cfg, clock=clock, counters=counters))
        return cls(kernel, counters)

    def own_vm(self) -> EntryVm:
        """Return the record of this VM, with the ports that it actually listens on."""
        return self.kernel.find(ports.MEMBERS, ports.Members).own_vm  # type: ignore[type-abstract]


async def run(cfg: Settings, *, ready: Callable[[EntryVm], None] | None = None) -> None:
    """Run one daemon until SIGTERM or SIGINT, then shut it down gracefully.

    :param ready: called once callers and peers can be served.
    """
    daemon = Daemon.build(cfg)

    def report_ready() -> None:
        me = daemon.own_vm()
        logging.info("entry VM %s serves callers at %s", me.id.name, me.http_address)
        if ready is not None:
            ready(me)

    async with anyio.create_task_group() as tg:
        tg.start_soon(_stop_on_signal, daemon.kernel)
        await daemon.kernel.run(ready=report_ready)
        tg.cancel_scope.cancel()


async def _stop_on_signal(kernel: Kernel) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for signum in signals:
            logging.info("signal %s: draining", signal.Signals(signum).name)
            kernel.stop()
