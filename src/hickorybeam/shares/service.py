"""The service ``budget``: rate and burst of each account, summed over all VMs."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, ClassVar, Final

import anyio
from absl import logging

from hickorybeam import ports
from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.kernel import Mailbox, Reply, Service
from hickorybeam.policy.rebalance import AccountDemand, plan_transfers
from hickorybeam.policy.shares import PARTS_PER_ACCOUNT
from hickorybeam.shares.accounts import AccountBuckets
from hickorybeam.shares.holders import Holders
from hickorybeam.shares.ledger import ShareLedgerClient
from hickorybeam.shares.lending import LoanExchange
from hickorybeam.shares.messages import LOANS
from hickorybeam.shares.neighbours import Neighbours
from hickorybeam.store.port import Platform

if TYPE_CHECKING:
    from hickorybeam.clock import Clock
    from hickorybeam.kernel import Kernel, Started
    from hickorybeam.model import ClientAccount, ConfigState
    from hickorybeam.policy.shares import GroupLedger, Holder
    from hickorybeam.settings import Settings
    from hickorybeam.telemetry import Counters

__all__ = ("BudgetService",)

# Rounds of borrowing before a request is refused. The second replaces tokens that another request
# of this VM spent between the replies of peers and this request's attempt to spend.
MAX_BORROW_ROUNDS: Final = 2

# A VM whose shares are not confirmed runs rounds for waiting requests at most this often.
MIN_CONFIRM_INTERVAL_MS: Final = 250

UNCONFIRMED_RETRY_AFTER_MS: Final = 500

# A VM that is notified of shares transferred to it reads them within this time. It limits a VM to
# two reads a second, however many others transfer shares to it.
EARLY_READ_INTERVAL_MS: Final = 500
MAX_QUEUED_ROUNDS: Final = 1_000
DRAIN_POLL_MS: Final = 50
MAX_STATUS_ACCOUNTS: Final = 50


@dataclass(frozen=True, slots=True)
class _RoundRequest:
    """Asks the main task for a round; ``reply`` is set after it if a request waits for it.

    ``allow_transfers``: whether this VM may transfer shares away in it. Only rounds of the timer
    do: if a receiver passed shares on at once, its own receivers would read and pass on, and so
    on, as fast as the platform allows (274 calls a second by each VM with five accounts).
    """

    reply: Reply[None] | None = None
    account: str = ""
    allow_transfers: bool = False


class BudgetService(Service):
    """Spends tokens of accounts from the shares that this VM holds, or from loans.

    The services ``members`` and ``peers`` are optional: a single VM holds all shares itself.
    """

    name: ClassVar[str] = ports.BUDGET
    needs: ClassVar[tuple[str, ...]] = (ports.PLATFORM, ports.CONFIG)

    def __init__(self, *, cfg: Settings, clock: Clock, counters: Counters) -> None:
        self._cfg = cfg
        self._clock = clock
        self._counters = counters
        self._account_buckets = AccountBuckets(cfg.shares)
        self._holders = Holders(cfg.vm, ledger_client=lambda: self._ledger_client)
        self._loan_exchange = LoanExchange(
            clock=clock,
            counters=counters,
            account_buckets=self._account_buckets,
            sources=self._holders.loan_sources,
            may_spend=self._may_spend,
        )
        self._neighbours = Neighbours(
            clock,
            ledger_client=lambda: self._ledger_client,
            rebalance_ms=cfg.shares.rebalance_ms,
            on_shares_moved=self._request_early_read,
        )
        self._round_requests: Mailbox[_RoundRequest] = Mailbox(size=MAX_QUEUED_ROUNDS)
        self._applied_config: ConfigState | None = None
        self._last_round_ms = -MIN_CONFIRM_INTERVAL_MS
        self._draining = False
        self._created_ledger_client: ShareLedgerClient | None = None
        self._early_read_requested = False
        self._platform_fault = ""
        self._accounts_in_last_round: frozenset[str] = frozenset()
        self._confirmed_gauge = counters.gauge(
            "share_confirmed", "Whether own fractions may be spent"
        )
        self._open_loans_gauge = counters.gauge("share_loans_open", "Loans granted and not closed")

    def bind(self, kernel: Kernel) -> None:
        """Look up the services in use and register the handlers of peers' requests."""
        self._platform = kernel.find(ports.PLATFORM, Platform)  # type: ignore[type-abstract]
        self._config = kernel.find(ports.CONFIG, ports.ConfigView)  # type: ignore[type-abstract]
        members: ports.Members | None = None
        peers: ports.Peers | None = None
        if kernel.has(ports.MEMBERS):
            members = kernel.find(ports.MEMBERS, ports.Members)  # type: ignore[type-abstract]
        if kernel.has(ports.PEERS):
            peers = kernel.find(ports.PEERS, ports.Peers)  # type: ignore[type-abstract]
            peers.serve(LOANS, self._loan_exchange.handle_loan_request)
        self._holders.connect(members)
        self._neighbours.connect(members, peers)
        self._loan_exchange.connect(peers)

    async def main(self, started: Started) -> None:
        """Run rounds with the ledger, lend and borrow until cancelled."""
        if self._created_ledger_client is None:
            self._created_ledger_client = self._create_ledger_client()
        await self._run_round(allow_transfers=False)
        started()
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._loan_exchange.run_rounds)
            tg.start_soon(self._schedule_rounds)
            tg.start_soon(self._schedule_on_config_change)
            async for request in self._round_requests:
                await self._handle_round_request(request)

    async def drain(self) -> None:
        """Return borrowed loans, wait for granted ones to close, then release all shares."""
        self._draining = True
        self._loan_exchange.lending_enabled = False
        for account in self._account_buckets.borrower.accounts():
            self._account_buckets.borrower.return_loans(account)
        await self._loan_exchange.report_closed_loans()
        # Shares with open loans cannot be released: the lent tokens would be spent by the
        # borrower and once more by the new holder.
        while self._account_buckets.lender.open_count():
            await self._clock.sleep(DRAIN_POLL_MS)
            self._account_buckets.lender.expire(self._account_buckets.buckets, self._clock.now())
        try:
            await self._ledger_client.release_all(self._holders.live())
        except GatewayError as exc:
            logging.warning("shares were not released on shutdown: %s", exc)

    async def take(self, account: str, tokens: int) -> int:
        """Spend tokens from this VM's share or a loan, or raise ``RATE_LIMITED``."""
        self._apply_config()
        limits = self._limits(account)
        if tokens > limits.burst:
            raise GatewayError(
                ErrorKind.COST_OVER_BURST, f"cost {tokens}, burst {limits.burst:.0f}"
            )
        admission = self._spend(account, tokens)
        if admission is not None:
            return admission
        if not self._may_spend() or not self._ledger_client.has_account(account):
            await self._wait_for_round(account)
        for _ in range(MAX_BORROW_ROUNDS):
            admission = self._spend(account, tokens)
            if admission is not None:
                return admission
            if not await self._loan_exchange.borrow(account, tokens):
                break
        admission = self._spend(account, tokens)
        if admission is not None:
            return admission
        raise self._refusal(account, tokens)

    def settle(self, account: str, taken: int, used: int, *, admission: int = 0) -> None:
        """Refund the tokens that a finished request did not use, or charge those in excess."""
        self._account_buckets.settle(account, taken, used, self._clock.now(), admission)

    def status(self) -> dict[str, object]:
        """Return, for operators, this VM's share of the accounts that it spends fastest."""
        now = self._clock.now()
        names = sorted(
            self._account_buckets.buckets,
            key=lambda name: self._account_buckets.spend_rates.rate(name, now),
            reverse=True,
        )
        return {
            "confirmed": self._may_spend(),
            "accounts": {
                name: self._account_status(name, now) for name in names[:MAX_STATUS_ACCOUNTS]
            },
        }

    def _account_status(self, account: str, now: int) -> dict[str, float]:
        bucket = self._account_buckets.buckets[account]
        return {
            "fraction": self._ledger_client.usable_parts(account) / PARTS_PER_ACCOUNT,
            "tokens": round(bucket.level(now)),
            "lent": round(bucket.lent_capacity),
            "borrowed": round(self._account_buckets.borrower.available(account, now)),
            "spent_per_s": round(self._account_buckets.spend_rates.rate(account, now)),
        }

    def _spend(self, account: str, tokens: int) -> int | None:
        now = self._clock.now()
        return self._account_buckets.spend(account, tokens, now, use_own_share=self._may_spend())

    def _available(self, account: str) -> float:
        return self._account_buckets.available(
            account, self._clock.now(), use_own_share=self._may_spend()
        )

    def _may_spend(self) -> bool:
        return self._ledger_client.lease_state.may_spend(self._clock.now())

    def _limits(self, account: str) -> ClientAccount:
        limits = self._account_buckets.accounts.get(account)
        if limits is None:
            raise GatewayError(ErrorKind.NOT_READY, f"account {account!r} is not configured")
        return limits

    def _refusal(self, account: str, tokens: int) -> GatewayError:
        if not self._may_spend() or not self._ledger_client.has_account(account):
            # Not the caller's fault: this VM's share may have been taken over, or the account
            # is so new that no VM has created it in the ledger yet.
            return GatewayError(
                ErrorKind.NOT_READY,
                "this VM's share of the account is not confirmed",
                retry_after_ms=UNCONFIRMED_RETRY_AFTER_MS,
            )
        missing = tokens - self._available(account)
        rate = max(self._limits(account).rate, 1e-9)
        wait = min(int(missing / rate * 1000) + 1, 3_600_000)
        return GatewayError(ErrorKind.RATE_LIMITED, retry_after_ms=max(1, wait))

    async def _wait_for_round(self, account: str) -> None:
        reply: Reply[None] = Reply()
        if self._round_requests.post(_RoundRequest(reply, account)):
            await reply.wait()

    async def _schedule_rounds(self) -> None:
        """Request a round with transfers every ``rebalance_ms``, and early reads in between."""
        elapsed_ms = 0
        while True:
            await self._clock.sleep(EARLY_READ_INTERVAL_MS)
            elapsed_ms += EARLY_READ_INTERVAL_MS
            if elapsed_ms >= self._cfg.shares.rebalance_ms:
                elapsed_ms = 0
                self._round_requests.post(_RoundRequest(allow_transfers=True))
            elif self._early_read_requested:
                self._round_requests.post(_RoundRequest())

    async def _schedule_on_config_change(self) -> None:
        """Request a round when a change ticket has added an account missing in the ledger."""
        while True:
            state = await self._config.wait_past(self._config.current().position)
            if any(not self._ledger_client.has_account(name) for name in state.accounts):
                self._round_requests.post(_RoundRequest())

    async def _handle_round_request(self, request: _RoundRequest) -> None:
        recent = self._clock.now() - self._last_round_ms < MIN_CONFIRM_INTERVAL_MS
        confirmed = self._may_spend() and self._ledger_client.has_account(request.account)
        skip = request.reply is not None and (
            confirmed or (recent and self._was_in_last_round(request))
        )
        try:
            if not skip:
                await self._run_round(allow_transfers=request.allow_transfers)
        finally:
            if request.reply is not None:
                request.reply.set(None)

    def _was_in_last_round(self, request: _RoundRequest) -> bool:
        """Whether the last round included the account; a newer account gets its own round."""
        return request.account in self._accounts_in_last_round

    async def _run_round(self, *, allow_transfers: bool) -> None:
        """Renew the lease, read and write the ledger; if the lease runs out, ask neighbours."""
        self._early_read_requested = False
        self._apply_config()
        self._accounts_in_last_round = frozenset(self._account_buckets.accounts)
        if self._loan_exchange.borrowed_since_last_call():
            self._ledger_client.read_next_round()
        try:
            await self._ledger_client.renew()
            await self._ledger_client.read()
            if not self._draining:
                plan = self._add_transfers if allow_transfers else _no_transfers
                await self._ledger_client.write(
                    self._account_buckets.accounts, self._holders.live(), plan
                )
        except GatewayError as exc:
            self._log_platform_state(exc.kind.value)
        else:
            self._log_platform_state("")
        # Ask for promises if the lease ends before the round after next. Asked later, neighbours
        # would promise only after a gap in which this VM refuses requests.
        next_rounds_end_ms = self._clock.now() + 2 * self._cfg.shares.rebalance_ms
        if not self._ledger_client.lease_state.lease_valid(next_rounds_end_ms):
            await self._neighbours.request_promises()
        await self._neighbours.notify_receivers(self._ledger_client.pop_receivers())
        await self._loan_exchange.report_closed_loans()
        self._last_round_ms = self._clock.now()
        self._confirmed_gauge.set(self._may_spend())
        self._open_loans_gauge.set(self._account_buckets.lender.open_count())

    def _request_early_read(self) -> None:
        self._ledger_client.read_next_round()
        self._early_read_requested = True

    def _log_platform_state(self, fault: str) -> None:
        """Log when the platform fails or recovers, not in every round of an outage."""
        if fault == self._platform_fault:
            return
        self._platform_fault = fault
        if fault:
            logging.warning("cannot update shares at the platform: %s", fault)
        else:
            logging.info("shares are updated at the platform")

    def _apply_config(self) -> None:
        state = self._config.current()
        if state is not self._applied_config:
            self._applied_config = state
            self._account_buckets.apply_accounts(state.accounts)
            self._resize()

    def _resize(self) -> None:
        self._account_buckets.apply_parts(
            self._ledger_client.usable_parts, self._ledger_client.initial_parts, self._clock.now()
        )

    @property
    def _ledger_client(self) -> ShareLedgerClient:
        if self._created_ledger_client is None:
            raise GatewayError(ErrorKind.NOT_READY, "shares are not started")
        return self._created_ledger_client

    def _create_ledger_client(self) -> ShareLedgerClient:
        """Return a new ledger client; called once, as it must survive a crash of the main task.

        A second one would not know of earlier writes that may still take effect, and would
        credit the tokens transferred with shares a second time.
        """
        ledger_client = ShareLedgerClient(
            cfg=self._cfg,
            clock=self._clock,
            counters=self._counters,
            own_holder=self._holders.own(),
            update_buckets=self._update_buckets,
            levels=lambda: self._account_buckets.levels(self._clock.now()),
        )
        ledger_client.connect(self._platform)
        return ledger_client

    def _update_buckets(self, moved_tokens: dict[str, float]) -> None:
        """Match buckets to the shares: charge before a bucket shrinks, credit after it grows."""
        now = self._clock.now()
        self._account_buckets.apply_token_transfers(
            {name: tokens for name, tokens in moved_tokens.items() if tokens < 0}, now
        )
        self._resize()
        self._account_buckets.apply_token_transfers(
            {name: tokens for name, tokens in moved_tokens.items() if tokens > 0}, now
        )

    def _add_transfers(self, ledger: GroupLedger, planned: tuple[Holder, ...]) -> GroupLedger:
        now = self._clock.now()
        accounts = self._account_buckets.accounts
        # Only accounts of which this VM holds parts: at the target's size, one group of 16.
        demands = {
            name: self._demand(accounts[name], planned, now)
            for name, parts in ledger.parts_of(self._ledger_client.own_holder.vm).items()
            if parts and name in accounts
        }
        return plan_transfers(
            ledger, self._ledger_client.own_holder, planned, demands, floor=self._cfg.shares.floor
        )

    def _demand(
        self, account: ClientAccount, planned: tuple[Holder, ...], now: int
    ) -> AccountDemand:
        lent = {
            holder: rate
            for holder in planned
            if (rate := self._loan_exchange.lent_rates.rate((account.name, holder.vm), now)) > 0
        }
        bucket = self._account_buckets.buckets.get(account.name)
        return AccountDemand(
            account_rate=account.rate,
            local_rate=self._account_buckets.spend_rates.rate(account.name, now),
            level=bucket.level(now) if bucket else 0.0,
            lent_rates=lent,
            reserved_parts=self._account_buckets.lent_parts(account.name),
        )


def _no_transfers(ledger: GroupLedger, planned: tuple[Holder, ...]) -> GroupLedger:
    return ledger
