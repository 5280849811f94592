"""One suspect of crashes, a part of prompts or a request, and what is known of it."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hickorybeam.policy.crash_counts import (
    SAME_CAUSE_MS,
    Crash,
    Trait,
    count_apart,
    count_followed,
)
from hickorybeam.policy.request_key import KEY_BYTES

if TYPE_CHECKING:
    from collections.abc import Mapping, Set

__all__ = (
    "MIN_CRASHES_TOLD",
    "Suspect",
    "alike_parts",
    "doubtful_prefix",
    "is_request_key",
)

# With three, a part is blocked before the fifth crash, also while VMs have yet to hear of one. A
# sound part is no suspect of three crashes unless it is rare, and then seldom.
MIN_CRASHES = 3
# Enough for one request that is repeated.
MIN_CRASHES_OF_ONE_REQUEST = 4
MIN_REQUESTS = 2
MIN_CRASHES_UNDER_REQUEST = 3
# Another VM's conclusion holds as long as so many crashes are known that nothing has cleared.
MIN_CRASHES_TOLD = 2
# A part is in many prompts, so that one sound response clears it. A request may be sound at some
# servers and deadly to others: it is cleared of a crash by so many whole responses after it, of
# which few count of one server, or by so many of any.
SOUND_TO_CLEAR_REQUEST = 8
MAX_SOUND_OF_SERVER = 4
ANY_SOUND_TO_CLEAR_REQUEST = 16
# It is known by then whether a server has ended: its entry lapses within this time.
MAX_UNDECIDED_MS = 6_000
# Crashes kept of one suspect, and crashes that it is cleared of.
MAX_CRASHES = 8
MAX_CLEARED = 64


# Traits of crashes that may turn out to be none.
DOUBTFUL = frozenset({Trait.LAPSED, Trait.SILENT, Trait.CLOSED})
# Bytes of a server's digest that all its doubtful crashes have. The rest tells them apart: one that
# turned out to be none must not hide the server's end later.
DOUBTFUL_PREFIX_BYTES = 4


@dataclass(slots=True)
class Suspect:
    """A part or request that is suspected of crashes, by the digest of the server that crashed.

    ``sound`` counts the whole responses of each server since each crash, as this VM saw them;
    ``answered_ms`` is when it saw the last one, 0 for never.
    """

    is_request: bool = False
    crashes: dict[bytes, Crash] = field(default_factory=dict)
    cleared: dict[bytes, None] = field(default_factory=dict)
    sound: dict[bytes, Counter[bytes]] = field(default_factory=dict)
    answered_ms: int = 0
    blocked: bool = False

    def add(self, server: bytes, crash: Crash) -> bool:
        """Add a crash unless it is known or cleared; an undecided one may be confirmed.

        :return: whether something changed.
        """
        if self.knows(server, crash):
            return False
        is_new = server not in self.crashes
        if is_new and len(self.crashes) >= MAX_CRASHES and not self._drop_repeated():
            return False
        self.crashes[server] = crash
        return True

    def add_seen(self, server: bytes, crash: Crash) -> bool:
        """Add a crash that this VM saw; a later look at a server replaces an undecided one.

        :return: whether something changed.
        """
        if not self.is_request or not crash.is_undecided:
            for doubtful in self.doubtful_at(server):
                self.clear(doubtful)
            return self.add(server, crash)
        known = next((it for it in self.doubtful_at(server) if self.crashes[it].is_undecided), None)
        if known is None:
            return self.add(doubtful_digest(server, crash.at_ms), crash)
        self.crashes[known] = crash
        return True

    def doubtful_prefixes(self) -> set[bytes]:
        """Return how the digests of servers begin whose crashes may turn out to be none."""
        if not self.is_request:
            return set()
        doubtful = (name for name, crash in self.crashes.items() if crash.trait in DOUBTFUL)
        return {doubtful_prefix(name) for name in doubtful}

    def doubtful_at(self, server: bytes) -> list[bytes]:
        """Return the digests of a server's crashes that may turn out to be none."""
        if not self.is_request:
            return []
        prefix = doubtful_prefix(server)
        return [
            name
            for name, crash in self.crashes.items()
            if name.startswith(prefix) and crash.trait in DOUBTFUL
        ]

    def confirm(self, server: bytes) -> bool:
        """Record that a server whose end was undecided has ended.

        :return: whether an end of it was undecided.
        """
        undecided = [it for it in self.doubtful_at(server) if self.crashes[it].is_undecided]
        for name in undecided:
            confirmed = self.crashes[name].confirmed()
            if confirmed.trait is Trait.LAPSED:
                self.crashes[name] = confirmed
            else:
                self.clear(name)
                self.add(server, confirmed)
        return bool(undecided)

    def _drop_repeated(self) -> bool:
        """Drop a crash that counts for nothing beside an earlier one, if there is one."""
        last_ms = None
        for server, crash in sorted(self.crashes.items(), key=lambda it: it[1].at_ms):
            if last_ms is not None and crash.at_ms - last_ms < SAME_CAUSE_MS:
                del self.crashes[server]
                self.sound.pop(server, None)
                return True
            last_ms = crash.at_ms
        return False

    def knows(self, server: bytes, crash: Crash) -> bool:
        """Return whether a crash is known or cleared, or would change nothing."""
        if server in self.cleared:
            return True
        known = self.crashes.get(server)
        if known is not None:
            return not (self.is_request and known.is_undecided and not crash.is_undecided)
        return self.blocked and len(self.crashes) >= MAX_CRASHES

    def clear(self, server: bytes) -> None:
        """Clear it of a crash, also of one that is told later."""
        self.crashes.pop(server, None)
        self.sound.pop(server, None)
        self.cleared[server] = None
        if len(self.cleared) > MAX_CLEARED:
            del self.cleared[next(iter(self.cleared))]

    def drop_undecided(self, now_ms: int) -> bool:
        """Forget crashes that have stayed undecided for too long.

        :return: whether there were any.
        """
        late = [
            server
            for server, crash in self.crashes.items()
            if crash.is_undecided and now_ms - crash.at_ms > MAX_UNDECIDED_MS
        ]
        for server in late:
            del self.crashes[server]
            self.sound.pop(server, None)
        return bool(late)

    def record_whole(self, server: bytes, now_ms: int) -> list[bytes]:
        """Record a whole response of a server to this request.

        :return: the crashes that it is cleared of.
        """
        self.answered_ms = now_ms
        for crashed in self.crashes:
            self.sound.setdefault(crashed, Counter())[server] += 1
        return [crashed for crashed in self.crashes if outweighs(self.sound[crashed])]

    def warrants_block(self) -> bool:
        """Return whether the crashes suffice to block it."""
        if self.is_request:
            return count_followed(self._decided()) >= MIN_CRASHES_UNDER_REQUEST
        count = count_apart([crash.at_ms for crash in self.crashes.values()])
        requests = {crash.request for crash in self.crashes.values()}
        if len(requests) >= MIN_REQUESTS:
            return count >= MIN_CRASHES
        return count >= MIN_CRASHES_OF_ONE_REQUEST

    def _decided(self) -> list[Crash]:
        return [crash for crash in self.crashes.values() if not crash.is_undecided]

    def has_ended(self) -> bool:
        """Return whether a server is known to have ended under it."""
        return bool(self._decided())

    def count_likely(self, now_ms: int) -> int:
        """Return how many servers have ended or fallen silent, as far as it is known."""
        if not self.is_request:
            return len(self.crashes)
        return len(self._decided()) + len(self._silent_ms(now_ms))

    def _silent_ms(self, now_ms: int) -> list[int]:
        """Return since when servers are silent of which it is not known whether they ended."""
        return [
            crash.at_ms
            for crash in self.crashes.values()
            if crash.trait is Trait.SILENT and now_ms - crash.at_ms <= MAX_UNDECIDED_MS
        ]

    def is_held(self, now_ms: int) -> bool:
        """Return whether it may not be sent until it is known which servers have ended.

        A request that servers answer meanwhile has met a network that is cut, or single breaks.
        """
        if not self.is_request or self.count_likely(now_ms) < MIN_CRASHES_UNDER_REQUEST:
            return False
        silent_ms = self._silent_ms(now_ms)
        if not silent_ms or self.answered_ms >= min(silent_ms):
            return False
        likely = [it.confirmed() for it in self.crashes.values() if it.trait is not Trait.CLOSED]
        return count_followed(likely) >= MIN_CRASHES_UNDER_REQUEST

    def crashes_beside(self, server: bytes) -> list[Crash]:
        """Return the crashes of other servers."""
        return [crash for name, crash in self.crashes.items() if name != server]

    def last_ms(self) -> int:
        """Return when the last known crash was."""
        return max((crash.at_ms for crash in self.crashes.values()), default=0)


def doubtful_prefix(server: bytes) -> bytes:
    """Return what the digests of all crashes of a server begin with."""
    return server[:DOUBTFUL_PREFIX_BYTES]


def doubtful_digest(server: bytes, at_ms: int) -> bytes:
    """Return the digest of a crash of a server that may turn out to be none."""
    rest = len(server) - DOUBTFUL_PREFIX_BYTES
    suffix: int = at_ms % 256**rest
    return doubtful_prefix(server) + suffix.to_bytes(rest, "big")


def outweighs(sound: Counter[bytes]) -> bool:
    """Return whether the whole responses of servers after a crash clear a request of it."""
    counted = sum(min(count, MAX_SOUND_OF_SERVER) for count in sound.values())
    return counted >= SOUND_TO_CLEAR_REQUEST or sound.total() >= ANY_SOUND_TO_CLEAR_REQUEST


def is_request_key(suspect: bytes) -> bool:
    """Return whether a suspect is a request, not a part of prompts."""
    return len(suspect) == KEY_BYTES


def alike_parts(crashes: Mapping[bytes, Set[bytes]]) -> dict[bytes, frozenset[bytes]]:
    """Return, by part, the parts that are suspects of the same crashes.

    Left out are parts whose crashes are all explained by another one.
    """
    return {
        part: frozenset(it for it in crashes if crashes[it] == crashes[part])
        for part in crashes
        if not any(crashes[part] < it for it in crashes.values())
    }
