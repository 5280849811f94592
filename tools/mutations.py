"""Break each safeguard in turn in a scratch copy and show that a test then fails.

Prints a table with one line for each mutation; exits with 1 when a mutation survives or no
longer applies. Arguments pick mutations by a part of the file's path or of the safeguard.

    .venv/bin/python tools/mutations.py [shares ...]
"""

from __future__ import annotations

import os
import re
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SOURCE = "src/hickorybeam"
COPIED = ("src", "tests", "bench", "pyproject.toml")
WORKERS = 6
TIMEOUT_S = 90
SUMMARY = re.compile(r"^\d+ scenarios? passed, \d+ failed", re.M)


@dataclass(frozen=True, slots=True)
class Mutation:
    """One safeguard, how it is broken, and the tests (under ``tests/``) that must notice."""

    safeguard: str
    path: str
    old: str
    new: str
    tests: str


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
    # at most once
    Mutation(
        "an issued key is bound to its account",
        "once/keys.py",
        "if key.vm != self.vm or not hmac.compare_digest(expected_mac.encode(), key.mac.encode()):",
        "if key.vm != self.vm:",
        "once",
    ),
    Mutation(
        "an issued key runs at its issuer only",
        "once/service.py",
        "        if key.vm != self._own_vm_id():\n            return self._forward(call, key)\n"
        "        self._key_issuer().verify(key, call.account)\n",
        "",
        "once",
    ),
    Mutation(
        "a key runs out",
        "policy/at_most_once.py",
        "            return Refused(ErrorKind.IDEMPOTENCY_EXPIRED)\n",
        "            pass\n",
        "once",
    ),
    Mutation(
        "a full table refuses",
        "policy/at_most_once.py",
        'return Refused(ErrorKind.VM_FULL, "too many idempotency keys in use")',
        "self._records.pop(next(iter(self._records)))",
        "policy/at_most_once.feature",
    ),
    Mutation(
        "a key is used for one content",
        "policy/at_most_once.py",
        "        if record.content != content:\n",
        "        if False:\n",
        "once",
    ),
    Mutation(
        "a running attempt is not called a mismatch",
        "policy/at_most_once.py",
        "        if record.state is ClaimState.RUNNING:\n"
        "            return Refused(ErrorKind.IDEMPOTENCY_RUNNING)\n"
        "        if record.content != content:\n"
        "            return Refused(ErrorKind.IDEMPOTENCY_MISMATCH)\n",
        "        if record.content != content:\n"
        "            return Refused(ErrorKind.IDEMPOTENCY_MISMATCH)\n"
        "        if record.state is ClaimState.RUNNING:\n"
        "            return Refused(ErrorKind.IDEMPOTENCY_RUNNING)\n",
        "policy/at_most_once.feature",
    ),
    Mutation(
        "an unknown outcome keeps the key",
        "policy/at_most_once.py",
        "        self._records[key].state = ClaimState.UNKNOWN",
        "        del self._records[key]",
        "once",
    ),
    Mutation(
        "a claim of another VM is heeded",
        "policy/at_most_once.py",
        "            if claim.owner == me:\n                return Start()",
        "            if True:\n                return Start()",
        "once",
    ),
    Mutation(
        "only a refusal before the first byte frees the key",
        "once/attempt.py",
        "if exc.ran is Ran.NO and not self.stored_parts:",
        "if True:",
        "once",
    ),
    Mutation(
        "a claim is compared with what was read",
        "once/claims.py",
        "            return await self._connected_platform()"
        ".txn((Compare(store_key, revision),), (put,))",
        "            return await self._connected_platform().txn((), (put,))",
        "once",
    ),
    Mutation(
        "a claim's lost answer is read back",
        "once/claims.py",
        "            if exc.kind is ErrorKind.PLATFORM_UNKNOWN:\n                return None\n",
        "",
        "once",
    ),
    Mutation(
        "a refused claim is not run",
        "once/claims.py",
        "        if isinstance(decision, Refused):\n",
        "        if False:\n",
        "once",
    ),
    Mutation(
        "the outcome of a claim is written",
        "once/service.py",
        "ClaimState.FINISHED if outcome is AttemptOutcome.FINISHED else ClaimState.UNKNOWN",
        "ClaimState.RUNNING",
        "once",
    ),
    Mutation(
        "no key of a caller reaches the platform",
        "once/claims.py",
        "return CLAIM_PREFIX + "
        'hashlib.sha256(f"{len(account)}:{account}{key}".encode()).hexdigest()',
        "return CLAIM_PREFIX + account + key",
        "once",
    ),
    Mutation(
        "residency is checked before a call is forwarded",
        "once/service.py",
        "            raise GatewayError(ErrorKind.RESIDENCY)",
        "            return",
        "once",
    ),
    Mutation(
        "one hop",
        "once/service.py",
        "        if call.hops:\n            raise GatewayError(ErrorKind.HOP_LIMIT)",
        "        if False:\n            raise GatewayError(ErrorKind.HOP_LIMIT)",
        "once",
    ),
    Mutation(
        "a booking goes on when its caller is gone",
        "once/attempt.py",
        "if self._caller_gone and self.call.idempotent:",
        "if self._caller_gone:",
        "once",
    ),
    Mutation(
        "a call that may be repeated does not",
        "once/attempt.py",
        "if self._caller_gone and self.call.idempotent:",
        "if False:",
        "once",
    ),
    Mutation(
        "no start on a claim that may have lapsed",
        "once/service.py",
        "            if self._clock.now() - claim_started_ms > MAX_CLAIM_TO_CALL_MS:",
        "            if False:",
        "once",
    ),
    # change tickets
    Mutation(
        "an earlier number does not overwrite a later one",
        "tickets/apply.py",
        "    if later:\n        return Stale(later)",
        "    if False:\n        return Stale(later)",
        "tickets",
    ),
    Mutation(
        "a number keeps its content",
        "tickets/apply.py",
        "return Accepted(known.position) if same else Conflict(known.position)",
        "return Accepted(known.position)",
        "tickets",
    ),
    Mutation(
        "a ticket with faults is refused",
        "tickets/apply.py",
        "    return Faulty(faults) if faults else Fresh()",
        "    return Fresh()",
        "tickets",
    ),
    # forwarding
    Mutation(
        "the receiver sets the hop",
        "peers/admission.py",
        "    return replace(call, hops=1)",
        "    return call",
        "peers",
    ),
    Mutation(
        "residency is checked again where it runs",
        "peers/admission.py",
        "    if region not in allowed:",
        "    if False:",
        "peers",
    ),
    Mutation(
        "a withdrawn key is refused where it runs",
        "peers/admission.py",
        "    if state.is_revoked(call.key_digest):",
        "    if False:",
        "peers",
    ),
    Mutation(
        "a new process is not the old one",
        "peers/admission.py",
        "    if to.incarnation and to != own_id:",
        "    if False:",
        "peers",
    ),
    # callers
    Mutation(
        "residency is decided on the headers",
        "front/context.py",
        "        if self.cfg.vm.region not in identity.allowed_regions:",
        "        if False:",
        "front/outcomes.feature",
    ),
    Mutation(
        "a second misdirect is final",
        "front/context.py",
        "        if req.header(REDIRECTED_HEADER):",
        "        if False:",
        "front/outcomes.feature",
    ),
    Mutation(
        "a VM that learns nothing stops after its bound",
        "front/context.py",
        "        if stale_after_ms and self.config.age_ms() > stale_after_ms:",
        "        if False:",
        "front/outcomes.feature",
    ),
    Mutation(
        "a leaving VM takes no new work",
        "front/context.py",
        "        if self.draining:",
        "        if False:",
        "front",
    ),
    # backend servers
    Mutation(
        "no credential reaches a backend server",
        "backends/headers.py",
        "NOT_FORWARDED = HOP_BY_HOP | CREDENTIALS | GATEWAY_HEADERS",
        "NOT_FORWARDED = HOP_BY_HOP | GATEWAY_HEADERS",
        "backends",
    ),
    Mutation(
        "hop-by-hop headers stay on their hop",
        "backends/headers.py",
        "NOT_FORWARDED = HOP_BY_HOP | CREDENTIALS",
        "NOT_FORWARDED = CREDENTIALS",
        "backends",
    ),
    # dispatch
    Mutation(
        "a booking that runs outlives its key",
        "dispatch/running.py",
        "            if running.sent and not running.call.idempotent:",
        "            if False:",
        "dispatch",
    ),
    Mutation(
        "an answer that began is not started again",
        "dispatch/attempts.py",
        "        if self._running.response_started:\n            return RetryDenied.ANSWER_BEGUN",
        "        if False:\n            return RetryDenied.ANSWER_BEGUN",
        "dispatch",
    ),
    Mutation(
        "an engine is told the deadline that is left",
        "dispatch/attempts.py",
        "            call = replace(running.call, deadline_ms=self._remaining_ms())\n"
        "            parts",
        "            call = running.call\n            parts",
        "dispatch/load.feature",
    ),
    Mutation(
        "what is known after a rest is caught up",
        "dispatch/service.py",
        "        self._scheduler_task.refresh_if_stale()\n",
        "",
        "dispatch/load.feature",
    ),
    # orders
    Mutation(
        "no order past the holder's own deadline",
        "control/lease_term.py",
        "        return self.send_from_ms <= now < self.send_until_ms",
        "        return self.send_from_ms <= now",
        "control",
    ),
    Mutation(
        "a new holder waits for the old one's last order",
        "control/lease_term.py",
        "        return self.send_from_ms <= now < self.send_until_ms",
        "        return now < self.send_until_ms",
        "control",
    ),
)


def copy_tree(target: Path) -> None:
    """Copy what the tests need."""
    for name in COPIED:
        source = ROOT / name
        if source.is_dir():
            ignore = shutil.ignore_patterns("__pycache__", "*.egg-info")
            shutil.copytree(source, target / name, ignore=ignore)
        else:
            shutil.copy(source, target / name)


def run_one(mutation: Mutation) -> str:
    """Return ``killed``, ``SURVIVED``, ``DOES NOT APPLY`` or what else went wrong."""
    with tempfile.TemporaryDirectory() as scratch:
        root = Path(scratch)
        copy_tree(root)
        path = root / SOURCE / mutation.path
        text = path.read_text()
        if text.count(mutation.old) != 1:
            return "DOES NOT APPLY"
        path.write_text(text.replace(mutation.old, mutation.new))
        cmd = [sys.executable, "-m", "behave", "--stop", "--format=progress3"]
        cmd.append(f"tests/{mutation.tests}")
        env = {**os.environ, "PYTHONPATH": f"{root / 'src'}{os.pathsep}{root}"}
        try:
            done = subprocess.run(
                cmd, cwd=root, env=env, capture_output=True, text=True, timeout=TIMEOUT_S
            )
        except subprocess.TimeoutExpired:
            return "killed (hangs)"
    if SUMMARY.search(done.stdout) is None:
        return f"NOT RUN: {(done.stdout + done.stderr).strip().splitlines()[-1:]}"
    return "killed" if done.returncode else "SURVIVED"


def main(wanted: list[str]) -> int:
    """Run the mutations asked for and print the table."""
    chosen = [
        one
        for one in MUTATIONS
        if not wanted or any(part in f"{one.path} {one.safeguard}" for part in wanted)
    ]
    with ThreadPoolExecutor(WORKERS) as pool:
        verdicts = list(pool.map(run_one, chosen))
    print("| safeguard | file | tests | verdict |")
    print("| --- | --- | --- | --- |")
    for one, verdict in zip(chosen, verdicts, strict=True):
        print(f"| {one.safeguard} | {one.path} | {one.tests} | {verdict} |")
    bad = [verdict for verdict in verdicts if not verdict.startswith("killed")]
    print(f"{len(chosen)} mutations, {len(bad)} not killed")
    return 1 if bad or not chosen else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
