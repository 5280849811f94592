"""Borrowing from other VMs before a request is refused, and lending to them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import anyio

from hickorybeam.errors import GatewayError
from hickorybeam.kernel import Mailbox, Reply
from hickorybeam.policy.rebalance import DecayingRates
from hickorybeam.shares.messages import LOANS, LoanDemand, LoanReply, LoanRequest

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from hickorybeam.clock import Clock
    from hickorybeam.model import EntryVm, VmId
    from hickorybeam.policy.loans import ClosedLoan, Loan
    from hickorybeam.ports import Peers
    from hickorybeam.shares.accounts import AccountBuckets
    from hickorybeam.telemetry import Counters

__all__ = ("LoanExchange", "LoanSource", "Shortage")

# A borrowing VM also asks for what it expects to spend in this time. A round trip between
# regions takes 160 ms, so a steady flow of requests then waits for no further round.
PREFETCH_S: Final = 0.5

# For expected requests of the borrower, a lender keeps back what its own callers spend in this
# time, so that its own next request need not borrow. For a waiting request it lends all that it
# has: that request is certain, the lender's next one is not.
LENDER_RESERVE_S: Final = 0.1

# With eight peers, this limits a VM to 80 messages a second while accounts are far over their
# rate; otherwise it sends none.
MIN_ROUND_INTERVAL_MS: Final = 100

# After a round that left an account short, the peers have only the tokens that arrived since.
# For this long a request that needs more starts no round, so its refusal costs no message.
SHORTAGE_BACK_OFF_MS: Final = 250

# Back-off after a peer did not respond; without it, every request in a partitioned region would
# wait for a timeout.
PEER_BACK_OFF_MS: Final = 2_000

MAX_WAITING_REQUESTS: Final = 10_000


@dataclass(frozen=True, slots=True)
class Shortage:
    """One request that lacks tokens; ``reply`` is set after the next round."""

    account: str
    tokens: float
    reply: Reply[None]


@dataclass(frozen=True, slots=True)
class LoanSource:
    """A peer that may lend, and the parts of the account that it holds."""

    vm: EntryVm
    parts: int
    local: bool


class LoanExchange:
    """Borrows tokens from peers, in one round at a time for all accounts, and lends to them.

    :param sources: returns the peers that may lend tokens of an account.
    :param may_spend: whether this VM may spend, and so lend, from its own shares.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        counters: Counters,
        account_buckets: AccountBuckets,
        sources: Callable[[str], list[LoanSource]],
        may_spend: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._account_buckets = account_buckets
        self._sources = sources
        self._may_spend = may_spend
        self._peers: Peers | None = None
        self._shortages: Mailbox[Shortage] = Mailbox(size=MAX_WAITING_REQUESTS)
        self._last_short_ms: dict[str, int] = {}
        self._peer_back_off_until_ms: dict[VmId, int] = {}
        self._unreported_closed_loans: dict[VmId, list[ClosedLoan]] = {}
        self._last_round_ms = -MIN_ROUND_INTERVAL_MS
        self._borrowed_since_last_call = False
        self.lent_rates = DecayingRates()
        self.lending_enabled = True
        self._messages = counters.counter("share_messages", "Share messages to peers", ("outcome",))
        self._lent_total = counters.counter("share_lent_tokens", "Tokens lent to peers")
        self._borrowed = counters.counter("share_borrowed_tokens", "Tokens borrowed from peers")

    def connect(self, peers: Peers | None) -> None:
        """Set the client for peers; without one, nothing is borrowed."""
        self._peers = peers

    def borrowed_since_last_call(self) -> bool:
        """Whether a round ran since the last call; lenders then transfer shares."""
        borrowed, self._borrowed_since_last_call = self._borrowed_since_last_call, False
        return borrowed

    async def borrow(self, account: str, tokens: float) -> bool:
        """Try to borrow enough for one request.

        :return: whether a round ran, so that trying to spend again is worthwhile.
        """
        if self._peers is None or self._is_backed_off(account, tokens):
            return False
        if not self._sources(account):
            return False
        reply: Reply[None] = Reply()
        if not self._shortages.post(Shortage(account, tokens, reply)):
            return False
        await reply.wait()
        return True

    async def run_rounds(self) -> None:
        """Run a round whenever requests wait, until cancelled."""
        while True:
            shortages = [await self._shortages.get()]
            await self._clock.sleep(self._last_round_ms + MIN_ROUND_INTERVAL_MS - self._clock.now())
            while len(self._shortages):
                shortages.append(await self._shortages.get())
            self._last_round_ms = self._clock.now()
            try:
                await self._run_round(shortages)
            finally:
                for shortage in shortages:
                    shortage.reply.set(None)

    async def handle_loan_request(self, sender: VmId, request: LoanRequest) -> LoanReply:
        """Close the loans that a peer reports and lend it what it asks for."""
        now = self._clock.now()
        for closed_loan in request.closed:
            self._account_buckets.lender.close(closed_loan, self._account_buckets.buckets, now)
        self._account_buckets.lender.expire(self._account_buckets.buckets, now)
        if not self.lending_enabled or not self._may_spend():
            return LoanReply()
        loans = [
            loan
            for account, want in request.wants.items()
            if (loan := self._grant(sender, account, want, now)) is not None
        ]
        return LoanReply(tuple(loans))

    async def report_closed_loans(self) -> None:
        """Report closed loans to lenders that get no loan request, which would carry the report."""
        now = self._clock.now()
        self._account_buckets.borrower.expire(now)
        self._account_buckets.lender.expire(self._account_buckets.buckets, now)
        self._collect_closed_loans()
        vms = (
            {
                source.vm.id: source.vm
                for name in self._account_buckets.accounts
                for source in self._sources(name)
            }
            if self._unreported_closed_loans
            else {}
        )
        async with anyio.create_task_group() as tg:
            for lender in tuple(self._unreported_closed_loans):
                if lender in vms:
                    tg.start_soon(self._send_request, vms[lender], {})
                else:
                    del self._unreported_closed_loans[lender]

    async def _run_round(self, shortages: list[Shortage]) -> None:
        """Ask local peers, then remote ones: first each for its proportion, then for all."""
        self._borrowed_since_last_call = True
        needs: dict[str, float] = {}
        for shortage in shortages:
            needs[shortage.account] = needs.get(shortage.account, 0.0) + shortage.tokens
        for local in (True, False):
            for ask_full in (False, True):
                requests = self._split_requests(needs, local=local, ask_full=ask_full)
                if requests:
                    await self._send_requests(requests)
        now = self._clock.now()
        for account, tokens in needs.items():
            if self._missing(account, tokens) > 0:
                self._last_short_ms[account] = now

    def _split_requests(
        self, needs: dict[str, float], *, local: bool, ask_full: bool
    ) -> list[tuple[EntryVm, dict[str, LoanDemand]]]:
        now = self._clock.now()
        requests: dict[VmId, tuple[EntryVm, dict[str, LoanDemand]]] = {}
        for account, tokens in needs.items():
            missing = self._missing(account, tokens)
            if missing <= 0:
                continue
            ahead = self._account_buckets.spend_rates.rate(account, now) * PREFETCH_S
            sources = [
                source
                for source in self._sources(account)
                if source.local == local
                and now >= self._peer_back_off_until_ms.get(source.vm.id, 0)
            ]
            total_parts = sum(source.parts for source in sources)
            for source in sources:
                share = 1.0 if ask_full or not total_parts else source.parts / total_parts
                if share > 0:
                    entry = requests.setdefault(source.vm.id, (source.vm, {}))
                    entry[1][account] = LoanDemand(missing * share, ahead * share)
        return list(requests.values())

    async def _send_requests(
        self, requests: Iterable[tuple[EntryVm, dict[str, LoanDemand]]]
    ) -> None:
        async with anyio.create_task_group() as tg:
            for vm, wants in requests:
                tg.start_soon(self._send_request, vm, wants)

    async def _send_request(self, vm: EntryVm, wants: dict[str, LoanDemand]) -> None:
        if self._peers is None:
            return
        self._collect_closed_loans()
        closed = tuple(self._unreported_closed_loans.pop(vm.id, ()))
        sent_ms = self._clock.now()
        try:
            reply = await self._peers.ask(vm, LOANS, LoanRequest(wants, closed))
        except GatewayError as exc:
            self._messages.labels(exc.kind.value).inc()
            self._peer_back_off_until_ms[vm.id] = self._clock.now() + PEER_BACK_OFF_MS
            # Reported again later; a lender that received the first report ignores the second.
            self._unreported_closed_loans.setdefault(vm.id, []).extend(closed)
            return
        self._messages.labels("ok").inc()
        self._receive_loans(vm.id, reply, sent_ms)

    def _receive_loans(self, lender: VmId, reply: LoanReply, sent_ms: int) -> None:
        now = self._clock.now()
        for loan in reply.loans:
            account = self._account_buckets.accounts.get(loan.account)
            if account is None:
                continue
            self._borrowed.inc(loan.tokens)
            self._account_buckets.borrower.receive(
                lender, loan, sent_ms=sent_ms, now_ms=now, burst=account.burst
            )

    def _grant(self, sender: VmId, account: str, want: LoanDemand, now: int) -> Loan | None:
        bucket = self._account_buckets.buckets.get(account)
        limits = self._account_buckets.accounts.get(account)
        if bucket is None or limits is None:
            return None
        level = max(0.0, bucket.level(now))
        reserve = self._account_buckets.spend_rates.rate(account, now) * LENDER_RESERVE_S
        need = min(want.need, level)
        tokens = need + max(0.0, min(want.ahead, level - need - reserve))
        if tokens <= 0:
            return None
        loan = self._account_buckets.lender.grant(account, bucket, tokens, now, burst=limits.burst)
        if loan is not None:
            self.lent_rates.add((account, sender), loan.tokens, now)
            self._lent_total.inc(loan.tokens)
        return loan

    def _missing(self, account: str, tokens: float) -> float:
        now = self._clock.now()
        return tokens - self._account_buckets.available(
            account, now, use_own_share=self._may_spend()
        )

    def _is_backed_off(self, account: str, tokens: float) -> bool:
        now = self._clock.now()
        elapsed = now - self._last_short_ms.get(account, -SHORTAGE_BACK_OFF_MS)
        if elapsed >= SHORTAGE_BACK_OFF_MS:
            return False
        limits = self._account_buckets.accounts.get(account)
        arrived = limits.rate * elapsed / 1000 if limits else 0.0
        return arrived < self._missing(account, tokens)

    def _collect_closed_loans(self) -> None:
        for lender in self._account_buckets.borrower.lenders_due_reports():
            closed = self._account_buckets.borrower.take_reports(lender)
            self._unreported_closed_loans.setdefault(lender, []).extend(closed)
