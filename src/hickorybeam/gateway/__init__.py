"""Services of the gateway; configuration and backend servers come from the platform's store."""

from __future__ import annotations

from hickorybeam.gateway.daemon import run

__all__ = ("run",)
