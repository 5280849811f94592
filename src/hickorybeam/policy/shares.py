"""Fractions of each account's rate and burst, held by VMs and written in a ledger.

Load pattern answered: every account may come in at any VM, and demand wanders between regions
over the day. A fixed split refuses requests inside the rate wherever demand isn't; a common
counter would need a remote call for each request and would stop in a partition. So VMs hold
fractions, which move slowly to where the demand is, and loans cover the time until then.

The sum of the fractions that VMs *act on* never passes one. Three rules keep it:

* shrink first, write then: whoever gives a fraction away has stopped using it before the
  write that lets another use it can take effect;
* grow only after reading back: an entry counts once a read shows it;
* a write whose answer was lost may still land later. Until a read shows the ledger past the
  revision on which that write was conditioned, its writer does not grow.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field, replace
from functools import lru_cache
from typing import TYPE_CHECKING, Final, TypeVar

from hickorybeam.model import VmId  # noqa: TC001 - msgspec reads the annotation

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

__all__ = (
    "PARTS_PER_ACCOUNT",
    "GroupLedger",
    "GroupShares",
    "Holder",
    "HolderParts",
    "create_accounts",
    "free_parts",
    "transfer_parts",
    "group_of",
    "planned_holders",
    "release_parts",
    "claim_free_parts",
    "take_over",
)

N = TypeVar("N", int, float)

# A whole is a million parts: integers add up exactly, and the smallest step of a floor of 5%
# split over 27 holders is still some hundreds of parts.
PARTS_PER_ACCOUNT: Final = 1_000_000

# Three VMs of each data centre hold fractions of a group. One alone would take the data
# centre's whole fraction with it when it dies while the platform is out; more would make the
# ledger grow with the fleet.
HOLDERS_PER_DATA_CENTRE: Final = 3

# Groups are asked for every account at every round; several times the accounts of the target.
MOST_GROUPED: Final = 4_096


@dataclass(frozen=True, slots=True, order=True)
class Holder:
    """A VM that may hold fractions, and the data centre to which they belong."""

    vm: VmId
    data_centre: str


@dataclass(frozen=True, slots=True)
class HolderParts:
    """What one holder has of each account, in parts of a million.

    ``first`` is what it was given when the account was entered: nobody can have spent of it
    before, so its bucket may start full. Parts that moved later start empty but for
    ``carried``: the tokens that their givers sent along, summed since the entry began, so
    that reading it twice credits nothing twice.
    """

    holder: Holder
    parts: dict[str, int]
    first: dict[str, int] = field(default_factory=dict)
    carried: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class GroupLedger:
    """One group of accounts as the platform keeps it."""

    accounts: tuple[str, ...] = ()
    entries: tuple[HolderParts, ...] = field(default=())

    def parts(self, vm: VmId, account: str) -> int:
        """Return what a VM holds of an account."""
        return self.parts_of(vm).get(account, 0)

    def parts_of(self, vm: VmId) -> dict[str, int]:
        """Return all that a VM holds, by account."""
        for entry in self.entries:
            if entry.holder.vm == vm:
                return entry.parts
        return {}

    def initial_parts(self, vm: VmId, account: str) -> int:
        """Return what a VM was given of an account when the account was entered."""
        for entry in self.entries:
            if entry.holder.vm == vm:
                return entry.first.get(account, 0)
        return 0

    def carried(self, vm: VmId) -> dict[str, float]:
        """Return the tokens that came to a VM with parts, by account."""
        for entry in self.entries:
            if entry.holder.vm == vm:
                return entry.carried
        return {}

    def holders(self) -> tuple[Holder, ...]:
        """Return everyone with an entry."""
        return tuple(entry.holder for entry in self.entries)

    def of_data_centre(self, data_centre: str, account: str) -> int:
        """Return what all VMs of a data centre hold of an account."""
        return sum(
            entry.parts.get(account, 0)
            for entry in self.entries
            if entry.holder.data_centre == data_centre
        )


@lru_cache(maxsize=MOST_GROUPED)
def group_of(account: str, groups: int) -> int:
    """Return the ledger group of an account; the same on every VM."""
    digest = hashlib.sha256(account.encode()).digest()
    return int.from_bytes(digest[:4], "big") % groups


def planned_holders(group: int, holders: Iterable[Holder]) -> tuple[Holder, ...]:
    """Choose who of the live VMs should hold fractions of a group.

    Rendezvous hashing by name: a VM that joins or leaves changes only its own places.
    """
    by_data_centre: dict[str, list[Holder]] = {}
    for holder in holders:
        by_data_centre.setdefault(holder.data_centre, []).append(holder)
    chosen: list[Holder] = []
    for name in sorted(by_data_centre):
        ranked = sorted(by_data_centre[name], key=lambda holder: _rank(group, holder))
        chosen.extend(ranked[:HOLDERS_PER_DATA_CENTRE])
    return tuple(chosen)


def free_parts(ledger: GroupLedger, account: str) -> int:
    """Return what nobody holds of an account."""
    return PARTS_PER_ACCOUNT - sum(entry.parts.get(account, 0) for entry in ledger.entries)


def create_accounts(
    ledger: GroupLedger, accounts: Iterable[str], holders: tuple[Holder, ...]
) -> GroupLedger:
    """Enter accounts that are new, split evenly over data centres and then over their VMs.

    Whoever meets a new account first writes this; the compare-and-swap lets one win. An
    account already entered is left as it is, so a creation that lost its answer and is made
    again gives nothing out twice.
    """
    fresh = tuple(name for name in accounts if name not in ledger.accounts)
    if not fresh or not holders:
        return ledger
    split = _even_split(holders)
    for name in fresh:
        for holder, parts in split.items():
            ledger = _put(ledger, holder, name, parts, first=parts)
    return replace(ledger, accounts=(*ledger.accounts, *fresh))


def claim_free_parts(ledger: GroupLedger, me: Holder, account: str) -> GroupLedger:
    """Claim what nobody holds of an account."""
    free = free_parts(ledger, account)
    if free <= 0 or account not in ledger.accounts:
        return ledger
    return _put(ledger, me, account, ledger.parts(me.vm, account) + free)


def transfer_parts(
    ledger: GroupLedger, me: Holder, to: Holder, account: str, parts: int, level: float = 0.0
) -> GroupLedger:
    """Move parts of one account from this VM to another; at most what this VM has.

    :param level: the tokens that this VM holds; the same portion of them goes along.
    """
    mine = ledger.parts(me.vm, account)
    moved = max(0, min(parts, mine))
    if moved == 0 or to.vm == me.vm:
        return ledger
    ledger = _put(ledger, me, account, mine - moved)
    tokens = max(0.0, level) * moved / mine
    return _put(ledger, to, account, ledger.parts(to.vm, account) + moved, tokens=tokens)


def take_over(ledger: GroupLedger, me: Holder, dead: Holder) -> GroupLedger:
    """Move everything a dead holder has to this VM, if both are of one data centre.

    A VM of another data centre may not: the holder may be cut off together with its data
    centre, alive and spending, while this side sees only that its lease has lapsed.
    """
    if dead.data_centre != me.data_centre or dead.vm == me.vm:
        return ledger
    return _move_all(ledger, dead, me)


def release_parts(
    ledger: GroupLedger, me: Holder, to: Holder | None, levels: Mapping[str, float]
) -> GroupLedger:
    """Hand everything to another holder on shutdown, or leave it free with none to take it."""
    for account in tuple(ledger.accounts) if to else ():
        parts = ledger.parts(me.vm, account)
        ledger = transfer_parts(ledger, me, to or me, account, parts, levels.get(account, 0.0))
    kept = tuple(entry for entry in ledger.entries if entry.holder.vm != me.vm)
    return replace(ledger, entries=kept)


class GroupShares:
    """The fractions of one group that this VM acts on.

    :param me: this VM's incarnation and data centre.
    """

    __slots__ = ("_acting", "_credited", "_uncertain", "ledger", "me", "revision")

    def __init__(self, me: Holder) -> None:
        self.me = me
        self.ledger = GroupLedger()
        self.revision = 0
        self._acting: dict[str, int] = {}
        self._credited: dict[str, float] = {}
        self._uncertain = -1

    def usable_parts(self, account: str) -> int:
        """Return the parts of an account that this VM may use."""
        return self._acting.get(account, 0)

    @property
    def write_in_doubt(self) -> bool:
        """Whether a write of unknown outcome may still land on the ledger last read."""
        return self.revision <= self._uncertain

    def apply_read(self, revision: int, ledger: GroupLedger) -> None:
        """Take in what a read showed; a read older than one before is passed over."""
        if revision < self.revision:
            return
        self.revision = revision
        self.ledger = ledger
        for account in {*self._acting, *ledger.accounts}:
            held = ledger.parts(self.me.vm, account)
            # A write that was sent on this revision and not answered can still take effect
            # and give to another VM what this VM would take back here.
            if self.write_in_doubt:
                held = min(held, self.usable_parts(account))
            self._acting[account] = held

    def collect_credits(self) -> dict[str, float]:
        """Return the tokens that came with parts and were not returned here before."""
        fresh: dict[str, float] = {}
        for account, carried in self.ledger.carried(self.me.vm).items():
            if carried > self._credited.get(account, 0.0):
                fresh[account] = carried - self._credited.get(account, 0.0)
                self._credited[account] = carried
        return fresh

    def shrink_to(self, planned: GroupLedger) -> dict[str, float]:
        """Stop using what a planned write gives away; call before the write is sent.

        :return: the tokens that go along, by account.
        """
        for account in tuple(self._acting):
            held = planned.parts(self.me.vm, account)
            self._acting[account] = min(self._acting[account], held)
        sent: dict[str, float] = {}
        for holder in planned.holders():
            before = self.ledger.carried(holder.vm)
            for account, carried in planned.carried(holder.vm).items():
                sent[account] = sent.get(account, 0.0) + carried - before.get(account, 0.0)
        return sent

    def undo_shrink(self) -> None:
        """Take back what a write would have given away that surely did not take effect."""
        if self.write_in_doubt:
            return
        for account in self.ledger.accounts:
            self._acting[account] = self.ledger.parts(self.me.vm, account)

    def mark_write_in_doubt(self) -> None:
        """Note that a write conditioned on the revision last read was not answered."""
        self._uncertain = max(self._uncertain, self.revision)

    def stop_using_all(self) -> None:
        """Act on nothing until a later read; used once another VM took over."""
        self._acting.clear()
        self._uncertain = max(self._uncertain, self.revision)


def _rank(group: int, holder: Holder) -> bytes:
    return hashlib.sha256(f"{group}/{holder.vm.name}".encode()).digest()


def _even_split(holders: tuple[Holder, ...]) -> dict[Holder, int]:
    by_data_centre: dict[str, list[Holder]] = {}
    for holder in holders:
        by_data_centre.setdefault(holder.data_centre, []).append(holder)
    each = PARTS_PER_ACCOUNT // len(by_data_centre)
    split = {
        holder: each // len(members) for members in by_data_centre.values() for holder in members
    }
    split[holders[0]] += PARTS_PER_ACCOUNT - sum(split.values())
    return split


def _put(
    ledger: GroupLedger,
    holder: Holder,
    account: str,
    parts: int,
    *,
    first: int = 0,
    tokens: float = 0.0,
) -> GroupLedger:
    entries = list(ledger.entries)
    index = ledger.holders().index(holder) if holder in ledger.holders() else len(entries)
    entry = entries[index] if index < len(entries) else HolderParts(holder, {})
    changed = HolderParts(
        holder,
        _with(entry.parts, account, parts),
        _with(entry.first, account, first or entry.first.get(account, 0)),
        _with(entry.carried, account, entry.carried.get(account, 0.0) + tokens),
    )
    entries[index:] = [changed, *entries[index + 1 :]]
    return replace(ledger, entries=tuple(entries))


def _with(values: Mapping[str, N], account: str, value: N) -> dict[str, N]:
    changed = {**values, account: value}
    return {name: held for name, held in changed.items() if held > 0}


def _move_all(ledger: GroupLedger, source: Holder, target: Holder) -> GroupLedger:
    for entry in ledger.entries:
        if entry.holder.vm != source.vm:
            continue
        for account, parts in entry.parts.items():
            held = ledger.parts(target.vm, account)
            ledger = _put(ledger, target, account, held + parts)
    kept = tuple(entry for entry in ledger.entries if entry.holder.vm != source.vm)
    return replace(ledger, entries=kept)
