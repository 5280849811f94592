"""Limit an account's rate and burst over all VMs, while each VM decides by itself.

An account may send several times its rate, through all VMs at once, while peaks move between
regions. A fixed split of the rate would refuse a region at its peak what others leave unused;
asking another VM for each request costs a round trip.

Every VM keeps a bucket of the whole fleet's limit for each account. It charges its own spending
at once and that of its peers from the running totals in their status reports, which come a few
times a second in a small fleet and every 1.5 s in one of hundreds. Between two reports it assumes
that a peer goes on spending at its recent rate; the next report corrects that. What the fleet
still overspends when an account's load rises suddenly is a debt, paid off before any VM admits
again. A VM limits itself to the share of the rate that corresponds to the share of the fleet's
VMs that are live to it: both sides of a partition together stay within the whole rate, also
before they notice it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hickorybeam.policy.report_intervals import MIN_QUOTA_PEER_TIMEOUT_MS

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from hickorybeam.model.routing import AccountTerms

__all__ = ("FleetQuota",)

MS_PER_SECOND = 1000
# Debt from peers' spending is limited to this many seconds of the rate; with more, an account
# that flooded the fleet once would stay locked out for longer than the limit's own window.
MAX_PEER_DEBT_S = 4.0
# A bucket holds at least this many seconds of the rate, whatever the burst.
MIN_CAPACITY_S = 0.1
# Over a shorter interval, as when a report is late, one request would look like a high rate.
MIN_REPORT_INTERVAL_MS = 100
# Averaging time of a peer's rate: at the limit VMs alternately refuse and admit, and the rate
# between two reports would oscillate with them.
RATE_AVERAGING_MS = 4_000
# Peers' rates below this share of an account's rate are dropped.
MIN_RATE_SHARE_PER_MS = 1e-4 / MS_PER_SECOND
# The inverse of a smaller one may be no number.
MIN_RATE_PER_MS = 1e-12


@dataclass(slots=True)
class _Bucket:
    """An account's bucket; ``capacity`` and ``rate_per_ms`` are this VM's part of the limit."""

    terms: AccountTerms
    level: float
    at_ms: int
    capacity: float = 0.0
    rate_per_ms: float = 0.0

    def set_share(self, share: float) -> None:
        """Set what part of the account's limit this VM grants."""
        rate_per_s = self.terms.rate_per_s
        self.capacity = max(self.terms.burst, rate_per_s * MIN_CAPACITY_S) * share
        self.rate_per_ms = rate_per_s * share / MS_PER_SECOND


@dataclass(slots=True)
class _Peer:
    """Another VM's reported totals and estimated spending rates, by account."""

    last_report_ms: int
    totals: dict[str, float] = field(default_factory=dict)
    rates_per_ms: dict[str, float] = field(default_factory=dict)


class FleetQuota:
    """The fleet's buckets of all accounts as seen by this VM; times are monotonic.

    :param allowance: tokens that an account may spend beyond its limit in a window; a VM starts
        with half of it in each bucket. Empty buckets would refuse every account for as long as
        its burst takes to refill, after all VMs were killed at once.
    :param peer_timeout_ms: a peer without a report for longer has been spending its own share
        meanwhile, which isn't charged. Below the interval between reports, spending would go
        uncounted: a fleet of hundreds gave accounts twice their rates.
    """

    def __init__(
        self, *, allowance: float = 0.0, peer_timeout_ms: int = MIN_QUOTA_PEER_TIMEOUT_MS
    ) -> None:
        self.allowance = allowance
        self.peer_timeout_ms = peer_timeout_ms
        self._buckets: dict[str, _Bucket] = {}
        self._peers: dict[str, _Peer] = {}
        # Estimated spending rate of all peers together, by account.
        self._peer_rates_per_ms: dict[str, float] = {}
        # Outlives an account's bucket: peers read a lower total as refunded spending.
        self._spent: dict[str, float] = {}
        self._live_share = 1.0

    def configure(self, accounts: Iterable[AccountTerms], now_ms: int) -> None:
        """Apply new limits; keep levels, and start a new account with half the allowance.

        A full bucket would grant the burst again with each restart of a VM.
        """
        updated = {}
        for terms in accounts:
            bucket = self._buckets.get(terms.name)
            if bucket is None:
                bucket = _Bucket(terms, min(terms.burst, self.allowance / 2), now_ms)
            else:
                self._refill(bucket, now_ms)
                bucket.terms = terms
            bucket.set_share(self._live_share)
            bucket.level = min(bucket.level, bucket.capacity)
            updated[terms.name] = bucket
        self._buckets = updated

    def set_live_vms(self, live: int, known: int, now_ms: int) -> None:
        """Set how many of the known VMs are live to this one, itself included."""
        for peer in self._peers.values():
            if peer.rates_per_ms and (
                live == 1 or now_ms - peer.last_report_ms > self.peer_timeout_ms
            ):
                self._set_peer_rates(peer, {}, now_ms)
        live_share = min(1.0, live / max(1, known))
        if live_share == self._live_share:
            return
        for bucket in self._buckets.values():
            self._refill(bucket, now_ms)
            if live == 1 and bucket.level < 0:
                # Paying the fleet's debt from one VM's share of the rate would take minutes.
                bucket.level *= live_share / self._live_share
            bucket.set_share(live_share)
        self._live_share = live_share

    def take(self, account: str, cost: float, now_ms: int) -> int | None:
        """Spend the cost, or return the ms until the bucket holds enough.

        :return: ``None`` if the cost was spent.
        """
        bucket = self._buckets.get(account)
        if bucket is None or bucket.terms.rate_per_s <= 0:
            return None
        wait_ms = self.wait_ms(account, cost, now_ms)
        if wait_ms:
            return wait_ms
        bucket.level -= cost
        self._spent[account] = self._spent.get(account, 0.0) + cost
        return None

    def wait_ms(self, account: str, cost: float, now_ms: int) -> int:
        """Return the ms until the bucket holds enough for a cost, 0 if it does; spends nothing."""
        bucket = self._buckets.get(account)
        if bucket is None or bucket.terms.rate_per_s <= 0:
            return 0
        self._refill(bucket, now_ms)
        needed = min(cost, bucket.capacity)
        if bucket.level >= needed:
            return 0
        rate_per_ms = max(bucket.rate_per_ms, MIN_RATE_PER_MS)
        return max(1, int((needed - bucket.level) / rate_per_ms) + 1)

    def refund(self, account: str, cost: float, now_ms: int) -> None:
        """Refund the cost of a request that was not run."""
        bucket = self._buckets.get(account)
        if bucket is None or bucket.terms.rate_per_s <= 0:
            return
        self._refill(bucket, now_ms)
        bucket.level = min(bucket.capacity, bucket.level + cost)
        self._spent[account] = self._spent.get(account, 0.0) - cost

    def spent_totals(self) -> dict[str, float]:
        """Return what this VM has spent since it started, by account, for its peers."""
        return {name: spent for name, spent in self._spent.items() if spent}

    def levels(self) -> dict[str, float]:
        """Return the level of each bucket by account, for a VM that has just started."""
        return {name: bucket.level for name, bucket in self._buckets.items()}

    def adopt_levels(self, levels: Mapping[str, float], now_ms: int) -> None:
        """Apply levels received from a peer that has been up for longer."""
        for name, level in levels.items():
            bucket = self._buckets.get(name)
            if bucket is not None:
                bucket.level = min(level, bucket.capacity)
                bucket.at_ms = now_ms

    def apply_totals(
        self, peer: str, totals: Mapping[str, float], now_ms: int, *, started_later: bool
    ) -> None:
        """Charge what a peer spent since its last report.

        :param peer: its name and incarnation.
        :param totals: what it has spent since it started, by account.
        :param started_later: the peer started after this VM, so all its spending is new here.
        """
        known = self._peers.get(peer)
        if known is None:
            known = self._peers[peer] = _Peer(now_ms)
            if not started_later:
                known.totals = dict(totals)
        elapsed_ms = now_ms - known.last_report_ms
        known.last_report_ms = now_ms
        before = known.totals
        spent = {
            name: total - before.get(name, 0.0)
            for name, total in totals.items()
            if total != before.get(name, 0.0)
        }
        before.update(totals)
        if elapsed_ms > self.peer_timeout_ms:
            self._set_peer_rates(known, {}, now_ms)
        elif spent or known.rates_per_ms:
            self._charge_peer(known, spent, elapsed_ms, now_ms)

    def _charge_peer(
        self, peer: _Peer, spent: Mapping[str, float], elapsed_ms: int, now_ms: int
    ) -> None:
        """Charge what a peer spent beyond its estimate, and update its estimated rates.

        Written as one loop: a VM applies several reports for each request that it handles.
        """
        between_ms = max(elapsed_ms, MIN_REPORT_INTERVAL_MS)
        weight = 1 - math.exp(-between_ms / RATE_AVERAGING_MS)
        buckets, all_rates = self._buckets, self._peer_rates_per_ms
        before, rates_per_ms = peer.rates_per_ms, {}
        for name in spent.keys() | before.keys():
            rate = before.get(name, 0.0)
            cost = spent.get(name, 0.0)
            all_peers = all_rates.get(name, 0.0)
            updated = 0.0
            bucket = buckets.get(name)
            if bucket is not None:
                rate_per_s = bucket.terms.rate_per_s
                refill = (bucket.rate_per_ms - all_peers) * (now_ms - bucket.at_ms)
                level = min(bucket.capacity, bucket.level + refill)
                level = min(bucket.capacity, level - cost + rate * elapsed_ms)
                bucket.level = max(-MAX_PEER_DEBT_S * rate_per_s, level)
                bucket.at_ms = now_ms
                updated = (1 - weight) * rate + weight * cost / between_ms
                if abs(updated) > MIN_RATE_SHARE_PER_MS * rate_per_s:
                    rates_per_ms[name] = updated
                else:
                    updated = 0.0
            if updated != rate:
                all_rates[name] = all_peers + updated - rate
        peer.rates_per_ms = rates_per_ms

    def _set_peer_rates(self, peer: _Peer, rates_per_ms: dict[str, float], now_ms: int) -> None:
        """Assume from now on that a peer spends at these rates, by account."""
        for name in peer.rates_per_ms.keys() | rates_per_ms.keys():
            bucket = self._buckets.get(name)
            if bucket is not None:
                self._refill(bucket, now_ms)
            change = rates_per_ms.get(name, 0.0) - peer.rates_per_ms.get(name, 0.0)
            self._peer_rates_per_ms[name] = self._peer_rates_per_ms.get(name, 0.0) + change
        peer.rates_per_ms = rates_per_ms

    def _refill(self, bucket: _Bucket, now_ms: int) -> None:
        net_rate = bucket.rate_per_ms - self._peer_rates_per_ms.get(bucket.terms.name, 0.0)
        level = bucket.level + net_rate * (now_ms - bucket.at_ms)
        bucket.level = min(bucket.capacity, level)
        bucket.at_ms = now_ms
