"""Checks of settings for faults that type checks cannot find."""

from __future__ import annotations

from dataclasses import fields, is_dataclass
from typing import TYPE_CHECKING

from hickorybeam.decode import Fault

if TYPE_CHECKING:
    from collections.abc import Iterator

    from hickorybeam.settings.types import Settings

__all__ = ("check_settings",)

PROFILES = ("cheap", "fast")
LOG_FORMATS = ("text", "json")
LOG_LEVELS = ("debug", "info", "warning", "error")
MAX_PORT = 65_535
# Of any number; a product of larger ones can't be turned into an integer.
MAX_NUMBER = 2**53

# What a VM needs before it takes in any bytes or connections of others.
MIN_MEMORY_MB = 64
MIN_FILE_DESCRIPTORS = 256
MAX_INTAKE_SHARE = 0.75

# 0 means "no limit" for these; for every other duration or size it is a fault.
ZERO_ALLOWED = frozenset({"config.stale_after_ms"})


def check_settings(cfg: Settings) -> tuple[Fault, ...]:
    """Return every invalid value or combination of values."""
    return (
        *_sizes_and_durations(cfg, ""),
        *_choices_and_names(cfg),
        *_vm_size(cfg),
        *_intake(cfg),
        *_ports(cfg),
        *_tls(cfg),
        *_timeouts(cfg),
        *_gateway(cfg),
    )


def _sizes_and_durations(section: object, key: str) -> Iterator[Fault]:
    for field in fields(section):  # type: ignore[arg-type]
        value = getattr(section, field.name)
        path = f"{key}.{field.name}" if key else field.name
        if is_dataclass(value):
            yield from _sizes_and_durations(value, path)
        elif isinstance(value, int | float) and abs(value) > MAX_NUMBER:
            yield Fault(path, f"a number up to {MAX_NUMBER}", "a larger one")
        elif field.name.endswith(("_ms", "_bytes", "_per_s")) and path not in ZERO_ALLOWED:
            if value <= 0:
                yield Fault(path, "a number above 0", repr(value))
        elif field.name.endswith("_ms") and value < 0:
            yield Fault(path, "0 or a number above it", repr(value))


def _choices_and_names(cfg: Settings) -> Iterator[Fault]:
    for key, value, allowed in (
        ("load.profile", cfg.load.profile, PROFILES),
        ("log.format", cfg.log.format, LOG_FORMATS),
        ("log.level", cfg.log.level, LOG_LEVELS),
    ):
        if value not in allowed:
            yield Fault(key, "one of " + ", ".join(map(repr, allowed)), repr(value))
    for key, name in (
        ("vm.name", cfg.vm.name),
        ("vm.region", cfg.vm.region),
        ("vm.data_centre", cfg.vm.data_centre),
    ):
        if not name:
            yield Fault(key, "a name", repr(name))
    if not cfg.platform.urls:
        yield Fault("platform.urls", "at least one address", "an empty list")
    if not 0 < cfg.shares.floor < 1:
        yield Fault("shares.floor", "a fraction between 0 and 1", repr(cfg.shares.floor))
    if cfg.shares.groups < 1:
        yield Fault("shares.groups", "a whole number above 0", repr(cfg.shares.groups))


def _vm_size(cfg: Settings) -> Iterator[Fault]:
    for name, least in (("memory_mb", MIN_MEMORY_MB), ("file_descriptors", MIN_FILE_DESCRIPTORS)):
        found = getattr(cfg.vm, name)
        if found < least:
            yield Fault(f"vm.{name}", f"at least {least}", repr(found))


def _intake(cfg: Settings) -> Iterator[Fault]:
    for field in fields(cfg.intake):
        share = getattr(cfg.intake, field.name)
        if not 0 < share < 1:
            yield Fault(f"intake.{field.name}", "a fraction between 0 and 1", repr(share))
    # What is left is for the process itself.
    taken = cfg.intake.request_share + cfg.intake.connection_share
    if taken > MAX_INTAKE_SHARE:
        expected = f"at most {MAX_INTAKE_SHARE} together with intake.connection_share"
        yield Fault("intake.request_share", expected, repr(round(taken, 3)))


def _ports(cfg: Settings) -> Iterator[Fault]:
    for name in ("http_port", "peer_port"):
        port = getattr(cfg.vm, name)
        if not 0 <= port <= MAX_PORT:
            yield Fault(f"vm.{name}", f"a port from 0 to {MAX_PORT}", repr(port))
    if cfg.vm.http_port and cfg.vm.http_port == cfg.vm.peer_port:
        yield Fault("vm.peer_port", "a port other than vm.http_port", repr(cfg.vm.peer_port))


def _tls(cfg: Settings) -> Iterator[Fault]:
    tls = cfg.peers.tls
    files = {"ca_file": tls.ca_file, "cert_file": tls.cert_file, "key_file": tls.key_file}
    if tls.plain:
        for name, value in files.items():
            if value:
                yield Fault(f"peers.tls.{name}", "nothing, as peers.tls.plain is true", repr(value))
        return
    for name, value in files.items():
        if not value:
            yield Fault(f"peers.tls.{name}", "a file, or peers.tls.plain set to true", "nothing")


def _timeouts(cfg: Settings) -> Iterator[Fault]:
    # Two heartbeats must fit into the limit: a peer that misses one is not silent.
    if cfg.peers.silent_after_ms < 2 * cfg.peers.heartbeat_ms:
        yield Fault(
            "peers.silent_after_ms",
            f"at least twice peers.heartbeat_ms ({2 * cfg.peers.heartbeat_ms})",
            repr(cfg.peers.silent_after_ms),
        )
    # The lease holder must be able to fail one order and still know whether its lease is valid.
    if cfg.control.lease_ms < 2 * cfg.control.order_timeout_ms:
        yield Fault(
            "control.lease_ms",
            f"at least twice control.order_timeout_ms ({2 * cfg.control.order_timeout_ms})",
            repr(cfg.control.lease_ms),
        )


def _gateway(cfg: Settings) -> Iterator[Fault]:
    gateway = cfg.gateway
    if gateway is None:
        return
    for name in ("callers", "ready", "directory", "state"):
        address = getattr(gateway, name)
        if not is_address(address):
            yield Fault(f"gateway.{name}", "host:port", repr(address))
    for i, seed in enumerate(gateway.seeds):
        if not is_address(seed):
            yield Fault(f"gateway.seeds[{i}]", "host:port", repr(seed))
    for name in ("grace_s", "repeat_window_s"):
        if getattr(gateway, name) <= 0:
            yield Fault(f"gateway.{name}", "a number above 0", repr(getattr(gateway, name)))
    for name in ("repeat_ratio", "repeat_allowance", "quota_allowance"):
        if getattr(gateway, name) < 0:
            found = repr(getattr(gateway, name))
            yield Fault(f"gateway.{name}", "0 or a number above it", found)
    if gateway.regions and cfg.vm.data_centre not in gateway.regions:
        yield Fault("gateway.regions", f"a region for {cfg.vm.data_centre!r}", "none")


def is_address(text: str) -> bool:
    """Return whether a text is ``host:port``."""
    host, _, port = text.rpartition(":")
    return bool(host) and port.isdigit() and int(port) <= MAX_PORT
