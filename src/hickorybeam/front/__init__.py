"""HTTP server for callers and operators."""

from __future__ import annotations

from hickorybeam.front.service import FrontService

__all__ = ("FrontService",)
