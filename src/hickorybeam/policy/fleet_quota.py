"""An account's rate and burst over all VMs, each VM deciding by itself.

Load it answers: one account sends several times its rate, through all VMs at once, while
peaks wander between regions. A fixed split of the rate would refuse a region at its peak what
others leave unused; asking somebody for each request costs a round trip.

Every VM keeps the whole fleet's bucket. It takes its own spends at once and learns those of
the others from their running totals, a few times a second in a small fleet and each second and
a half in one of hundreds. Between two words it takes it that a peer goes on spending as it lately
did; the next word corrects that. What the fleet overspends still when an account suddenly gets
hot is a debt, worked off before anyone admits again. A VM that doesn't hear from
others holds itself to the fraction of the rate that the VMs it hears make up: both sides of a cut
together stay within the whole, also before they notice it.
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
# Debt is kept down to this many seconds of the rate; beyond it, an account that flooded the
# fleet once would stay locked out for longer than the bound's own window.
DEBT_S = 4.0
# Words closer together, one of them late, would make a pace out of one request.
LEAST_BETWEEN_MS = 100
# A peer's pace is a mean over about this time: VMs refuse and admit by turns at the bound, and the
# pace between two words would swing with them.
PACE_OVER_MS = 4_000
# Paces that are a smaller part of an account's rate are left out.
NEGLIGIBLE = 1e-4 / MS_PER_SECOND


@dataclass(slots=True)
class _Bucket:
    terms: AccountTerms
    level: float
    at_ms: int


@dataclass(slots=True)
class _Peer:
    """Another VM: its totals, and what it is taken to spend in a ms, by account."""

    heard_ms: int
    totals: dict[str, float] = field(default_factory=dict)
    paces: dict[str, float] = field(default_factory=dict)


class FleetQuota:
    """The buckets of all accounts as this VM knows them; each method gets a monotonic time.

    :param allowance: what an account may spend beyond its bound in a window; a VM starts with
        half of it in each bucket. Empty buckets would refuse, after all VMs were killed at
        once, every account for as long as its burst takes to refill.
    :param peer_timeout_ms: a peer that was silent for longer spent out of its own fraction meanwhile.
        Shorter than the time between words, spends would go uncounted: a fleet of hundreds gave
        accounts twice their rates.
    """

    def __init__(self, *, allowance: float = 0.0, peer_timeout_ms: int = MIN_QUOTA_PEER_TIMEOUT_MS) -> None:
        self.allowance = allowance
        self.peer_timeout_ms = peer_timeout_ms
        self._buckets: dict[str, _Bucket] = {}
        self._peers: dict[str, _Peer] = {}
        # What all peers together are taken to spend in a ms, by account.
        self._paces: dict[str, float] = {}
        # Outlives an account's bucket: peers take a total that falls for spends given back.
        self._spent: dict[str, float] = {}
        self._fraction = 1.0

    def configure(self, accounts: Iterable[AccountTerms], now_ms: int) -> None:
        """Take over new terms; levels are kept, and a new account starts with the allowance.

        A full start would hand out the burst anew with each restart of a VM.
        """
        kept = {}
        for terms in accounts:
            bucket = self._buckets.get(terms.name)
            if bucket is None:
                bucket = _Bucket(terms, min(terms.burst, self.allowance / 2), now_ms)
            else:
                self._refill(bucket, now_ms)
                bucket.terms = terms
                bucket.level = min(bucket.level, self._cap(bucket))
            kept[terms.name] = bucket
        self._buckets = kept

    def set_live_vms(self, live: int, known: int, now_ms: int) -> None:
        """Set which fraction of the fleet's VMs this one hears, itself included."""
        for peer in self._peers.values():
            if peer.paces and (live == 1 or now_ms - peer.heard_ms > self.peer_timeout_ms):
                self._take_to_spend(peer, {}, now_ms)
        fraction = min(1.0, live / max(1, known))
        if fraction == self._fraction:
            return
        for bucket in self._buckets.values():
            self._refill(bucket, now_ms)
            if live == 1 and bucket.level < 0:
                # The fleet's debt, worked off out of a VM's own fraction, would last for minutes.
                bucket.level *= fraction / self._fraction
        self._fraction = fraction

    def take(self, account: str, cost: float, now_ms: int) -> int | None:
        """Spend, or return in how many ms there will be enough.

        :return: ``None`` when it was spent.
        """
        bucket = self._buckets.get(account)
        if bucket is None or bucket.terms.rate_per_s <= 0:
            return None
        self._refill(bucket, now_ms)
        needed = min(cost, self._cap(bucket))
        if bucket.level >= needed:
            bucket.level -= cost
            self._spent[account] = self._spent.get(account, 0.0) + cost
            return None
        rate = bucket.terms.rate_per_s * self._fraction
        return max(1, int((needed - bucket.level) / rate * MS_PER_SECOND) + 1)

    def refund(self, account: str, cost: float, now_ms: int) -> None:
        """Give back what a request took that was not run."""
        bucket = self._buckets.get(account)
        if bucket is None or bucket.terms.rate_per_s <= 0:
            return
        self._refill(bucket, now_ms)
        bucket.level = min(self._cap(bucket), bucket.level + cost)
        self._spent[account] = self._spent.get(account, 0.0) - cost

    def spent_totals(self) -> dict[str, float]:
        """Return what this VM has spent in its life, by account, for its peers."""
        return {name: spent for name, spent in self._spent.items() if spent}

    def levels(self) -> dict[str, float]:
        """Return the level of each bucket, for a VM that has just started."""
        return {name: it.level for name, it in self._buckets.items()}

    def adopt_levels(self, levels: Mapping[str, float], now_ms: int) -> None:
        """Take over levels from a peer that has been up for longer."""
        for name, level in levels.items():
            bucket = self._buckets.get(name)
            if bucket is not None:
                bucket.level = min(level, self._cap(bucket))
                bucket.at_ms = now_ms

    def apply_totals(self, peer: str, totals: Mapping[str, float], now_ms: int, *, started_later: bool) -> None:
        """Charge what a peer spent since it was last heard.

        :param peer: name and incarnation.
        :param started_later: it started after this VM, so that all it spent is new here.
        """
        known = self._peers.get(peer)
        if known is None:
            known = self._peers[peer] = _Peer(now_ms)
            if not started_later:
                known.totals = dict(totals)
        passed_ms = now_ms - known.heard_ms
        known.heard_ms = now_ms
        before = {name: known.totals.get(name, 0.0) for name in totals}
        spent = {name: it - before[name] for name, it in totals.items() if it != before[name]}
        known.totals.update(totals)
        if passed_ms > self.peer_timeout_ms:
            self._take_to_spend(known, {}, now_ms)
            return
        for name in spent.keys() | known.paces.keys():
            taken = known.paces.get(name, 0.0) * passed_ms
            self._charge(name, spent.get(name, 0.0) - taken, now_ms)
        self._take_to_spend(known, self._paces_of(known, spent, passed_ms), now_ms)

    def _paces_of(
        self, peer: _Peer, spent: Mapping[str, float], passed_ms: int
    ) -> dict[str, float]:
        """Return what a peer spends in a ms by its last word and those before it, by account."""
        between_ms = max(passed_ms, LEAST_BETWEEN_MS)
        weight = 1 - math.exp(-between_ms / PACE_OVER_MS)
        paces = {}
        for name in spent.keys() | peer.paces.keys():
            bucket = self._buckets.get(name)
            now = spent.get(name, 0.0) / between_ms
            pace = (1 - weight) * peer.paces.get(name, 0.0) + weight * now
            if bucket is not None and abs(pace) > NEGLIGIBLE * bucket.terms.rate_per_s:
                paces[name] = pace
        return paces

    def _charge(self, account: str, cost: float, now_ms: int) -> None:
        """Charge what a peer spent beyond what it was taken to spend."""
        bucket = self._buckets.get(account)
        if bucket is None:
            return
        self._refill(bucket, now_ms)
        floor = -DEBT_S * bucket.terms.rate_per_s
        bucket.level = max(floor, min(self._cap(bucket), bucket.level - cost))

    def _take_to_spend(self, peer: _Peer, paces: dict[str, float], now_ms: int) -> None:
        """Take it from now on that a peer spends so much in a ms, by account."""
        for name in peer.paces.keys() | paces.keys():
            bucket = self._buckets.get(name)
            if bucket is not None:
                self._refill(bucket, now_ms)
            change = paces.get(name, 0.0) - peer.paces.get(name, 0.0)
            self._paces[name] = self._paces.get(name, 0.0) + change
        peer.paces = paces

    def _cap(self, bucket: _Bucket) -> float:
        terms = bucket.terms
        return max(terms.burst, terms.rate_per_s * 0.1) * self._fraction

    def _refill(self, bucket: _Bucket, now_ms: int) -> None:
        rate = bucket.terms.rate_per_s * self._fraction / MS_PER_SECOND
        gain = rate - self._paces.get(bucket.terms.name, 0.0)
        gained = gain * (now_ms - bucket.at_ms)
        bucket.level = min(self._cap(bucket), bucket.level + gained)
        bucket.at_ms = now_ms
