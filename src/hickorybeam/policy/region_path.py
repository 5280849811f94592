"""The network path between regions."""

from __future__ import annotations

__all__ = ("REGION_ROUND_TRIP_MS",)

# Round trip to another region.
REGION_ROUND_TRIP_MS = 160
