"""Settings of one daemon: JSON with comments, decoded into frozen data classes and checked."""

from __future__ import annotations

from hickorybeam.settings.load import load_file, load_settings
from hickorybeam.settings.types import (
    BackendSettings,
    ConfigSettings,
    ControlSettings,
    FrontSettings,
    GatewaySettings,
    IntakeSettings,
    LoadSettings,
    LogSettings,
    PeerSettings,
    PlatformSettings,
    RouteSettings,
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
    "GatewaySettings",
    "IntakeSettings",
    "LoadSettings",
    "LogSettings",
    "PeerSettings",
    "PlatformSettings",
    "RouteSettings",
    "Settings",
    "ShareSettings",
    "TlsSettings",
    "VmSettings",
    "load_file",
    "load_settings",
)
