"""The ledger of fractions at the platform: this VM's lease, reads, and its own writes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, TypeVar

import msgspec
from absl import logging

from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.model import VmId
from hickorybeam.policy.shares import (
    GroupLedger,
    GroupShares,
    Holder,
    claim_free_parts,
    create_accounts,
    group_of,
    planned_holders,
    release_parts,
    take_over,
)
from hickorybeam.policy.spending_lease import SpendingLease, TakeOverMonitor
from hickorybeam.store.port import Compare, Put

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from hickorybeam.clock import Clock
    from hickorybeam.settings import Settings
    from hickorybeam.store.port import KeyValue, Platform, ReadResult
    from hickorybeam.telemetry import Counters

__all__ = ("PREFIX", "Fleet", "LedgerKeeper")

T = TypeVar("T")

PREFIX: Final = "shares/"
GROUP_PREFIX: Final = PREFIX + "group/"
HOLDER_PREFIX: Final = PREFIX + "holder/"

# The lease is renewed three times in its life, so that one lost renewal does not end it.
RENEWALS_IN_LEASE: Final = 3

# A ledger that did not change is read less often, down to this many rounds apart.
LONGEST_SKIP: Final = 4

# At shutdown others may write at the same time; what was not handed on after these tries is
# taken over by a neighbour once the lease is gone.
RELEASE_TRIES: Final = 4


@dataclass(frozen=True, slots=True)
class Fleet:
    """Who is alive, as membership believes."""

    holders: tuple[Holder, ...]

    def has(self, vm: VmId) -> bool:
        """Whether a VM of exactly this incarnation is believed alive."""
        return any(holder.vm == vm for holder in self.holders)


class LedgerKeeper:
    """Keeps this VM's view of the ledger and writes what only this VM may write.

    One task calls :meth:`renew`, :meth:`read` and :meth:`write` in turn, so that a read is
    never older than a write of the same VM that has been answered.

    :param book: called before a write that gives away, and after each read, so that the
        buckets follow the fractions acted on. Its argument is the tokens that go along with
        what is given (negative) or that came (positive), by account.
    :param levels: tells the tokens held, by account.
    """

    def __init__(
        self,
        *,
        cfg: Settings,
        clock: Clock,
        counters: Counters,
        me: Holder,
        book: Callable[[dict[str, float]], None],
        levels: Callable[[], dict[str, float]],
    ) -> None:
        self.me = me
        self.lease_state = SpendingLease()
        self.groups = {number: GroupShares(me) for number in range(cfg.shares.groups)}
        settle_ms = cfg.shares.loan_ms + cfg.shares.loan_margin_ms
        self._watch = TakeOverMonitor(settle_ms=settle_ms)
        self._cfg = cfg
        self._clock = clock
        self._book = book
        self._levels = levels
        self._platform: Platform | None = None
        self._lease = 0
        self._renewed_ms = 0
        self._confirmed = False
        self._leases: dict[str, str] = {}
        self._attempted: set[VmId] = set()
        self._receivers: set[VmId] = set()
        self._batch = len(self.groups)
        self._skip = 1
        self._rounds = 0
        self.has_read = False
        self._calls = counters.counter("share_platform_calls", "Ledger calls", ("call", "outcome"))

    def connect(self, platform: Platform) -> None:
        """Use this platform."""
        self._platform = platform

    def usable_parts(self, account: str) -> int:
        """Return the parts of an account that this VM acts on."""
        return self._group(account).usable_parts(account)

    def knows(self, account: str) -> bool:
        """Whether an account is entered in the ledger last read."""
        return account in self._group(account).ledger.accounts

    def initial_parts(self, account: str) -> int:
        """Return what this VM was given when the account was entered."""
        return self._group(account).ledger.initial_parts(self.me.vm, account)

    def holders_of(self, account: str) -> dict[Holder, int]:
        """Return who holds parts of an account, by the ledger last read."""
        ledger = self._group(account).ledger
        return {holder: ledger.parts(holder.vm, account) for holder in ledger.holders()}

    def neighbours(self) -> set[VmId]:
        """Return the VMs of this data centre that had a lease when it was last seen."""
        return {
            vm
            for key, data_centre in self._leases.items()
            if data_centre == self.me.data_centre and (vm := _vm_of(key)) != self.me.vm
        }

    def promise(self, vm: VmId, promise_ms: int) -> bool:
        """Promise a neighbour not to take over from it.

        :return: ``False`` when this VM took over from it, or tried and may have.
        """
        if vm in self._attempted:
            return False
        self._watch.promise(vm, self._clock.now(), promise_ms)
        return True

    def taken(self) -> None:
        """Act on nothing until the ledger has been read: a neighbour took over."""
        self.lease_state.revoke()
        self._confirmed = False
        for group in self.groups.values():
            group.stop_using_all()
        self._book({})

    def hurry(self) -> None:
        """Read the ledger at the next round: a fraction may be on its way here."""
        self._skip = 1

    def receivers(self) -> set[VmId]:
        """Return who gained by the writes since this was last asked, and should read now."""
        receivers, self._receivers = self._receivers, set()
        return receivers

    async def renew(self) -> None:
        """Renew this VM's lease, or get a new one.

        :raise GatewayError: the platform did not answer; the lease stands until its time.
        """
        now = self._clock.now()
        ttl = self._cfg.platform.lease_ms
        if self._lease and now - self._renewed_ms < ttl // RENEWALS_IN_LEASE:
            return
        if self._lease and await self._kept_alive(now):
            return
        # From here to the next read the fractions may be another's: the key was gone, so a
        # neighbour may have taken them over.
        self._confirmed = False
        self._lease = await self._call("grant", self._port().grant(ttl))
        put = Put(_holder_key(self.me), self.me.data_centre.encode(), self._lease)
        await self._call("txn", self._port().txn((), (put,)))
        self._renewed_ms = now
        self._skip = 1

    async def read(self) -> None:
        """Read the ledger if it is due and act on what it shows."""
        self._rounds += 1
        if self._confirmed and self.has_read and self._rounds % self._skip:
            return
        found = await self._call("read", self._port().read_prefix(PREFIX))
        changed = self._take_in(found)
        self.has_read = True
        self._skip = 1 if changed else min(LONGEST_SKIP, self._skip * 2)
        if not self._confirmed and self._lease and _holder_key(self.me) in self._leases:
            # The key was seen after it was put: no neighbour can take over while it stands.
            self._confirmed = True
            self.lease_state.lease_renewed(self._renewed_ms, self._cfg.platform.lease_ms)
        came: dict[str, float] = {}
        for group in self.groups.values():
            came.update(group.collect_credits())
        self._book(came)

    async def write(
        self,
        accounts: Iterable[str],
        fleet: Fleet,
        gifts: Callable[[GroupLedger, tuple[Holder, ...]], GroupLedger],
    ) -> None:
        """Write what this VM should change: new accounts, dead neighbours, gifts, repairs."""
        if not self._confirmed or not self.lease_state.lease_valid(self._clock.now()):
            return
        by_group: dict[int, list[str]] = {number: [] for number in self.groups}
        for name in accounts:
            by_group[group_of(name, len(self.groups))].append(name)
        planned: dict[int, GroupLedger] = {}
        dead = self._dead(fleet)
        for number, group in self.groups.items():
            ledger = self._planned(number, by_group[number], fleet, dead, gifts)
            if ledger != group.ledger or group.write_in_doubt:
                planned[number] = ledger
        await self._write_some(planned, dead)
        if planned:
            # What was written for this VM counts once it has been read back.
            self._skip = 1
            await self.read()

    async def release_all(self, fleet: Fleet) -> None:
        """Hand every fraction on at shutdown and end the lease."""
        for _ in range(RELEASE_TRIES):
            self.hurry()
            await self.read()
            planned = self._released(fleet)
            self._batch = len(self.groups)
            if not planned or await self._write_some(planned, ()):
                break
        if self._lease:
            await self._call("revoke", self._port().revoke(self._lease))
            self._lease = 0
        self.lease_state.revoke()

    def _released(self, fleet: Fleet) -> dict[int, GroupLedger]:
        planned: dict[int, GroupLedger] = {}
        others = [holder for holder in fleet.holders if holder.vm != self.me.vm]
        for number, group in self.groups.items():
            choice = planned_holders(number, others)
            here = [one for one in choice if one.data_centre == self.me.data_centre]
            to = next(iter([*here, *choice]), None)
            ledger = release_parts(group.ledger, self.me, to, self._levels())
            if ledger != group.ledger:
                planned[number] = ledger
        return planned

    def _planned(
        self,
        number: int,
        accounts: list[str],
        fleet: Fleet,
        dead: tuple[Holder, ...],
        gifts: Callable[[GroupLedger, tuple[Holder, ...]], GroupLedger],
    ) -> GroupLedger:
        group = self.groups[number]
        if group.write_in_doubt:
            # A write without an answer may still land. Writing the same ledger again moves
            # the revision on, after which it cannot.
            return group.ledger
        holders = planned_holders(number, {self.me, *fleet.holders})
        ledger = group.ledger
        if self.me in holders:
            ledger = create_accounts(ledger, accounts, holders)
            for holder in dead:
                ledger = take_over(ledger, self.me, holder)
            for name in accounts:
                ledger = claim_free_parts(ledger, self.me, name)
        return gifts(ledger, holders)

    async def _write_some(self, planned: dict[int, GroupLedger], dead: tuple[Holder, ...]) -> bool:
        """Write groups in one transaction; fewer of them after a conflict."""
        start = self._rounds % max(1, len(planned))
        numbers = [*list(planned)[start:], *list(planned)[:start]][: self._batch]
        if not numbers:
            return True
        gone = [
            holder
            for holder in dead
            if any(holder in self.groups[one].ledger.holders() for one in numbers)
        ]
        compares = [Compare(_group_key(one), self.groups[one].revision) for one in numbers]
        # The lapse is compared in the same transaction: a holder that renews in the moment
        # between our read and our write keeps what it has.
        compares += [Compare(_holder_key(holder), 0) for holder in gone]
        writes = tuple(Put(_group_key(one), _encode(planned[one])) for one in numbers)
        sent = self._shrink(numbers, planned)
        self._attempted.update(holder.vm for holder in gone)
        self._skip = 1
        try:
            result = await self._call("txn", self._port().txn(tuple(compares), writes))
        except GatewayError as exc:
            if exc.kind is ErrorKind.PLATFORM_OUT:
                self._undo(numbers, sent, gone)
            else:
                self._lost(numbers)
            raise
        except BaseException:
            self._lost(numbers)
            raise
        if result.done:
            self._batch = min(len(self.groups), self._batch * 2)
            self._receivers = self._who_gains(numbers, planned)
        else:
            self._undo(numbers, sent, gone)
            self._batch = max(1, self._batch // 2)
        return result.done

    def _shrink(self, numbers: list[int], planned: dict[int, GroupLedger]) -> dict[str, float]:
        sent: dict[str, float] = {}
        for number in numbers:
            sent.update(self.groups[number].shrink_to(planned[number]))
        self._book({account: -tokens for account, tokens in sent.items()})
        return sent

    def _lost(self, numbers: list[int]) -> None:
        for number in numbers:
            self.groups[number].mark_write_in_doubt()

    def _undo(self, numbers: list[int], sent: dict[str, float], gone: list[Holder]) -> None:
        """Go on as before a write that surely did not take effect."""
        for number in numbers:
            self.groups[number].undo_shrink()
        self._attempted.difference_update(holder.vm for holder in gone)
        self._book(sent)

    def _who_gains(self, numbers: list[int], planned: dict[int, GroupLedger]) -> set[VmId]:
        return {
            holder.vm
            for number in numbers
            for holder in planned[number].holders()
            if holder.vm != self.me.vm
            for account, parts in planned[number].parts_of(holder.vm).items()
            if parts > self.groups[number].ledger.parts(holder.vm, account)
        }

    def _dead(self, fleet: Fleet) -> tuple[Holder, ...]:
        now = self._clock.now()
        here = {
            holder
            for group in self.groups.values()
            for holder in group.ledger.holders()
            if holder.data_centre == self.me.data_centre and holder.vm != self.me.vm
        }
        return tuple(
            holder
            for holder in sorted(here)
            if self._watch.observe(
                holder.vm,
                now,
                lease_lapsed=_holder_key(holder) not in self._leases,
                alive=fleet.has(holder.vm),
            )
        )

    def _take_in(self, found: ReadResult) -> bool:
        self._leases = {
            item.key: item.value.decode()
            for item in found.items
            if item.key.startswith(HOLDER_PREFIX)
        }
        changed = False
        for item in found.items:
            if not item.key.startswith(GROUP_PREFIX):
                continue
            number = int(item.key.removeprefix(GROUP_PREFIX))
            ledger = _decode(item)
            if ledger is None or number not in self.groups:
                continue
            group = self.groups[number]
            changed = changed or item.mod_revision > group.revision
            group.apply_read(item.mod_revision, ledger)
        if not any(group.write_in_doubt for group in self.groups.values()):
            # Whoever holds a lease now and was not taken over by a write still under way
            # needs no "taken" from this VM any more.
            self._attempted -= {_vm_of(key) for key in self._leases}
        return changed

    async def _kept_alive(self, now: int) -> bool:
        try:
            ttl = await self._call("keep_alive", self._port().keep_alive(self._lease))
        except GatewayError as exc:
            if exc.kind is not ErrorKind.LEASE_LOST:
                raise
            self._lease = 0
            return False
        self._renewed_ms = now
        if self._confirmed:
            self.lease_state.lease_renewed(now, ttl)
        return True

    def _group(self, account: str) -> GroupShares:
        return self.groups[group_of(account, len(self.groups))]

    def _port(self) -> Platform:
        if self._platform is None:
            raise GatewayError(ErrorKind.PLATFORM_OUT, "no platform is connected")
        return self._platform

    async def _call(self, name: str, call: Awaitable[T]) -> T:
        try:
            result = await call
        except GatewayError as exc:
            self._calls.labels(name, exc.kind.value).inc()
            raise
        self._calls.labels(name, "ok").inc()
        return result


def _group_key(number: int) -> str:
    return f"{GROUP_PREFIX}{number}"


def _holder_key(holder: Holder) -> str:
    return f"{HOLDER_PREFIX}{holder.vm.name}@{holder.vm.incarnation}"


def _vm_of(key: str) -> VmId:
    name, _, incarnation = key.removeprefix(HOLDER_PREFIX).rpartition("@")
    return VmId(name, incarnation)


def _encode(ledger: GroupLedger) -> bytes:
    return msgspec.msgpack.encode(ledger)


def _decode(item: KeyValue) -> GroupLedger | None:
    try:
        return msgspec.msgpack.decode(item.value, type=GroupLedger)
    except msgspec.DecodeError as exc:
        logging.error("ledger key %s cannot be read: %s", item.key, exc)
        return None
