"""Per-data-centre leases and orders to engines."""

from __future__ import annotations
