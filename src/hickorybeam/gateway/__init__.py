"""Services of the gateway; configuration and backend servers come from the platform's store."""

from __future__ import annotations

from hickorybeam.gateway.daemon import run, serve

__all__ = ("run", "serve")
