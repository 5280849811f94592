"""Which backend server of a region gets a request, by the wait that each one promises.

Load it answers: prompts of which two thirds are shared parts, long prompts among short
questions, servers of which one is slow, fails or is full. A server's wait is the prompt
tokens that still have to be read there, the part of this prompt that it doesn't hold yet, and
a place in its queue once its slots are taken. Prompts with the same last shared part prefer the
same server (by hashing, so all VMs agree without a word) until its wait exceeds another's by
more than the reading it saves. Among many VMs the server is drawn by these waits
(``policy/stale_load.py``).
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hickorybeam.policy.cold_limit import rendezvous_order
from hickorybeam.policy.server_pace import ServerPace
from hickorybeam.policy.stale_load import draw

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Sequence

    from hickorybeam.model.routing import PromptPart, RegisteredServer

__all__ = (
    "PrefixMemory",
    "ServerStanding",
    "choose_server",
    "cost_ms",
    "interference_ms",
    "missing_of",
    "wait_ms",
)

# What one more request in a full server's queue waits, in ms.
QUEUED_MS = 60.0
# What each running request adds through larger batches, in ms; decides among idle servers.
RUNNING_MS = 1.0
# A prompt is read in pieces between the events of the streams that run there, and slows each of
# them by the piece's time: events come late, and whole streams with them. So each running
# request adds this share of the prompt's reading time; long prompts go where few streams run.
INTERFERENCE_SHARE = 0.15
# A told load older than this says nothing any more, in ms.
TOLD_VALID_MS = 1_500
# What a server that fails all requests costs the next one, in ms, counted from the share of
# failures that healthy services have by themselves: where one request in seven fails wherever
# it runs, a third of all would go to another region for it.
FAILURE_MS = 2_000.0
USUAL_FAILING = 0.25
# Another data centre's server is used when it saves this much: bytes between data centres are
# paid for, and a long prompt's are worth about a twentieth of its answer.
OTHER_CENTRE_MS = 80.0
# Of the average share of failures, the last request's weight: at one in seven the average then
# stays below the usual share in 19 of 20 looks, and a server that fails half passes it after 7.
FAILURE_WEIGHT = 0.08
# Requests that may wait in a server's own queue beyond its slots: enough that a slot which
# comes free is taken at once, few enough that none waits there for long.
QUEUED_AT_SERVER = 4
# Of an engine's memory, this share may be promised to requests; beyond it the engine would
# stop one in the middle of its stream to make room, and read it again.
MEMORY_SHARE = 0.9
FIRST_PAUSE_MS = 400
LONGEST_PAUSE_MS = 6_000


class PrefixMemory:
    """Which parts of prompts a server probably holds: those sent there last, by size."""

    def __init__(self) -> None:
        self._parts: OrderedDict[str, int] = OrderedDict()
        self._tokens = 0

    def missing(self, parts: Sequence[PromptPart]) -> int:
        """Return the tokens that the server would have to read."""
        for index, part in enumerate(parts):
            if part.id not in self._parts:
                return sum(rest.tokens for rest in parts[index:])
        return 0

    def sent(self, parts: Iterable[PromptPart], room: int) -> None:
        """Take note of a prompt; the oldest parts give way beyond ``room`` tokens."""
        for part in parts:
            self._tokens += part.tokens - self._parts.pop(part.id, 0)
            self._parts[part.id] = part.tokens
        while self._tokens > room and self._parts:
            _, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens

    def clear(self) -> None:
        """Forget all, as the server did when it started anew."""
        self._parts.clear()
        self._tokens = 0


@dataclass(slots=True, eq=False)
class ServerStanding:
    """What this VM knows of one life of a server.

    ``running`` requests, ``reading`` prompt tokens and ``holding`` tokens are this VM's; those
    ``given`` are of places that it gave to other VMs, and those ``elsewhere`` are what the
    region's other VMs have there besides. ``memory_tokens`` is its size, 0
    where it isn't told.
    """

    server: RegisteredServer
    memory_tokens: int = 0
    running: int = 0
    reading: int = 0
    holding: int = 0
    given: int = 0
    reading_given: int = 0
    holding_given: int = 0
    elsewhere: int = 0
    reading_elsewhere: int = 0
    holding_elsewhere: int = 0
    told_busy: int = 0
    told_ms: int = -TOLD_VALID_MS
    failing: float = 0.0
    paused_until_ms: int = 0
    pause_ms: int = 0
    memory: PrefixMemory = field(default_factory=PrefixMemory)
    pace: ServerPace = field(default_factory=ServerPace)

    def told(self, *, busy: int, now_ms: int) -> None:
        """Take what the server says of itself: requests that run or wait there."""
        self.told_busy = busy
        self.told_ms = now_ms

    def succeeded(self) -> None:
        """Count an answer."""
        self.failing *= 1 - FAILURE_WEIGHT
        self.pause_ms = 0

    def failed(self) -> None:
        """Count a failure that the server answered with."""
        self.failing += FAILURE_WEIGHT * (1 - self.failing)

    def unreachable(self, now_ms: int) -> None:
        """Leave a server that didn't take a connection or fell silent, longer each time."""
        self.failed()
        if now_ms < self.paused_until_ms:
            return
        self.pause_ms = min(LONGEST_PAUSE_MS, max(FIRST_PAUSE_MS, self.pause_ms * 2))
        self.paused_until_ms = now_ms + self.pause_ms

    def busy(self, now_ms: int) -> int:
        """Return how many requests run or wait there, as far as is known."""
        known = self.running + self.given + self.elsewhere
        if now_ms - self.told_ms < TOLD_VALID_MS:
            return max(known, self.told_busy)
        return known

    def to_read(self) -> int:
        """Return the prompt tokens that are still to be read there, as far as is known."""
        return self.reading + self.reading_given + self.reading_elsewhere

    def has_room(self, tokens: int, now_ms: int) -> bool:
        """Whether a request of this size can start there soon."""
        if self.busy(now_ms) >= self.server.slots + QUEUED_AT_SERVER:
            return False
        held = self.holding + self.holding_given + self.holding_elsewhere
        return not self.memory_tokens or held + tokens <= self.memory_tokens * MEMORY_SHARE


def interference_ms(reading_ms: float, running: int) -> float:
    """Return what reading a prompt costs the streams beside it, in ms of waiting.

    :param running: requests that run at the server.
    """
    return reading_ms * running * INTERFERENCE_SHARE


def wait_ms(standing: ServerStanding, missing: int, now_ms: int) -> float:
    """Return how long a request would wait for its first byte at a server.

    :param missing: tokens of its prompt that the server would have to read.
    """
    reading = standing.to_read() + missing
    busy = standing.busy(now_ms)
    queued = max(0, busy + 1 - standing.server.slots)
    return (
        standing.pace.reading_ms(reading)
        + queued * QUEUED_MS
        + busy * RUNNING_MS
        + max(0.0, standing.failing - USUAL_FAILING) * FAILURE_MS
    )


def cost_ms(standing: ServerStanding, missing: int, now_ms: int) -> float:
    """Return a request's wait at a server, and what it costs the streams that run there.

    :param missing: tokens of its prompt that the server would have to read.
    """
    reading_ms = standing.pace.reading_ms(missing)
    others_ms = interference_ms(reading_ms, standing.busy(now_ms))
    return wait_ms(standing, missing, now_ms) + others_ms


def missing_of(standing: ServerStanding, parts: Sequence[PromptPart], tokens: int) -> int:
    """Return the tokens of a prompt that a server would have to read.

    :param tokens: size of the prompt, where its parts aren't told.
    """
    return standing.memory.missing(parts) if parts else tokens


def choose_server(
    standings: Sequence[ServerStanding],
    *,
    parts: Sequence[PromptPart],
    tokens: int,
    now_ms: int,
    rng: random.Random,
    unseen_ms: float = 0.0,
    data_centre: str = "",
) -> ServerStanding | None:
    """Return the server of the least cost; a prompt's own server wins ties of reading.

    :param unseen_ms: reading that other VMs have sent here since they were heard, in ms of one
        server; with none, the shortest wait is taken.
    :param data_centre: where the choosing VM is; its servers are preferred.
    """
    if not standings:
        return None
    home = None
    if len(parts) > 1:
        near = [it for it in standings if it.server.data_centre == data_centre] or standings
        home = rendezvous_order(parts[-2].id, [it.server.id for it in near])[0]
    ordered = sorted(standings, key=lambda it: it.server.id)
    waits = []
    for standing in ordered:
        missing = missing_of(standing, parts, tokens)
        wait = cost_ms(standing, missing, now_ms)
        if standing.server.id == home:
            # As if it held the shared parts: it will from now on.
            shared = sum(part.tokens for part in parts[:-1])
            wait -= standing.pace.reading_ms(min(shared, missing))
        if data_centre and standing.server.data_centre != data_centre:
            wait += OTHER_CENTRE_MS
        waits.append(wait)
    return ordered[draw(waits, unseen_ms, rng)]
