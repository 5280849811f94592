"""The command line."""

from __future__ import annotations

from hickorybeam.cli.main import main

__all__ = ("main",)
