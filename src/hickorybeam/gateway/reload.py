"""Settings read anew while the daemon runs: on SIGHUP, or when the file has changed."""

from __future__ import annotations

import os
from dataclasses import fields
from typing import TYPE_CHECKING, Protocol, runtime_checkable

from absl import logging

from hickorybeam.errors import GatewayError
from hickorybeam.settings import load_settings

if TYPE_CHECKING:
    from hickorybeam.clock import Clock
    from hickorybeam.kernel import Kernel
    from hickorybeam.settings import GatewaySettings, Settings

__all__ = ("Reloads", "SettingsFile")

# The file may change with no signal; a look at its time costs some microseconds.
LOOK_EVERY_MS = 2_000
# What a running daemon takes over; everything else needs a restart.
TAKEN_OVER = frozenset(
    {"seeds", "regions", "grace_s", "repeat_ratio", "repeat_allowance", "repeat_window_s"}
    | {"quota_allowance"}
)


@runtime_checkable
class Reloads(Protocol):
    """A service that takes over changed settings."""

    def reload(self, cfg: GatewaySettings) -> None:
        """Act on these settings from now on."""
        ...


class SettingsFile:
    """The file that the daemon was started with.

    :param cfg: the settings in force.
    """

    def __init__(self, path: str, cfg: Settings, kernel: Kernel, clock: Clock) -> None:
        self._path = path
        self._cfg = cfg
        self._kernel = kernel
        self._clock = clock
        self._seen = self._stamp()

    async def follow(self) -> None:
        """Read the file whenever it has changed, until cancelled."""
        while True:
            await self._clock.sleep(LOOK_EVERY_MS)
            if self._stamp() != self._seen:
                self.read()

    def read(self) -> None:
        """Read the file; one with faults changes nothing."""
        self._seen = self._stamp()
        try:
            cfg = load_settings(self._path)
        except GatewayError as exc:
            logging.warning("settings stay as they were, the file has faults: %s", exc)
            return
        if cfg.gateway is None or self._cfg.gateway is None:
            return
        changed = changed_fields(self._cfg.gateway, cfg.gateway)
        logging.info("settings read anew, changed: %s", ", ".join(sorted(changed)) or "nothing")
        for name in sorted(changed - TAKEN_OVER):
            logging.warning("settings: gateway.%s needs a restart to change", name)
        self._cfg = cfg
        for service in self._kernel.services():
            if isinstance(service, Reloads):
                service.reload(cfg.gateway)

    def _stamp(self) -> tuple[int, int]:
        try:
            found = os.stat(self._path)
        except OSError as exc:
            logging.warning("the settings file cannot be looked at: %s", exc)
            return self._seen if hasattr(self, "_seen") else (0, 0)
        return found.st_mtime_ns, found.st_size


def changed_fields(old: GatewaySettings, new: GatewaySettings) -> set[str]:
    """Return the names of the fields that differ."""
    return {it.name for it in fields(old) if getattr(old, it.name) != getattr(new, it.name)}
