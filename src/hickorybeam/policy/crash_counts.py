"""A crash under a suspect, and how many of them count.

A crash is known by the server's start that crashed. Under a request each crash has a trait, which
says how the VM that was there knows of it:

- Its connections closed, and nothing listens there any more, or another start does. Such a crash
  counts by itself if it is far from the last one, or if the request was sent after the first one:
  no other cause follows it to the next server.
- It fell silent, and its entry lapsed. The moment is not known, only when the server was last heard
  and when it no longer answered. Servers behind a cut fall silent like this; all were heard before
  it, and none answers after it. So such a crash counts only if its server was heard after the first
  one was silent.
- Its connections closed, it was the only server that ended at that moment, and no other server had
  a copy of the request. That counts by itself however close it is.
- Its connections closed, but other servers have answered the request lately. Many may send it, so
  that copies are at each server at each moment. It counts by itself only if the request was sent
  after the crash before it, and no other server ended from then on. Only the VM that was there can
  tell that: another one learns late of both.
- It closed its connections or fell silent, and it is not known yet whether it has ended. Until then
  the crash doesn't count. Few servers fall silent under a request unless it ends them, so that one
  with as many silent servers as suffice is held; servers that live break off single responses.
"""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = (
    "CONFIRMED",
    "REQUEST_DIGEST_BYTES",
    "SAME_CAUSE_MS",
    "Crash",
    "Trait",
    "answered_crash",
    "count_apart",
    "count_followed",
    "encode_open_ms",
)

REQUEST_DIGEST_BYTES = 4
TRAIT_BITS = 3
OPEN_BITS = 8 * REQUEST_DIGEST_BYTES - TRAIT_BITS
MAX_OPEN_MS = 2**OPEN_BITS - 1
# Crashes this close to each other count once.
SAME_CAUSE_MS = 200
# Connections to servers that end at one moment close within this time. A request may be sent to
# the second of two such servers before its connection has closed.
SAME_MOMENT_MS = 25


class Trait(IntEnum):
    """How it is known that a server crashed under a request; the last two are undecided."""

    SEEN = 0
    LAPSED = 1
    ALONE = 2
    SILENT = 3
    CLOSED = 4


# What an undecided crash becomes once the server's end is known.
CONFIRMED = {Trait.SILENT: Trait.LAPSED, Trait.CLOSED: Trait.SEEN}


class Crash(NamedTuple):
    """A crash of a suspect, on this VM's clock.

    ``request`` is the digest of the request under which it happened. Where the suspect is a request
    itself, it holds the trait and how long before ``at_ms`` the request was sent, or the server
    last heard if it fell silent.
    """

    at_ms: int
    request: bytes

    @property
    def trait(self) -> Trait:
        """How the crash is known, where the suspect is a request."""
        bits = int.from_bytes(self.request, "big") >> OPEN_BITS
        return Trait(bits) if bits <= max(Trait) else Trait.SEEN

    @property
    def alive_ms(self) -> int:
        """When the request was sent, or the server last heard if it fell silent."""
        open_ms: int = int.from_bytes(self.request, "big") & MAX_OPEN_MS
        return self.at_ms - open_ms

    @property
    def is_undecided(self) -> bool:
        """Whether it is not known yet that the server has ended."""
        return self.trait in CONFIRMED

    def confirmed(self) -> Crash:
        """Return the crash now that the server's end is known."""
        trait = CONFIRMED.get(self.trait, self.trait)
        return Crash(self.at_ms, encode_open_ms(self.at_ms - self.alive_ms, trait))


def count_apart(times_ms: Iterable[int]) -> int:
    """Return how many times there are, those close to an earlier one left out."""
    count, last_ms = 0, None
    for at_ms in sorted(times_ms):
        if last_ms is None or at_ms - last_ms >= SAME_CAUSE_MS:
            count, last_ms = count + 1, at_ms
    return count


def count_followed(crashes: Iterable[Crash]) -> int:
    """Return how many crashes a request's sends account for."""
    ordered = sorted(crashes, key=lambda it: it.at_ms)
    count, first_ms, last_ms = 0, 0, 0
    for crash in ordered:
        if not count:
            count, first_ms, last_ms = 1, crash.at_ms, crash.at_ms
        elif counts_by_itself(crash, first_ms, last_ms):
            count, last_ms = count + 1, crash.at_ms
    return count


def counts_by_itself(crash: Crash, first_ms: int, last_ms: int) -> bool:
    """Return whether a crash has another cause than the first one and the last one before it."""
    if crash.alive_ms >= first_ms and crash.at_ms - first_ms >= SAME_MOMENT_MS:
        return True
    match crash.trait:
        case Trait.ALONE:
            return True
        case Trait.LAPSED:
            return False
    return crash.at_ms - last_ms >= SAME_CAUSE_MS


def answered_crash(crash: Crash, previous_ms: int | None) -> Crash:
    """Return a crash under a request that other servers answer, as it counts.

    :param previous_ms: when the last other crash under the request was, if there was one.
    """
    followed = (
        previous_ms is not None
        and crash.trait is Trait.ALONE
        and crash.alive_ms >= previous_ms
        and crash.at_ms - previous_ms >= SAME_MOMENT_MS
    )
    if followed:
        return Crash(crash.at_ms, encode_open_ms(crash.at_ms - crash.alive_ms, Trait.ALONE))
    return Crash(crash.at_ms, encode_open_ms(MAX_OPEN_MS, Trait.SEEN))


def encode_open_ms(open_ms: int, trait: Trait = Trait.SEEN) -> bytes:
    """Encode how long a request was open, and how its crash is known, as a request's digest."""
    clamped_ms: int = min(max(0, open_ms), MAX_OPEN_MS)
    return (trait << OPEN_BITS | clamped_ms).to_bytes(REQUEST_DIGEST_BYTES, "big")
