"""The service ``once``: idempotency keys, issued by this VM or chosen by callers."""

from __future__ import annotations

import secrets
from contextlib import aclosing
from dataclasses import dataclass
from typing import TYPE_CHECKING, ClassVar, Final, cast

import anyio
from absl import logging

from hickorybeam import ports
from hickorybeam.errors import ErrorKind, GatewayError, Ran
from hickorybeam.kernel import Mailbox, Service
from hickorybeam.model import VmId
from hickorybeam.once.attempt import MAX_STORED_RESPONSE_BYTES, Attempt, AttemptOutcome
from hickorybeam.once.claims import MIN_CLAIM_MS, ClaimStore
from hickorybeam.once.keys import IssuedKey, KeyIssuer, is_issued, parse_key
from hickorybeam.policy.at_most_once import (
    Claim,
    ClaimState,
    IdempotencyKeyTable,
    Refused,
    Replay,
    fingerprint,
)
from hickorybeam.store.port import Platform

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, AsyncIterator

    from hickorybeam.clock import Clock
    from hickorybeam.kernel import Kernel, Started
    from hickorybeam.model import Call, EntryVm, ResponsePart
    from hickorybeam.settings import Settings
    from hickorybeam.telemetry import Counters

__all__ = ("IdempotencyService",)

# Callers request keys right before use, so a short lifetime is enough; every used key is stored
# for this long.
ISSUED_KEY_LIFETIME_MS: Final = 600_000
MAX_ISSUED_KEYS: Final = 1_000

# About 300 bytes each, so 30 MB at most. At 100 bookings a second a VM stores 60 000 keys.
MAX_KEYS: Final = 100_000
MAX_TOTAL_STORED_BYTES: Final = 32_000_000

# Longer than a claim's lease can last, so that this VM never forgets a claim of its own that
# still exists at the platform.
CHOSEN_KEY_LIFETIME_MS: Final = 2 * MIN_CLAIM_MS + 60_000

# A VM that was paused between its claim and its call must not run the call if the claim may have
# expired. This is far below a claim's lifetime and above any platform timeout.
MAX_CLAIM_TO_CALL_MS: Final = 60_000

MAX_CHOSEN_KEY_LENGTH: Final = 256
EXPIRY_INTERVAL_MS: Final = 10_000
DRAIN_POLL_MS: Final = 50
RUNNING_RETRY_AFTER_MS: Final = 1_000


@dataclass(frozen=True, slots=True)
class _ReservedKey:
    """The key reserved by an attempt; ``revision`` is that of its claim, 0 for an issued key."""

    table_key: str
    attempt: str
    content: str
    revision: int = 0


class IdempotencyService(Service):
    """Runs calls with an idempotency key, each key at most once."""

    name: ClassVar[str] = ports.ONCE
    needs: ClassVar[tuple[str, ...]] = (ports.DISPATCH,)

    def __init__(self, *, cfg: Settings, clock: Clock, counters: Counters) -> None:
        self._cfg = cfg
        self._clock = clock
        self._counters = counters
        self._table = IdempotencyKeyTable(limit=MAX_KEYS, answer_bytes=MAX_TOTAL_STORED_BYTES)
        self._attempts: Mailbox[tuple[Attempt, _ReservedKey]] = Mailbox()
        self._running_attempts = 0
        self._members: ports.Members | None = None
        self._peers: ports.Peers | None = None
        self._config: ports.ConfigView | None = None
        self._issuer: KeyIssuer | None = None
        self._created_claim_store: ClaimStore | None = None
        self._platform: Platform | None = None
        self._outcomes = counters.counter(
            "idempotency_outcomes", "Calls with an idempotency key", ("key", "outcome")
        )
        self._keys_gauge = counters.gauge("idempotency_keys", "Idempotency keys remembered")

    def bind(self, kernel: Kernel) -> None:
        """Look up the services in use."""
        self._dispatch = kernel.find(ports.DISPATCH, ports.Dispatch)  # type: ignore[type-abstract]
        if kernel.has(ports.PLATFORM):
            self._platform = kernel.find(ports.PLATFORM, Platform)  # type: ignore[type-abstract]
        if kernel.has(ports.MEMBERS):
            self._members = kernel.find(ports.MEMBERS, ports.Members)  # type: ignore[type-abstract]
        if kernel.has(ports.PEERS):
            self._peers = kernel.find(ports.PEERS, ports.Peers)  # type: ignore[type-abstract]
        if kernel.has(ports.CONFIG):
            self._config = kernel.find(ports.CONFIG, ports.ConfigView)  # type: ignore[type-abstract]

    async def main(self, started: Started) -> None:
        """Run each attempt in its own task until cancelled."""
        started()
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._expire_keys)
            async for attempt, reserved in self._attempts:
                tg.start_soon(self._execute, attempt, reserved)

    async def drain(self) -> None:
        """Wait for the running attempts to end."""
        while self._running_attempts:
            await self._clock.sleep(DRAIN_POLL_MS)

    def status(self) -> dict[str, object]:
        """Return, for operators, the number of stored keys and of running attempts."""
        return {"keys": len(self._table), "running": self._running_attempts}

    def issue(self, account: str, count: int) -> tuple[str, ...]:
        """Issue idempotency keys bound to this VM's incarnation and to an account."""
        if not 1 <= count <= MAX_ISSUED_KEYS:
            raise GatewayError(ErrorKind.BAD_REQUEST, f"count must be 1 to {MAX_ISSUED_KEYS}")
        expires = self._clock.now() + ISSUED_KEY_LIFETIME_MS
        return tuple(self._key_issuer().issue(account, expires) for _ in range(count))

    async def run(self, call: Call) -> AsyncIterator[ResponsePart]:
        """Run a call that carries an idempotency key, here or at its issuer, at most once."""
        kind = "issued" if is_issued(call.idempotency_key) else "chosen"
        try:
            if kind == "chosen":
                parts = await self._run_chosen(call)
            else:
                parts = self._run_issued(call, parse_key(call.idempotency_key))
            async with aclosing(cast("AsyncGenerator[ResponsePart, None]", parts)) as open_parts:
                async for part in open_parts:
                    yield part
        except GatewayError as exc:
            self._outcomes.labels(kind, exc.kind.value).inc()
            raise
        self._outcomes.labels(kind, "answered").inc()

    def _run_issued(self, call: Call, key: IssuedKey) -> AsyncIterator[ResponsePart]:
        if key.vm != self._own_vm_id():
            return self._forward(call, key)
        self._key_issuer().verify(key, call.account)
        content = fingerprint(call)
        decision = self._reserve(call, content, expires_ms=key.expires_ms)
        if isinstance(decision, Replay):
            return _replay(decision)
        return self._start_attempt(call, _ReservedKey(_table_key(call), "", content))

    async def _run_chosen(self, call: Call) -> AsyncIterator[ResponsePart]:
        if call.hops or len(call.idempotency_key) > MAX_CHOSEN_KEY_LENGTH:
            raise GatewayError(ErrorKind.IDEMPOTENCY_INVALID)
        content = fingerprint(call)
        decision = self._reserve(
            call, content, expires_ms=self._clock.now() + CHOSEN_KEY_LIFETIME_MS
        )
        if isinstance(decision, Replay):
            return _replay(decision)
        claim_started_ms = self._clock.now()
        attempt = secrets.token_hex(12)
        table_key = _table_key(call)
        try:
            revision = await self._claim_store().claim(
                call.account, call.idempotency_key, content, attempt
            )
            if self._clock.now() - claim_started_ms > MAX_CLAIM_TO_CALL_MS:
                raise GatewayError(ErrorKind.DEADLINE, "the claim took too long", ran=Ran.NO)
        except BaseException:
            # No attempt was started: the key is free at this VM, whatever the platform stores.
            self._table.release(table_key)
            raise
        return self._start_attempt(call, _ReservedKey(table_key, attempt, content, revision))

    def _reserve(self, call: Call, content: str, *, expires_ms: int) -> Replay | None:
        decision = self._table.begin(
            _table_key(call), content, self._clock.now(), expires_ms=expires_ms
        )
        match decision:
            case Refused(kind=kind, detail=detail):
                running = kind is ErrorKind.IDEMPOTENCY_RUNNING
                raise GatewayError(
                    kind, detail, retry_after_ms=RUNNING_RETRY_AFTER_MS if running else None
                )
            case Replay():
                return decision
        return None

    def _start_attempt(self, call: Call, reserved: _ReservedKey) -> AsyncIterator[ResponsePart]:
        attempt = Attempt(call)
        self._running_attempts += 1
        self._attempts.post((attempt, reserved))
        return attempt.parts()

    async def _execute(self, attempt: Attempt, reserved: _ReservedKey) -> None:
        try:
            await attempt.execute(self._dispatch)
        except Exception as exc:
            logging.exception("attempt with an idempotency key failed: %s", exc)
        finally:
            outcome = attempt.outcome
            self._record_outcome(attempt, reserved, outcome)
            self._running_attempts -= 1
        if reserved.revision:
            await self._write_outcome(attempt, reserved, outcome)

    def _record_outcome(
        self, attempt: Attempt, reserved: _ReservedKey, outcome: AttemptOutcome
    ) -> None:
        match outcome:
            case AttemptOutcome.FINISHED:
                parts = (
                    tuple(attempt.stored_parts)
                    if attempt.response_bytes <= MAX_STORED_RESPONSE_BYTES
                    else None
                )
                self._table.finish(
                    reserved.table_key, attempt.status, parts, attempt.response_bytes
                )
            case AttemptOutcome.NOT_RUN:
                self._table.release(reserved.table_key)
            case AttemptOutcome.UNKNOWN:
                self._table.mark_unknown(reserved.table_key)

    async def _write_outcome(
        self, attempt: Attempt, reserved: _ReservedKey, outcome: AttemptOutcome
    ) -> None:
        """Write the outcome to the platform; if that fails, the claim stays running, not free."""
        call = attempt.call
        claim_store = self._claim_store()
        try:
            if outcome is AttemptOutcome.NOT_RUN:
                await claim_store.release(call.account, call.idempotency_key, reserved.revision)
                return
            state = (
                ClaimState.FINISHED if outcome is AttemptOutcome.FINISHED else ClaimState.UNKNOWN
            )
            claim = Claim(
                owner=self._own_vm_id(),
                attempt=reserved.attempt,
                content=reserved.content,
                state=state,
                status=attempt.status,
            )
            await claim_store.write_outcome(
                call.account, call.idempotency_key, claim, reserved.revision
            )
        except GatewayError as exc:
            logging.warning("cannot write the outcome of a claim to the platform: %s", exc)

    async def _forward(self, call: Call, key: IssuedKey) -> AsyncIterator[ResponsePart]:
        if call.hops:
            raise GatewayError(ErrorKind.HOP_LIMIT)
        issuer = self._members.find(key.vm) if self._members else None
        if issuer is None or self._peers is None:
            raise GatewayError(ErrorKind.IDEMPOTENCY_LOST)
        self._check_region(call, issuer)
        forwarded = cast("AsyncGenerator[ResponsePart, None]", self._peers.forward(call, issuer))
        async with aclosing(forwarded) as parts:
            async for part in parts:
                yield part

    def _check_region(self, call: Call, issuer: EntryVm) -> None:
        """Refuse a call before its body is sent to a region where it may not be processed."""
        if self._config is None:
            return
        state = self._config.current()
        account = state.accounts.get(call.account)
        allowed = state.allowed_regions(account) if account else None
        if allowed is None or issuer.region not in allowed:
            raise GatewayError(ErrorKind.RESIDENCY)

    async def _expire_keys(self) -> None:
        while True:
            await self._clock.sleep(EXPIRY_INTERVAL_MS)
            self._table.expire(self._clock.now())
            self._keys_gauge.set(len(self._table))

    def _key_issuer(self) -> KeyIssuer:
        if self._issuer is None:
            self._issuer = KeyIssuer(self._own_vm_id())
        return self._issuer

    def _claim_store(self) -> ClaimStore:
        if self._created_claim_store is None:
            self._created_claim_store = ClaimStore(
                clock=self._clock, own_vm_id=self._own_vm_id(), is_live=self._is_live
            )
            self._created_claim_store.connect(self._platform)
        return self._created_claim_store

    def _is_live(self, vm: VmId) -> bool:
        return self._members is not None and self._members.find(vm) is not None

    def _own_vm_id(self) -> VmId:
        if self._members is not None:
            return self._members.own_vm.id
        if self._issuer is None:
            self._issuer = KeyIssuer(VmId(self._cfg.vm.name, secrets.token_hex(8)))
        return self._issuer.vm


def _table_key(call: Call) -> str:
    """Return the key in the table, which includes the account: keys are per account."""
    return f"{len(call.account)}:{call.account}{call.idempotency_key}"


async def _replay(replay: Replay) -> AsyncIterator[ResponsePart]:
    for part in replay.parts:
        yield part
