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
- Some servers may serve a request that crashes others, so that only several whole responses clear
  it of the crashes before them. How its crashes count, and what is known of servers that fall
  silent or are back at once, is in ``policy/crash_suspects``. Once it is blocked, it explains the
  crashes under its parts.

A suspect is known by its digest: that of a part (``policy/crash_messages``), or the key of a
request, which is longer (``policy/request_key``).

VMs tell each other of crashes and of what is cleared of them. Both only ever add up, so that the
order, repetition and age of what is told make no difference. Times are on the VM's own clock.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from hickorybeam.policy.crash_counts import Crash, answered_crash, encode_open_ms
from hickorybeam.policy.crash_messages import BlockChange, BlockVerdict
from hickorybeam.policy.crash_reports import CrashReports
from hickorybeam.policy.crash_suspects import (
    MIN_CRASHES_TOLD,
    Suspect,
    alike_parts,
    doubtful_prefix,
    is_request_key,
)
from hickorybeam.policy.recently_sound import RecentlySound
from hickorybeam.policy.request_key import outline_of

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Sequence

    from hickorybeam.policy.crash_counts import Trait
    from hickorybeam.policy.crash_messages import CrashedRequest, ToldPart

__all__ = ("CrashEvidence",)

# A part is to blame itself if so many of its crashes are not those of one blocked request.
MIN_UNEXPLAINED = 2
# Crashes further apart are not taken for the work of one part.
KEEP_MS = 3_600_000
KEEP_BLOCKED_MS = 86_400_000
MAX_PARTS = 1_024


class CrashEvidence:
    """What this VM knows of the parts and requests that servers crashed under.

    Bounded in number and time.
    """

    def __init__(self, *, max_parts: int = MAX_PARTS) -> None:
        self._max_parts = max_parts
        # In the order of their last crash.
        self._suspects: OrderedDict[bytes, Suspect] = OrderedDict()
        self._blocked: dict[bytes, None] = {}
        # The keys of requests that crashes are known of, by their outlines.
        self._requests: dict[bytes, set[bytes]] = {}
        # Beginnings of the digests of servers whose crashes may turn out to be none.
        self._doubtful: set[bytes] = set()
        # By blocked part: those that are suspects of the same crashes. Parts whose crashes are all
        # explained by another one are left out. ``None`` when it has to be worked out again.
        self._alike: dict[bytes, frozenset[bytes]] | None = None
        # When parts were last sound, and requests last answered.
        self._sound = RecentlySound()
        self.reports = CrashReports(self._suspects, self._blocked)

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

    @property
    def knows_requests(self) -> bool:
        """Whether crashes are known of any request."""
        return bool(self._requests)

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
            self._alike = alike_parts(
                {
                    part: self._suspects[part].crashes.keys()
                    for part in self._blocked
                    if not is_request_key(part) and not self._is_explained(self._suspects[part])
                }
            )
        return self._alike

    def _is_explained(self, part: Suspect) -> bool:
        """Return whether a part's crashes are those of one blocked request."""
        crashes = part.crashes.keys()
        return any(
            len(crashes - self._suspects[key].crashes.keys()) < MIN_UNEXPLAINED
            for key in self._blocked
            if is_request_key(key)
        )

    def is_suspected(self, parts: Iterable[bytes], now_ms: int) -> bool:
        """Return whether one of a prompt's parts, or a request, is nearly blocked."""
        found = (self._suspects.get(part) for part in parts)
        return any(it is not None and it.count_likely(now_ms) >= MIN_CRASHES_TOLD for it in found)

    def record_crash(
        self,
        server: bytes,
        suspects: Iterable[tuple[bytes, bytes]],
        at_ms: int,
        *,
        requests: Iterable[CrashedRequest] = (),
        tell: bool = True,
    ) -> list[BlockChange]:
        """Record a crash that this VM saw, or a server of which it is yet to be known.

        :param suspects: a part and its request's digest, for each part of the prompts that were
            open at the server and that the server had not outlived.
        :param requests: the requests that were open there, or given up shortly before.
        :param tell: tell other VMs.
        """
        # Requests first: once one is blocked, it explains the crash under its parts. Of the copies
        # of one, the last sent counts.
        by_age = sorted(requests, key=lambda it: it.open_ms, reverse=True)
        found = {it.key: self._crash_under(it, server, at_ms) for it in by_age}
        found |= {part: Crash(at_ms, request) for part, request in suspects}
        explained = {it: crash for it, crash in found.items() if self._explains(it)}
        self._alike = None
        added = []
        for it, crash in (explained or found).items():
            if not self._sound.was_sound(it, at_ms):
                suspect = self._suspect(it)
                if suspect.add_seen(server, crash):
                    self._know_outline(it)
                    self._know_doubtful(suspect)
                    added.append(it)
                    if tell:
                        self.reports.plan(it)
        changes = self._judge_all(added)
        self._limit(at_ms)
        return changes

    def _crash_under(self, request: CrashedRequest, server: bytes, at_ms: int) -> Crash:
        """Return a crash of a server under a request, as it counts."""
        crash = Crash(at_ms, encode_open_ms(request.open_ms, request.trait))
        if not request.is_answered:
            return crash
        suspect = self._suspects.get(request.key)
        others = [] if suspect is None else suspect.crashes_beside(server)
        return answered_crash(crash, max((it.at_ms for it in others), default=None))

    def confirm_end(self, server: bytes) -> list[BlockChange]:
        """Record that a server whose end was undecided has ended."""
        if not self._may_be_doubtful(server):
            return []
        confirmed = [key for key, it in self._suspects.items() if it.confirm(server)]
        for key in confirmed:
            self.reports.plan(key)
        return self._judge_all(confirmed)

    def disprove_end(
        self, server: bytes, *, before_ms: int, traits: Collection[Trait]
    ) -> list[BlockChange]:
        """Record that a server which seemed to have ended is there, with all that it had.

        :param before_ms: this doesn't tell of ends after this time.
        :param traits: nor of ends that are known in other ways.
        """
        changes: list[BlockChange] = []
        if not self._may_be_doubtful(server):
            return changes
        for key, suspect in self._suspects.items():
            found = [
                name
                for name in suspect.doubtful_at(server)
                if suspect.crashes[name].trait in traits and suspect.crashes[name].at_ms < before_ms
            ]
            if found:
                changes += self._clear(key, suspect, found)
                self.reports.plan(key)
        return changes

    def record_whole(
        self, key: bytes, server: bytes, now_ms: int, *, is_trial: bool
    ) -> list[BlockChange]:
        """Record a server's whole response to a request that crashes are known of.

        What servers answer once it is blocked was sent before, and tells nothing new.

        :param is_trial: it was sent alone, to see whether it still crashes servers.
        """
        suspect = self._suspects.get(key)
        if suspect is None or (suspect.blocked and not is_trial):
            return []
        cleared = list(suspect.crashes) if is_trial else suspect.record_whole(server, now_ms)
        cleared += suspect.doubtful_at(server)
        if not cleared:
            return []
        self.reports.plan(key)
        return self._clear(key, suspect, cleared)

    def record_answered(self, mark: bytes, now_ms: int) -> None:
        """Record that a request was answered, by a mark that needs no digest of all its bytes."""
        self._sound.keep(mark, now_ms)

    def was_answered(self, mark: bytes, now_ms: int) -> bool:
        """Return whether a request that may be the same was answered here lately."""
        return self._sound.was_answered(mark, now_ms)

    def is_held(self, key: bytes, now_ms: int) -> bool:
        """Return whether a request waits until it is known which servers have ended under it."""
        suspect = self._suspects.get(key)
        return suspect is not None and suspect.is_held(now_ms)

    def has_crashes(self, key: bytes) -> bool:
        """Return whether crashes are known of a request, decided or not."""
        suspect = self._suspects.get(key)
        return suspect is not None and bool(suspect.crashes)

    def _explains(self, suspect: bytes) -> bool:
        """Return whether a suspect is blocked, so that nothing else is suspected of its crashes."""
        if is_request_key(suspect):
            return suspect in self._blocked
        return suspect in self._blocked_alike()

    def record_sound(self, parts: Iterable[bytes], now_ms: int) -> list[BlockChange]:
        """Record that a server has outlived prompts with these parts."""
        changes: list[BlockChange] = []
        for part in parts:
            self._sound.keep(part, now_ms)
            suspect = self._suspects.get(part)
            if suspect is not None and suspect.crashes:
                changes += self._clear(part, suspect, tuple(suspect.crashes))
                self.reports.plan(part)
        return changes

    def merge(self, told: Iterable[ToldPart], now_ms: int) -> list[BlockChange]:
        """Merge what another VM tells, or what the store has kept."""
        changes: list[BlockChange] = []
        news = [it for it in told if not self._knows(it)]
        if not news:
            return changes
        self._alike = None
        for part, crashes, cleared, _ in news:
            suspect = self._suspect(part)
            changes += self._clear(part, suspect, cleared)
            for it in crashes:
                if suspect.add(it.server, Crash(it.at_ms(now_ms), it.request)):
                    self._know_outline(part)
                    self._know_doubtful(suspect)
            sound_ms = self._sound.last_ms(part)
            outlived = [
                server
                for server, crash in suspect.crashes.items()
                if sound_ms is not None and crash.at_ms < sound_ms
            ]
            if outlived:
                changes += self._clear(part, suspect, outlived)
                self.reports.plan(part)
        told_blocked = {it.part for it in news if it.blocked}
        changes += self._judge_all([it.part for it in news], told_blocked)
        self._limit(now_ms)
        return changes

    def last_crash_ms(self, suspect: bytes) -> int:
        """Return when the last known crash of a suspect was, 0 if there is none."""
        found = self._suspects.get(suspect)
        return 0 if found is None else found.last_ms()

    def _knows(self, told: ToldPart) -> bool:
        """Return whether nothing that is told of a part is new."""
        suspect = self._suspects.get(told.part)
        if suspect is None:
            return False
        if told.blocked and not suspect.blocked and len(suspect.crashes) >= MIN_CRASHES_TOLD:
            return False
        known = all(suspect.knows(it.server, Crash(0, it.request)) for it in told.crashes)
        return known and all(server in suspect.cleared for server in told.cleared)

    def _suspect(self, part: bytes) -> Suspect:
        suspect = self._suspects.get(part)
        if suspect is None:
            suspect = self._suspects[part] = Suspect(is_request=is_request_key(part))
        self._suspects.move_to_end(part)
        return suspect

    def _judge_all(
        self, suspects: Iterable[bytes], told_blocked: Collection[bytes] = ()
    ) -> list[BlockChange]:
        """Judge suspects of which something was learned.

        Requests first: once one is blocked, it explains the crashes under its parts. Of requests
        those that no server has answered, which are the more suspect: once one is blocked, others
        that servers do answer were only there.
        """
        changes: list[BlockChange] = []
        for it in sorted(suspects, key=self._answered_ms):
            suspect = self._suspects[it]
            found = self._judge(it, suspect, told_blocked=it in told_blocked)
            changes += found
            if suspect.is_request and any(change.blocked for change in found):
                changes += self._exonerate(it, suspect)
        return changes

    def _answered_ms(self, suspect: bytes) -> tuple[bool, int]:
        return (not is_request_key(suspect), self._suspects[suspect].answered_ms)

    def _exonerate(self, blocked: bytes, culprit: Suspect) -> list[BlockChange]:
        """Clear requests that servers have answered of the crashes that a blocked one explains."""
        if culprit.answered_ms:
            return []
        changes: list[BlockChange] = []
        for key, suspect in self._suspects.items():
            explained = suspect.crashes.keys() & culprit.crashes.keys()
            if suspect.is_request and key != blocked and suspect.answered_ms and explained:
                changes += self._clear(key, suspect, explained)
                self.reports.plan(key)
        return changes

    def _judge(
        self, part: bytes, suspect: Suspect, *, told_blocked: bool = False
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
        self.reports.plan(part)
        return [BlockChange(part, True, len(suspect.crashes))]

    def _clear(self, part: bytes, suspect: Suspect, servers: Iterable[bytes]) -> list[BlockChange]:
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
        self.reports.plan(part)
        return [BlockChange(part, False, len(suspect.crashes))]

    def _limit(self, now_ms: int) -> None:
        """Drop parts whose last crash is too old, and the oldest ones beyond the limit."""
        for part, suspect in tuple(self._suspects.items()):
            if suspect.is_request and suspect.drop_undecided(now_ms) and not suspect.crashes:
                self._forget_outline(part)
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

    @property
    def has_doubtful(self) -> bool:
        """Whether there may be a crash that may turn out to be none."""
        return bool(self._doubtful)

    def _know_doubtful(self, suspect: Suspect) -> None:
        self._doubtful |= suspect.doubtful_prefixes()

    def _may_be_doubtful(self, server: bytes) -> bool:
        """Return whether a crash of a server may turn out to be none; most servers have no such."""
        if doubtful_prefix(server) not in self._doubtful:
            return False
        self._doubtful = set().union(*(it.doubtful_prefixes() for it in self._suspects.values()))
        return doubtful_prefix(server) in self._doubtful

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
        self.reports.forget(part)
