"""At most once: what a VM may do with a call that carries an idempotency key.

Failure answered: a caller that got no answer sends a booking or a sign order again, often
through another VM and while the first attempt still runs. Run twice, it books twice; refused
as "not run" when it did run, the caller books again by hand.

A key's record moves only forwards: free, running, then finished or unknown. It goes back to
free only when the attempt was refused before any byte could reach a backend server. Whoever
can't show that says "unknown". Records are kept until their key expires; when there is no
room for one more, the new call is refused, since forgetting an old key would let it run again.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from hickorybeam.errors import ErrorKind
from hickorybeam.model import VmId  # noqa: TC001 - msgspec reads the annotation

if TYPE_CHECKING:
    from hickorybeam.model import ResponsePart, Call

__all__ = (
    "Claim",
    "ClaimState",
    "KeyTable",
    "Record",
    "Refused",
    "Replay",
    "Start",
    "claim_verdict",
    "fingerprint",
)


class ClaimState(Enum):
    """How far the attempt that holds a key got."""

    RUNNING = "running"
    FINISHED = "finished"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True, kw_only=True)
class Claim:
    """A caller-chosen key as the platform keeps it: no content of request or answer.

    ``attempt`` names one attempt of ``owner``, so that a VM whose claim was written but not
    answered knows it for its own when it reads it back.
    """

    owner: VmId
    attempt: str
    content: str
    state: ClaimState = ClaimState.RUNNING
    status: int = 0


@dataclass(frozen=True, slots=True)
class Start:
    """Run the call now; this attempt holds the key."""


@dataclass(frozen=True, slots=True)
class Replay:
    """Answer with what the first attempt got."""

    parts: tuple[ResponsePart, ...]


@dataclass(frozen=True, slots=True)
class Refused:
    """Do not run the call."""

    kind: ErrorKind
    detail: str = ""


class Record:
    """What one VM remembers of one key."""

    __slots__ = ("content", "expires_ms", "parts", "state", "status")

    def __init__(self, content: str, expires_ms: int) -> None:
        self.content = content
        self.expires_ms = expires_ms
        self.state = ClaimState.RUNNING
        self.status = 0
        self.parts: tuple[ResponsePart, ...] | None = None


class KeyTable:
    """The keys that this VM's incarnation ran or runs.

    :param limit: how many keys are remembered at most.
    :param answer_bytes: how many bytes of answers are kept to be given again; an answer that
        doesn't fit is not kept, its outcome is.
    """

    def __init__(self, *, limit: int, answer_bytes: int) -> None:
        self._limit = limit
        self._free_bytes = answer_bytes
        self._records: dict[str, Record] = {}
        self._sizes: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._records)

    def get(self, key: str) -> Record | None:
        """Return what is remembered of a key."""
        return self._records.get(key)

    def begin(
        self, key: str, content: str, now_ms: int, *, expires_ms: int
    ) -> Start | Replay | Refused:
        """Take a key for an attempt, or say why not."""
        if now_ms >= expires_ms:
            return Refused(ErrorKind.IDEMPOTENCY_EXPIRED)
        record = self._records.get(key)
        if record is not None:
            return self._repeat(record, content)
        if len(self._records) >= self._limit:
            self.expire(now_ms)
        if len(self._records) >= self._limit:
            return Refused(ErrorKind.VM_FULL, "too many idempotency keys in use")
        self._records[key] = Record(content, expires_ms)
        return Start()

    def finish(
        self, key: str, status: int, parts: tuple[ResponsePart, ...] | None, size: int
    ) -> None:
        """Note that an attempt ran to its end; ``parts`` is ``None`` if it was too large."""
        record = self._records[key]
        record.state = ClaimState.FINISHED
        record.status = status
        if parts is not None and size <= self._free_bytes:
            self._free_bytes -= size
            self._sizes[key] = size
            record.parts = parts

    def lose(self, key: str) -> None:
        """Note that an attempt may have run, with what outcome is not known."""
        self._records[key].state = ClaimState.UNKNOWN

    def release(self, key: str) -> None:
        """Free a key whose attempt surely did not run."""
        del self._records[key]

    def expire(self, now_ms: int) -> None:
        """Forget keys that expired, but for those that still run."""
        due = [
            key
            for key, record in self._records.items()
            if now_ms >= record.expires_ms and record.state is not ClaimState.RUNNING
        ]
        for key in due:
            del self._records[key]
            self._free_bytes += self._sizes.pop(key, 0)

    def _repeat(self, record: Record, content: str) -> Replay | Refused:
        # An attempt under way may not hold the key yet: another VM may have run it with just
        # the content asked for here, so "not run, other content" could be wrong.
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


def claim_verdict(
    claim: Claim, *, me: VmId, attempt: str, content: str, owner_alive: bool
) -> Start | Refused:
    """Decide on a key that is claimed in the platform.

    :param attempt: this attempt; a claim that bears it was written by it.
    :param me: this VM, whose own table was asked first and does not know the key. So a
        claim of this incarnation by another attempt landed after that attempt had given up,
        and nothing was run for it.
    :param owner_alive: whether the claim's owner is believed alive.
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
    """Return the digest by which the same content is known again.

    The key is part of it: a digest of a short booking alone could be guessed by trying all.
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
