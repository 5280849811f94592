"""Settings of one daemon: JSON with comments, checked into frozen data classes."""

from __future__ import annotations

from hickorybeam.settings.types import (
    BackendSettings,
    ConfigSettings,
    ControlSettings,
    FrontSettings,
    LoadSettings,
    LogSettings,
    PeerSettings,
    PlatformSettings,
    Settings,
    ShareSettings,
    TlsSettings,
    VmSettings,
)

__all__ = (
    "BackendSettings",
    "ConfigSettings",
    "ControlSettings",
    "FrontSettings",
    "LoadSettings",
    "LogSettings",
    "PeerSettings",
    "PlatformSettings",
    "Settings",
    "ShareSettings",
    "TlsSettings",
    "VmSettings",
)
