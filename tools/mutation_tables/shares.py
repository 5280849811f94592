"""Mutations of what accounts spend: buckets, loans and the ledger."""

from __future__ import annotations

from tools.mutation_tables.mutation import Mutation

__all__ = ("MUTATIONS",)

MUTATIONS: tuple[Mutation, ...] = (
    # rate and burst: buckets
    Mutation(
        "refund limited by the room since admission",
        "policy/token_bucket.py",
        "given = min([tokens, self._room(), *(record.room for record in since)])",
        "given = min(tokens, self._room())",
        "policy/share_parts.feature",
    ),
    Mutation(
        "new capacity starts empty",
        "policy/token_bucket.py",
        "        self.capacity = capacity\n        self.rate = rate\n        self._clip()",
        "        self._level += max(0.0, capacity - self.capacity)\n"
        "        self.capacity = capacity\n        self.rate = rate\n        self._clip()",
        "policy/shares.feature",
    ),
    Mutation(
        "lent tokens leave the lender",
        "policy/token_bucket.py",
        "        self._level -= lent\n        self.lent_capacity += lent",
        "        self.lent_capacity += lent",
        "policy/shares.feature",
    ),
    Mutation(
        "lent capacity leaves the lender",
        "policy/token_bucket.py",
        "        self._level -= lent\n        self.lent_capacity += lent",
        "        self._level -= lent",
        "policy/shares.feature",
    ),
    Mutation(
        "use beyond the cost becomes a debt",
        "policy/token_bucket.py",
        '        """Take what a request used beyond its cost, into debt if necessary."""\n'
        "        self._refill(now_ms)\n        self._level -= tokens",
        "        self._refill(now_ms)",
        "shares",
    ),
    # rate and burst: loans
    Mutation(
        "borrower counts from its request",
        "policy/loans.py",
        "until_ms = sent_ms + loan.duration_ms",
        "until_ms = now_ms + loan.duration_ms",
        "policy/share_parts.feature",
    ),
    Mutation(
        "borrower drops what ran out",
        "policy/loans.py",
        "            if now_ms >= held.until_ms:\n                self._close",
        "            if False:\n                self._close",
        "policy/share_parts.feature",
    ),
    Mutation(
        "grant delivered twice counts once",
        "policy/loans.py",
        "if (lender, loan.number) in self._received_until_ms or now_ms >= until_ms:",
        "if now_ms >= until_ms:",
        "policy/shares.feature",
    ),
    Mutation(
        "report delivered twice counts once",
        "policy/loans.py",
        "        del self._open[report.number]\n",
        "",
        "policy/share_parts.feature",
    ),
    Mutation(
        "lender waits for the loan's end",
        "policy/loans.py",
        "until_ms = now_ms + self._duration_ms + self._margin_ms",
        "until_ms = now_ms",
        "policy/share_parts.feature",
    ),
    Mutation(
        "loans shrink with a lowered burst",
        "policy/loans.py",
        "        held.tokens *= burst / held.burst\n",
        "",
        "policy/share_parts.feature",
    ),
    # rate and burst: the ledger
    Mutation(
        "shrink before the write",
        "policy/shares.py",
        "self._usable[account] = min(self._usable[account], parts)",
        "pass",
        "policy/share_parts.feature",
    ),
    Mutation(
        "no growth while a write may still land",
        "policy/shares.py",
        "                parts = min(parts, self.usable_parts(account))",
        "                pass",
        "policy/share_parts.feature",
    ),
    Mutation(
        "tokens that go along are counted once",
        "policy/shares.py",
        "                self._credited[account] = carried\n",
        "",
        "policy/shares.feature",
    ),
    Mutation(
        "an account is entered once",
        "policy/shares.py",
        "if name not in ledger.accounts)",
        ")",
        "shares",
    ),
    Mutation(
        "take-over within the data centre only",
        "policy/shares.py",
        "if expired.data_centre != own_holder.data_centre or expired.vm == own_holder.vm:",
        "if expired.vm == own_holder.vm:",
        "policy/share_parts.feature",
    ),
    Mutation(
        "paused past its lease: ask before spending",
        "policy/spending_lease.py",
        "return now_ms < max(self._lease_until_ms, self._promise_until_ms)",
        "return True",
        "shares",
    ),
    Mutation(
        "a neighbour that took over is heeded",
        "shares/service.py",
        "            self._ledger_client.stop_using_shares()\n",
        "            self._ledger_client.lease_state"
        ".neighbours_promised("
        "asked_at_ms, promise_ms)\n",
        "shares",
    ),
    Mutation(
        "no answer from any neighbour: stop",
        "shares/service.py",
        "        elif replies:\n            self._ledger_client.lease_state.neighbours_promised",
        "        else:\n            self._ledger_client.lease_state.neighbours_promised",
        "shares",
    ),
    Mutation(
        "a lender in doubt of its fractions lends nothing",
        "shares/lending.py",
        "if not self.lending_enabled or not self._may_spend():",
        "if not self.lending_enabled:",
        "shares",
    ),
    Mutation(
        "fractions under open loans are not given away",
        "shares/service.py",
        "reserved_parts=self._account_buckets.lent_parts(account.name),",
        "reserved_parts=0,",
        "shares",
    ),
    Mutation(
        "a shutdown waits for its open loans",
        "shares/service.py",
        "        while self._account_buckets.lender.open_count():",
        "        while False:",
        "shares",
    ),
    Mutation(
        "a lost write is known to be uncertain",
        "shares/ledger.py",
        "            self.groups[number].mark_write_in_doubt()",
        "            self.groups[number].undo_shrink()",
        "shares",
    ),
    Mutation(
        "a lapse is compared in the same transaction",
        "shares/ledger.py",
        "        compares += [Compare(_holder_key(holder), 0) for holder in taken_over]\n",
        "",
        "shares",
    ),
    Mutation(
        "a holder still heard is not taken over from",
        "policy/spending_lease.py",
        "if not lease_lapsed or alive or now_ms < self._promised_until_ms.get(vm, -1):",
        "if not lease_lapsed or now_ms < self._promised_until_ms.get(vm, -1):",
        "policy/share_parts.feature",
    ),
    Mutation(
        "a promise holds",
        "policy/spending_lease.py",
        "if not lease_lapsed or alive or now_ms < self._promised_until_ms.get(vm, -1):",
        "if not lease_lapsed or alive:",
        "policy/share_parts.feature",
    ),
    Mutation(
        "take-over waits for the dead VM's loans",
        "policy/spending_lease.py",
        ">= self._settle_ms",
        ">= 0",
        "policy/share_parts.feature",
    ),
    Mutation(
        "only rounds of the timer give fractions away",
        "shares/service.py",
        "        self._early_read_requested = True\n        return request",
        "        self._round_requests.post(_RoundRequest(allow_transfers=True))\n"
        "        return request",
        "shares",
    ),
    Mutation(
        "parts under loans are not planned away",
        "policy/rebalance.py",
        "        demand.reserved_parts, floor_parts // local_holders, min(used_parts, own_parts)",
        "        floor_parts // local_holders, min(used_parts, own_parts)",
        "policy/share_parts.feature",
    ),
    Mutation(
        "what is known of the ledger outlives a crash of the task",
        "shares/service.py",
        "        if self._created_ledger_client is None:\n"
        "            self._created_ledger_client = self._create_ledger_client()",
        "        self._created_ledger_client = self._create_ledger_client()",
        "shares",
    ),
    Mutation(
        "a lowered rate is in force at once",
        "shares/service.py",
        "        if state is not self._applied_config:",
        "        if self._applied_config is None:",
        "shares",
    ),
)
