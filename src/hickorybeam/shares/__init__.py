"""Shares of each account's rate and burst, which this VM spends without a remote call."""

from __future__ import annotations

from hickorybeam.shares.service import BudgetService

__all__ = ("BudgetService",)
