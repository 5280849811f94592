"""Executes the decisions of policy/ for each call."""

from __future__ import annotations

from hickorybeam.dispatch.service import DispatchService

__all__ = ("DispatchService",)
