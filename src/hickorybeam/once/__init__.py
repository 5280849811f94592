"""Runs calls that carry an idempotency key at most once."""

from __future__ import annotations

from hickorybeam.once.service import IdempotencyService

__all__ = ("IdempotencyService",)
