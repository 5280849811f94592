"""Daemon of one gateway VM, whose backend servers register in the platform's store."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import anyio
from absl import logging

from hickorybeam.clock import SystemClock
from hickorybeam.gateway.cold_health_checks import ColdHealthCheckService
from hickorybeam.gateway.crashes.part_blocks import PartBlocksService
from hickorybeam.gateway.feed import FeedService
from hickorybeam.gateway.fleet import FleetService
from hickorybeam.gateway.relay import RelayService
from hickorybeam.gateway.reload import SettingsFile
from hickorybeam.gateway.settings_limits import drain_limit_ms
from hickorybeam.kernel import Kernel
from hickorybeam.platform import PlatformStore
from hickorybeam.telemetry import Counters

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from hickorybeam.settings import Settings

__all__ = ("build", "run", "serve")

SERVICES = (
    PlatformStore,
    FeedService,
    FleetService,
    ColdHealthCheckService,
    PartBlocksService,
    RelayService,
)
# Relaying events is mostly the event loop's own work, which uvloop does in half of the time.
LOOP_OPTIONS = {"use_uvloop": True}


def serve(cfg: Settings, path: str) -> None:
    """Run the daemon in an event loop of its own until SIGTERM or SIGINT.

    :param path: the file that the settings came from.
    """
    anyio.run(run, cfg, path, backend_options=LOOP_OPTIONS)


def build(cfg: Settings, *, counters: Counters | None = None) -> Kernel:
    """Return a kernel with the gateway's services, the client of the platform's store included."""
    clock, counters = SystemClock(), counters or Counters()
    kernel = Kernel(clock, drain_limit_ms=drain_limit_ms(cfg.gateway) if cfg.gateway else 0)
    for kind in SERVICES:
        kernel.add(kind(cfg=cfg, clock=clock, counters=counters))
    return kernel


async def run(cfg: Settings, path: str) -> None:
    """Serve until SIGTERM or SIGINT; SIGHUP reloads the settings.

    :param path: the file that the settings came from.
    """
    kernel = build(cfg)
    settings_file = SettingsFile(path, cfg, kernel, kernel.clock)

    async with anyio.create_task_group() as tg:
        tg.start_soon(_handle_signals, kernel, settings_file, tg)
        tg.start_soon(settings_file.poll)
        await kernel.run(ready=lambda: logging.info("VM %s is serving", cfg.vm.name))
        tg.cancel_scope.cancel()
    logging.info("VM %s has stopped", cfg.vm.name)


async def _handle_signals(kernel: Kernel, settings_file: SettingsFile, tg: TaskGroup) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async for signum in signals:
            logging.info("received signal %s", signal.Signals(signum).name)
            if signum is signal.SIGHUP:
                tg.start_soon(settings_file.reload)
            else:
                # The file may have changed without a signal, and with it the grace period.
                await settings_file.reload_if_changed()
                kernel.stop()
