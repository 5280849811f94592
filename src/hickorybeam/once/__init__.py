"""Calls that carry an idempotency key run at most once."""

from __future__ import annotations

from hickorybeam.once.service import IdempotencyService

__all__ = ("IdempotencyService",)
