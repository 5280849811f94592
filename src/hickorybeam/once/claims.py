"""Caller-chosen keys, claimed in the platform before the call runs."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Final

import msgspec

from hickorybeam.errors import ErrorKind, GatewayError, Ran
from hickorybeam.policy.at_most_once import Claim, Refused, decide_claim
from hickorybeam.policy.token_bucket import TokenBucket
from hickorybeam.store.port import Compare, Delete, KeyValue, Put

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorybeam.clock import Clock
    from hickorybeam.model import VmId
    from hickorybeam.store.port import Platform, TxnResult, Write

__all__ = ("KEEP_MS", "Claims")

PREFIX: Final = "once/"

# A claim stays for at least this long and at most twice as long. It must outlast every retry
# of a caller and any call's deadline; an hour costs the platform about 200 bytes a call.
KEEP_MS: Final = 3_600_000

# Claims of one VM share a lease, so that a claim costs one write, and its outcome another.
# With this many claims a second from each VM, nine VMs stay under a tenth of what the
# platform takes; more are refused as not run.
CLAIMS_PER_S: Final = 10.0
CLAIM_BURST: Final = 40.0

WRITE_TRIES: Final = 3
OUT_HINT: Final = "use a key from POST /v1/idempotency-keys, which needs no platform"


class Claims:
    """Claims keys and writes their outcomes.

    :param alive: whether a VM is believed alive.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        me: VmId,
        alive: Callable[[VmId], bool],
    ) -> None:
        self._clock = clock
        self._me = me
        self._alive = alive
        self._platform: Platform | None = None
        self._lease = 0
        self._leased_ms = 0
        self._bucket = TokenBucket(capacity=CLAIM_BURST, rate=CLAIMS_PER_S, now_ms=clock.now())
        self._bucket.fill(CLAIM_BURST, clock.now())
        self._admissions = 0

    def connect(self, platform: Platform | None) -> None:
        """Use this platform."""
        self._platform = platform

    async def claim(self, account: str, key: str, content: str, attempt: str) -> int:
        """Claim a key for one attempt.

        :return: the revision of the claim, for :meth:`settle`.
        :raise GatewayError: the call must not run; ``ran`` is about earlier attempts as well.
        """
        self._check_rate()
        name = claim_key(account, key)
        claim = Claim(owner=self._me, attempt=attempt, content=content)
        revision = 0
        for _ in range(WRITE_TRIES):
            # A claim whose answer was lost is settled by reading it back: run on a guess,
            # the call could run here and, once more, at the VM that holds the key.
            written = await self._try_write(name, claim, revision)
            if written is not None and written.done:
                return written.revision
            found = await self._read(name)
            if found is None:
                revision = 0
                continue
            held = msgspec.msgpack.decode(found.value, type=Claim)
            if (held.owner, held.attempt) == (self._me, attempt):
                return found.mod_revision
            self._judge(held, attempt, content)
            revision = found.mod_revision
        raise GatewayError(ErrorKind.PLATFORM_UNKNOWN, "the key could not be claimed", ran=Ran.NO)

    async def settle(self, account: str, key: str, claim: Claim, revision: int) -> None:
        """Write how an attempt ended."""
        put = Put(claim_key(account, key), msgspec.msgpack.encode(claim), await self._lease_id())
        await self._write_at(claim_key(account, key), revision, put)

    async def release(self, account: str, key: str, revision: int) -> None:
        """Free the key of an attempt that surely did not run."""
        name = claim_key(account, key)
        await self._write_at(name, revision, Delete(name))

    def _judge(self, held: Claim, attempt: str, content: str) -> None:
        verdict = decide_claim(
            held,
            me=self._me,
            attempt=attempt,
            content=content,
            owner_alive=self._alive(held.owner),
        )
        if isinstance(verdict, Refused):
            raise GatewayError(verdict.kind, verdict.detail)

    async def _try_write(self, name: str, claim: Claim, revision: int) -> TxnResult | None:
        try:
            put = Put(name, msgspec.msgpack.encode(claim), await self._lease_id())
            return await self._port().txn((Compare(name, revision),), (put,))
        except GatewayError as exc:
            if exc.kind is ErrorKind.PLATFORM_UNKNOWN:
                return None
            raise _not_run(exc) from exc

    async def _read(self, name: str) -> KeyValue | None:
        try:
            found = await self._port().read(name)
        except GatewayError as exc:
            raise _not_run(exc) from exc
        return found.items[0] if found.items else None

    async def _write_at(self, name: str, revision: int, write: Write) -> None:
        for last in (False, False, True):
            try:
                await self._port().txn((Compare(name, revision),), (write,))
            except GatewayError:
                if last:
                    raise
                await self._clock.sleep(1_000)
            else:
                return

    async def _lease_id(self) -> int:
        now = self._clock.now()
        if not self._lease or now - self._leased_ms >= KEEP_MS:
            self._lease = await self._port().grant(2 * KEEP_MS)
            self._leased_ms = now
        return self._lease

    def _check_rate(self) -> None:
        now = self._clock.now()
        self._admissions += 1
        if not self._bucket.take(1.0, now, self._admissions):
            wait = self._bucket.wait_ms(1.0, now)
            raise GatewayError(ErrorKind.OVERLOADED, OUT_HINT, retry_after_ms=wait)

    def _port(self) -> Platform:
        if self._platform is None:
            raise GatewayError(ErrorKind.PLATFORM_OUT, OUT_HINT)
        return self._platform


def claim_key(account: str, key: str) -> str:
    """Return the platform's key: a digest, since a caller's key may tell about its content."""
    return PREFIX + hashlib.sha256(f"{len(account)}:{account}{key}".encode()).hexdigest()


def _not_run(exc: GatewayError) -> GatewayError:
    """Refuse before anything ran, and point to the keys that need no platform."""
    return GatewayError(exc.kind, OUT_HINT, ran=Ran.NO, retry_after_ms=1_000)
