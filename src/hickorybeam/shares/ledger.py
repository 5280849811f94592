"""Client of the ledger of shares at the platform: this VM's lease, its reads and its writes."""

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
from hickorybeam.untrusted import InvalidBytesError, decode_msgpack

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from hickorybeam.clock import Clock
    from hickorybeam.settings import Settings
    from hickorybeam.store.port import KeyValue, Platform, ReadResult
    from hickorybeam.telemetry import Counters

__all__ = ("PREFIX", "LiveHolders", "ShareLedgerClient")

T = TypeVar("T")

PREFIX: Final = "shares/"
GROUP_PREFIX: Final = PREFIX + "group/"
HOLDER_PREFIX: Final = PREFIX + "holder/"

# More than one, so that a lost renewal does not end the lease.
RENEWALS_PER_LEASE: Final = 3

# A ledger that does not change is read less often, down to one read in this many rounds.
MAX_ROUNDS_BETWEEN_READS: Final = 4

# At shutdown, writes may conflict with those of other VMs. Shares that are not released after
# this many attempts are taken over by a neighbour once the lease is gone.
MAX_RELEASE_ATTEMPTS: Final = 4


@dataclass(frozen=True, slots=True)
class LiveHolders:
    """The VMs that membership considers live."""

    holders: tuple[Holder, ...]

    def includes(self, vm: VmId) -> bool:
        """Whether a VM of exactly this incarnation is live."""
        return any(holder.vm == vm for holder in self.holders)


class ShareLedgerClient:
    """Keeps a copy of the ledger and writes the changes that only this VM may make.

    One task calls :meth:`renew`, :meth:`read` and :meth:`write` in turn, so that a read is
    never older than a write of the same VM that got its response.

    :param update_buckets: called before a write that transfers shares away, and after each
        read, so that the buckets match the shares in use. Its argument is the tokens transferred
        away (negative) or received (positive) with the shares, by account.
    :param levels: returns the tokens in this VM's buckets, by account.
    """

    def __init__(
        self,
        *,
        cfg: Settings,
        clock: Clock,
        counters: Counters,
        own_holder: Holder,
        update_buckets: Callable[[dict[str, float]], None],
        levels: Callable[[], dict[str, float]],
    ) -> None:
        self.own_holder = own_holder
        self.lease_state = SpendingLease()
        self.groups = {number: GroupShares(own_holder) for number in range(cfg.shares.groups)}
        settle_ms = cfg.shares.loan_ms + cfg.shares.loan_margin_ms
        self._take_over_monitor = TakeOverMonitor(settle_ms=settle_ms)
        self._cfg = cfg
        self._clock = clock
        self._update_buckets = update_buckets
        self._levels = levels
        self._platform: Platform | None = None
        self._lease_id = 0
        self._lease_renewed_ms = 0
        self._lease_confirmed = False
        self._holder_keys: dict[str, str] = {}
        self._attempted_take_overs: set[VmId] = set()
        self._receivers: set[VmId] = set()
        self._max_groups_per_write = len(self.groups)
        self._rounds_between_reads = 1
        self._round_count = 0
        self.has_read = False
        self._calls = counters.counter("share_platform_calls", "Ledger calls", ("call", "outcome"))

    def connect(self, platform: Platform) -> None:
        """Set the platform on which the ledger is stored."""
        self._platform = platform

    def usable_parts(self, account: str) -> int:
        """Return the parts of an account that this VM uses."""
        return self._group_for(account).usable_parts(account)

    def has_account(self, account: str) -> bool:
        """Whether an account exists in the ledger last read."""
        return account in self._group_for(account).ledger.accounts

    def initial_parts(self, account: str) -> int:
        """Return the parts that this VM was assigned when the account was created."""
        return self._group_for(account).ledger.initial_parts(self.own_holder.vm, account)

    def parts_by_holder(self, account: str) -> dict[Holder, int]:
        """Return each holder's parts of an account in the ledger last read."""
        ledger = self._group_for(account).ledger
        return {holder: ledger.parts(holder.vm, account) for holder in ledger.holders()}

    def neighbours(self) -> set[VmId]:
        """Return the other VMs of this data centre that had a lease at the last read."""
        return {
            vm
            for key, data_centre in self._holder_keys.items()
            if data_centre == self.own_holder.data_centre
            and (vm := _vm_of_key(key)) != self.own_holder.vm
        }

    def promise_no_take_over(self, vm: VmId, promise_ms: int) -> bool:
        """Promise a neighbour not to take over its shares for ``promise_ms``.

        :return: ``False`` if this VM took them over, or tried to and the outcome is unknown.
        """
        if vm in self._attempted_take_overs:
            return False
        self._take_over_monitor.promise(vm, self._clock.now(), promise_ms)
        return True

    def stop_using_shares(self) -> None:
        """Use no share until the next read of the ledger, as a neighbour has taken over."""
        self.lease_state.revoke()
        self._lease_confirmed = False
        for group in self.groups.values():
            group.stop_using_all()
        self._update_buckets({})

    def read_next_round(self) -> None:
        """Read the ledger in the next round, as a share may have been transferred to this VM."""
        self._rounds_between_reads = 1

    def pop_receivers(self) -> set[VmId]:
        """Return, once, the VMs that gained parts by the last write and should read now."""
        receivers, self._receivers = self._receivers, set()
        return receivers

    async def renew(self) -> None:
        """Renew this VM's lease if due, or get a new one.

        :raise GatewayError: the platform did not respond; the lease stays valid until it expires.
        """
        now = self._clock.now()
        ttl = self._cfg.platform.lease_ms
        if self._lease_id and now - self._lease_renewed_ms < ttl // RENEWALS_PER_LEASE:
            return
        if self._lease_id and await self._keep_alive(now):
            return
        # Until the next read the shares may belong to another VM: the key was gone, so a
        # neighbour may have taken them over.
        self._lease_confirmed = False
        self._lease_id = await self._counted("grant", self._connected_platform().grant(ttl))
        put = Put(
            _holder_key(self.own_holder), self.own_holder.data_centre.encode(), self._lease_id
        )
        await self._counted("txn", self._connected_platform().txn((), (put,)))
        self._lease_renewed_ms = now
        self._rounds_between_reads = 1

    async def read(self) -> None:
        """Read the ledger if a read is due, and use the shares that it shows."""
        self._round_count += 1
        if (
            self._lease_confirmed
            and self.has_read
            and self._round_count % self._rounds_between_reads
        ):
            return
        result = await self._counted("read", self._connected_platform().read_prefix(PREFIX))
        changed = self._apply_read(result)
        self.has_read = True
        self._rounds_between_reads = (
            1 if changed else min(MAX_ROUNDS_BETWEEN_READS, self._rounds_between_reads * 2)
        )
        if (
            not self._lease_confirmed
            and self._lease_id
            and _holder_key(self.own_holder) in self._holder_keys
        ):
            # The key was read back after it was put: no neighbour can take over while it exists.
            self._lease_confirmed = True
            self.lease_state.lease_renewed(self._lease_renewed_ms, self._cfg.platform.lease_ms)
        received_tokens: dict[str, float] = {}
        for group in self.groups.values():
            received_tokens.update(group.collect_credits())
        self._update_buckets(received_tokens)

    async def write(
        self,
        accounts: Iterable[str],
        live: LiveHolders,
        add_transfers: Callable[[GroupLedger, tuple[Holder, ...]], GroupLedger],
    ) -> None:
        """Write new accounts, take-overs, claims of free parts, transfers and doubtful writes.

        :param add_transfers: returns a group's ledger with this VM's transfers to the planned
            holders.
        """
        if not self._lease_confirmed or not self.lease_state.lease_valid(self._clock.now()):
            return
        by_group: dict[int, list[str]] = {number: [] for number in self.groups}
        for name in accounts:
            by_group[group_of(name, len(self.groups))].append(name)
        planned: dict[int, GroupLedger] = {}
        expired = self._expired_holders(live)
        for number, group in self.groups.items():
            ledger = self._plan_group(number, by_group[number], live, expired, add_transfers)
            if ledger != group.ledger or group.write_in_doubt:
                planned[number] = ledger
        await self._write_groups(planned, expired)
        if planned:
            # Parts written for this VM are used only once a read shows them.
            self._rounds_between_reads = 1
            await self.read()

    async def release_all(self, live: LiveHolders) -> None:
        """Transfer every share to other VMs at shutdown and end the lease."""
        for _ in range(MAX_RELEASE_ATTEMPTS):
            self.read_next_round()
            await self.read()
            planned = self._plan_release(live)
            self._max_groups_per_write = len(self.groups)
            if not planned or await self._write_groups(planned, ()):
                break
        if self._lease_id:
            await self._counted("revoke", self._connected_platform().revoke(self._lease_id))
            self._lease_id = 0
        self.lease_state.revoke()

    def _plan_release(self, live: LiveHolders) -> dict[int, GroupLedger]:
        planned: dict[int, GroupLedger] = {}
        others = [holder for holder in live.holders if holder.vm != self.own_holder.vm]
        for number, group in self.groups.items():
            candidates = planned_holders(number, others)
            local_holders = [
                holder for holder in candidates if holder.data_centre == self.own_holder.data_centre
            ]
            successor = next(iter([*local_holders, *candidates]), None)
            ledger = release_parts(group.ledger, self.own_holder, successor, self._levels())
            if ledger != group.ledger:
                planned[number] = ledger
        return planned

    def _plan_group(
        self,
        number: int,
        accounts: list[str],
        live: LiveHolders,
        expired: tuple[Holder, ...],
        add_transfers: Callable[[GroupLedger, tuple[Holder, ...]], GroupLedger],
    ) -> GroupLedger:
        group = self.groups[number]
        if group.write_in_doubt:
            # A write without a response may still take effect. Writing the same ledger again
            # raises the revision, after which it cannot.
            return group.ledger
        holders = planned_holders(number, {self.own_holder, *live.holders})
        ledger = group.ledger
        if self.own_holder in holders:
            ledger = create_accounts(ledger, accounts, holders)
            for holder in expired:
                ledger = take_over(ledger, self.own_holder, holder)
            for name in accounts:
                ledger = claim_free_parts(ledger, self.own_holder, name)
        return add_transfers(ledger, holders)

    async def _write_groups(
        self, planned: dict[int, GroupLedger], expired: tuple[Holder, ...]
    ) -> bool:
        """Write groups in one transaction; after a conflict, fewer of them in the next."""
        offset = self._round_count % max(1, len(planned))
        numbers = [*list(planned)[offset:], *list(planned)[:offset]][: self._max_groups_per_write]
        if not numbers:
            return True
        taken_over = [
            holder
            for holder in expired
            if any(holder in self.groups[number].ledger.holders() for number in numbers)
        ]
        compares = [Compare(_group_key(number), self.groups[number].revision) for number in numbers]
        # The missing key is compared in the same transaction: a holder that renews its lease
        # between this VM's read and its write keeps its shares.
        compares += [Compare(_holder_key(holder), 0) for holder in taken_over]
        writes = tuple(Put(_group_key(number), _encode(planned[number])) for number in numbers)
        moved_tokens = self._shrink_groups(numbers, planned)
        self._attempted_take_overs.update(holder.vm for holder in taken_over)
        self._rounds_between_reads = 1
        try:
            result = await self._counted(
                "txn", self._connected_platform().txn(tuple(compares), writes)
            )
        except GatewayError as exc:
            if exc.kind is ErrorKind.PLATFORM_OUT:
                self._undo_shrink(numbers, moved_tokens, taken_over)
            else:
                self._mark_in_doubt(numbers)
            raise
        except BaseException:
            self._mark_in_doubt(numbers)
            raise
        if result.done:
            self._max_groups_per_write = min(len(self.groups), self._max_groups_per_write * 2)
            self._receivers = self._gaining_vms(numbers, planned)
        else:
            self._undo_shrink(numbers, moved_tokens, taken_over)
            self._max_groups_per_write = max(1, self._max_groups_per_write // 2)
        return result.done

    def _shrink_groups(
        self, numbers: list[int], planned: dict[int, GroupLedger]
    ) -> dict[str, float]:
        moved_tokens: dict[str, float] = {}
        for number in numbers:
            moved_tokens.update(self.groups[number].shrink_to(planned[number]))
        self._update_buckets({account: -tokens for account, tokens in moved_tokens.items()})
        return moved_tokens

    def _mark_in_doubt(self, numbers: list[int]) -> None:
        for number in numbers:
            self.groups[number].mark_write_in_doubt()

    def _undo_shrink(
        self, numbers: list[int], moved_tokens: dict[str, float], taken_over: list[Holder]
    ) -> None:
        """Restore the state before a write that surely did not take effect."""
        for number in numbers:
            self.groups[number].undo_shrink()
        self._attempted_take_overs.difference_update(holder.vm for holder in taken_over)
        self._update_buckets(moved_tokens)

    def _gaining_vms(self, numbers: list[int], planned: dict[int, GroupLedger]) -> set[VmId]:
        return {
            holder.vm
            for number in numbers
            for holder in planned[number].holders()
            if holder.vm != self.own_holder.vm
            for account, parts in planned[number].parts_of(holder.vm).items()
            if parts > self.groups[number].ledger.parts(holder.vm, account)
        }

    def _expired_holders(self, live: LiveHolders) -> tuple[Holder, ...]:
        now = self._clock.now()
        local_holders = {
            holder
            for group in self.groups.values()
            for holder in group.ledger.holders()
            if holder.data_centre == self.own_holder.data_centre and holder.vm != self.own_holder.vm
        }
        return tuple(
            holder
            for holder in sorted(local_holders)
            if self._take_over_monitor.observe(
                holder.vm,
                now,
                lease_lapsed=_holder_key(holder) not in self._holder_keys,
                alive=live.includes(holder.vm),
            )
        )

    def _apply_read(self, result: ReadResult) -> bool:
        self._holder_keys = {
            item.key: item.value.decode()
            for item in result.items
            if item.key.startswith(HOLDER_PREFIX)
        }
        changed = False
        for item in result.items:
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
            # A VM that holds a lease, while no take-over is in doubt, was not taken over: it may
            # get this VM's promise again.
            self._attempted_take_overs -= {_vm_of_key(key) for key in self._holder_keys}
        return changed

    async def _keep_alive(self, now: int) -> bool:
        try:
            ttl = await self._counted(
                "keep_alive", self._connected_platform().keep_alive(self._lease_id)
            )
        except GatewayError as exc:
            if exc.kind is not ErrorKind.LEASE_LOST:
                raise
            self._lease_id = 0
            return False
        self._lease_renewed_ms = now
        if self._lease_confirmed:
            self.lease_state.lease_renewed(now, ttl)
        return True

    def _group_for(self, account: str) -> GroupShares:
        return self.groups[group_of(account, len(self.groups))]

    def _connected_platform(self) -> Platform:
        if self._platform is None:
            raise GatewayError(ErrorKind.PLATFORM_OUT, "no platform is connected")
        return self._platform

    async def _counted(self, name: str, call: Awaitable[T]) -> T:
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


def _vm_of_key(key: str) -> VmId:
    name, _, incarnation = key.removeprefix(HOLDER_PREFIX).rpartition("@")
    return VmId(name, incarnation)


def _encode(ledger: GroupLedger) -> bytes:
    return msgspec.msgpack.encode(ledger)


def _decode(item: KeyValue) -> GroupLedger | None:
    try:
        found: GroupLedger = decode_msgpack(item.value, GroupLedger)
    except InvalidBytesError as exc:
        logging.error("cannot decode ledger key %s: %s", item.key, exc)
        return None
    return found
