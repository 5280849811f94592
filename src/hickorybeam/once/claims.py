"""Caller-chosen keys, claimed at the platform before the call runs."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Final

import msgspec

from hickorybeam.errors import ErrorKind, GatewayError, Ran
from hickorybeam.policy.at_most_once import Claim, Refused, decide_claim
from hickorybeam.policy.token_bucket import TokenBucket
from hickorybeam.store.port import Compare, Delete, KeyValue, Put
from hickorybeam.store.values import msgpack_value

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorybeam.clock import Clock
    from hickorybeam.model import VmId
    from hickorybeam.store.port import Platform, TxnResult, Write

__all__ = ("MIN_CLAIM_MS", "ClaimStore")

CLAIM_PREFIX: Final = "once/"

# A claim is stored for at least this long and at most twice as long. It must outlive all retries
# of a caller and any call's deadline; an hour costs the platform about 200 bytes per call.
MIN_CLAIM_MS: Final = 3_600_000

# A claim costs the platform one write and its outcome another, as a VM's claims share a lease.
# At this rate, nine VMs use less than a tenth of the platform's capacity; further calls are
# refused as not run.
MAX_CLAIMS_PER_S: Final = 10.0
MAX_CLAIM_BURST: Final = 40.0

MAX_CLAIM_ATTEMPTS: Final = 3
UNAVAILABLE_HINT: Final = "use a key from POST /v1/idempotency-keys, which needs no platform"


class ClaimStore:
    """Claims keys at the platform and writes the outcomes of their calls.

    :param is_live: whether membership considers a VM live.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        own_vm_id: VmId,
        is_live: Callable[[VmId], bool],
    ) -> None:
        self._clock = clock
        self._own_vm_id = own_vm_id
        self._is_live = is_live
        self._platform: Platform | None = None
        self._current_lease_id = 0
        self._lease_granted_ms = 0
        self._bucket = TokenBucket(
            capacity=MAX_CLAIM_BURST, rate=MAX_CLAIMS_PER_S, now_ms=clock.now()
        )
        self._bucket.fill(MAX_CLAIM_BURST, clock.now())
        self._claim_count = 0

    def connect(self, platform: Platform | None) -> None:
        """Set the platform; without one, every claim is refused."""
        self._platform = platform

    async def claim(self, account: str, key: str, content: str, attempt: str) -> int:
        """Claim a key for one attempt.

        :return: the revision of the claim, for :meth:`write_outcome`.
        :raise GatewayError: the call must not run; ``ran`` covers earlier attempts as well.
        """
        self._check_rate()
        store_key = claim_store_key(account, key)
        claim = Claim(owner=self._own_vm_id, attempt=attempt, content=content)
        revision = 0
        for _ in range(MAX_CLAIM_ATTEMPTS):
            # A claim whose response was lost is read back. Without that, the call could run here
            # and again at the VM that holds the key.
            result = await self._try_write(store_key, claim, revision)
            if result is not None and result.done:
                return result.revision
            found = await self._read(store_key)
            if found is None:
                revision = 0
                continue
            existing = msgpack_value(found, Claim)
            if (existing.owner, existing.attempt) == (self._own_vm_id, attempt):
                return found.mod_revision
            self._check_claim(existing, attempt, content)
            revision = found.mod_revision
        raise GatewayError(ErrorKind.PLATFORM_UNKNOWN, "the key could not be claimed", ran=Ran.NO)

    async def write_outcome(self, account: str, key: str, claim: Claim, revision: int) -> None:
        """Write the outcome of an attempt."""
        put = Put(
            claim_store_key(account, key), msgspec.msgpack.encode(claim), await self._lease_id()
        )
        await self._write_at_revision(claim_store_key(account, key), revision, put)

    async def release(self, account: str, key: str, revision: int) -> None:
        """Release the key of an attempt that surely did not run."""
        store_key = claim_store_key(account, key)
        await self._write_at_revision(store_key, revision, Delete(store_key))

    def _check_claim(self, existing: Claim, attempt: str, content: str) -> None:
        decision = decide_claim(
            existing,
            me=self._own_vm_id,
            attempt=attempt,
            content=content,
            owner_alive=self._is_live(existing.owner),
        )
        if isinstance(decision, Refused):
            raise GatewayError(decision.kind, decision.detail)

    async def _try_write(self, store_key: str, claim: Claim, revision: int) -> TxnResult | None:
        try:
            put = Put(store_key, msgspec.msgpack.encode(claim), await self._lease_id())
            return await self._connected_platform().txn((Compare(store_key, revision),), (put,))
        except GatewayError as exc:
            if exc.kind is ErrorKind.PLATFORM_UNKNOWN:
                return None
            raise _refused_as_not_run(exc) from exc

    async def _read(self, store_key: str) -> KeyValue | None:
        try:
            found = await self._connected_platform().read(store_key)
        except GatewayError as exc:
            raise _refused_as_not_run(exc) from exc
        return found.items[0] if found.items else None

    async def _write_at_revision(self, store_key: str, revision: int, write: Write) -> None:
        for is_last in (False, False, True):
            try:
                await self._connected_platform().txn((Compare(store_key, revision),), (write,))
            except GatewayError:
                if is_last:
                    raise
                await self._clock.sleep(1_000)
            else:
                return

    async def _lease_id(self) -> int:
        now = self._clock.now()
        if not self._current_lease_id or now - self._lease_granted_ms >= MIN_CLAIM_MS:
            self._current_lease_id = await self._connected_platform().grant(2 * MIN_CLAIM_MS)
            self._lease_granted_ms = now
        return self._current_lease_id

    def _check_rate(self) -> None:
        now = self._clock.now()
        self._claim_count += 1
        if not self._bucket.take(1.0, now, self._claim_count):
            wait = self._bucket.wait_ms(1.0, now)
            raise GatewayError(ErrorKind.OVERLOADED, UNAVAILABLE_HINT, retry_after_ms=wait)

    def _connected_platform(self) -> Platform:
        if self._platform is None:
            raise GatewayError(ErrorKind.PLATFORM_OUT, UNAVAILABLE_HINT)
        return self._platform


def claim_store_key(account: str, key: str) -> str:
    """Return the platform's key: a digest, since a caller's key may reveal the call's content."""
    return CLAIM_PREFIX + hashlib.sha256(f"{len(account)}:{account}{key}".encode()).hexdigest()


def _refused_as_not_run(exc: GatewayError) -> GatewayError:
    """Return the refusal of a call that did not run, with a hint to keys without platform."""
    return GatewayError(exc.kind, UNAVAILABLE_HINT, ran=Ran.NO, retry_after_ms=1_000)
