"""Shares of each account's rate and burst: what this VM may spend without asking anyone."""

from __future__ import annotations

from hickorybeam.shares.service import BudgetService

__all__ = ("BudgetService",)
