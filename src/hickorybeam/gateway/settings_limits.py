"""The shutdown's schedule and the retry limits that follow from the settings."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorybeam.clock import MS_PER_SECOND
from hickorybeam.policy.fleet_retry_budget import FleetRetryLimits
from hickorybeam.policy.shutdown import ShutdownSchedule

if TYPE_CHECKING:
    from hickorybeam.settings import GatewaySettings

__all__ = ("drain_limit_ms", "retry_limits_of", "shutdown_times")


def shutdown_times(cfg: GatewaySettings) -> ShutdownSchedule:
    """Return the schedule of a shutdown from the settings."""
    return ShutdownSchedule(cfg.grace_s * MS_PER_SECOND)


def drain_limit_ms(cfg: GatewaySettings) -> int:
    """Return the time that the services have to finish their work in a shutdown."""
    return round(cfg.grace_s * MS_PER_SECOND)


def retry_limits_of(cfg: GatewaySettings) -> FleetRetryLimits:
    """Return the fleet's retry limits from the settings."""
    return FleetRetryLimits(
        ratio=cfg.repeat_ratio,
        allowance=cfg.repeat_allowance,
        window_ms=round(cfg.repeat_window_s * MS_PER_SECOND),
    )
