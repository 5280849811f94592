"""The inside of the stand-in engine: continuous batching, prefix cache and its events."""

from __future__ import annotations

import hashlib
import heapq
import itertools
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio

from hickorybeam.standins.prefix_cache import CachedPart, PrefixCache

if TYPE_CHECKING:
    from collections.abc import Sequence

    from hickorybeam.clock import Clock

__all__ = (
    "Batch",
    "CacheEvent",
    "EngineShape",
    "LoadSnapshot",
    "Stream",
    "start_of",
    "token_text",
)

PREFIX_CHARS = 64
CHARS_PER_TOKEN = 4
KEPT_STREAMS = 4_096
KEPT_EVENTS = 4_096
REPORTED_PREFIXES = 64


def token_text(model: str, prompt: str, position: int) -> str:
    """Return the text of one token, so that a test can tell the whole answer beforehand."""
    digest = hashlib.sha256(f"{model}\n{prompt}".encode()).hexdigest()[:8]
    return f"{digest}.{position} "


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineShape:
    """How fast the engine is.

    One step gives each running sequence a token and takes ``step_ms`` plus
    ``per_sequence_ms`` for each of them, so that the token rate of one sequence falls with
    the batch. Prompt tokens that are not cached add ``1 / prefill_per_ms`` each.
    """

    slots: int = 16
    step_ms: float = 4.0
    per_sequence_ms: float = 0.5
    prefill_per_ms: float = 20.0
    cache_tokens: int = 50_000
    load_lag_ms: int = 200
    event_lag_ms: int = 500
    event_gap_every: int = 7
    order_ms: int = 20


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadSnapshot:
    """What the engine knew of itself at one moment."""

    at_ms: int
    running: int
    waiting: int
    tokens_in_flight: int
    cached_prefixes: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class CacheEvent:
    """A prefix that was stored or evicted."""

    seq: int
    at_ms: int
    kind: str
    prefix: str


@dataclass(slots=True, kw_only=True)
class Stream:
    """One sequence: what it was asked and how far it has come."""

    id: str
    model: str
    prompt: str
    prompt_tokens: int
    max_tokens: int
    priority: int
    arrival: int
    parts: tuple[CachedPart, ...]
    produced: int = 0
    done: bool = False
    cancelled: bool = False
    cached_tokens: int = 0
    changed: anyio.Event = field(default_factory=anyio.Event)

    def tell(self) -> None:
        """Wake every reader."""
        self.changed.set()
        self.changed = anyio.Event()


class Batch:
    """The engine's queue, running batch and prefix cache, advanced by one task."""

    def __init__(self, shape: EngineShape, clock: Clock) -> None:
        self.shape = shape
        self.slowdown = 1.0
        self.streams: OrderedDict[str, Stream] = OrderedDict()
        self.cancels: list[str] = []
        self._clock = clock
        self._order = itertools.count()
        self._waiting: list[tuple[int, int, Stream]] = []
        self._running: list[Stream] = []
        self._cache = PrefixCache(shape.cache_tokens, self._tell_event)
        self._events: deque[CacheEvent] = deque(maxlen=KEPT_EVENTS)
        self._event_seq = itertools.count(1)
        self._history: deque[LoadSnapshot] = deque()
        self._work = anyio.Event()

    def submit(
        self,
        *,
        stream_id: str,
        model: str,
        prompt: str,
        prompt_tokens: int,
        max_tokens: int,
        priority: int,
        parts: Sequence[CachedPart] = (),
    ) -> Stream:
        """Queue a sequence; a higher priority starts first.

        :param parts: what its prompt is made of; left out, only its start can be shared.
        """
        stream = Stream(
            id=stream_id,
            model=model,
            prompt=prompt,
            prompt_tokens=prompt_tokens,
            max_tokens=max_tokens,
            priority=priority,
            arrival=next(self._order),
            parts=tuple(parts) or (start_of(model, prompt, prompt_tokens),),
        )
        self.streams[stream_id] = stream
        while len(self.streams) > KEPT_STREAMS:
            self.streams.popitem(last=False)
        heapq.heappush(self._waiting, (-priority, stream.arrival, stream))
        self._note_load()
        self._work.set()
        return stream

    def cancel(self, stream_id: str) -> bool:
        """Stop a sequence; its slot is free at the next step."""
        stream = self.streams.get(stream_id)
        if stream is None:
            return False
        self.cancels.append(stream_id)
        if not stream.done:
            stream.cancelled = True
            stream.done = True
            stream.tell()
        return True

    async def run(self) -> None:
        """Step for ever."""
        while True:
            prefill = self._admit()
            if not self._running:
                self._work = anyio.Event()
                await self._work.wait()
                continue
            step = self.shape.step_ms + self.shape.per_sequence_ms * len(self._running)
            await self._clock.sleep((step + prefill / self.shape.prefill_per_ms) * self.slowdown)
            self._step()

    @property
    def running(self) -> int:
        """How many sequences are in the batch now."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """How many sequences wait for a place in the batch now."""
        return sum(not stream.done for _, _, stream in self._waiting)

    def load(self) -> LoadSnapshot:
        """Return the newest snapshot that is at least as old as the lag."""
        self._note_load()
        newest = self._clock.now() - self.shape.load_lag_ms
        while len(self._history) > 1 and self._history[1].at_ms <= newest:
            self._history.popleft()
        return self._history[0]

    def events_after(self, seq: int) -> list[CacheEvent]:
        """Return late events past a number, with some lost on the way."""
        newest = self._clock.now() - self.shape.event_lag_ms
        return [
            event
            for event in self._events
            if event.seq > seq
            and event.at_ms <= newest
            and event.seq % self.shape.event_gap_every != 0
        ]

    def _admit(self) -> int:
        prefill = 0
        while self._waiting and len(self._running) < self.shape.slots:
            _, _, stream = heapq.heappop(self._waiting)
            if stream.done:
                continue
            stream.cached_tokens = self._cache.read(stream.parts)
            prefill += stream.prompt_tokens - stream.cached_tokens
            self._running.append(stream)
        return prefill

    def _step(self) -> None:
        for stream in self._running:
            if stream.done:
                continue
            stream.produced += 1
            stream.done = stream.produced >= stream.max_tokens
            stream.tell()
        self._running = [stream for stream in self._running if not stream.done]
        self._note_load()

    def _tell_event(self, kind: str, prefix: str) -> None:
        self._events.append(
            CacheEvent(seq=next(self._event_seq), at_ms=self._clock.now(), kind=kind, prefix=prefix)
        )

    def _note_load(self) -> None:
        now = self._clock.now()
        if self._history and now - self._history[-1].at_ms < self.shape.load_lag_ms // 8:
            return
        waiting = [stream for _, _, stream in self._waiting if not stream.done]
        running = [stream for stream in self._running if not stream.done]
        snapshot = LoadSnapshot(
            at_ms=now,
            running=len(running),
            waiting=len(waiting),
            tokens_in_flight=sum(
                stream.prompt_tokens + stream.max_tokens - stream.produced
                for stream in (*waiting, *running)
            ),
            cached_prefixes=tuple(itertools.islice(self._cache.newest(), REPORTED_PREFIXES)),
        )
        self._history.append(snapshot)


def start_of(model: str, prompt: str, prompt_tokens: int, *, name: str = "") -> CachedPart:
    """Return the start of a prompt that doesn't tell its parts.

    :param name: what its caller calls it; its digest if left out.
    """
    name = name or hashlib.sha256(f"{model}\n{prompt[:PREFIX_CHARS]}".encode()).hexdigest()[:16]
    return CachedPart(name, min(prompt_tokens, PREFIX_CHARS // CHARS_PER_TOKEN))
