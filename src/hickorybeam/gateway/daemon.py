"""One VM's daemon in front of backend servers that register in the platform's store."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import anyio
from absl import logging

from hickorybeam.clock import MS_PER_SECOND, SystemClock
from hickorybeam.gateway.cold_health_checks import ColdHealthCheckService
from hickorybeam.gateway.feed import FeedService
from hickorybeam.gateway.fleet import FleetService
from hickorybeam.gateway.relay import RelayService
from hickorybeam.gateway.reload import SettingsFile
from hickorybeam.kernel import Kernel
from hickorybeam.platform import PlatformStore
from hickorybeam.telemetry import Counters

if TYPE_CHECKING:
    from hickorybeam.settings import Settings

__all__ = ("build", "run")


def build(cfg: Settings, *, counters: Counters | None = None) -> Kernel:
    """Put the services together; the adapter's store is one of them."""
    clock, counters = SystemClock(), counters or Counters()
    grace_ms = round(cfg.gateway.grace_s * MS_PER_SECOND) if cfg.gateway else 0
    kernel = Kernel(clock, drain_limit_ms=grace_ms)
    for kind in (PlatformStore, FeedService, FleetService, ColdHealthCheckService, RelayService):
        kernel.add(kind(cfg=cfg, clock=clock, counters=counters))
    return kernel


async def run(cfg: Settings, path: str) -> None:
    """Serve until SIGTERM or SIGINT; SIGHUP reads the settings anew.

    :param path: the file that the settings came from.
    """
    kernel = build(cfg)
    settings = SettingsFile(path, cfg, kernel, kernel.clock)

    async with anyio.create_task_group() as tg:
        tg.start_soon(_signals, kernel, settings)
        tg.start_soon(settings.follow)
        await kernel.run(ready=lambda: logging.info("VM %s serves", cfg.vm.name))
        tg.cancel_scope.cancel()
    logging.info("VM %s has ended", cfg.vm.name)


async def _signals(kernel: Kernel, settings: SettingsFile) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async for signum in signals:
            logging.info("signal %s", signal.Signals(signum).name)
            if signum is signal.SIGHUP:
                settings.read()
            else:
                kernel.stop()
