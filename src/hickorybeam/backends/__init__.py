"""HTTP client of engines and plain services."""

from __future__ import annotations

from hickorybeam.backends.service import BackendsService

__all__ = ("BackendsService",)
