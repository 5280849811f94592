"""Which fractions to give away: to newcomers, to data centres below their floor, to demand.

Load pattern answered: demand for an account moves between regions over the day. Without
this, every request at the new place waits for a loan over the wide-area link. Only the
present owner of a fraction moves it, so no two VMs plan the same move.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from hickorybeam.policy.shares import PARTS_PER_ACCOUNT, GroupLedger, Holder, transfer_parts

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ("AccountDemand", "DecayingRates", "plan_transfers")

# A holder gives at most this part of what it holds of an account in one round: with a round
# of two seconds a fraction follows demand within about ten seconds, and a burst that lasts
# one round moves little.
LARGEST_STEP: Final = 0.3

# Moves below 1% of an account are not worth a write to the platform.
SMALLEST_MOVE: Final = PARTS_PER_ACCOUNT // 100

# Lending is averaged over this time, so that a fraction moves only on lasting demand.
AVERAGE_OVER_MS: Final = 6_000


@dataclass(frozen=True, slots=True, kw_only=True)
class AccountDemand:
    """What this VM knows of the demand for one account.

    ``rate`` is the account's, in tokens a second; ``lent`` tokens a second lent to each
    holder, averaged; ``own`` tokens a second spent here; ``keep`` parts that loans still
    occupy and that can't be given away.
    """

    account_rate: float
    local_rate: float = 0.0
    level: float = 0.0
    lent_rates: Mapping[Holder, float] = field(default_factory=dict)
    reserved_parts: int = 0


class DecayingRates:
    """Averages of tokens a second by key, decayed over ``AVERAGE_OVER_MS``."""

    __slots__ = ("_at_ms", "_tokens")

    def __init__(self) -> None:
        self._tokens: dict[object, float] = {}
        self._at_ms: dict[object, int] = {}

    def add(self, key: object, tokens: float, now_ms: int) -> None:
        """Count tokens."""
        self._tokens[key] = self._decayed(key, now_ms) + tokens
        self._at_ms[key] = now_ms

    def rate(self, key: object, now_ms: int) -> float:
        """Return tokens a second."""
        return self._decayed(key, now_ms) * 1000.0 / AVERAGE_OVER_MS

    def _decayed(self, key: object, now_ms: int) -> float:
        elapsed = now_ms - self._at_ms.get(key, now_ms)
        # A straight line in place of an exponential: exact zero after the time, cheap to read.
        return self._tokens.get(key, 0.0) * max(0.0, 1.0 - elapsed / AVERAGE_OVER_MS)


def plan_transfers(
    ledger: GroupLedger,
    me: Holder,
    planned: tuple[Holder, ...],
    demands: Mapping[str, AccountDemand],
    *,
    floor: float,
) -> GroupLedger:
    """Return the ledger with what this VM should give away.

    :param planned: live VMs that should hold fractions of this group.
    :param floor: the fraction of each account that every data centre keeps, shrunk where
        there are too many data centres for it.
    """
    data_centres = sorted({holder.data_centre for holder in planned} | {me.data_centre})
    floor_parts = int(PARTS_PER_ACCOUNT * min(floor, 0.5 / len(data_centres)))
    for account, demand in demands.items():
        before = ledger
        ledger = _give_to_newcomer(ledger, me, planned, account, demand, floor_parts)
        if ledger is before:
            ledger = _give_to_demand(ledger, me, planned, account, demand, floor_parts)
    return ledger


def _give_to_newcomer(
    ledger: GroupLedger,
    me: Holder,
    planned: tuple[Holder, ...],
    account: str,
    demand: AccountDemand,
    floor_parts: int,
) -> GroupLedger:
    """Raise a data centre, or a VM of this one, that holds too little."""
    mine = ledger.parts(me.vm, account)
    spare = max(0, mine - demand.reserved_parts)
    if _is_largest(ledger, me, account):
        for holder in planned:
            held = ledger.of_data_centre(holder.data_centre, account)
            if held >= floor_parts or holder.data_centre == me.data_centre:
                continue
            wanted = floor_parts - held
            if held == 0 and _is_idle(demand, mine):
                wanted = PARTS_PER_ACCOUNT // len({one.data_centre for one in planned})
            return transfer_parts(ledger, me, holder, account, min(wanted, spare // 2), demand.level)
    neighbours = [one for one in planned if one.data_centre == me.data_centre]
    if _is_largest_here(ledger, me, account):
        for holder in neighbours:
            if holder.vm != me.vm and ledger.parts(holder.vm, account) == 0 and mine > 1:
                wanted = ledger.of_data_centre(me.data_centre, account) // len(neighbours)
                return transfer_parts(ledger, me, holder, account, min(wanted, spare // 2), demand.level)
    return ledger


def _give_to_demand(
    ledger: GroupLedger,
    me: Holder,
    planned: tuple[Holder, ...],
    account: str,
    demand: AccountDemand,
    floor_parts: int,
) -> GroupLedger:
    """Move fractions to holders that keep borrowing."""
    if demand.account_rate <= 0:
        return ledger
    places = sum(1 for one in planned if one.data_centre == me.data_centre) or 1
    mine = ledger.parts(me.vm, account)
    used_here = int(PARTS_PER_ACCOUNT * demand.local_rate / demand.account_rate)
    spare = mine - max(demand.reserved_parts, floor_parts // places, min(used_here, mine))
    budget = min(spare, int(mine * LARGEST_STEP))
    wants = sorted(
        ((lent, holder) for holder, lent in demand.lent_rates.items() if holder in planned),
        reverse=True,
    )
    for lent, holder in wants:
        parts = min(budget, int(PARTS_PER_ACCOUNT * lent / demand.account_rate))
        if parts < SMALLEST_MOVE:
            break
        level = demand.level * ledger.parts(me.vm, account) / mine
        ledger = transfer_parts(ledger, me, holder, account, parts, level)
        budget -= parts
    return ledger


def _is_idle(demand: AccountDemand, mine: int) -> bool:
    return demand.local_rate < demand.account_rate * mine / PARTS_PER_ACCOUNT / 2


def _is_largest(ledger: GroupLedger, me: Holder, account: str) -> bool:
    return _largest(ledger.holders(), ledger, account) == me


def _is_largest_here(ledger: GroupLedger, me: Holder, account: str) -> bool:
    here = tuple(one for one in ledger.holders() if one.data_centre == me.data_centre)
    return _largest(here, ledger, account) == me


def _largest(holders: tuple[Holder, ...], ledger: GroupLedger, account: str) -> Holder | None:
    return max(holders, key=lambda one: (ledger.parts(one.vm, account), one), default=None)
