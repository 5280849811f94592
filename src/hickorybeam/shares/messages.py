"""Messages between VMs about shares and loans."""

from __future__ import annotations

from dataclasses import dataclass

from hickorybeam.policy.loans import ClosedLoan, Loan  # noqa: TC001 - read by msgspec
from hickorybeam.ports import Topic

__all__ = (
    "LOANS",
    "SHARES_MOVED",
    "TAKE_OVER_PROMISE",
    "LoanDemand",
    "LoanReply",
    "LoanRequest",
    "SharesMoved",
    "TakeOverPromiseReply",
    "TakeOverPromiseRequest",
)


@dataclass(frozen=True, slots=True)
class LoanDemand:
    """Tokens wanted of one account: ``need`` for waiting requests, ``ahead`` for expected ones."""

    need: float
    ahead: float = 0.0


@dataclass(frozen=True, slots=True)
class LoanRequest:
    """Tokens wanted by account, and the loans that the sender has closed."""

    wants: dict[str, LoanDemand]
    closed: tuple[ClosedLoan, ...] = ()


@dataclass(frozen=True, slots=True)
class LoanReply:
    """The loans granted; for an account that is missing, the lender has nothing to lend."""

    loans: tuple[Loan, ...] = ()


@dataclass(frozen=True, slots=True)
class TakeOverPromiseRequest:
    """Asks a neighbour to promise not to take over the sender's shares for ``promise_ms``."""

    promise_ms: int


@dataclass(frozen=True, slots=True)
class TakeOverPromiseReply:
    """``taken``: no promise, as the neighbour took over, or tried and the outcome is unknown."""

    taken: bool


@dataclass(frozen=True, slots=True)
class SharesMoved:
    """Tells a VM that the ledger assigns it more parts, so that it reads now; also the reply."""


LOANS: Topic[LoanRequest, LoanReply] = Topic(
    "share.loans", LoanRequest, LoanReply, shared_stream=True
)
TAKE_OVER_PROMISE: Topic[TakeOverPromiseRequest, TakeOverPromiseReply] = Topic(
    "share.standing", TakeOverPromiseRequest, TakeOverPromiseReply
)
SHARES_MOVED: Topic[SharesMoved, SharesMoved] = Topic("share.moved", SharesMoved, SharesMoved)
