"""Decide whether a job goes to another region, and to which.

Load peaks of the regions fall at different hours, and a region may lose most of its engines.
Without spill-over its callers would be refused while engines idle elsewhere. If every VM sent jobs
to whichever region reported the shortest wait, all of them would choose the same region until the
next report and then go back: work would swing between regions, each time onto cold caches and over
the shared link. These rules prevent that:

- another region must win by a margin after the round trip and its price, and is left by a
  smaller margin (hysteresis);
- what a VM may send between two reports is a share of the free tokens reported, since the other
  VMs of its region read the same report;
- that quota starts small and doubles with each report that still shows room, so that the effect
  of the first correction is seen before the next is made;
- a region that comes back, or whose peer failed a call, starts again at the smallest quota;
- request bodies sent over the link take from a token bucket that is a share of the link.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hickorybeam.policy.job import Reason
from hickorybeam.policy.region_path import REGION_ROUND_TRIP_MS

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hickorybeam.model import RegionLoad
    from hickorybeam.policy.job import Job
    from hickorybeam.policy.profile import Profile

__all__ = ("RegionChoice", "RegionQuota")

# Load reports that are older are ignored: four heartbeats of the peers (500 ms each).
MAX_LOAD_AGE_MS = 2_000
# A report's free tokens are offered to every region that may send, and a region's own callers
# come first.
SHARE_OF_FREE = 0.5
INITIAL_QUOTA_JOBS = 2.0
# Back-off from a region whose peer failed, doubled for each failure in a row.
INITIAL_BACKOFF_MS = 500
MAX_BACKOFF_MS = 10_000
# Each region pair shares about a gigabit a second for all traffic; a tenth of it for request
# bodies leaves the rest to responses, bookings and whatever else the pair carries.
LINK_BYTES_PER_S = 12_500_000.0
LINK_BURST_S = 1.0


@dataclass(slots=True)
class RegionQuota:
    """What this VM may still send to one region for one model or plain service.

    :param load: latest load report of the region.
    :param tokens_left: tokens that may be sent until the next report.
    :param size: tokens of a full quota; it doubles while reports show room.
    :param spilling: whether the latest job went there, so that the smaller margin applies.
    :param used: whether jobs were sent since the latest report.
    """

    load: RegionLoad | None = None
    tokens_left: float = 0.0
    size: float = 0.0
    spilling: bool = False
    used: bool = False


@dataclass(slots=True)
class Link:
    """State of the link to one region."""

    bytes_left: float = LINK_BYTES_PER_S * LINK_BURST_S
    refilled_ms: int = 0
    backoff_ms: int = 0
    backoff_until_ms: int = 0
    quotas: dict[str, RegionQuota] = field(default_factory=dict)


class RegionChoice:
    """Spill-over from this region to others.

    :param here: this VM's region.
    :param profile: margins and price penalty.
    """

    def __init__(self, *, here: str, profile: Profile) -> None:
        self._here = here
        self._profile = profile
        self._links: dict[str, Link] = {}
        self._costs: dict[str, float] = {}
        self._senders = 1

    def configure(self, *, costs: dict[str, float], senders: int) -> None:
        """Set each region's price and how many VMs of this region share its quotas."""
        self._costs = costs
        self._senders = max(1, senders)
        for name in [name for name in self._links if name not in costs]:
            del self._links[name]

    def update_loads(self, loads: Iterable[RegionLoad], *, job_cost: float) -> None:
        """Take the latest load reports; each new one renews its quota.

        :param job_cost: tokens of an ordinary job, the unit of the smallest quota.
        """
        for load in loads:
            if load.region == self._here:
                continue
            quota = self._link(load.region).quotas.setdefault(load.served, RegionQuota())
            if quota.load is not None and load.at_ms <= quota.load.at_ms:
                continue
            gap_ms = math.inf if quota.load is None else load.at_ms - quota.load.at_ms
            self._renew(quota, load, restart=gap_ms > MAX_LOAD_AGE_MS, job_cost=job_cost)

    def choose(self, job: Job, *, local_wait_ms: float, now: int) -> str | None:
        """Return the region that serves a job better than this one, if there is one.

        :param local_wait_ms: expected wait here; infinite if the job would be refused.
        """
        best: str | None = None
        best_wait = math.inf
        for region in sorted(job.regions):
            if region == self._here:
                continue
            wait = self._effective_wait_ms(job, region, now)
            if wait < best_wait and wait + self._margin_ms(job, region) < local_wait_ms:
                best, best_wait = region, wait
        return best

    def record_sent(self, job: Job, region: str, now: int) -> None:
        """Charge a job sent to a region to its link and quota."""
        link = self._link(region)
        self._refill(link, now)
        link.bytes_left -= job.body_bytes
        quota = link.quotas.get(job.served)
        if quota is not None:
            quota.tokens_left -= job.cost
            quota.used = quota.spilling = True

    def record_local(self, job: Job) -> None:
        """Record that a job stayed here, so that the larger margin applies again."""
        for link in self._links.values():
            quota = link.quotas.get(job.served)
            if quota is not None:
                quota.spilling = False

    def record_success(self, region: str) -> None:
        """Record a response of a region; its next back-off starts at the minimum again."""
        self._link(region).backoff_ms = 0

    def record_failure(self, region: str, now: int) -> None:
        """Back off from a region whose peers cannot be reached or refuse."""
        link = self._link(region)
        if now < link.backoff_until_ms:
            return
        link.backoff_ms = min(MAX_BACKOFF_MS, max(INITIAL_BACKOFF_MS, link.backoff_ms * 2))
        link.backoff_until_ms = now + link.backoff_ms
        for quota in link.quotas.values():
            quota.size = quota.tokens_left = 0.0

    def spill_reason(self, local_wait_ms: float, *, served_here: bool) -> Reason:
        """Return why a job goes to another region, for counters and explanations."""
        if not served_here:
            return Reason.LOCAL_NONE
        return Reason.LOCAL_FULL if math.isinf(local_wait_ms) else Reason.LOCAL_WAIT

    def _effective_wait_ms(self, job: Job, region: str, now: int) -> float:
        link = self._links.get(region)
        if link is None or now < link.backoff_until_ms:
            return math.inf
        quota = link.quotas.get(job.served)
        if quota is None or quota.load is None or now - quota.load.at_ms > MAX_LOAD_AGE_MS:
            return math.inf
        self._refill(link, now)
        if quota.tokens_left <= 0 or link.bytes_left < job.body_bytes:
            return math.inf
        return quota.load.wait_ms + REGION_ROUND_TRIP_MS + self._price_penalty_ms(region)

    def _price_penalty_ms(self, region: str) -> float:
        here = self._costs.get(self._here, 1.0)
        there = self._costs.get(region, 1.0)
        if here <= 0:
            return 0.0
        return max(0.0, there / here - 1.0) * self._profile.price_penalty_ms

    def _margin_ms(self, job: Job, region: str) -> float:
        quota = self._link(region).quotas.get(job.served)
        if quota is not None and quota.spilling:
            return float(self._profile.stay_margin_ms)
        return float(self._profile.spill_margin_ms)

    def _renew(
        self, quota: RegionQuota, load: RegionLoad, *, restart: bool, job_cost: float
    ) -> None:
        smallest = INITIAL_QUOTA_JOBS * max(1.0, job_cost)
        if restart or quota.size < smallest:
            quota.size = smallest
        elif quota.used:
            quota.size *= 2
        room = load.free_tokens * SHARE_OF_FREE / self._senders
        quota.size = max(smallest, min(quota.size, room))
        # One job may overdraw what is left, so that a job larger than the quota can go too.
        quota.tokens_left = min(quota.size, room)
        quota.used = False
        quota.load = load

    def _refill(self, link: Link, now: int) -> None:
        rate = LINK_BYTES_PER_S / self._senders
        gained = rate * max(0, now - link.refilled_ms) / 1000
        link.bytes_left = min(rate * LINK_BURST_S, link.bytes_left + gained)
        link.refilled_ms = now

    def _link(self, region: str) -> Link:
        found = self._links.get(region)
        if found is None:
            found = self._links[region] = Link()
        return found
