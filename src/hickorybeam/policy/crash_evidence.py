"""What crashes servers: what all VMs have seen, and what is blocked for it.

One request may crash every server that gets it, however often it is repeated (a query of death),
and so may one part of prompts, whatever else a request holds. A crash takes all requests of its
server with it, so each of them and each of their parts is a suspect, and most are sound. What tells
them apart:

- A response whose server outlived its beginning clears the parts of its prompt of all crashes so
  far. A popular sound part is cleared within a moment; one that crashes servers never is.
- Crashes at the same moment have one cause that is no part (power, a network), so they count once.
- Repeats of one request come to the servers that crash, whatever the cause: by itself a request
  counts for less than several that share nothing but the part.
- Once a part is blocked, it explains the crashes under it, and nothing else is suspected of them.
- Parts that only ever came together can't be told apart: a prompt with all of them is refused, one
  with some of them is undecided, and sent alone it tells which part it was.
- Only a whole response clears a request. A crash counts by itself if the request was sent after the
  first one: no other cause follows it to the next server. Once it is blocked, it explains the
  crashes under its parts.

A suspect is known by its digest: that of a part (``part_digest``), or the key of a request, which
is longer (``policy/request_key``).

VMs tell each other of crashes and of what is cleared of them. Both only ever add up, so that the
order, repetition and age of what is told make no difference. Times are on the VM's own clock.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from functools import lru_cache
from hashlib import blake2b
from typing import TYPE_CHECKING, NamedTuple

from hickorybeam.policy.request_key import KEY_BYTES, outline_of

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Sequence

__all__ = (
    "BlockChange",
    "BlockVerdict",
    "CrashEvidence",
    "ToldCrash",
    "ToldPart",
    "crash_digest",
    "is_request_key",
    "part_digest",
    "request_digest",
)

PART_DIGEST_BYTES = 8
CRASH_DIGEST_BYTES = 6
REQUEST_DIGEST_BYTES = 4
MAX_OPEN_MS = 2 ** (8 * REQUEST_DIGEST_BYTES) - 1
# Crashes this close to each other count once.
SAME_CAUSE_MS = 200
# Connections to servers that end at one moment close within this time. A request may be sent to
# the second of two such servers before its connection has closed.
SAME_MOMENT_MS = 25
# With three, a part is blocked before the fifth crash, also while VMs have yet to hear of one. A
# sound part is no suspect of three crashes unless it is rare, and then seldom.
MIN_CRASHES = 3
# Enough for one request that is repeated.
MIN_CRASHES_OF_ONE_REQUEST = 4
MIN_REQUESTS = 2
MIN_CRASHES_UNDER_REQUEST = 3
# A part is to blame itself if so many of its crashes are not those of one blocked request.
MIN_UNEXPLAINED = 2
# Another VM's conclusion holds as long as so many crashes are known that nothing has cleared.
MIN_CRASHES_TOLD = 2
# A part that was sound this shortly before a crash has not caused it.
RECENT_MS = 2_000
# Crashes further apart are not taken for the work of one part.
KEEP_MS = 3_600_000
KEEP_BLOCKED_MS = 86_400_000
MAX_PARTS = 1_024
MAX_SOUND_PARTS = 1_024
# Crashes kept of one part, and crashes that it is cleared of.
MAX_CRASHES = 8
MAX_CLEARED = 64
# A datagram may be lost.
TIMES_TOLD = 3
MAX_TOLD_AT_ONCE = 16
MAX_REPORTED = 2


class ToldCrash(NamedTuple):
    """A crash as VMs tell it: digests of the server's start and of the request, and its age.

    Where the suspect is a request, ``request`` is how long before the crash it was sent instead.
    """

    server: bytes
    age_ms: int
    request: bytes


class ToldPart(NamedTuple):
    """What a VM knows of a part: crashes it is a suspect of, and those it is cleared of."""

    part: bytes
    crashes: list[ToldCrash]
    cleared: list[bytes]
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


class _Crash(NamedTuple):
    at_ms: int
    request: bytes

    @property
    def sent_ms(self) -> int:
        """When the request was sent, where the suspect is a request."""
        return self.at_ms - int.from_bytes(self.request, "big")


@dataclass(slots=True)
class _Suspect:
    """A part or request that is suspected of crashes, by the digest of the server that crashed."""

    is_request: bool = False
    crashes: dict[bytes, _Crash] = field(default_factory=dict)
    cleared: dict[bytes, None] = field(default_factory=dict)
    blocked: bool = False

    def add(self, server: bytes, crash: _Crash) -> bool:
        """Add a crash unless it is known or cleared.

        :return: whether it was added.
        """
        if self.knows(server):
            return False
        if len(self.crashes) >= MAX_CRASHES and not self._drop_repeated():
            return False
        self.crashes[server] = crash
        return True

    def _drop_repeated(self) -> bool:
        """Drop a crash that counts for nothing beside an earlier one, if there is one."""
        last_ms = None
        for server, crash in sorted(self.crashes.items(), key=lambda it: it[1].at_ms):
            if last_ms is not None and crash.at_ms - last_ms < SAME_CAUSE_MS:
                del self.crashes[server]
                return True
            last_ms = crash.at_ms
        return False

    def knows(self, server: bytes) -> bool:
        """Return whether a crash is known or cleared, or one more would change nothing."""
        full = self.blocked and len(self.crashes) >= MAX_CRASHES
        return full or server in self.crashes or server in self.cleared

    def clear(self, server: bytes) -> None:
        """Clear it of a crash, also of one that is told later."""
        self.crashes.pop(server, None)
        self.cleared[server] = None
        if len(self.cleared) > MAX_CLEARED:
            del self.cleared[next(iter(self.cleared))]

    def warrants_block(self) -> bool:
        """Return whether the crashes suffice to block it."""
        if self.is_request:
            return count_followed(self.crashes.values()) >= MIN_CRASHES_UNDER_REQUEST
        count = count_apart([crash.at_ms for crash in self.crashes.values()])
        requests = {crash.request for crash in self.crashes.values()}
        if len(requests) >= MIN_REQUESTS:
            return count >= MIN_CRASHES
        return count >= MIN_CRASHES_OF_ONE_REQUEST

    def last_ms(self) -> int:
        """Return when the last known crash was."""
        return max((crash.at_ms for crash in self.crashes.values()), default=0)


def count_apart(times_ms: Iterable[int]) -> int:
    """Return how many times there are, those close to an earlier one left out."""
    count, last_ms = 0, None
    for at_ms in sorted(times_ms):
        if last_ms is None or at_ms - last_ms >= SAME_CAUSE_MS:
            count, last_ms = count + 1, at_ms
    return count


def count_followed(crashes: Iterable[_Crash]) -> int:
    """Return how many crashes a request's sends account for.

    Those close to an earlier one are left out, unless the request was sent after the first one.
    """
    ordered = sorted(crashes, key=lambda it: it.at_ms)
    count, first_ms, last_ms = 0, 0, 0
    for crash in ordered:
        followed = crash.sent_ms >= first_ms and crash.at_ms - first_ms >= SAME_MOMENT_MS
        if not count:
            count, first_ms, last_ms = 1, crash.at_ms, crash.at_ms
        elif followed or crash.at_ms - last_ms >= SAME_CAUSE_MS:
            count, last_ms = count + 1, crash.at_ms
    return count


def encode_open_ms(open_ms: int) -> bytes:
    """Encode how long a request was open, in as many bytes as a request's digest has."""
    clamped_ms: int = min(max(0, open_ms), MAX_OPEN_MS)
    return clamped_ms.to_bytes(REQUEST_DIGEST_BYTES, "big")


def is_request_key(suspect: bytes) -> bool:
    """Return whether a suspect is a request, not a part of prompts."""
    return len(suspect) == KEY_BYTES


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


class CrashEvidence:
    """What this VM knows of the parts and requests that servers crashed under.

    Bounded in number and time.
    """

    def __init__(self, *, max_parts: int = MAX_PARTS) -> None:
        self._max_parts = max_parts
        # In the order of their last crash.
        self._suspects: OrderedDict[bytes, _Suspect] = OrderedDict()
        self._blocked: dict[bytes, None] = {}
        # The keys of requests that crashes are known of, by their outlines.
        self._requests: dict[bytes, set[bytes]] = {}
        # By blocked part: those that are suspects of the same crashes. Parts whose crashes are all
        # explained by another one are left out. ``None`` when it has to be worked out again.
        self._alike: dict[bytes, frozenset[bytes]] | None = None
        self._sound_ms: OrderedDict[bytes, int] = OrderedDict()
        # By part: how many more times it is told.
        self._untold: dict[bytes, int] = {}
        # Reports take turns with the parts where there are many; the next one begins here.
        self._reported = 0

    def __len__(self) -> int:
        """Return the number of parts that are known."""
        return sum(not suspect.is_request for suspect in self._suspects.values())

    @property
    def blocked(self) -> Collection[bytes]:
        """The parts and requests that are blocked."""
        return self._blocked.keys()

    def suspected_requests(self) -> int:
        """Return the number of requests that crashes are known of."""
        return sum(len(keys) for keys in self._requests.values())

    def knows_outline(self, outline: bytes) -> bool:
        """Return whether crashes are known of a request with an outline."""
        return outline in self._requests

    def judge_prompt(self, parts: Sequence[bytes]) -> BlockVerdict:
        """Return which of a prompt's parts are blocked or undecided."""
        verdict = BlockVerdict([], [])
        for part in parts if self._blocked else ():
            alike = self._blocked_alike().get(part)
            if alike is not None:
                found = verdict.blocked if alike.issubset(parts) else verdict.undecided
                found.append(part)
        return verdict

    def _blocked_alike(self) -> dict[bytes, frozenset[bytes]]:
        if self._alike is None:
            crashes = {
                part: self._suspects[part].crashes.keys()
                for part in self._blocked
                if not is_request_key(part) and not self._is_explained(self._suspects[part])
            }
            self._alike = {
                part: frozenset(it for it in crashes if crashes[it] == crashes[part])
                for part in crashes
                if not any(crashes[part] < it for it in crashes.values())
            }
        return self._alike

    def _is_explained(self, part: _Suspect) -> bool:
        """Return whether a part's crashes are those of one blocked request."""
        crashes = part.crashes.keys()
        return any(
            len(crashes - self._suspects[key].crashes.keys()) < MIN_UNEXPLAINED
            for key in self._blocked
            if is_request_key(key)
        )

    def is_suspected(self, parts: Iterable[bytes]) -> bool:
        """Return whether one of a prompt's parts, or a request, is nearly blocked."""
        found = (self._suspects.get(part) for part in parts)
        return any(it is not None and len(it.crashes) >= MIN_CRASHES_TOLD for it in found)

    def record_crash(
        self,
        server: bytes,
        suspects: Iterable[tuple[bytes, bytes]],
        at_ms: int,
        *,
        requests: Iterable[tuple[bytes, int]] = (),
    ) -> list[BlockChange]:
        """Record a crash that this VM saw.

        :param suspects: a part and its request's digest, for each part of the prompts that were
            open at the server and that the server had not outlived.
        :param requests: the key of each request that was open there, and how long before the crash
            it was sent, in ms.
        """
        # Requests first: once one is blocked, it explains the crash under its parts. Of the copies
        # of one, the last sent counts.
        by_age = sorted(requests, key=lambda it: it[1], reverse=True)
        found = {key: _Crash(at_ms, encode_open_ms(open_ms)) for key, open_ms in by_age}
        found |= {part: _Crash(at_ms, request) for part, request in suspects}
        explained = {it: crash for it, crash in found.items() if self._explains(it)}
        self._alike = None
        changes = []
        for it, crash in (explained or found).items():
            if at_ms - self._sound_ms.get(it, at_ms - RECENT_MS) >= RECENT_MS:
                suspect = self._suspect(it)
                if suspect.add(server, crash):
                    self._know_outline(it)
                    self._untold[it] = TIMES_TOLD
                    changes += self._judge(it, suspect)
        self._limit(at_ms)
        return changes

    def _explains(self, suspect: bytes) -> bool:
        """Return whether a suspect is blocked, so that nothing else is suspected of its crashes."""
        if is_request_key(suspect):
            return suspect in self._blocked
        return suspect in self._blocked_alike()

    def record_sound(self, parts: Iterable[bytes], now_ms: int) -> list[BlockChange]:
        """Record that a server has outlived prompts with these parts, or these requests."""
        changes: list[BlockChange] = []
        for part in parts:
            self._sound_ms[part] = now_ms
            self._sound_ms.move_to_end(part)
            suspect = self._suspects.get(part)
            if suspect is not None and suspect.crashes:
                changes += self._clear(part, suspect, tuple(suspect.crashes))
                self._untold[part] = TIMES_TOLD
        while len(self._sound_ms) > MAX_SOUND_PARTS:
            self._sound_ms.popitem(last=False)
        return changes

    def merge(self, told: Iterable[ToldPart], now_ms: int) -> list[BlockChange]:
        """Merge what another VM tells, or what the store has kept."""
        changes: list[BlockChange] = []
        news = [it for it in told if not self._knows(it)]
        if not news:
            return changes
        self._alike = None
        # Requests first, as in a crash of this VM.
        news.sort(key=lambda it: not is_request_key(it.part))
        for part, crashes, cleared, blocked in news:
            suspect = self._suspect(part)
            changes += self._clear(part, suspect, cleared)
            for server, age_ms, request in crashes:
                if suspect.add(server, _Crash(now_ms - max(0, age_ms), request)):
                    self._know_outline(part)
            sound_ms = self._sound_ms.get(part)
            outlived = [
                server
                for server, crash in suspect.crashes.items()
                if sound_ms is not None and crash.at_ms < sound_ms
            ]
            if outlived:
                changes += self._clear(part, suspect, outlived)
                self._untold[part] = TIMES_TOLD
            changes += self._judge(part, suspect, told_blocked=blocked)
        self._limit(now_ms)
        return changes

    def take_untold(self, now_ms: int) -> list[ToldPart]:
        """Return what other VMs have yet to be told, what has most crashes first."""
        found = []
        for part in sorted(self._untold, key=self._crashes_of, reverse=True)[:MAX_TOLD_AT_ONCE]:
            self._untold[part] -= 1
            if not self._untold[part]:
                del self._untold[part]
            if part in self._suspects:
                found.append(self.told(part, now_ms))
        return found

    def to_report(self, now_ms: int, *, to_new_vm: bool = False) -> list[ToldPart]:
        """Return what VMs that start, or missed it, need: what is blocked, or nearly.

        :param to_new_vm: the receiver has just started and needs more than its turn of the parts.
        """
        parts = [
            part
            for part, suspect in self._suspects.items()
            if suspect.blocked or len(suspect.crashes) >= MIN_CRASHES_TOLD
        ]
        if to_new_vm:
            parts.sort(key=self._blocked.__contains__)
            return [self.told(part, now_ms) for part in parts[-MAX_TOLD_AT_ONCE:]]
        first = self._reported
        self._reported = first + MAX_REPORTED if first + MAX_REPORTED < len(parts) else 0
        return [self.told(part, now_ms) for part in parts[first : first + MAX_REPORTED]]

    def told(self, part: bytes, now_ms: int) -> ToldPart:
        """Return what is known of a part, as it is told."""
        suspect = self._suspects.get(part) or _Suspect()
        crashes = [
            ToldCrash(server, now_ms - crash.at_ms, crash.request)
            for server, crash in suspect.crashes.items()
        ]
        return ToldPart(part, crashes, list(suspect.cleared), suspect.blocked)

    def _knows(self, told: ToldPart) -> bool:
        """Return whether nothing that is told of a part is new."""
        suspect = self._suspects.get(told.part)
        if suspect is None:
            return False
        if told.blocked and not suspect.blocked and len(suspect.crashes) >= MIN_CRASHES_TOLD:
            return False
        known = all(suspect.knows(crash.server) for crash in told.crashes)
        return known and all(server in suspect.cleared for server in told.cleared)

    def _crashes_of(self, part: bytes) -> int:
        suspect = self._suspects.get(part)
        return 0 if suspect is None else len(suspect.crashes)

    def _suspect(self, part: bytes) -> _Suspect:
        suspect = self._suspects.get(part)
        if suspect is None:
            suspect = self._suspects[part] = _Suspect(is_request=is_request_key(part))
        self._suspects.move_to_end(part)
        return suspect

    def _judge(
        self, part: bytes, suspect: _Suspect, *, told_blocked: bool = False
    ) -> list[BlockChange]:
        """Block a part if what is known suffices, or sufficed another VM."""
        if suspect.blocked:
            return []
        told = told_blocked and len(suspect.crashes) >= MIN_CRASHES_TOLD
        if not told and not suspect.warrants_block():
            return []
        if not suspect.is_request and self._is_explained(suspect):
            return []
        suspect.blocked = True
        self._blocked[part] = None
        self._alike = None
        self._untold[part] = TIMES_TOLD
        return [BlockChange(part, True, len(suspect.crashes))]

    def _clear(self, part: bytes, suspect: _Suspect, servers: Iterable[bytes]) -> list[BlockChange]:
        """Clear a part of crashes; it is no longer blocked for them."""
        self._alike = None
        for server in servers:
            suspect.clear(server)
        if not suspect.crashes:
            self._forget_outline(part)
        if not suspect.blocked or len(suspect.crashes) >= MIN_CRASHES_TOLD:
            return []
        suspect.blocked = False
        del self._blocked[part]
        self._untold[part] = TIMES_TOLD
        return [BlockChange(part, False, len(suspect.crashes))]

    def _limit(self, now_ms: int) -> None:
        """Drop parts whose last crash is too old, and the oldest ones beyond the limit."""
        for part, suspect in tuple(self._suspects.items()):
            keep_ms = KEEP_BLOCKED_MS if suspect.blocked else KEEP_MS
            if suspect.crashes and now_ms - suspect.last_ms() > keep_ms:
                self._drop(part)
        while len(self._suspects) > self._max_parts:
            self._drop(self._least_suspected())

    def _least_suspected(self) -> bytes:
        """Return the oldest suspect of one crash at most, else one that isn't blocked, else any."""
        few = (it for it, found in self._suspects.items() if len(found.crashes) < MIN_CRASHES_TOLD)
        unblocked = (it for it, found in self._suspects.items() if not found.blocked)
        return next(few, None) or next(unblocked, None) or next(iter(self._suspects))

    def _know_outline(self, suspect: bytes) -> None:
        if is_request_key(suspect):
            self._requests.setdefault(outline_of(suspect), set()).add(suspect)

    def _forget_outline(self, suspect: bytes) -> None:
        """Forget the outline of a request that no crashes are known of any more."""
        if is_request_key(suspect):
            keys = self._requests.get(outline_of(suspect), set())
            keys.discard(suspect)
            if not keys:
                self._requests.pop(outline_of(suspect), None)

    def _drop(self, part: bytes) -> None:
        del self._suspects[part]
        self._forget_outline(part)
        self._alike = None
        self._blocked.pop(part, None)
        self._untold.pop(part, None)
