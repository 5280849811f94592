"""Choose the backend server of a region that runs a request.

A request goes where its expected wait is shortest. The wait at a server covers the prompt tokens
that are still to be prefilled there, the part of this prompt that its prefix cache lacks, and a
turn in its own queue once its slots are taken. This holds for prompts of which two thirds are
shared parts, for long prompts among short questions, and when a server is slow, fails or is full.

Prompts with the same last shared part prefer the same server until its wait exceeds another's by
more than the prefill that its cache saves. Rendezvous hashing finds that server, so all VMs agree
without messages. Among many VMs the server is drawn at random by these waits
(``policy/stale_load.py``).
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass, field
from operator import attrgetter
from typing import TYPE_CHECKING

from hickorybeam.policy.rendezvous import rendezvous_first
from hickorybeam.policy.server_speed import ServerSpeed
from hickorybeam.policy.stale_load import draw_server
from hickorybeam.policy.start_doubt import StartDoubt
from hickorybeam.policy.stream_versions import UNKNOWN_VERSION, version_key
from hickorybeam.policy.time_factor import TimeFactor

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Sequence

    from hickorybeam.model.routing import PromptPart, RegisteredServer

__all__ = (
    "PrefixCacheEstimate",
    "ServerState",
    "choose_server",
    "expected_wait_ms",
    "interference_ms",
    "placement_cost_ms",
    "uncached_prompt_tokens",
)

# Delay that each request in flight adds through larger batches; decides among idle servers.
DELAY_PER_IN_FLIGHT_MS = 1.0
# An engine prefills a prompt in chunks between the decode steps of its streams, which delays all
# of them by the duration of a chunk. So each request in flight adds this share of the prompt's
# prefill time to its cost: long prompts go where few streams run.
INTERFERENCE_SHARE = 0.15
# Load that a server reported of itself is ignored when older than this.
MAX_LOAD_AGE_MS = 1_500
# Penalty for a failure rate of 1 above the baseline. Failures up to the baseline cost nothing: if
# one request in seven fails on any server, a third of all would go to another region for it.
FAILURE_PENALTY_MS = 2_000.0
BASELINE_FAILURE_RATE = 0.25
# A server of another data centre has to save this much. Traffic between data centres is paid
# for, and that of a long prompt costs about a twentieth of its response.
REMOTE_DATA_CENTRE_PENALTY_MS = 80.0
# Weight of the latest request in the average failure rate. With one failure in seven the average
# is below the baseline 19 times out of 20; a server that fails half exceeds it after 7 requests.
FAILURE_WEIGHT = 0.08
# Requests in a server's own queue beyond its slots, as a share of them and at least: enough that a
# free slot is taken at once, few enough that none waits there for long. More slots come free at
# once than are heard of one by one.
MAX_QUEUED_SHARE_OF_SLOTS = 1 / 6
MIN_QUEUED_AT_SERVER = 4
# A stream that has begun may be sent to a server that seems to have so many times its slots taken.
# What a VM had there that is gone stays counted until others notice, and the streams that are taken
# up after that are the same ones. A server that is full indeed rejects them.
BEGUN_SLOTS_FACTOR = 2
# Share of an engine's cache that requests may reserve. An engine that runs out of cache preempts
# a request in the middle of its stream and prefills it again.
MAX_CACHE_SHARE = 0.9
INITIAL_BACKOFF_MS = 400
MAX_BACKOFF_MS = 6_000


class PrefixCacheEstimate:
    """Prompt parts that a server's prefix cache probably holds: the last ones sent there."""

    def __init__(self) -> None:
        self._parts: OrderedDict[str, int] = OrderedDict()
        self._tokens = 0

    def uncached_tokens(self, parts: Sequence[PromptPart]) -> int:
        """Return the prompt tokens that the server would have to prefill."""
        for index, part in enumerate(parts):
            if part.id not in self._parts:
                return sum(rest.tokens for rest in parts[index:])
        return 0

    def add(self, parts: Iterable[PromptPart], max_tokens: int) -> None:
        """Add a prompt that is sent there, and evict the oldest parts beyond ``max_tokens``."""
        for part in parts:
            self._tokens += part.tokens - self._parts.pop(part.id, 0)
            self._parts[part.id] = part.tokens
        while self._tokens > max_tokens and self._parts:
            _, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens

    def clear(self) -> None:
        """Remove all parts, since the server has restarted with an empty cache."""
        self._parts.clear()
        self._tokens = 0


@dataclass(slots=True, eq=False)
class ServerState:
    """Load, failures, cache and speed of one incarnation of a server, as this VM knows them.

    Load consists of requests, prompt tokens that are not prefilled yet, and tokens held in the
    engine's cache. ``own_...`` is the load of this VM's requests, ``granted_...`` that of slots
    which this VM granted to other VMs, ``peer_...`` what the region's other VMs have there
    besides. ``reported_requests`` run or wait there as the server said at ``reported_ms``,
    ``unknown_requests`` of them beside those that were known here then. ``cache_tokens`` is the
    size of the cache, 0 where it isn't declared. ``limit_per_s`` is the rate that the server has
    last named as its limit for all VMs together, infinite if it names none, as of the response at
    ``limit_heard_ms``. Until ``rest_until_ms`` the server wants no requests of this VM.
    ``said_leaving``: a response said that the server will end soon. ``version_key`` is the key of
    its software's version. ``heard_ms`` is when this VM last heard from the server, ``listed_ms``
    when its entry first came and ``renewed_ms`` when it last changed. ``frames`` tells whether its
    latest response had a length or chunks, ``None`` before the first one. ``start_doubt`` holds the
    signs that it has ended since its entry came, and may have started again; ``None`` without any.
    """

    server: RegisteredServer
    cache_tokens: int = 0
    own_requests: int = 0
    own_prefill_tokens: int = 0
    own_held_tokens: int = 0
    granted_requests: int = 0
    granted_prefill_tokens: int = 0
    granted_held_tokens: int = 0
    peer_requests: int = 0
    peer_prefill_tokens: int = 0
    peer_held_tokens: int = 0
    reported_requests: int = 0
    unknown_requests: int = 0
    reported_ms: int = -MAX_LOAD_AGE_MS
    failure_rate: float = 0.0
    backoff_until_ms: int = 0
    backoff_ms: int = 0
    prefixes: PrefixCacheEstimate = field(default_factory=PrefixCacheEstimate)
    speed: ServerSpeed = field(default_factory=ServerSpeed)
    time_factor: TimeFactor = field(default_factory=TimeFactor)
    limit_per_s: float = math.inf
    limit_heard_ms: int | None = None
    rest_until_ms: int = 0
    said_leaving: bool = False
    heard_ms: int = 0
    listed_ms: int = 0
    renewed_ms: int = 0
    frames: bool | None = None
    start_doubt: StartDoubt | None = None
    version_key: bytes = field(init=False)

    def __post_init__(self) -> None:
        """Compute the version's key; another version is another incarnation."""
        self.version_key = version_key(self.server.service, self.server.version)

    def doubt_start(self, now_ms: int) -> None:
        """Record a sign that the server has ended, and may start again under its id."""
        if self.start_doubt is None:
            self.start_doubt = StartDoubt(now_ms, now_ms)
        else:
            self.start_doubt.note_sign(now_ms)

    def version_key_on(self, opened_ms: int) -> bytes:
        """Return the key of the version that answers on a connection opened at a time."""
        doubt = self.start_doubt
        if doubt is None or opened_ms < doubt.proven_before_ms:
            return self.version_key
        return UNKNOWN_VERSION

    @property
    def names_limit(self) -> bool:
        """Whether the server limits the rate that it takes."""
        return math.isfinite(self.limit_per_s)

    def record_limit(self, per_s: float, heard_ms: int) -> bool:
        """Record the limit of a response, unless a later response is known.

        :param per_s: requests per second, infinite if the response named no limit.
        :return: whether the limit has changed.
        """
        if self.limit_heard_ms is not None and heard_ms < self.limit_heard_ms:
            return False
        changed = per_s != self.limit_per_s
        self.limit_per_s, self.limit_heard_ms = per_s, heard_ms
        return changed

    def record_rest(self, rest_ms: int, now_ms: int) -> None:
        """Record that the server asked this VM for rest; a shorter one doesn't end a longer one."""
        self.rest_until_ms = max(self.rest_until_ms, now_ms + rest_ms)

    def adopt_notices(self, earlier: ServerState) -> None:
        """Adopt what the server said of itself before its entry was gone for a while."""
        self.limit_per_s, self.limit_heard_ms = earlier.limit_per_s, earlier.limit_heard_ms
        self.rest_until_ms = earlier.rest_until_ms
        self.said_leaving = earlier.said_leaving

    def is_resting(self, now_ms: int) -> bool:
        """Return whether the server wants no requests of this VM."""
        return now_ms < self.rest_until_ms

    def record_load(self, *, busy: int, now_ms: int) -> None:
        """Record the load that the server reports of itself.

        :param busy: requests that run or wait there.
        """
        self.reported_requests = busy
        known = self.own_requests + self.granted_requests + self.peer_requests
        self.unknown_requests = max(0, busy - known)
        self.reported_ms = now_ms

    def record_success(self) -> None:
        """Record a response; the next back-off starts at its minimum again."""
        self.failure_rate *= 1 - FAILURE_WEIGHT
        self.backoff_ms = 0

    def record_failure(self) -> None:
        """Record a failure that the server responded with."""
        self.failure_rate += FAILURE_WEIGHT * (1 - self.failure_rate)

    def record_unreachable(self, now_ms: int) -> None:
        """Back off from a server that refused a connection or fell silent, longer each time."""
        self.record_failure()
        if now_ms < self.backoff_until_ms:
            return
        self.backoff_ms = min(MAX_BACKOFF_MS, max(INITIAL_BACKOFF_MS, self.backoff_ms * 2))
        self.backoff_until_ms = now_ms + self.backoff_ms

    def in_flight(self, now_ms: int) -> int:
        """Return how many requests are known to run or wait there.

        What the server reported beyond those known then still runs, while of the known ones the
        ends are known as well. Taken for as busy as it said, a server that was full once would get
        nothing until its report is too old, though its slots are free. Others' requests become
        known by their reports later, so there are no more than the server said or are known.
        """
        known = self.own_requests + self.granted_requests + self.peer_requests
        if now_ms - self.reported_ms >= MAX_LOAD_AGE_MS:
            return known
        return max(known, min(self.reported_requests, known + self.unknown_requests))

    def prefill_ms(self, tokens: float, now_ms: int) -> float:
        """Return how long the server takes to prefill this many tokens as fast as it is now."""
        return self.speed.prefill_ms(tokens) * self.time_factor.at(now_ms)

    def queue_wait_ms(self, in_flight: int) -> float:
        """Return how long a new request usually waits in the server's own queue for a slot.

        :param in_flight: requests that run or wait there.
        """
        slots = self.server.slots
        if in_flight < slots:
            return 0.0
        return (in_flight + 1 - slots) * self.speed.queue_step_ms(slots)

    def pending_prefill_tokens(self) -> int:
        """Return how many prompt tokens are known to be still to be prefilled there."""
        return self.own_prefill_tokens + self.granted_prefill_tokens + self.peer_prefill_tokens

    def has_room(self, tokens: int, now_ms: int) -> bool:
        """Return whether a request that holds this many tokens can start there soon."""
        slots = self.server.slots
        queued = max(MIN_QUEUED_AT_SERVER, int(slots * MAX_QUEUED_SHARE_OF_SLOTS))
        if self.time_factor.is_slow(now_ms):
            # What would wait there waits here: until a slot is free, another may be faster.
            queued = 0
        if self.in_flight(now_ms) >= slots + queued:
            return False
        held = self.own_held_tokens + self.granted_held_tokens + self.peer_held_tokens
        return not self.cache_tokens or held + tokens <= self.cache_tokens * MAX_CACHE_SHARE

    def may_take_begun(self, now_ms: int) -> bool:
        """Return whether a stream that has begun may go on there though there seems to be no room.

        The caller has a part of it, and no server of another version can give it the rest.
        """
        return self.in_flight(now_ms) < self.server.slots * BEGUN_SLOTS_FACTOR


def interference_ms(prefill_ms: float, in_flight: int) -> float:
    """Return the delay that prefilling a prompt causes to the streams beside it, as a wait in ms.

    :param in_flight: requests at the server.
    """
    return prefill_ms * in_flight * INTERFERENCE_SHARE


def expected_wait_ms(state: ServerState, uncached: int, now_ms: int) -> float:
    """Return the expected time to a request's first byte at a server.

    :param uncached: tokens of its prompt that the server would have to prefill.
    """
    return _wait_ms(state, uncached, state.in_flight(now_ms), state.time_factor.at(now_ms))


def placement_cost_ms(state: ServerState, uncached: int, now_ms: int) -> float:
    """Return a request's expected wait at a server plus the delay it causes to streams there.

    :param uncached: tokens of its prompt that the server would have to prefill.
    """
    in_flight, factor = state.in_flight(now_ms), state.time_factor.at(now_ms)
    delay_ms = interference_ms(state.speed.prefill_ms(uncached) * factor, in_flight)
    return _wait_ms(state, uncached, in_flight, factor) + delay_ms


def _wait_ms(state: ServerState, uncached: int, in_flight: int, factor: float) -> float:
    pending = state.pending_prefill_tokens() + uncached
    usual_ms = (
        state.speed.prefill_ms(pending)
        + state.queue_wait_ms(in_flight)
        + in_flight * DELAY_PER_IN_FLIGHT_MS
    )
    return (
        usual_ms * factor
        + max(0.0, state.failure_rate - BASELINE_FAILURE_RATE) * FAILURE_PENALTY_MS
    )


def uncached_prompt_tokens(
    state: ServerState, parts: Sequence[PromptPart], prompt_tokens: int
) -> int:
    """Return the tokens of a prompt that a server would have to prefill.

    :param prompt_tokens: size of the prompt, used where its parts aren't declared.
    """
    return state.prefixes.uncached_tokens(parts) if parts else prompt_tokens


def choose_server(
    states: Sequence[ServerState],
    *,
    parts: Sequence[PromptPart],
    prompt_tokens: int,
    now_ms: int,
    rng: random.Random,
    unreported_ms: float = 0.0,
    data_centre: str = "",
    ranking: Sequence[str] | None = None,
) -> ServerState | None:
    """Return the server with the least cost, favouring the one that the prompt's prefix prefers.

    :param unreported_ms: prefill work that other VMs have sent since their last status reports,
        in ms of one server; with none, the server with the least cost is taken.
    :param data_centre: data centre of the VM that sends; its servers are preferred.
    :param ranking: ids of servers by the preference of the prompt's last shared part, if they are
        ranked already.
    """
    if not states:
        return None
    ordered = sorted(states, key=attrgetter("server.id"))
    preferred = None
    if ranking:
        names = {it.server.id for it in states}
        preferred = next((name for name in ranking if name in names), None)
    if preferred is None and len(parts) > 1:
        local = [it for it in states if it.server.data_centre == data_centre] or states
        preferred = rendezvous_first(parts[-2].id, [it.server.id for it in local])
    costs = []
    for state in ordered:
        uncached = uncached_prompt_tokens(state, parts, prompt_tokens)
        cost = placement_cost_ms(state, uncached, now_ms)
        if state.server.id == preferred:
            # Counted as if it held the shared parts already: from now on it will.
            shared = sum(part.tokens for part in parts[:-1])
            cost -= state.prefill_ms(min(shared, uncached), now_ms)
        if data_centre and state.server.data_centre != data_centre:
            cost += REMOTE_DATA_CENTRE_PENALTY_MS
        costs.append(cost)
    return ordered[draw_server(costs, unreported_ms, rng)]
