"""Reload of the settings file while the daemon runs: on SIGHUP, or when the file has changed."""

from __future__ import annotations

import os
from dataclasses import fields
from typing import TYPE_CHECKING, Protocol, runtime_checkable

import anyio
import anyio.to_thread
from absl import logging

from hickorybeam.errors import GatewayError
from hickorybeam.gateway.settings_limits import drain_limit_ms
from hickorybeam.settings import load_settings

if TYPE_CHECKING:
    from hickorybeam.clock import Clock
    from hickorybeam.kernel import Kernel
    from hickorybeam.settings import GatewaySettings, Settings

__all__ = ("Reloadable", "SettingsFile")

# The file may change without a SIGHUP; checking its modification time takes some microseconds.
CHECK_INTERVAL_MS = 2_000
# Fields of the section `gateway` that apply without a restart; all others need one.
RELOADABLE_FIELDS = frozenset(
    {"seeds", "regions", "grace_s", "repeat_ratio", "repeat_allowance", "repeat_window_s"}
    | {"quota_allowance", "fair_share"}
)


@runtime_checkable
class Reloadable(Protocol):
    """A service that applies changed settings while it runs."""

    def reload(self, cfg: GatewaySettings) -> None:
        """Apply new settings."""
        ...


class SettingsFile:
    """The settings file that the daemon was started with; reloads it into the services.

    :param cfg: the settings in force.
    """

    def __init__(self, path: str, cfg: Settings, kernel: Kernel, clock: Clock) -> None:
        self._path = path
        self._cfg = cfg
        self._kernel = kernel
        self._clock = clock
        self._lock = anyio.Lock()
        self._last_stamp = self._stamp()

    async def poll(self) -> None:
        """Reload the file whenever it has changed, until cancelled."""
        while True:
            await self._clock.sleep(CHECK_INTERVAL_MS)
            await self.reload_if_changed()

    async def reload_if_changed(self) -> None:
        """Reload the file if it has changed since it was read."""
        if self._stamp() != self._last_stamp:
            await self.reload()

    async def reload(self) -> None:
        """Read the file and apply its settings; an invalid file changes nothing.

        It is read in a thread: the reader is slow, and requests are served meanwhile.
        """
        async with self._lock:
            await self._reload()

    async def _reload(self) -> None:
        self._last_stamp = self._stamp()
        try:
            cfg = await anyio.to_thread.run_sync(load_settings, self._path)
        except GatewayError as exc:
            logging.warning("settings not reloaded, the file is invalid: %s", exc)
            return
        if cfg.gateway is None or self._cfg.gateway is None:
            return
        changed = changed_fields(self._cfg.gateway, cfg.gateway)
        logging.info("settings reloaded, changed: %s", ", ".join(sorted(changed)) or "nothing")
        for name in sorted(changed - RELOADABLE_FIELDS):
            logging.warning(
                "settings: a change of gateway.%s takes effect only after a restart", name
            )
        if cfg.platform != self._cfg.platform:
            logging.warning("settings: a change of platform takes effect only after a restart")
        self._cfg = cfg
        self._kernel.set_drain_limit(drain_limit_ms(cfg.gateway))
        for service in self._kernel.services():
            if isinstance(service, Reloadable):
                service.reload(cfg.gateway)

    def _stamp(self) -> tuple[int, int]:
        """Return the file's modification time and size, the last known ones on an error."""
        try:
            status = os.stat(self._path)
        except OSError as exc:
            logging.warning("cannot check the settings file: %s", exc)
            return self._last_stamp if hasattr(self, "_last_stamp") else (0, 0)
        return status.st_mtime_ns, status.st_size


def changed_fields(old: GatewaySettings, new: GatewaySettings) -> set[str]:
    """Return the names of the fields whose values differ."""
    return {it.name for it in fields(old) if getattr(old, it.name) != getattr(new, it.name)}
