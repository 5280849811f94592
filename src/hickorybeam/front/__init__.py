"""HTTP towards callers and operators."""

from __future__ import annotations
