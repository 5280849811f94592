"""Mutations of requests with an idempotency key run at most once."""

from __future__ import annotations

from tools.mutation_tables.mutation import Mutation

__all__ = ("MUTATIONS",)

MUTATIONS: tuple[Mutation, ...] = (
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
)
