"""Run a call that carries an idempotency key at most once.

A caller that got no response sends a booking or a sign order again, often through another VM and
while the first attempt still runs. If it runs twice, it books twice; if it is refused as "not
run" although it ran, the caller books again by hand.

A key's record only moves forwards: free, running, then finished or unknown. It returns to free
only if the attempt was refused before any byte could reach a backend server; without proof of
that the outcome is unknown. Records are kept until their key expires. When there is no room for
another, the new call is refused, since forgetting an old key would let it run again.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from hickorybeam.errors import ErrorKind
from hickorybeam.model import VmId  # noqa: TC001 - msgspec reads the annotation

if TYPE_CHECKING:
    from hickorybeam.model import Call, ResponsePart

__all__ = (
    "Claim",
    "ClaimState",
    "IdempotencyKeyTable",
    "Record",
    "Refused",
    "Replay",
    "Start",
    "decide_claim",
    "fingerprint",
)


class ClaimState(Enum):
    """Progress of the attempt that holds a key."""

    RUNNING = "running"
    FINISHED = "finished"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True, kw_only=True)
class Claim:
    """A caller-chosen key as stored at the platform, without content of request or response.

    ``attempt`` identifies one attempt of ``owner``, so that a VM that got no response to the
    write of its claim recognises the claim when it reads it back. ``content`` is the request's
    fingerprint, ``status`` the HTTP status of a finished attempt.
    """

    owner: VmId
    attempt: str
    content: str
    state: ClaimState = ClaimState.RUNNING
    status: int = 0


@dataclass(frozen=True, slots=True)
class Start:
    """Decision: run the call now; this attempt holds the key."""


@dataclass(frozen=True, slots=True)
class Replay:
    """Decision: send the response of the first attempt again."""

    parts: tuple[ResponsePart, ...]


@dataclass(frozen=True, slots=True)
class Refused:
    """Decision: refuse the call without running it."""

    kind: ErrorKind
    detail: str = ""


class Record:
    """One VM's record of one key."""

    __slots__ = ("content", "expires_ms", "parts", "state", "status")

    def __init__(self, content: str, expires_ms: int) -> None:
        self.content = content
        self.expires_ms = expires_ms
        self.state = ClaimState.RUNNING
        self.status = 0
        self.parts: tuple[ResponsePart, ...] | None = None


class IdempotencyKeyTable:
    """The keys whose calls ran or are running in this incarnation of the VM.

    :param limit: maximum number of keys.
    :param answer_bytes: maximum size of all stored responses; of a response that doesn't fit,
        only the outcome is stored.
    """

    def __init__(self, *, limit: int, answer_bytes: int) -> None:
        self._limit = limit
        self._free_answer_bytes = answer_bytes
        self._records: dict[str, Record] = {}
        self._answer_bytes: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._records)

    def get(self, key: str) -> Record | None:
        """Return the record of a key."""
        return self._records.get(key)

    def begin(
        self, key: str, content: str, now_ms: int, *, expires_ms: int
    ) -> Start | Replay | Refused:
        """Reserve a key for an attempt, or return why it can't run."""
        if now_ms >= expires_ms:
            return Refused(ErrorKind.IDEMPOTENCY_EXPIRED)
        record = self._records.get(key)
        if record is not None:
            return self._decide_repeated(record, content)
        if len(self._records) >= self._limit:
            self.expire(now_ms)
        if len(self._records) >= self._limit:
            return Refused(ErrorKind.VM_FULL, "too many idempotency keys in use")
        self._records[key] = Record(content, expires_ms)
        return Start()

    def finish(
        self, key: str, status: int, parts: tuple[ResponsePart, ...] | None, size: int
    ) -> None:
        """Record that an attempt ended; ``parts`` is ``None`` if the response was too large."""
        record = self._records[key]
        record.state = ClaimState.FINISHED
        record.status = status
        if parts is not None and size <= self._free_answer_bytes:
            self._free_answer_bytes -= size
            self._answer_bytes[key] = size
            record.parts = parts

    def mark_unknown(self, key: str) -> None:
        """Record that an attempt may have run, with unknown outcome."""
        self._records[key].state = ClaimState.UNKNOWN

    def release(self, key: str) -> None:
        """Free a key whose attempt surely didn't run."""
        del self._records[key]

    def expire(self, now_ms: int) -> None:
        """Forget expired keys, except those still running."""
        expired = [
            key
            for key, record in self._records.items()
            if now_ms >= record.expires_ms and record.state is not ClaimState.RUNNING
        ]
        for key in expired:
            del self._records[key]
            self._free_answer_bytes += self._answer_bytes.pop(key, 0)

    def _decide_repeated(self, record: Record, content: str) -> Replay | Refused:
        # A running attempt may not hold the key's claim yet: another VM may have run the key with
        # the content requested here, so refusing it as "not run, other content" could be wrong.
        if record.state is ClaimState.RUNNING:
            return Refused(ErrorKind.IDEMPOTENCY_RUNNING)
        if record.content != content:
            return Refused(ErrorKind.IDEMPOTENCY_MISMATCH)
        match record.state:
            case ClaimState.UNKNOWN:
                return Refused(ErrorKind.BACKEND_UNKNOWN, "the first attempt may have run")
            case ClaimState.FINISHED:
                if record.parts is not None:
                    return Replay(record.parts)
                return Refused(ErrorKind.IDEMPOTENCY_FINISHED, f"status {record.status}")


def decide_claim(
    claim: Claim, *, me: VmId, attempt: str, content: str, owner_alive: bool
) -> Start | Refused:
    """Return whether to run a call whose key is claimed at the platform.

    :param me: this VM, whose own table was checked first and doesn't have the key. So a claim
        of this incarnation by another attempt was written after that attempt had given up, and
        nothing ran for it.
    :param attempt: this attempt; a claim with this identifier was written by it.
    :param owner_alive: whether membership considers the claim's owner alive.
    """
    if claim.owner == me and claim.attempt == attempt:
        return Start()
    if claim.content != content:
        return Refused(ErrorKind.IDEMPOTENCY_MISMATCH)
    match claim.state:
        case ClaimState.FINISHED:
            return Refused(ErrorKind.IDEMPOTENCY_FINISHED, f"status {claim.status}")
        case ClaimState.UNKNOWN:
            return Refused(ErrorKind.BACKEND_UNKNOWN, "the first attempt may have run")
        case ClaimState.RUNNING:
            if claim.owner == me:
                return Start()
            if not owner_alive:
                return Refused(ErrorKind.IDEMPOTENCY_LOST, "the VM that ran it is gone")
            return Refused(ErrorKind.IDEMPOTENCY_RUNNING)


def fingerprint(call: Call) -> str:
    """Return a digest that identifies a call's content.

    It includes the key: the digest of a short booking alone could be found by trying all bookings.
    """
    digest = hashlib.sha256()
    for part in (
        call.idempotency_key,
        call.account,
        call.method,
        call.path,
        call.served,
        call.kind.value,
    ):
        digest.update(f"{len(part)}:{part}".encode())
    digest.update(call.body)
    return digest.hexdigest()
