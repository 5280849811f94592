"""What VMs ask each other about shares."""

from __future__ import annotations

from dataclasses import dataclass

from hickorybeam.policy.loans import ClosedLoan, Loan  # noqa: TC001 - read by msgspec
from hickorybeam.ports import Topic

__all__ = (
    "LOANS",
    "MOVED",
    "STANDING",
    "LoanReply",
    "LoanRequest",
    "Moved",
    "StandingReply",
    "StandingRequest",
    "Want",
)


@dataclass(frozen=True, slots=True)
class Want:
    """Tokens of one account: ``need`` for requests that wait, ``ahead`` for those to come."""

    need: float
    ahead: float = 0.0


@dataclass(frozen=True, slots=True)
class LoanRequest:
    """Tokens wanted of each account, and loans that the sender will spend no more of."""

    wants: dict[str, Want]
    closed: tuple[ClosedLoan, ...] = ()


@dataclass(frozen=True, slots=True)
class LoanReply:
    """The loans granted; an account left out has nothing to lend here."""

    loans: tuple[Loan, ...] = ()


@dataclass(frozen=True, slots=True)
class StandingRequest:
    """Asks a neighbour whether it took the sender's fractions over, and not to for a while."""

    promise_ms: int


@dataclass(frozen=True, slots=True)
class StandingReply:
    """``taken``: the neighbour took over, or tried to and does not know the outcome."""

    taken: bool


@dataclass(frozen=True, slots=True)
class Moved:
    """Tells a VM that the ledger has more for it, so that it reads now; also the reply."""


LOANS: Topic[LoanRequest, LoanReply] = Topic(
    "share.loans", LoanRequest, LoanReply, shared_stream=True
)
STANDING: Topic[StandingRequest, StandingReply] = Topic(
    "share.standing", StandingRequest, StandingReply
)
MOVED: Topic[Moved, Moved] = Topic("share.moved", Moved, Moved)
