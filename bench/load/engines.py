"""A small fake of an engine with continuous batching, on simulated time.

One decode step gives a token to each running request and takes longer with more of them;
prompts are read in chunks within the steps; prompt prefixes are cached in a bounded LRU.
The figures give about 1000 tokens a second at 16 requests, the rated output used in the
scenarios.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hickorybeam.model import BackendKind, BackendServer, LoadReport

if TYPE_CHECKING:
    from collections.abc import Callable

STEP_MS = 8.0
STEP_PER_REQUEST_MS = 0.5
PREFILL_TOKENS_PER_MS = 8.0
PREFILL_CHUNK = 512
CACHED_PREFIXES = 20
PREFIX_SHARE = 0.8


@dataclass(slots=True)
class Work:
    """One request at an engine."""

    job_id: int
    prompt: float
    output: int
    cost: int
    prefix: str
    first: Callable[[float], None]
    end: Callable[[float, bool], None]
    made: int = 0
    gone: bool = False


@dataclass(slots=True)
class Engine:
    """An engine, its batch, its own queue and its faults."""

    name: str
    region: str
    slots: int = 16
    slowdown: float = 1.0
    dead: bool = False
    fails_fast: bool = False
    batch: list[Work] = field(default_factory=list)
    queue: deque[Work] = field(default_factory=deque)
    cache: OrderedDict[str, None] = field(default_factory=OrderedDict)
    stepping: bool = False
    hits: int = 0
    lookups: int = 0

    def spec(self) -> BackendServer:
        """Return what an operator would declare."""
        return BackendServer(
            name=self.name,
            kind=BackendKind.ENGINE,
            region=self.region,
            data_centre=self.region,
            host="",
            port=0,
            serves=("model",),
            slots=self.slots,
            tokens_per_s=1_000.0,
        )

    def report(self, now: float, lag: float) -> LoadReport:
        """Return a load report that arrives ``lag`` ms from now."""
        work = [*self.batch, *self.queue]
        return LoadReport(
            backend=self.name,
            at_ms=int(now + lag),
            lag_ms=int(lag),
            running=len(self.batch),
            waiting=len(self.queue),
            tokens_in_flight=sum(one.cost for one in work),
        )

    def accept(self, work: Work) -> None:
        """Take a request into the engine's own queue."""
        self.queue.append(work)

    def step(self) -> tuple[float, list[Work], list[Work]]:
        """Make one step; return its ms and the requests with a first and a last token."""
        self.queue = deque(work for work in self.queue if not work.gone)
        self.batch = [work for work in self.batch if not work.gone]
        while self.queue and len(self.batch) < self.slots:
            work = self.queue.popleft()
            self._use_cache(work)
            self.batch.append(work)
        room = float(PREFILL_CHUNK)
        first: list[Work] = []
        last: list[Work] = []
        for work in self.batch:
            if work.prompt > 0:
                read = min(room, work.prompt)
                room -= read
                work.prompt -= read
                if work.prompt > 0:
                    continue
            work.made += 1
            if work.made == 1:
                first.append(work)
            if work.made >= work.output:
                last.append(work)
        self.batch = [work for work in self.batch if work.made < work.output]
        took = STEP_MS + STEP_PER_REQUEST_MS * (len(self.batch) + len(last))
        took += (PREFILL_CHUNK - room) / PREFILL_TOKENS_PER_MS
        return took * self.slowdown, first, last

    def kill(self) -> list[Work]:
        """Die: every request is cut off."""
        self.dead = True
        cut = [*self.batch, *self.queue]
        self.batch, self.queue = [], deque()
        self.cache.clear()
        return [work for work in cut if not work.gone]

    def _use_cache(self, work: Work) -> None:
        if not work.prefix:
            return
        self.lookups += 1
        if work.prefix in self.cache:
            self.hits += 1
            work.prompt *= 1 - PREFIX_SHARE
        self.cache[work.prefix] = None
        self.cache.move_to_end(work.prefix)
        if len(self.cache) > CACHED_PREFIXES:
            self.cache.popitem(last=False)
