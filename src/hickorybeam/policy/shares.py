"""Shares of each account's rate and burst, held by VMs and recorded in a ledger.

Requests of an account may arrive at any VM, and demand moves between regions over the day. A
fixed split refuses requests within the rate wherever demand exceeds its part; a shared counter
needs a remote call for each request and stops working in a network partition. So each VM holds
a share, which moves slowly towards demand, and loans cover the time until then.

The sum of the shares that VMs *use* never exceeds one. Three rules ensure this:

* shrink before the write: a VM that transfers parts stops using them before the write that
  lets another VM use them can take effect;
* grow only after a read: an entry is used once a read shows it;
* a write that got no response may still take effect later. Until a read shows a revision past
  the one on which that write was conditioned, its writer does not grow.
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

# Integers add up exactly, and the smallest step of a floor of 5% split over 27 holders is still
# some hundreds of parts.
PARTS_PER_ACCOUNT: Final = 1_000_000

# A single holder that dies while the platform is unavailable would take the data centre's whole
# share with it; more holders would make the ledger grow with the fleet.
HOLDERS_PER_DATA_CENTRE: Final = 3

# Every round looks up the group of every account; several times the target's number of accounts.
MAX_CACHED_GROUPS: Final = 4_096


@dataclass(frozen=True, slots=True, order=True)
class Holder:
    """A VM that may hold shares, and the data centre to which they belong."""

    vm: VmId
    data_centre: str


@dataclass(frozen=True, slots=True)
class HolderParts:
    """One holder's share of each account, in millionths (parts).

    ``first`` holds the parts assigned when the account was created: no VM can have spent from
    them before, so their bucket may start full. Parts transferred later start empty except for
    ``carried``: the tokens that came with them, summed since the entry was created, so that
    reading an entry twice credits no token twice.
    """

    holder: Holder
    parts: dict[str, int]
    first: dict[str, int] = field(default_factory=dict)
    carried: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class GroupLedger:
    """One group of accounts as stored at the platform."""

    accounts: tuple[str, ...] = ()
    entries: tuple[HolderParts, ...] = field(default=())

    def parts(self, vm: VmId, account: str) -> int:
        """Return a VM's parts of an account."""
        return self.parts_of(vm).get(account, 0)

    def parts_of(self, vm: VmId) -> dict[str, int]:
        """Return a VM's parts by account."""
        for entry in self.entries:
            if entry.holder.vm == vm:
                return entry.parts
        return {}

    def initial_parts(self, vm: VmId, account: str) -> int:
        """Return the parts that a VM was assigned when the account was created."""
        for entry in self.entries:
            if entry.holder.vm == vm:
                return entry.first.get(account, 0)
        return 0

    def carried(self, vm: VmId) -> dict[str, float]:
        """Return the tokens transferred to a VM together with parts, by account."""
        for entry in self.entries:
            if entry.holder.vm == vm:
                return entry.carried
        return {}

    def holders(self) -> tuple[Holder, ...]:
        """Return every holder with an entry."""
        return tuple(entry.holder for entry in self.entries)

    def of_data_centre(self, data_centre: str, account: str) -> int:
        """Return the parts of an account that all VMs of a data centre hold together."""
        return sum(
            entry.parts.get(account, 0)
            for entry in self.entries
            if entry.holder.data_centre == data_centre
        )


@lru_cache(maxsize=MAX_CACHED_GROUPS)
def group_of(account: str, groups: int) -> int:
    """Return the number of an account's ledger group, the same on every VM."""
    digest = hashlib.sha256(account.encode()).digest()
    return int.from_bytes(digest[:4], "big") % groups


def planned_holders(group: int, holders: Iterable[Holder]) -> tuple[Holder, ...]:
    """Return which of the live VMs should hold shares of a group.

    They are chosen by rendezvous hashing of names: a VM that joins or leaves changes only its
    own assignments.
    """
    by_data_centre: dict[str, list[Holder]] = {}
    for holder in holders:
        by_data_centre.setdefault(holder.data_centre, []).append(holder)
    chosen: list[Holder] = []
    for name in sorted(by_data_centre):
        ranked = sorted(by_data_centre[name], key=lambda holder: _hash_rank(group, holder))
        chosen.extend(ranked[:HOLDERS_PER_DATA_CENTRE])
    return tuple(chosen)


def free_parts(ledger: GroupLedger, account: str) -> int:
    """Return the parts of an account that no VM holds."""
    return PARTS_PER_ACCOUNT - sum(entry.parts.get(account, 0) for entry in ledger.entries)


def create_accounts(
    ledger: GroupLedger, accounts: Iterable[str], holders: tuple[Holder, ...]
) -> GroupLedger:
    """Add new accounts, split evenly over data centres and then over their VMs.

    The VM that first sees a new account writes this; compare-and-swap lets one writer win. An
    existing account stays as it is, so a creation that is retried because its response was lost
    assigns nothing twice.
    """
    new = tuple(name for name in accounts if name not in ledger.accounts)
    if not new or not holders:
        return ledger
    split = _even_split(holders)
    for name in new:
        for holder, parts in split.items():
            ledger = _set_parts(ledger, holder, name, parts, first=parts)
    return replace(ledger, accounts=(*ledger.accounts, *new))


def claim_free_parts(ledger: GroupLedger, own_holder: Holder, account: str) -> GroupLedger:
    """Assign the parts of an account that no VM holds to this VM."""
    free = free_parts(ledger, account)
    if free <= 0 or account not in ledger.accounts:
        return ledger
    return _set_parts(ledger, own_holder, account, ledger.parts(own_holder.vm, account) + free)


def transfer_parts(
    ledger: GroupLedger,
    own_holder: Holder,
    to: Holder,
    account: str,
    parts: int,
    level: float = 0.0,
) -> GroupLedger:
    """Move parts of one account from this VM to another, at most those it holds.

    :param level: tokens in this VM's bucket; the same proportion of them goes along.
    """
    mine = ledger.parts(own_holder.vm, account)
    moved = max(0, min(parts, mine))
    if moved == 0 or to.vm == own_holder.vm:
        return ledger
    ledger = _set_parts(ledger, own_holder, account, mine - moved)
    tokens = max(0.0, level) * moved / mine
    return _set_parts(ledger, to, account, ledger.parts(to.vm, account) + moved, tokens=tokens)


def take_over(ledger: GroupLedger, own_holder: Holder, expired: Holder) -> GroupLedger:
    """Move all parts of a holder whose lease expired to this VM of the same data centre.

    A VM of another data centre may not take over: the holder may be partitioned off together
    with its data centre, alive and spending, while this side sees only that its lease expired.
    """
    if expired.data_centre != own_holder.data_centre or expired.vm == own_holder.vm:
        return ledger
    return _move_all(ledger, expired, own_holder)


def release_parts(
    ledger: GroupLedger, own_holder: Holder, to: Holder | None, levels: Mapping[str, float]
) -> GroupLedger:
    """Transfer all parts to another holder on shutdown, or free them if there is none."""
    for account in tuple(ledger.accounts) if to else ():
        parts = ledger.parts(own_holder.vm, account)
        ledger = transfer_parts(
            ledger, own_holder, to or own_holder, account, parts, levels.get(account, 0.0)
        )
    kept = tuple(entry for entry in ledger.entries if entry.holder.vm != own_holder.vm)
    return replace(ledger, entries=kept)


class GroupShares:
    """The parts of one group that this VM may use.

    :param own_holder: this VM's incarnation and data centre.
    """

    __slots__ = ("_credited", "_doubtful_revision", "_usable", "ledger", "own_holder", "revision")

    def __init__(self, own_holder: Holder) -> None:
        self.own_holder = own_holder
        self.ledger = GroupLedger()
        self.revision = 0
        self._usable: dict[str, int] = {}
        self._credited: dict[str, float] = {}
        self._doubtful_revision = -1

    def usable_parts(self, account: str) -> int:
        """Return the parts of an account that this VM may use."""
        return self._usable.get(account, 0)

    @property
    def write_in_doubt(self) -> bool:
        """Whether a write of unknown outcome may still change the ledger last read."""
        return self.revision <= self._doubtful_revision

    def apply_read(self, revision: int, ledger: GroupLedger) -> None:
        """Apply the result of a read; ignore one older than the last read."""
        if revision < self.revision:
            return
        self.revision = revision
        self.ledger = ledger
        for account in {*self._usable, *ledger.accounts}:
            parts = ledger.parts(self.own_holder.vm, account)
            # A write that was conditioned on this revision and got no response may still take
            # effect and transfer to another VM what this VM would take back here.
            if self.write_in_doubt:
                parts = min(parts, self.usable_parts(account))
            self._usable[account] = parts

    def collect_credits(self) -> dict[str, float]:
        """Return the tokens received with parts since the last call, by account."""
        new: dict[str, float] = {}
        for account, carried in self.ledger.carried(self.own_holder.vm).items():
            if carried > self._credited.get(account, 0.0):
                new[account] = carried - self._credited.get(account, 0.0)
                self._credited[account] = carried
        return new

    def shrink_to(self, planned: GroupLedger) -> dict[str, float]:
        """Stop using what a planned write transfers; call before the write is sent.

        :return: tokens transferred along with the parts, by account.
        """
        for account in tuple(self._usable):
            parts = planned.parts(self.own_holder.vm, account)
            self._usable[account] = min(self._usable[account], parts)
        sent: dict[str, float] = {}
        for holder in planned.holders():
            before = self.ledger.carried(holder.vm)
            for account, carried in planned.carried(holder.vm).items():
                sent[account] = sent.get(account, 0.0) + carried - before.get(account, 0.0)
        return sent

    def undo_shrink(self) -> None:
        """Use again what a write would have transferred; call when it surely had no effect."""
        if self.write_in_doubt:
            return
        for account in self.ledger.accounts:
            self._usable[account] = self.ledger.parts(self.own_holder.vm, account)

    def mark_write_in_doubt(self) -> None:
        """Record that a write conditioned on the revision last read got no response."""
        self._doubtful_revision = max(self._doubtful_revision, self.revision)

    def stop_using_all(self) -> None:
        """Use no parts until a later revision is read; for when another VM has taken over."""
        self._usable.clear()
        self._doubtful_revision = max(self._doubtful_revision, self.revision)


def _hash_rank(group: int, holder: Holder) -> bytes:
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


def _set_parts(
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
        _with_value(entry.parts, account, parts),
        _with_value(entry.first, account, first or entry.first.get(account, 0)),
        _with_value(entry.carried, account, entry.carried.get(account, 0.0) + tokens),
    )
    entries[index:] = [changed, *entries[index + 1 :]]
    return replace(ledger, entries=tuple(entries))


def _with_value(values: Mapping[str, N], account: str, value: N) -> dict[str, N]:
    changed = {**values, account: value}
    return {name: amount for name, amount in changed.items() if amount > 0}


def _move_all(ledger: GroupLedger, source: Holder, target: Holder) -> GroupLedger:
    for entry in ledger.entries:
        if entry.holder.vm != source.vm:
            continue
        for account, parts in entry.parts.items():
            held = ledger.parts(target.vm, account)
            ledger = _set_parts(ledger, target, account, held + parts)
    kept = tuple(entry for entry in ledger.entries if entry.holder.vm != source.vm)
    return replace(ledger, entries=kept)
