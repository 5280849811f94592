"""The service ``budget``: rate and burst of each account, summed over all VMs."""

from __future__ import annotations

import secrets
from dataclasses import dataclass
from typing import TYPE_CHECKING, ClassVar, Final, TypeVar

import anyio
from absl import logging

from hickorybeam import ports
from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.kernel import Mailbox, Reply, Service
from hickorybeam.model import VmId, VmState
from hickorybeam.policy.rebalance import AccountDemand, plan_transfers
from hickorybeam.policy.shares import PARTS_PER_ACCOUNT, GroupLedger, Holder
from hickorybeam.shares.accounts import AccountBuckets
from hickorybeam.shares.ledger import Fleet, LedgerKeeper
from hickorybeam.shares.lending import Lending, Source
from hickorybeam.shares.messages import (
    LOANS,
    MOVED,
    STANDING,
    Moved,
    StandingReply,
    StandingRequest,
)
from hickorybeam.store.port import Platform

if TYPE_CHECKING:
    from hickorybeam.clock import Clock
    from hickorybeam.kernel import Kernel, Started
    from hickorybeam.model import ClientAccount, ConfigState, EntryVm
    from hickorybeam.settings import Settings
    from hickorybeam.telemetry import Counters

__all__ = ("BudgetService",)

Q = TypeVar("Q")
R = TypeVar("R")

# Rounds of asking and looking again before a request is refused: the second catches tokens
# that another request of this VM took between the answer and the look.
BORROW_TRIES: Final = 2

# A VM whose fractions are in doubt asks at most this often, however many requests wait.
CONFIRM_EVERY_MS: Final = 250

RETRY_UNCONFIRMED_MS: Final = 500

# A VM that was told of fractions for it reads them within this time. It bounds the reads of a
# VM to two a second, however many others give to it.
READ_EVERY_MS: Final = 500
MAX_MESSAGES: Final = 1_000
DRAIN_POLL_MS: Final = 50
STATUS_ACCOUNTS: Final = 50


@dataclass(frozen=True, slots=True)
class _Round:
    """Asks the main task for a round; a request that waits for it brings a reply.

    ``gifts``: whether this VM may give fractions away in it. Only rounds of the timer do: a
    receiver that gave on at once would have its own receivers read and give, and so on, at
    the speed of the platform (seen: 274 calls a second of each VM with five accounts).
    """

    reply: Reply[None] | None = None
    account: str = ""
    gifts: bool = False


class BudgetService(Service):
    """Spends tokens of accounts from the fractions that this VM holds, or from loans.

    Neighbours ``members`` and ``peers`` are optional: a lone VM holds everything itself.
    """

    name: ClassVar[str] = ports.BUDGET
    needs: ClassVar[tuple[str, ...]] = (ports.PLATFORM, ports.CONFIG)

    def __init__(self, *, cfg: Settings, clock: Clock, counters: Counters) -> None:
        self._cfg = cfg
        self._clock = clock
        self._counters = counters
        self._books = AccountBuckets(cfg.shares)
        self._lending = Lending(
            clock=clock,
            counters=counters,
            books=self._books,
            sources=self._sources,
            may_spend=self._may_spend,
        )
        self._messages: Mailbox[_Round] = Mailbox(size=MAX_MESSAGES)
        self._members: ports.Members | None = None
        self._peers: ports.Peers | None = None
        self._applied: ConfigState | None = None
        self._last_confirm = -CONFIRM_EVERY_MS
        self._draining = False
        self._made: LedgerKeeper | None = None
        self._read_early = False
        self._platform_fault = ""
        self._rounded: frozenset[str] = frozenset()
        self._confirmed = counters.gauge("share_confirmed", "Whether own fractions may be spent")
        self._open_loans = counters.gauge("share_loans_open", "Loans granted and not closed")

    def bind(self, kernel: Kernel) -> None:
        """Look up neighbours."""
        self._platform = kernel.find(ports.PLATFORM, Platform)  # type: ignore[type-abstract]
        self._config = kernel.find(ports.CONFIG, ports.ConfigView)  # type: ignore[type-abstract]
        if kernel.has(ports.MEMBERS):
            self._members = kernel.find(ports.MEMBERS, ports.Members)  # type: ignore[type-abstract]
        if kernel.has(ports.PEERS):
            self._peers = kernel.find(ports.PEERS, ports.Peers)  # type: ignore[type-abstract]
            self._peers.serve(LOANS, self._lending.answer)
            self._peers.serve(MOVED, self._answer_moved)
            self._peers.serve(STANDING, self._answer_standing)
        self._lending.connect(self._peers)

    async def main(self, started: Started) -> None:
        """Keep the ledger, lend and borrow until cancelled."""
        if self._made is None:
            self._made = self._new_keeper()
        await self._round(gifts=False)
        started()
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._lending.serve_wants)
            tg.start_soon(self._post_rounds)
            tg.start_soon(self._post_on_ticket)
            async for message in self._messages:
                await self._handle(message)

    async def drain(self) -> None:
        """Repay loans, wait for those granted, hand the fractions on."""
        self._draining = True
        self._lending.lending = False
        for account in self._books.borrower.accounts():
            self._books.borrower.return_loans(account)
        await self._lending.report_closed()
        # Fractions that carry open loans cannot be handed on: the loan's tokens would be
        # spent by its borrower and once more by the new holder.
        while self._books.lender.open_count():
            await self._clock.sleep(DRAIN_POLL_MS)
            self._books.lender.expire(self._books.buckets, self._clock.now())
        try:
            await self._keeper.release_all(self._fleet())
        except GatewayError as exc:
            logging.warning("fractions were not released: %s", exc)

    async def take(self, account: str, tokens: int) -> int:
        """Spend tokens, from the own share or a loan, or raise ``RATE_LIMITED``."""
        self._follow_config()
        terms = self._terms(account)
        if tokens > terms.burst:
            raise GatewayError(ErrorKind.COST_OVER_BURST, f"cost {tokens}, burst {terms.burst:.0f}")
        admission = self._spend(account, tokens)
        if admission is not None:
            return admission
        if not self._may_spend() or not self._keeper.knows(account):
            await self._ask_for_round(account)
        for _ in range(BORROW_TRIES):
            admission = self._spend(account, tokens)
            if admission is not None:
                return admission
            if not await self._lending.borrow(account, tokens):
                break
        admission = self._spend(account, tokens)
        if admission is not None:
            return admission
        raise self._refusal(account, tokens)

    def settle(self, account: str, taken: int, used: int, *, admission: int = 0) -> None:
        """Give back what a finished request did not use, or take what it used beyond."""
        self._books.settle(account, taken, used, self._clock.now(), admission)

    def status(self) -> dict[str, object]:
        """Tell operators what this VM holds, of the accounts that it spent most of."""
        now = self._clock.now()
        names = sorted(
            self._books.buckets, key=lambda name: self._books.spent.rate(name, now), reverse=True
        )
        return {
            "confirmed": self._may_spend(),
            "accounts": {name: self._account_status(name, now) for name in names[:STATUS_ACCOUNTS]},
        }

    def _account_status(self, account: str, now: int) -> dict[str, float]:
        bucket = self._books.buckets[account]
        return {
            "fraction": self._keeper.usable_parts(account) / PARTS_PER_ACCOUNT,
            "tokens": round(bucket.level(now)),
            "lent": round(bucket.lent_capacity),
            "borrowed": round(self._books.borrower.available(account, now)),
            "spent_per_s": round(self._books.spent.rate(account, now)),
        }

    def _spend(self, account: str, tokens: int) -> int | None:
        now = self._clock.now()
        return self._books.spend(account, tokens, now, own=self._may_spend())

    def _available(self, account: str) -> float:
        return self._books.available(account, self._clock.now(), own=self._may_spend())

    def _may_spend(self) -> bool:
        return self._keeper.lease_state.may_spend(self._clock.now())

    def _terms(self, account: str) -> ClientAccount:
        terms = self._books.accounts.get(account)
        if terms is None:
            raise GatewayError(ErrorKind.NOT_READY, f"account {account!r} is not configured")
        return terms

    def _refusal(self, account: str, tokens: int) -> GatewayError:
        if not self._may_spend() or not self._keeper.knows(account):
            # Not the account's doing: its fraction here may have passed to another VM, or
            # the account is so new that nobody has entered it in the ledger yet.
            return GatewayError(
                ErrorKind.NOT_READY,
                "this VM's share of the account is not confirmed",
                retry_after_ms=RETRY_UNCONFIRMED_MS,
            )
        missing = tokens - self._available(account)
        rate = max(self._terms(account).rate, 1e-9)
        wait = min(int(missing / rate * 1000) + 1, 3_600_000)
        return GatewayError(ErrorKind.RATE_LIMITED, retry_after_ms=max(1, wait))

    async def _ask_for_round(self, account: str) -> None:
        reply: Reply[None] = Reply()
        if self._messages.post(_Round(reply, account)):
            await reply.wait()

    async def _post_rounds(self) -> None:
        """Post a round with gifts at each rebalance, and early reads in between."""
        since = 0
        while True:
            await self._clock.sleep(READ_EVERY_MS)
            since += READ_EVERY_MS
            if since >= self._cfg.shares.rebalance_ms:
                since = 0
                self._messages.post(_Round(gifts=True))
            elif self._read_early:
                self._messages.post(_Round())

    async def _post_on_ticket(self) -> None:
        """Make a round as soon as a change ticket is in force: it may set a new account."""
        while True:
            state = await self._config.wait_past(self._config.current().position)
            if any(not self._keeper.knows(name) for name in state.accounts):
                self._messages.post(_Round())

    async def _handle(self, message: _Round) -> None:
        recently = self._clock.now() - self._last_confirm < CONFIRM_EVERY_MS
        settled = self._may_spend() and self._keeper.knows(message.account)
        needless = message.reply is not None and (settled or (recently and self._tried(message)))
        try:
            if not needless:
                await self._round(gifts=message.gifts)
        finally:
            if message.reply is not None:
                message.reply.set(None)

    def _tried(self, message: _Round) -> bool:
        """Whether the last round knew of the account already; a newer one gets its own."""
        return message.account in self._rounded

    async def _round(self, *, gifts: bool) -> None:
        """Renew the lease, read the ledger, write what is due; else ask the neighbours."""
        self._read_early = False
        self._follow_config()
        self._rounded = frozenset(self._books.accounts)
        if self._lending.borrowed_lately():
            self._keeper.hurry()
        try:
            await self._keeper.renew()
            await self._keeper.read()
            if not self._draining:
                plan = self._gifts if gifts else _no_gifts
                await self._keeper.write(self._books.accounts, self._fleet(), plan)
        except GatewayError as exc:
            self._note_platform(exc.kind.value)
        else:
            self._note_platform("")
        # A lease that ends before the round after next is as good as gone: asked only then,
        # the neighbours' promise would come after a gap in which requests are refused.
        soon = self._clock.now() + 2 * self._cfg.shares.rebalance_ms
        if not self._keeper.lease_state.lease_valid(soon):
            await self._ask_neighbours()
        await self._tell_moved(self._keeper.receivers())
        await self._lending.report_closed()
        self._last_confirm = self._clock.now()
        self._confirmed.set(self._may_spend())
        self._open_loans.set(self._books.lender.open_count())

    def _note_platform(self, fault: str) -> None:
        """Log when the platform's state changes, not at every round of an outage."""
        if fault == self._platform_fault:
            return
        self._platform_fault = fault
        if fault:
            logging.warning("no round of shares with the platform: %s", fault)
        else:
            logging.info("shares reach the platform")

    async def _ask_neighbours(self) -> None:
        """With the platform out of reach, ask this data centre's VMs to take nothing over.

        One that took over stops this VM at once. One answer of the others is enough: they
        hear each other, and none takes over from a VM that it hears. With no answer at all
        this VM may be the one that is cut off, and stops.
        """
        if not self._keeper.has_read:
            return
        sent = self._clock.now()
        promise_ms = 3 * self._cfg.shares.rebalance_ms
        neighbours = self._keeper.neighbours()
        if not neighbours:
            self._keeper.lease_state.neighbours_promised(sent, promise_ms)
            return
        replies = await self._ask_each(neighbours, STANDING, StandingRequest(promise_ms))
        if any(reply.taken for reply in replies):
            self._keeper.taken()
        elif replies:
            self._keeper.lease_state.neighbours_promised(sent, promise_ms)

    async def _ask_each(self, vms: set[VmId], topic: ports.Topic[Q, R], request: Q) -> list[R]:
        """Ask several VMs at once and return the replies of those that answer."""
        replies: list[R] = []
        if self._peers is None or self._members is None:
            return replies
        peers = self._peers

        async def ask(vm: EntryVm) -> None:
            try:
                replies.append(await peers.ask(vm, topic, request))
            except GatewayError as exc:
                logging.debug("no answer on %s from %s: %s", topic.name, vm.id.name, exc)

        async with anyio.create_task_group() as tg:
            for vm_id in vms:
                vm = self._members.find(vm_id)
                if vm is not None:
                    tg.start_soon(ask, vm)
        return replies

    async def _answer_standing(self, sender: VmId, request: StandingRequest) -> StandingReply:
        return StandingReply(taken=not self._keeper.promise(sender, request.promise_ms))

    async def _tell_moved(self, vms: set[VmId]) -> None:
        """Have the receivers of fractions read at once.

        Until they read, neither side acts on what was moved, and the account's rate falls
        short by that much; unheard, they read it within a few rounds all the same.
        """
        await self._ask_each(vms, MOVED, Moved())

    async def _answer_moved(self, sender: VmId, request: Moved) -> Moved:
        self._keeper.hurry()
        self._read_early = True
        return request

    def _follow_config(self) -> None:
        state = self._config.current()
        if state is not self._applied:
            self._applied = state
            self._books.apply_accounts(state.accounts)
            self._resize()

    def _resize(self) -> None:
        self._books.apply_parts(
            self._keeper.usable_parts, self._keeper.initial_parts, self._clock.now()
        )

    @property
    def _keeper(self) -> LedgerKeeper:
        if self._made is None:
            raise GatewayError(ErrorKind.NOT_READY, "shares are not started")
        return self._made

    def _new_keeper(self) -> LedgerKeeper:
        """Return the keeper, made once: it outlives a crash of this service's task.

        A new one would not know of its writes that may still land, and would credit the
        tokens that came with fractions a second time.
        """
        keeper = LedgerKeeper(
            cfg=self._cfg,
            clock=self._clock,
            counters=self._counters,
            me=self._me(),
            book=self._book,
            levels=lambda: self._books.levels(self._clock.now()),
        )
        keeper.connect(self._platform)
        return keeper

    def _book(self, moved: dict[str, float]) -> None:
        """Follow the ledger: tokens go before the bucket shrinks, and come after it grew."""
        now = self._clock.now()
        self._books.move({name: one for name, one in moved.items() if one < 0}, now)
        self._resize()
        self._books.move({name: one for name, one in moved.items() if one > 0}, now)

    def _gifts(self, ledger: GroupLedger, planned: tuple[Holder, ...]) -> GroupLedger:
        now = self._clock.now()
        accounts = self._books.accounts
        # Only what this VM holds can it give: at the target's size that is one group of 16.
        demands = {
            name: self._demand(accounts[name], planned, now)
            for name, parts in ledger.parts_of(self._keeper.me.vm).items()
            if parts and name in accounts
        }
        return plan_transfers(
            ledger, self._keeper.me, planned, demands, floor=self._cfg.shares.floor
        )

    def _demand(
        self, account: ClientAccount, planned: tuple[Holder, ...], now: int
    ) -> AccountDemand:
        lent = {
            holder: rate
            for holder in planned
            if (rate := self._lending.lent.rate((account.name, holder.vm), now)) > 0
        }
        bucket = self._books.buckets.get(account.name)
        return AccountDemand(
            account_rate=account.rate,
            local_rate=self._books.spent.rate(account.name, now),
            level=bucket.level(now) if bucket else 0.0,
            lent_rates=lent,
            reserved_parts=self._books.lent_parts(account.name),
        )

    def _sources(self, account: str) -> list[Source]:
        """Return who may lend of an account; every known VM while the ledger is unread."""
        if self._members is None:
            return []
        if not self._keeper.has_read:
            return [
                self._source(vm, 1) for vm in self._members.vms() if vm.id != self._keeper.me.vm
            ]
        found: list[Source] = []
        for holder, parts in self._keeper.holders_of(account).items():
            vm = self._members.find(holder.vm)
            if vm is not None and parts and holder.vm != self._keeper.me.vm:
                found.append(self._source(vm, parts))
        return found

    def _source(self, vm: EntryVm, parts: int) -> Source:
        return Source(vm, parts, near=vm.data_centre == self._cfg.vm.data_centre)

    def _fleet(self) -> Fleet:
        if self._members is None:
            return Fleet(())
        return Fleet(
            tuple(
                Holder(vm.id, vm.data_centre)
                for vm in self._members.vms()
                if vm.state is not VmState.LEAVING
            )
        )

    def _me(self) -> Holder:
        if self._members is not None:
            return Holder(self._members.own_vm.id, self._members.own_vm.data_centre)
        vm = VmId(self._cfg.vm.name, secrets.token_hex(8))
        return Holder(vm, self._cfg.vm.data_centre)


def _no_gifts(ledger: GroupLedger, planned: tuple[Holder, ...]) -> GroupLedger:
    return ledger
