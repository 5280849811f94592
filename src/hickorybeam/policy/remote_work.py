"""Estimate the wait in another region from its last forecast and what was sent there since.

A region's forecast is up to two seconds old when what it attracts arrives. In a burst the others
send it all their excess on one forecast: a region of three servers that expects no wait gets
prompts for seconds, its own callers and those sent there are late, and its next forecast drives all
of them away again. What this region has sent is known here at once. As far as the other region's
servers can't prefill it as it comes, it counts as waiting there until a forecast can show it.
"""

from __future__ import annotations

from collections import defaultdict

from hickorybeam.policy.region_path import REGION_ROUND_TRIP_MS
from hickorybeam.policy.stale_load import WorkRate

__all__ = ("RemoteWork",)

# Share of a server's time that is left for what other regions send. Counted in full, all that is on
# its way would look like a queue, and a region at its peak would keep what others could serve.
SPARE_SHARE = 0.5


class RemoteWork:
    """Prefill work sent to other regions, by service and region."""

    def __init__(self) -> None:
        self._rates: defaultdict[tuple[str, str], WorkRate] = defaultdict(WorkRate)

    def record(self, service: str, region: str, prefill_ms: float, now_ms: int) -> None:
        """Count a prompt that is sent to a region.

        :param prefill_ms: time that one server takes to prefill it.
        """
        self._rates[service, region].record(prefill_ms, now_ms)

    def unseen_ms(
        self, service: str, region: str, *, age_ms: int, servers: int, now_ms: int
    ) -> float:
        """Return the wait at each of a region's servers that its last forecast can't show.

        :param age_ms: time since that forecast arrived. It left the region half a round trip
            before, and what had left here half a round trip before that wasn't there yet.
        :param servers: how many servers of the service the region has.
        """
        rate = self._rates[service, region].rate(now_ms) / max(1, servers)
        return max(0.0, rate - SPARE_SHARE) * (age_ms + REGION_ROUND_TRIP_MS)
