"""Borrowing from other VMs before a request is refused, and lending to them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import anyio

from hickorybeam.errors import GatewayError
from hickorybeam.kernel import Mailbox, Reply
from hickorybeam.policy.rebalance import DecayingRates
from hickorybeam.shares.messages import LOANS, LoanReply, LoanRequest, Want

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from hickorybeam.clock import Clock
    from hickorybeam.model import EntryVm, VmId
    from hickorybeam.policy.loans import ClosedLoan, Loan
    from hickorybeam.ports import Peers
    from hickorybeam.shares.accounts import AccountBuckets
    from hickorybeam.telemetry import Counters

__all__ = ("Lending", "Shortage", "Source")

# A VM that borrows at all asks for what it will spend in the next half second as well: one
# round trip between regions takes 160 ms, so a steady flow then waits for none of them.
AHEAD_S: Final = 0.5

# Of what is asked for ahead, a lender keeps what its own callers take in this time, so that
# lending does not turn its own next request into a borrower. A request that waits elsewhere
# gets all there is: it is here now, the lender's next one may never come.
KEEP_S: Final = 0.1

# Rounds start at least this far apart: with eight peers this bounds the messages of a VM to
# 80 a second while accounts are far over their rate, and to none when they are not.
ROUND_MS: Final = 100

# After a round that left an account short, the others hold only what has arrived since. This
# long no second round is tried for more than that, so a refusal costs no message.
SHORT_MS: Final = 250

# A peer that did not answer is left alone for this long; a cut-off region would otherwise
# wait for a timeout at every request.
SILENT_PEER_MS: Final = 2_000

MAX_WAITING: Final = 10_000


@dataclass(frozen=True, slots=True)
class Shortage:
    """One request that is short of tokens."""

    account: str
    tokens: float
    reply: Reply[None]


@dataclass(frozen=True, slots=True)
class Source:
    """A peer that may lend, with the parts of the account that it holds."""

    vm: EntryVm
    parts: int
    near: bool


class Lending:
    """Asks peers for tokens, one round at a time for all accounts, and answers them.

    :param sources: who may lend of an account, nearest first.
    :param may_spend: whether this VM may act on its own fractions, and so lend of them.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        counters: Counters,
        books: AccountBuckets,
        sources: Callable[[str], list[Source]],
        may_spend: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._books = books
        self._sources = sources
        self._may_spend = may_spend
        self._peers: Peers | None = None
        self._wants: Mailbox[Shortage] = Mailbox(size=MAX_WAITING)
        self._short: dict[str, int] = {}
        self._silent: dict[VmId, int] = {}
        self._reports: dict[VmId, list[ClosedLoan]] = {}
        self._last_round = -ROUND_MS
        self._lately = False
        self.lent = DecayingRates()
        self.lending = True
        self._messages = counters.counter("share_messages", "Share messages to peers", ("outcome",))
        self._lent_total = counters.counter("share_lent_tokens", "Tokens lent to peers")
        self._borrowed = counters.counter("share_borrowed_tokens", "Tokens borrowed from peers")

    def connect(self, peers: Peers | None) -> None:
        """Use these peers; without any, nothing is ever borrowed."""
        self._peers = peers

    def borrowed_lately(self) -> bool:
        """Whether a round was made since this was last asked; lenders then move fractions."""
        lately, self._lately = self._lately, False
        return lately

    async def borrow(self, account: str, tokens: float) -> bool:
        """Try to get enough for one request.

        :return: whether a round was made, so that another look is worth it.
        """
        if self._peers is None or self._is_hopeless(account, tokens):
            return False
        if not self._sources(account):
            return False
        reply: Reply[None] = Reply()
        if not self._wants.post(Shortage(account, tokens, reply)):
            return False
        await reply.wait()
        return True

    async def serve_wants(self) -> None:
        """Make rounds for as long as requests wait."""
        while True:
            wants = [await self._wants.get()]
            await self._clock.sleep(self._last_round + ROUND_MS - self._clock.now())
            while len(self._wants):
                wants.append(await self._wants.get())
            self._last_round = self._clock.now()
            try:
                await self._round(wants)
            finally:
                for want in wants:
                    want.reply.set(None)

    async def answer(self, sender: VmId, request: LoanRequest) -> LoanReply:
        """Answer one peer's request."""
        now = self._clock.now()
        for report in request.closed:
            self._books.lender.close(report, self._books.buckets, now)
        self._books.lender.expire(self._books.buckets, now)
        if not self.lending or not self._may_spend():
            return LoanReply()
        loans = [
            loan
            for account, want in request.wants.items()
            if (loan := self._grant(sender, account, want, now)) is not None
        ]
        return LoanReply(tuple(loans))

    async def report_closed(self) -> None:
        """Tell lenders of loans that are closed, where no request to them does so anyway."""
        now = self._clock.now()
        self._books.borrower.expire(now)
        self._books.lender.expire(self._books.buckets, now)
        self._collect_reports()
        vms = (
            {
                source.vm.id: source.vm
                for name in self._books.accounts
                for source in self._sources(name)
            }
            if self._reports
            else {}
        )
        async with anyio.create_task_group() as tg:
            for lender in tuple(self._reports):
                if lender in vms:
                    tg.start_soon(self._ask, vms[lender], {})
                else:
                    del self._reports[lender]

    async def _round(self, wants: list[Shortage]) -> None:
        """Ask near peers, then far ones, in proportion first and then for all that is short."""
        self._lately = True
        needs: dict[str, float] = {}
        for want in wants:
            needs[want.account] = needs.get(want.account, 0.0) + want.tokens
        for near in (True, False):
            for pass_all in (False, True):
                asks = self._split(needs, near=near, pass_all=pass_all)
                if asks:
                    await self._ask_all(asks)
        now = self._clock.now()
        for account, tokens in needs.items():
            if self._missing(account, tokens) > 0:
                self._short[account] = now

    def _split(
        self, needs: dict[str, float], *, near: bool, pass_all: bool
    ) -> list[tuple[EntryVm, dict[str, Want]]]:
        now = self._clock.now()
        asks: dict[VmId, tuple[EntryVm, dict[str, Want]]] = {}
        for account, tokens in needs.items():
            missing = self._missing(account, tokens)
            if missing <= 0:
                continue
            ahead = self._books.spent.rate(account, now) * AHEAD_S
            sources = [
                source
                for source in self._sources(account)
                if source.near == near and now >= self._silent.get(source.vm.id, 0)
            ]
            whole = sum(source.parts for source in sources)
            for source in sources:
                share = 1.0 if pass_all or not whole else source.parts / whole
                if share > 0:
                    entry = asks.setdefault(source.vm.id, (source.vm, {}))
                    entry[1][account] = Want(missing * share, ahead * share)
        return list(asks.values())

    async def _ask_all(self, asks: Iterable[tuple[EntryVm, dict[str, Want]]]) -> None:
        async with anyio.create_task_group() as tg:
            for vm, wants in asks:
                tg.start_soon(self._ask, vm, wants)

    async def _ask(self, vm: EntryVm, wants: dict[str, Want]) -> None:
        if self._peers is None:
            return
        self._collect_reports()
        closed = tuple(self._reports.pop(vm.id, ()))
        sent = self._clock.now()
        try:
            reply = await self._peers.ask(vm, LOANS, LoanRequest(wants, closed))
        except GatewayError as exc:
            self._messages.labels(exc.kind.value).inc()
            self._silent[vm.id] = self._clock.now() + SILENT_PEER_MS
            # Told again later; a lender that got it the first time passes it over.
            self._reports.setdefault(vm.id, []).extend(closed)
            return
        self._messages.labels("ok").inc()
        self._take_in(vm.id, reply, sent)

    def _take_in(self, lender: VmId, reply: LoanReply, sent: int) -> None:
        now = self._clock.now()
        for loan in reply.loans:
            account = self._books.accounts.get(loan.account)
            if account is None:
                continue
            self._borrowed.inc(loan.tokens)
            self._books.borrower.receive(
                lender, loan, sent_ms=sent, now_ms=now, burst=account.burst
            )

    def _grant(self, sender: VmId, account: str, want: Want, now: int) -> Loan | None:
        bucket = self._books.buckets.get(account)
        terms = self._books.accounts.get(account)
        if bucket is None or terms is None:
            return None
        level = max(0.0, bucket.level(now))
        kept = self._books.spent.rate(account, now) * KEEP_S
        need = min(want.need, level)
        tokens = need + max(0.0, min(want.ahead, level - need - kept))
        if tokens <= 0:
            return None
        loan = self._books.lender.grant(account, bucket, tokens, now, burst=terms.burst)
        if loan is not None:
            self.lent.add((account, sender), loan.tokens, now)
            self._lent_total.inc(loan.tokens)
        return loan

    def _missing(self, account: str, tokens: float) -> float:
        now = self._clock.now()
        return tokens - self._books.available(account, now, own=self._may_spend())

    def _is_hopeless(self, account: str, tokens: float) -> bool:
        now = self._clock.now()
        elapsed = now - self._short.get(account, -SHORT_MS)
        if elapsed >= SHORT_MS:
            return False
        terms = self._books.accounts.get(account)
        arrived = terms.rate * elapsed / 1000 if terms else 0.0
        return arrived < self._missing(account, tokens)

    def _collect_reports(self) -> None:
        for lender in self._books.borrower.lenders_due_reports():
            closed = self._books.borrower.take_reports(lender)
            self._reports.setdefault(lender, []).extend(closed)
