"""The gateway's services where configuration and backend servers come from a store."""

from __future__ import annotations

from hickorybeam.gateway.daemon import run

__all__ = ("run",)
