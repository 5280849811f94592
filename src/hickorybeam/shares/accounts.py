"""The buckets of this VM, one for each account, sized by the fractions it acts on."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from hickorybeam.policy.loans import Borrower, Lender
from hickorybeam.policy.rebalance import DecayingRates
from hickorybeam.policy.shares import PARTS_PER_ACCOUNT
from hickorybeam.policy.token_bucket import TokenBucket

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from hickorybeam.model import ClientAccount
    from hickorybeam.settings import ShareSettings

__all__ = ("AccountBuckets",)


class AccountBuckets:
    """What this VM holds of each account: its bucket, loans granted and loans held.

    :param cfg: how long loans last.
    """

    def __init__(self, cfg: ShareSettings) -> None:
        self.accounts: Mapping[str, ClientAccount] = {}
        self.buckets: dict[str, TokenBucket] = {}
        self.lender = Lender(duration_ms=cfg.loan_ms, margin_ms=cfg.loan_margin_ms)
        self.borrower = Borrower()
        self.spent = DecayingRates()
        self._admissions = itertools.count(1)
        self._begun: set[str] = set()

    def apply_accounts(self, accounts: Mapping[str, ClientAccount]) -> None:
        """Act on the accounts that change tickets set; a lowered burst counts at once."""
        self.accounts = accounts
        for name in self.borrower.accounts():
            account = accounts.get(name)
            self.borrower.rescale(name, account.burst if account else 0.0)

    def apply_parts(
        self, parts: Callable[[str], int], first: Callable[[str], int], now_ms: int
    ) -> None:
        """Size every bucket by the fractions acted on.

        A bucket whose account is gone stays, with no capacity, for as long as loans of it are
        out: a fresh one in its place would lend the same capacity a second time.
        """
        for name in {*self.buckets, *self.accounts}:
            account = self.accounts.get(name)
            held = parts(name) if account else 0
            bucket = self.buckets.get(name)
            if bucket is None:
                if held == 0:
                    continue
                bucket = TokenBucket(capacity=0.0, rate=0.0, now_ms=now_ms)
                self.buckets[name] = bucket
            share = held / PARTS_PER_ACCOUNT
            burst, rate = (account.burst, account.rate) if account else (0.0, 0.0)
            if (bucket.capacity, bucket.rate) != (burst * share, rate * share):
                bucket.resize(capacity=burst * share, rate=rate * share, now_ms=now_ms)
            if account and name not in self._begun and held:
                self._begun.add(name)
                bucket.fill(burst * min(share, first(name) / PARTS_PER_ACCOUNT), now_ms)

    def move(self, tokens: Mapping[str, float], now_ms: int) -> None:
        """Put in tokens that came with fractions, take out (negative) those that went."""
        for name, moved in tokens.items():
            bucket = self.buckets.get(name)
            if bucket is None:
                continue
            if moved >= 0:
                bucket.credit(moved, now_ms)
            else:
                bucket.charge(-moved, now_ms)

    def levels(self, now_ms: int) -> dict[str, float]:
        """Return the tokens held, by account."""
        return {name: bucket.level(now_ms) for name, bucket in self.buckets.items()}

    def available(self, account: str, now_ms: int, *, own: bool) -> float:
        """Return the tokens that can be spent now.

        :param own: whether this VM may act on its own fractions; a debt counts in any case.
        """
        bucket = self.buckets.get(account)
        level = bucket.level(now_ms) if bucket else 0.0
        if not own:
            level = min(level, 0.0)
        return level + self.borrower.available(account, now_ms)

    def spend(self, account: str, tokens: float, now_ms: int, *, own: bool) -> int | None:
        """Spend tokens, borrowed ones first since they run out.

        :return: the number of the admission, ``None`` when the tokens are not there.
        """
        if self.available(account, now_ms, own=own) < tokens:
            return None
        admission = next(self._admissions)
        rest = tokens - self.borrower.spend(account, tokens, now_ms)
        bucket = self.buckets.get(account)
        if bucket is not None:
            bucket.take_unchecked(max(0.0, rest), now_ms, admission)
        self.spent.add(account, tokens, now_ms)
        return admission

    def settle(self, account: str, taken: float, used: float, now_ms: int, admission: int) -> None:
        """Give back what was not used, or take what was used beyond."""
        bucket = self.buckets.get(account)
        if bucket is None:
            return
        if used <= taken:
            bucket.refund(taken - used, now_ms, admission)
        else:
            bucket.charge(used - taken, now_ms)

    def lent_parts(self, account: str) -> int:
        """Return the parts of an account that loans occupy, rounded up."""
        bucket = self.buckets.get(account)
        burst = self.accounts[account].burst if account in self.accounts else 0.0
        if bucket is None or bucket.lent_capacity <= 0:
            return 0
        if burst <= 0:
            return PARTS_PER_ACCOUNT
        return min(PARTS_PER_ACCOUNT, int(bucket.lent_capacity / burst * PARTS_PER_ACCOUNT) + 1)
