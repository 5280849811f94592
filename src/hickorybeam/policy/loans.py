"""Loans of tokens between VMs, which move tokens and never create them.

All of an account's traffic may arrive at one VM, or move to another region within seconds,
while shares of rate and burst follow demand only slowly. Without loans that VM refuses requests
although the account is within its rate.

A loan carries its capacity with it, which keeps the sum constant. The lender's bucket stays
smaller by the loan until the borrower reports the loan closed, or until the loan has expired and
a margin has passed. The borrower counts the loan's duration from the moment at which it *sent*
its request, the lender from the later moment at which it granted it; each uses its own clock, so
no two clocks are compared. A lost grant or report costs tokens for a while; a duplicate names a
loan that is already closed.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Mapping

    from hickorybeam.model import VmId
    from hickorybeam.policy.token_bucket import TokenBucket

__all__ = ("Borrower", "ClosedLoan", "Lender", "Loan")

MIN_LOAN_TOKENS: Final = 1e-6


@dataclass(frozen=True, slots=True)
class Loan:
    """Tokens that a lender grants; ``number`` is unique for the lender's incarnation.

    ``burst`` is the account's burst as configured at the lender, ``duration_ms`` how long the
    borrower may spend the loan, counted from its request.
    """

    number: int
    account: str
    tokens: float
    burst: float
    duration_ms: int


@dataclass(frozen=True, slots=True)
class ClosedLoan:
    """The borrower's report that a loan is closed and how many of its tokens were left."""

    number: int
    returned: float


class _GrantedLoan:
    """One open loan as recorded by the lender."""

    __slots__ = ("account", "tokens", "until_ms")

    def __init__(self, account: str, tokens: float, until_ms: int) -> None:
        self.account = account
        self.tokens = tokens
        self.until_ms = until_ms


class Lender:
    """The loans that one VM has granted.

    :param duration_ms: how long a borrower may spend a loan.
    :param margin_ms: how much longer the lender waits; covers clock drift, which at one part in
        a thousand is a few ms over a loan's duration.
    """

    def __init__(self, *, duration_ms: int, margin_ms: int) -> None:
        self._duration_ms = duration_ms
        self._margin_ms = margin_ms
        self._open: dict[int, _GrantedLoan] = {}
        self._next_number = 1

    def grant(
        self, account: str, bucket: TokenBucket, want: float, now_ms: int, *, burst: float
    ) -> Loan | None:
        """Grant a loan of up to the tokens wanted, or return ``None``."""
        tokens = bucket.lend(want, now_ms)
        if tokens <= MIN_LOAN_TOKENS:
            bucket.restore(tokens, tokens, now_ms)
            return None
        number = self._next_number
        self._next_number += 1
        until_ms = now_ms + self._duration_ms + self._margin_ms
        self._open[number] = _GrantedLoan(account, tokens, until_ms)
        return Loan(number, account, tokens, burst, self._duration_ms)

    def close(self, report: ClosedLoan, buckets: Mapping[str, TokenBucket], now_ms: int) -> None:
        """Take back a loan that its borrower closed; ignore a loan that is not open.

        A report that arrives twice, or after the loan expired, would otherwise restore the same
        capacity twice and let the account spend it twice.
        """
        granted = self._open.get(report.number)
        if granted is None:
            return
        if now_ms >= granted.until_ms:
            return
        del self._open[report.number]
        bucket = buckets.get(granted.account)
        if bucket is not None:
            bucket.restore(granted.tokens, report.returned, now_ms)

    def expire(self, buckets: Mapping[str, TokenBucket], now_ms: int) -> None:
        """Take back the capacity of expired loans, without any tokens."""
        expired = [number for number, granted in self._open.items() if now_ms >= granted.until_ms]
        for number in expired:
            granted = self._open.pop(number)
            bucket = buckets.get(granted.account)
            if bucket is not None:
                bucket.restore(granted.tokens, 0.0, now_ms)

    def open_count(self) -> int:
        """Return the number of open loans."""
        return len(self._open)


class _HeldLoan:
    """One loan held by the borrower, with the tokens left of it."""

    __slots__ = ("burst", "lender", "number", "tokens", "until_ms")

    def __init__(
        self, lender: VmId, number: int, tokens: float, burst: float, until_ms: int
    ) -> None:
        self.lender = lender
        self.number = number
        self.tokens = tokens
        self.burst = burst
        self.until_ms = until_ms


class Borrower:
    """The loans that one VM holds."""

    def __init__(self) -> None:
        self._held: dict[str, list[_HeldLoan]] = {}
        self._received_until_ms: dict[tuple[VmId, int], int] = {}
        self._closed: dict[VmId, list[ClosedLoan]] = {}

    def receive(self, lender: VmId, loan: Loan, *, sent_ms: int, now_ms: int, burst: float) -> None:
        """Make a loan available for spending.

        :param sent_ms: when this VM sent the request for the loan.
        :param burst: the account's burst as configured at this VM.
        """
        until_ms = sent_ms + loan.duration_ms
        # A grant delivered twice would be spent twice; its number is kept for as long as the loan
        # could still be accepted.
        if (lender, loan.number) in self._received_until_ms or now_ms >= until_ms:
            return
        self._received_until_ms[lender, loan.number] = until_ms
        held = _HeldLoan(lender, loan.number, loan.tokens, loan.burst, until_ms)
        _shrink(held, burst)
        self._held.setdefault(loan.account, []).append(held)

    def available(self, account: str, now_ms: int) -> float:
        """Return an account's borrowed tokens that may still be spent."""
        self._drop_expired(account, now_ms)
        return sum(held.tokens for held in self._held.get(account, ()))

    def spend(self, account: str, tokens: float, now_ms: int) -> float:
        """Spend borrowed tokens, those that expire soonest first.

        Expired loans are dropped first: a VM may have been paused past a loan's end, by which
        time the lender may have its capacity back.

        :return: the tokens spent, at most those wanted.
        """
        self._drop_expired(account, now_ms)
        left = tokens
        for held in sorted(self._held.get(account, ()), key=lambda held: held.until_ms):
            part = min(left, held.tokens)
            held.tokens -= part
            left -= part
            if held.tokens <= MIN_LOAN_TOKENS:
                self._close(account, held, returned=0.0)
            if left <= 0:
                break
        return tokens - left

    def rescale(self, account: str, burst: float) -> None:
        """Shrink the loans held to a lowered burst, as their lenders do with their buckets."""
        for held in self._held.get(account, ()):
            _shrink(held, burst)

    def return_loans(self, account: str) -> None:
        """Close an account's loans and report the tokens left of them."""
        for held in tuple(self._held.get(account, ())):
            self._close(account, held, returned=held.tokens)

    def accounts(self) -> tuple[str, ...]:
        """Return the accounts for which loans are held."""
        return tuple(self._held)

    def take_reports(self, lender: VmId) -> tuple[ClosedLoan, ...]:
        """Return and remove the reports due to a lender; losing or repeating one is safe."""
        return tuple(self._closed.pop(lender, ()))

    def lenders_due_reports(self) -> tuple[VmId, ...]:
        """Return the lenders to which reports are due."""
        return tuple(self._closed)

    def expire(self, now_ms: int) -> None:
        """Close expired loans and forget the numbers of those too late to be accepted."""
        for account in tuple(self._held):
            self._drop_expired(account, now_ms)
        self._received_until_ms = {
            key: until_ms for key, until_ms in self._received_until_ms.items() if until_ms > now_ms
        }

    def _drop_expired(self, account: str, now_ms: int) -> None:
        for held in tuple(self._held.get(account, ())):
            if now_ms >= held.until_ms:
                self._close(account, held, returned=held.tokens)

    def _close(self, account: str, held: _HeldLoan, *, returned: float) -> None:
        loans = self._held[account]
        loans.remove(held)
        if not loans:
            del self._held[account]
        self._closed.setdefault(held.lender, []).append(ClosedLoan(held.number, returned))


def _shrink(held: _HeldLoan, burst: float) -> None:
    """Shrink a loan to a lowered burst, since its tokens were granted under the higher one."""
    if held.burst > 0 and burst < held.burst:
        held.tokens *= burst / held.burst
        held.burst = burst
