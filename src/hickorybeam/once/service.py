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
from hickorybeam.once.attempt import LARGEST_KEPT, Attempt, Ending
from hickorybeam.once.claims import KEEP_MS, Claims
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

# An issued key is good for ten minutes: a caller draws it right before it needs it, and every
# used one is remembered for as long.
ISSUED_FOR_MS: Final = 600_000
MOST_ISSUED: Final = 1_000

# About 300 bytes each: 30 MB at most. At 100 bookings a second a VM holds 60 000.
MOST_KEYS: Final = 100_000
MOST_ANSWER_BYTES: Final = 32_000_000

# Longer than a claim's lease can last, so that this VM never forgets a claim of its own that
# still stands in the platform.
CHOSEN_FOR_MS: Final = 2 * KEEP_MS + 60_000

# A VM paused between its claim and its call must not run the call when the claim may have
# lapsed; this is far below the claim's time and above any platform timeout.
LATEST_START_MS: Final = 60_000

LONGEST_CHOSEN: Final = 256
SWEEP_MS: Final = 10_000
DRAIN_POLL_MS: Final = 50
RETRY_RUNNING_MS: Final = 1_000


@dataclass(frozen=True, slots=True)
class _Held:
    """The key that an attempt holds; ``revision`` is its claim's, 0 for an issued key."""

    name: str
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
        self._table = IdempotencyKeyTable(limit=MOST_KEYS, answer_bytes=MOST_ANSWER_BYTES)
        self._jobs: Mailbox[tuple[Attempt, _Held]] = Mailbox()
        self._running = 0
        self._members: ports.Members | None = None
        self._peers: ports.Peers | None = None
        self._config: ports.ConfigView | None = None
        self._issuer: KeyIssuer | None = None
        self._claims: Claims | None = None
        self._platform: Platform | None = None
        self._outcomes = counters.counter(
            "idempotency_outcomes", "Calls with an idempotency key", ("key", "outcome")
        )
        self._kept = counters.gauge("idempotency_keys", "Idempotency keys remembered")

    def bind(self, kernel: Kernel) -> None:
        """Look up neighbours."""
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
        """Run attempts in tasks of their own until cancelled."""
        started()
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._sweep)
            async for attempt, held in self._jobs:
                tg.start_soon(self._execute, attempt, held)

    async def drain(self) -> None:
        """Let the attempts that run come to their end."""
        while self._running:
            await self._clock.sleep(DRAIN_POLL_MS)

    def status(self) -> dict[str, object]:
        """Tell operators how many keys are remembered and running."""
        return {"keys": len(self._table), "running": self._running}

    def issue(self, account: str, count: int) -> tuple[str, ...]:
        """Issue idempotency keys bound to this VM's incarnation and to an account."""
        if not 1 <= count <= MOST_ISSUED:
            raise GatewayError(ErrorKind.BAD_REQUEST, f"count must be 1 to {MOST_ISSUED}")
        expires = self._clock.now() + ISSUED_FOR_MS
        return tuple(self._issue().issue(account, expires) for _ in range(count))

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
        if key.vm != self._me():
            return self._forward(call, key)
        self._issue().check(key, call.account)
        content = fingerprint(call)
        decision = self._begin(call, content, expires_ms=key.expires_ms)
        if isinstance(decision, Replay):
            return _again(decision)
        return self._start(call, _Held(_name(call), "", content))

    async def _run_chosen(self, call: Call) -> AsyncIterator[ResponsePart]:
        if call.hops or len(call.idempotency_key) > LONGEST_CHOSEN:
            raise GatewayError(ErrorKind.IDEMPOTENCY_INVALID)
        content = fingerprint(call)
        decision = self._begin(call, content, expires_ms=self._clock.now() + CHOSEN_FOR_MS)
        if isinstance(decision, Replay):
            return _again(decision)
        sent = self._clock.now()
        attempt = secrets.token_hex(12)
        name = _name(call)
        try:
            revision = await self._claim().claim(
                call.account, call.idempotency_key, content, attempt
            )
            if self._clock.now() - sent > LATEST_START_MS:
                raise GatewayError(ErrorKind.DEADLINE, "the claim took too long", ran=Ran.NO)
        except BaseException:
            # Nothing was handed on: the key is free here, whatever the platform holds.
            self._table.release(name)
            raise
        return self._start(call, _Held(name, attempt, content, revision))

    def _begin(self, call: Call, content: str, *, expires_ms: int) -> Replay | None:
        decision = self._table.begin(_name(call), content, self._clock.now(), expires_ms=expires_ms)
        match decision:
            case Refused(kind=kind, detail=detail):
                running = kind is ErrorKind.IDEMPOTENCY_RUNNING
                raise GatewayError(
                    kind, detail, retry_after_ms=RETRY_RUNNING_MS if running else None
                )
            case Replay():
                return decision
        return None

    def _start(self, call: Call, held: _Held) -> AsyncIterator[ResponsePart]:
        attempt = Attempt(call)
        self._running += 1
        self._jobs.post((attempt, held))
        return attempt.parts()

    async def _execute(self, attempt: Attempt, held: _Held) -> None:
        try:
            await attempt.execute(self._dispatch)
        except Exception as exc:
            logging.exception("an attempt with an idempotency key failed: %s", exc)
        finally:
            ending = attempt.ending
            self._note(attempt, held, ending)
            self._running -= 1
        if held.revision:
            await self._settle(attempt, held, ending)

    def _note(self, attempt: Attempt, held: _Held, ending: Ending) -> None:
        match ending:
            case Ending.FINISHED:
                parts = tuple(attempt.kept) if attempt.size <= LARGEST_KEPT else None
                self._table.finish(held.name, attempt.status, parts, attempt.size)
            case Ending.NOT_RUN:
                self._table.release(held.name)
            case Ending.UNKNOWN:
                self._table.mark_unknown(held.name)

    async def _settle(self, attempt: Attempt, held: _Held, ending: Ending) -> None:
        """Tell the platform; unheard, the claim stands as running, and nobody runs it again."""
        call = attempt.call
        claims = self._claim()
        try:
            if ending is Ending.NOT_RUN:
                await claims.release(call.account, call.idempotency_key, held.revision)
                return
            state = ClaimState.FINISHED if ending is Ending.FINISHED else ClaimState.UNKNOWN
            claim = Claim(
                owner=self._me(),
                attempt=held.attempt,
                content=held.content,
                state=state,
                status=attempt.status,
            )
            await claims.settle(call.account, call.idempotency_key, claim, held.revision)
        except GatewayError as exc:
            logging.warning("the outcome of a claim was not written: %s", exc)

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
        """Refuse before the body leaves for a region where it may not be processed."""
        if self._config is None:
            return
        state = self._config.current()
        account = state.accounts.get(call.account)
        allowed = state.allowed_regions(account) if account else None
        if allowed is None or issuer.region not in allowed:
            raise GatewayError(ErrorKind.RESIDENCY)

    async def _sweep(self) -> None:
        while True:
            await self._clock.sleep(SWEEP_MS)
            self._table.expire(self._clock.now())
            self._kept.set(len(self._table))

    def _issue(self) -> KeyIssuer:
        if self._issuer is None:
            self._issuer = KeyIssuer(self._me())
        return self._issuer

    def _claim(self) -> Claims:
        if self._claims is None:
            self._claims = Claims(clock=self._clock, me=self._me(), alive=self._is_alive)
            self._claims.connect(self._platform)
        return self._claims

    def _is_alive(self, vm: VmId) -> bool:
        return self._members is not None and self._members.find(vm) is not None

    def _me(self) -> VmId:
        if self._members is not None:
            return self._members.own_vm.id
        if self._issuer is None:
            self._issuer = KeyIssuer(VmId(self._cfg.vm.name, secrets.token_hex(8)))
        return self._issuer.vm


def _name(call: Call) -> str:
    """Return the key's name in the table; the same key of another account is another key."""
    return f"{len(call.account)}:{call.account}{call.idempotency_key}"


async def _again(replay: Replay) -> AsyncIterator[ResponsePart]:
    for part in replay.parts:
        yield part
