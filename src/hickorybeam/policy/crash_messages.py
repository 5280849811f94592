"""What is told of crashes: between VMs, to the store, and to who asked for it."""

from __future__ import annotations

from functools import lru_cache
from hashlib import blake2b
from typing import NamedTuple

from hickorybeam.model.bounds import BoundedInt, Digest  # noqa: TC001 - read by msgspec
from hickorybeam.policy.crash_counts import REQUEST_DIGEST_BYTES, Trait

__all__ = (
    "BlockChange",
    "BlockVerdict",
    "CrashedRequest",
    "ToldCrash",
    "ToldPart",
    "crash_digest",
    "part_digest",
    "request_digest",
)

PART_DIGEST_BYTES = 8
# Far older than any crash that counts. What is told grows older at each VM, and has to stay within
# the bounds of what the others take.
MAX_AGE_MS = 2**45
CRASH_DIGEST_BYTES = 6


class CrashedRequest(NamedTuple):
    """A request that was open at a server that crashed, or given up shortly before.

    ``open_ms`` is how long before the crash it was sent, or the server last heard if it fell
    silent; ``trait`` is how the crash is known. ``is_answered``: servers have answered it lately.
    """

    key: bytes
    open_ms: int
    trait: Trait = Trait.SEEN
    is_answered: bool = False


class ToldCrash(NamedTuple):
    """A crash as VMs tell it: digests of the server's start and of the request, and its age.

    Where the suspect is a request, ``request`` is what ``Crash`` holds instead.
    """

    server: Digest
    age_ms: BoundedInt
    request: Digest

    def at_ms(self, now_ms: int) -> int:
        """Return when it was, on the clock of ``now_ms``."""
        return now_ms - min(max(0, self.age_ms), MAX_AGE_MS)


class ToldPart(NamedTuple):
    """What a VM knows of a part: crashes it is a suspect of, and those it is cleared of."""

    part: Digest
    crashes: list[ToldCrash]
    cleared: list[Digest]
    blocked: bool


class BlockVerdict(NamedTuple):
    """Which of a prompt's parts are blocked, and which may be to blame but need not."""

    blocked: list[bytes]
    undecided: list[bytes]


class BlockChange(NamedTuple):
    """A part that is blocked from now on, or no longer, with its uncleared crashes."""

    part: bytes
    blocked: bool
    crashes: int


@lru_cache(maxsize=8_192)
def part_digest(service: str, part: str) -> bytes:
    """Return the digest of a part of prompts to a service."""
    return blake2b(f"{service}\0{part}".encode(), digest_size=PART_DIGEST_BYTES).digest()


def crash_digest(server: str, born_ms: int) -> bytes:
    """Return the digest of a crash: each start of a server crashes once."""
    return blake2b(f"{server}\0{born_ms}".encode(), digest_size=CRASH_DIGEST_BYTES).digest()


def request_digest(own_part: str) -> bytes:
    """Return the digest of a request by its prompt's last part, which its repeats have too."""
    return blake2b(own_part.encode(), digest_size=REQUEST_DIGEST_BYTES).digest()
