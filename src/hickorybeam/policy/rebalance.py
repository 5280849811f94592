"""Which parts to transfer: to new holders, to data centres below their floor, and to demand.

Demand for an account moves between regions over the day. Without transfers, every request in the
new region waits for a loan over the wide-area link. Only the current holder of parts transfers
them, so no two VMs plan the same transfer.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from hickorybeam.policy.shares import PARTS_PER_ACCOUNT, GroupLedger, Holder, transfer_parts

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ("AccountDemand", "DecayingRates", "plan_transfers")

# Largest proportion of its parts that a holder transfers in one round: with rounds of two
# seconds a share follows demand within about ten seconds, and a burst of one round moves little.
MAX_STEP_RATIO: Final = 0.3

# Transfers below 1% of an account are not worth a write to the platform.
MIN_TRANSFER_PARTS: Final = PARTS_PER_ACCOUNT // 100

# Lending is averaged over this time, so that parts move only on lasting demand.
AVERAGING_MS: Final = 6_000


@dataclass(frozen=True, slots=True, kw_only=True)
class AccountDemand:
    """The demand for one account as measured at this VM.

    ``account_rate`` is the account's limit, ``local_rate`` what is spent at this VM and
    ``lent_rates`` what is lent to each holder, all in tokens a second, the last two averaged.
    ``level`` is the tokens in this VM's bucket, ``reserved_parts`` the parts that open loans
    occupy and that can't be transferred.
    """

    account_rate: float
    local_rate: float = 0.0
    level: float = 0.0
    lent_rates: Mapping[Holder, float] = field(default_factory=dict)
    reserved_parts: int = 0


class DecayingRates:
    """Averages of tokens a second by key, decayed over ``AVERAGING_MS``."""

    __slots__ = ("_at_ms", "_totals")

    def __init__(self) -> None:
        self._totals: dict[object, float] = {}
        self._at_ms: dict[object, int] = {}

    def add(self, key: object, tokens: float, now_ms: int) -> None:
        """Add tokens to a key's average."""
        self._totals[key] = self._decayed(key, now_ms) + tokens
        self._at_ms[key] = now_ms

    def rate(self, key: object, now_ms: int) -> float:
        """Return a key's average in tokens a second."""
        return self._decayed(key, now_ms) * 1000.0 / AVERAGING_MS

    def _decayed(self, key: object, now_ms: int) -> float:
        elapsed = now_ms - self._at_ms.get(key, now_ms)
        # Linear instead of exponential decay: exactly zero after the time, and cheap to compute.
        return self._totals.get(key, 0.0) * max(0.0, 1.0 - elapsed / AVERAGING_MS)


def plan_transfers(
    ledger: GroupLedger,
    own_holder: Holder,
    planned: tuple[Holder, ...],
    demands: Mapping[str, AccountDemand],
    *,
    floor: float,
) -> GroupLedger:
    """Return the ledger with the transfers that this VM should make.

    :param planned: live VMs that should hold shares of this group.
    :param floor: the share of each account that every data centre keeps, lowered where there
        are too many data centres for it.
    """
    data_centres = sorted({holder.data_centre for holder in planned} | {own_holder.data_centre})
    floor_parts = int(PARTS_PER_ACCOUNT * min(floor, 0.5 / len(data_centres)))
    for account, demand in demands.items():
        before = ledger
        ledger = _transfer_to_underprovisioned(
            ledger, own_holder, planned, account, demand, floor_parts
        )
        if ledger is before:
            ledger = _transfer_to_demand(ledger, own_holder, planned, account, demand, floor_parts)
    return ledger


def _transfer_to_underprovisioned(
    ledger: GroupLedger,
    own_holder: Holder,
    planned: tuple[Holder, ...],
    account: str,
    demand: AccountDemand,
    floor_parts: int,
) -> GroupLedger:
    """Transfer parts to a data centre below its floor, or to a VM of this one without any."""
    own_parts = ledger.parts(own_holder.vm, account)
    spare = max(0, own_parts - demand.reserved_parts)
    if _is_largest_holder(ledger, own_holder, account):
        for holder in planned:
            held = ledger.of_data_centre(holder.data_centre, account)
            if held >= floor_parts or holder.data_centre == own_holder.data_centre:
                continue
            wanted = floor_parts - held
            if held == 0 and _is_idle(demand, own_parts):
                wanted = PARTS_PER_ACCOUNT // len({candidate.data_centre for candidate in planned})
            return transfer_parts(
                ledger, own_holder, holder, account, min(wanted, spare // 2), demand.level
            )
    neighbours = [
        candidate for candidate in planned if candidate.data_centre == own_holder.data_centre
    ]
    if _is_largest_local_holder(ledger, own_holder, account):
        for holder in neighbours:
            if (
                holder.vm != own_holder.vm
                and ledger.parts(holder.vm, account) == 0
                and own_parts > 1
            ):
                wanted = ledger.of_data_centre(own_holder.data_centre, account) // len(neighbours)
                return transfer_parts(
                    ledger, own_holder, holder, account, min(wanted, spare // 2), demand.level
                )
    return ledger


def _transfer_to_demand(
    ledger: GroupLedger,
    own_holder: Holder,
    planned: tuple[Holder, ...],
    account: str,
    demand: AccountDemand,
    floor_parts: int,
) -> GroupLedger:
    """Transfer parts to holders that keep borrowing."""
    if demand.account_rate <= 0:
        return ledger
    local_holders = (
        sum(1 for candidate in planned if candidate.data_centre == own_holder.data_centre) or 1
    )
    own_parts = ledger.parts(own_holder.vm, account)
    used_parts = int(PARTS_PER_ACCOUNT * demand.local_rate / demand.account_rate)
    spare = own_parts - max(
        demand.reserved_parts, floor_parts // local_holders, min(used_parts, own_parts)
    )
    budget = min(spare, int(own_parts * MAX_STEP_RATIO))
    borrowers = sorted(
        ((lent, holder) for holder, lent in demand.lent_rates.items() if holder in planned),
        reverse=True,
    )
    for lent, holder in borrowers:
        parts = min(budget, int(PARTS_PER_ACCOUNT * lent / demand.account_rate))
        if parts < MIN_TRANSFER_PARTS:
            break
        level = demand.level * ledger.parts(own_holder.vm, account) / own_parts
        ledger = transfer_parts(ledger, own_holder, holder, account, parts, level)
        budget -= parts
    return ledger


def _is_idle(demand: AccountDemand, own_parts: int) -> bool:
    return demand.local_rate < demand.account_rate * own_parts / PARTS_PER_ACCOUNT / 2


def _is_largest_holder(ledger: GroupLedger, own_holder: Holder, account: str) -> bool:
    return _largest_holder(ledger.holders(), ledger, account) == own_holder


def _is_largest_local_holder(ledger: GroupLedger, own_holder: Holder, account: str) -> bool:
    local = tuple(
        candidate
        for candidate in ledger.holders()
        if candidate.data_centre == own_holder.data_centre
    )
    return _largest_holder(local, ledger, account) == own_holder


def _largest_holder(
    holders: tuple[Holder, ...], ledger: GroupLedger, account: str
) -> Holder | None:
    return max(
        holders,
        key=lambda candidate: (ledger.parts(candidate.vm, account), candidate),
        default=None,
    )
