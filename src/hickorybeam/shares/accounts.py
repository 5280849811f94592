"""Token buckets of this VM, one per account, sized by the shares it uses."""

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
    """This VM's token bucket for each account, with the loans it has granted and holds.

    :param cfg: duration and margin of loans.
    """

    def __init__(self, cfg: ShareSettings) -> None:
        self.accounts: Mapping[str, ClientAccount] = {}
        self.buckets: dict[str, TokenBucket] = {}
        self.lender = Lender(duration_ms=cfg.loan_ms, margin_ms=cfg.loan_margin_ms)
        self.borrower = Borrower()
        self.spend_rates = DecayingRates()
        self._admissions = itertools.count(1)
        self._initialised: set[str] = set()

    def apply_accounts(self, accounts: Mapping[str, ClientAccount]) -> None:
        """Replace the configured accounts; held loans shrink with a lowered burst at once."""
        self.accounts = accounts
        for name in self.borrower.accounts():
            account = accounts.get(name)
            self.borrower.rescale(name, account.burst if account else 0.0)

    def apply_parts(
        self,
        used_parts: Callable[[str], int],
        initial_parts: Callable[[str], int],
        now_ms: int,
    ) -> None:
        """Size every bucket by the shares in use.

        The bucket of a deleted account stays, with no capacity, while it has open loans: a new
        bucket in its place would lend the same capacity a second time.

        :param used_parts: returns the parts of an account that this VM uses.
        :param initial_parts: returns the parts assigned to this VM when the account was created.
        """
        for name in {*self.buckets, *self.accounts}:
            account = self.accounts.get(name)
            own_parts = used_parts(name) if account else 0
            bucket = self.buckets.get(name)
            if bucket is None:
                if own_parts == 0:
                    continue
                bucket = TokenBucket(capacity=0.0, rate=0.0, now_ms=now_ms)
                self.buckets[name] = bucket
            share = own_parts / PARTS_PER_ACCOUNT
            burst, rate = (account.burst, account.rate) if account else (0.0, 0.0)
            if (bucket.capacity, bucket.rate) != (burst * share, rate * share):
                bucket.resize(capacity=burst * share, rate=rate * share, now_ms=now_ms)
            if account and name not in self._initialised and own_parts:
                self._initialised.add(name)
                bucket.fill(burst * min(share, initial_parts(name) / PARTS_PER_ACCOUNT), now_ms)

    def apply_token_transfers(self, tokens: Mapping[str, float], now_ms: int) -> None:
        """Credit tokens received with shares, charge (negative) those transferred away."""
        for name, moved in tokens.items():
            bucket = self.buckets.get(name)
            if bucket is None:
                continue
            if moved >= 0:
                bucket.credit(moved, now_ms)
            else:
                bucket.charge(-moved, now_ms)

    def levels(self, now_ms: int) -> dict[str, float]:
        """Return the tokens in each bucket, by account."""
        return {name: bucket.level(now_ms) for name, bucket in self.buckets.items()}

    def available(self, account: str, now_ms: int, *, use_own_share: bool) -> float:
        """Return the tokens that can be spent now.

        :param use_own_share: whether this VM may spend from its own share; a debt counts anyway.
        """
        bucket = self.buckets.get(account)
        level = bucket.level(now_ms) if bucket else 0.0
        if not use_own_share:
            level = min(level, 0.0)
        return level + self.borrower.available(account, now_ms)

    def spend(self, account: str, tokens: float, now_ms: int, *, use_own_share: bool) -> int | None:
        """Spend tokens, borrowed ones first because they expire.

        :return: the number of the admission, ``None`` if too few tokens are available.
        """
        if self.available(account, now_ms, use_own_share=use_own_share) < tokens:
            return None
        admission = next(self._admissions)
        remaining = tokens - self.borrower.spend(account, tokens, now_ms)
        bucket = self.buckets.get(account)
        if bucket is not None:
            bucket.take_unchecked(max(0.0, remaining), now_ms, admission)
        self.spend_rates.add(account, tokens, now_ms)
        return admission

    def settle(self, account: str, taken: float, used: float, now_ms: int, admission: int) -> None:
        """Refund the tokens that were not used, or charge those used in excess."""
        bucket = self.buckets.get(account)
        if bucket is None:
            return
        if used <= taken:
            bucket.refund(taken - used, now_ms, admission)
        else:
            bucket.charge(used - taken, now_ms)

    def lent_parts(self, account: str) -> int:
        """Return the parts of an account whose capacity is lent out, rounded up."""
        bucket = self.buckets.get(account)
        burst = self.accounts[account].burst if account in self.accounts else 0.0
        if bucket is None or bucket.lent_capacity <= 0:
            return 0
        if burst <= 0:
            return PARTS_PER_ACCOUNT
        return min(PARTS_PER_ACCOUNT, int(bucket.lent_capacity / burst * PARTS_PER_ACCOUNT) + 1)
