"""Loans of tokens between VMs, which move tokens and never create them.

Load pattern answered: all of an account's traffic comes in at one VM, or moves to another
region within seconds, while fractions of rate and burst follow demand only slowly. Without
loans that VM refuses requests although the account is inside its rate.

What keeps the sum: a loan carries its capacity with it. The lender's bucket stays smaller by
the loan until the borrower says that the loan is closed, or until the loan has run out and a
margin has passed. The borrower counts the loan's time from the moment at which it *sent* its
request, the lender from the later moment at which it granted it; both are durations on their
own clocks, so no two clocks are compared. A lost grant or report costs tokens for a while, a
duplicate names a loan that is already closed.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Mapping

    from hickorybeam.model import VmId
    from hickorybeam.policy.token_bucket import TokenBucket

__all__ = ("Borrower", "ClosedLoan", "Lender", "Loan")

SMALLEST_LOAN: Final = 1e-6


@dataclass(frozen=True, slots=True)
class Loan:
    """What a lender grants; ``number`` is unique for the lender's incarnation.

    ``burst`` is the account's burst that the lender acted on, ``duration_ms`` how long the
    borrower may spend, counted from its own request.
    """

    number: int
    account: str
    tokens: float
    burst: float
    duration_ms: int


@dataclass(frozen=True, slots=True)
class ClosedLoan:
    """The borrower's report that it will spend no more of a loan, and what was left of it."""

    number: int
    returned: float


class _Granted:
    """One open loan in the lender's book."""

    __slots__ = ("account", "tokens", "until_ms")

    def __init__(self, account: str, tokens: float, until_ms: int) -> None:
        self.account = account
        self.tokens = tokens
        self.until_ms = until_ms


class Lender:
    """The loans that one VM has granted.

    :param duration_ms: how long a borrower may spend a loan.
    :param margin_ms: how much longer the lender waits; covers clocks that run at slightly
        different speeds, one part in a thousand over a loan's time being a few ms.
    """

    def __init__(self, *, duration_ms: int, margin_ms: int) -> None:
        self._duration_ms = duration_ms
        self._margin_ms = margin_ms
        self._open: dict[int, _Granted] = {}
        self._next = 1

    def grant(
        self, account: str, bucket: TokenBucket, want: float, now_ms: int, *, burst: float
    ) -> Loan | None:
        """Lend up to the tokens wanted, or nothing."""
        tokens = bucket.lend(want, now_ms)
        if tokens <= SMALLEST_LOAN:
            bucket.restore(tokens, tokens, now_ms)
            return None
        number = self._next
        self._next += 1
        until = now_ms + self._duration_ms + self._margin_ms
        self._open[number] = _Granted(account, tokens, until)
        return Loan(number, account, tokens, burst, self._duration_ms)

    def close(self, report: ClosedLoan, buckets: Mapping[str, TokenBucket], now_ms: int) -> None:
        """Take back a loan that its borrower closed; a loan not open is passed over.

        A report that comes twice, or after the loan ran out, would otherwise bring the same
        capacity back twice and let the account spend it twice.
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
        """Take back the capacity of loans that ran out, empty."""
        due = [number for number, granted in self._open.items() if now_ms >= granted.until_ms]
        for number in due:
            granted = self._open.pop(number)
            bucket = buckets.get(granted.account)
            if bucket is not None:
                bucket.restore(granted.tokens, 0.0, now_ms)

    def open_count(self) -> int:
        """Return how many loans are open."""
        return len(self._open)


class _Held:
    """One loan in the borrower's hands."""

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
        self._held: dict[str, list[_Held]] = {}
        self._seen: dict[tuple[VmId, int], int] = {}
        self._closed: dict[VmId, list[ClosedLoan]] = {}

    def receive(self, lender: VmId, loan: Loan, *, sent_ms: int, now_ms: int, burst: float) -> None:
        """Take a loan into use.

        :param sent_ms: when this VM sent the request that the loan answers.
        :param burst: the account's burst that this VM acts on.
        """
        until = sent_ms + loan.duration_ms
        # A grant delivered twice would be spent twice; the number is remembered for as long
        # as the loan could still be accepted.
        if (lender, loan.number) in self._seen or now_ms >= until:
            return
        self._seen[lender, loan.number] = until
        held = _Held(lender, loan.number, loan.tokens, loan.burst, until)
        _scale(held, burst)
        self._held.setdefault(loan.account, []).append(held)

    def available(self, account: str, now_ms: int) -> float:
        """Return the borrowed tokens of an account that may still be spent."""
        self._drop_expired(account, now_ms)
        return sum(held.tokens for held in self._held.get(account, ()))

    def spend(self, account: str, tokens: float, now_ms: int) -> float:
        """Spend borrowed tokens, those that run out soonest first.

        A VM that was paused past a loan's end comes through here first, so that it drops the
        loan before it spends: by then the lender may have its capacity back.

        :return: the tokens spent, at most those wanted.
        """
        self._drop_expired(account, now_ms)
        left = tokens
        for held in sorted(self._held.get(account, ()), key=lambda held: held.until_ms):
            part = min(left, held.tokens)
            held.tokens -= part
            left -= part
            if held.tokens <= SMALLEST_LOAN:
                self._close(account, held, returned=0.0)
            if left <= 0:
                break
        return tokens - left

    def rescale(self, account: str, burst: float) -> None:
        """Apply a lowered burst to the loans held, as their lenders do to their buckets."""
        for held in self._held.get(account, ()):
            _scale(held, burst)

    def return_loans(self, account: str) -> None:
        """Stop spending an account's loans and report what is left of them."""
        for held in tuple(self._held.get(account, ())):
            self._close(account, held, returned=held.tokens)

    def accounts(self) -> tuple[str, ...]:
        """Return the accounts with loans held."""
        return tuple(self._held)

    def take_reports(self, lender: VmId) -> tuple[ClosedLoan, ...]:
        """Take the reports due to one lender; it is safe to lose them and to repeat them."""
        return tuple(self._closed.pop(lender, ()))

    def lenders_due_reports(self) -> tuple[VmId, ...]:
        """Return the lenders to whom reports are due."""
        return tuple(self._closed)

    def expire(self, now_ms: int) -> None:
        """Drop what ran out and forget numbers that no grant can bring back."""
        for account in tuple(self._held):
            self._drop_expired(account, now_ms)
        self._seen = {key: until for key, until in self._seen.items() if until > now_ms}

    def _drop_expired(self, account: str, now_ms: int) -> None:
        for held in tuple(self._held.get(account, ())):
            if now_ms >= held.until_ms:
                self._close(account, held, returned=held.tokens)

    def _close(self, account: str, held: _Held, *, returned: float) -> None:
        loans = self._held[account]
        loans.remove(held)
        if not loans:
            del self._held[account]
        self._closed.setdefault(held.lender, []).append(ClosedLoan(held.number, returned))


def _scale(held: _Held, burst: float) -> None:
    """Shrink a loan to a lowered burst, since its tokens were granted under the older one."""
    if held.burst > 0 and burst < held.burst:
        held.tokens *= burst / held.burst
        held.burst = burst
