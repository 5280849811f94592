"""Many VMs before model engines that batch: each VM chooses, or one of them does for all.

Simulated time, in ms. An engine reads prompts in pieces between the steps of its streams, so
reading delays every stream there, and it rejects what finds neither a place nor room in its short
queue. A VM knows its own requests at once and those of the others as of their last word. Choices
are those of ``policy/server_choice.py``.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

from hickorybeam.model.routing import PromptPart, RegisteredServer
from hickorybeam.policy.server_choice import PrefixCacheEstimate, ServerState, choose_server
from hickorybeam.policy.stale_load import WorkRate

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ("Pattern", "Result", "play")

STEP_MS, STEP_PER_RUN_MS = 5.0, 0.1
READ_TOKENS_PER_MS, PIECE_TOKENS = 40.0, 1_024
QUEUE, CACHE_TOKENS = 4, 200_000
TARGET_MS, GAP_MS, EVENT_TOKENS = 600.0, 300.0, 5
ROOM_WAIT_MS, LOOK_AGAIN_MS, MOST_SENDS = 300.0, 25.0, 4


@dataclass(frozen=True, slots=True, kw_only=True)
class Pattern:
    """A load: short questions with long answers, long prompts of shared parts with short ones."""

    vms: int
    servers: int
    questions_per_s: float
    prompts_per_s: float
    slots: int = 12
    subjects: int = 40
    word_every_ms: int = 250
    seconds: int = 12


@dataclass(slots=True)
class Result:
    """What callers got, and what it took."""

    asked: int = 0
    punctual: int = 0
    rejected: int = 0
    read_again: int = 0


@dataclass(slots=True, eq=False)
class Run:
    """One request from its caller to its last token."""

    began: float
    parts: tuple[PromptPart, ...]
    output: int
    vm: Vm
    server: int = -1
    missing: int = 0
    unread: int = 0
    made: int = 0
    tried: set[int] = field(default_factory=set)
    last_event: float = 0.0
    late: bool = False


class Vm:
    """One VM's knowledge of all servers."""

    def __init__(self, pattern: Pattern) -> None:
        self.standings = [
            ServerState(
                RegisteredServer(
                    id=f"s{number}",
                    service="m",
                    host="",
                    port=0,
                    data_centre="d",
                    slots=pattern.slots,
                )
            )
            for number in range(pattern.servers)
        ]
        self.told = [(0, 0)] * pattern.servers
        self.recent = WorkRate()


class Engine:
    """A server that batches."""

    def __init__(self) -> None:
        self.running: list[Run] = []
        self.queue: deque[Run] = deque()
        self.cache = PrefixCacheEstimate()
        self.stepping = False


class World:
    """Everything that is simulated."""

    def __init__(self, pattern: Pattern, *, deciders: int, seed: int) -> None:
        self.pattern = pattern
        self.rng = random.Random(seed)
        self.vms = [Vm(pattern) for _ in range(deciders)]
        self.engines = [Engine() for _ in range(pattern.servers)]
        self.totals = [(0, 0)] * pattern.servers
        self.result = Result()
        self.now = 0.0
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    def at(self, due: float, do: Callable[[], None]) -> None:
        """Do something later."""
        heapq.heappush(self._events, (due, next(self._order), do))

    def run(self) -> Result:
        """Play until no request is left."""
        if len(self.vms) > 1:
            for vm in self.vms:
                self.at(self.rng.uniform(0, self.pattern.word_every_ms), partial(self.tell, vm))
        self.arrive(self.pattern.questions_per_s, self.question)
        self.arrive(self.pattern.prompts_per_s, self.prompt)
        while self._events and self.now < self.pattern.seconds * 2_000:
            self.now, _, do = heapq.heappop(self._events)
            do()
        return self.result

    def arrive(self, per_s: float, what: Callable[[], None]) -> None:
        """Let callers come at random, at this mean rate."""

        def come() -> None:
            if self.now < self.pattern.seconds * 1_000:
                what()
                self.arrive(per_s, what)

        self.at(self.now + self.rng.expovariate(per_s / 1_000), come)

    def question(self) -> None:
        """A caller asks a short question."""
        own = PromptPart(str(next(self._order)), self.rng.randint(300, 900))
        self.ask((own,), output=290)

    def prompt(self) -> None:
        """A caller sends a long prompt on one of the subjects."""
        shared = PromptPart(f"subject {self.rng.randrange(self.pattern.subjects)}", 6_300)
        own = PromptPart(str(next(self._order)), self.rng.randint(1_000, 4_800))
        self.ask((shared, own), output=50)

    def ask(self, parts: tuple[PromptPart, ...], *, output: int) -> None:
        """Begin a request at a random VM."""
        self.result.asked += 1
        run = Run(self.now, parts, output, self.rng.choice(self.vms))
        self.send(run)

    def send(self, run: Run) -> None:
        """Send it where its VM chooses, or look again soon while there is no room."""
        vm, now = run.vm, int(self.now)
        open_to = [
            it
            for number, it in enumerate(vm.standings)
            if number not in run.tried and it.has_room(0, now)
        ]
        found = choose_server(
            open_to,
            parts=run.parts,
            prompt_tokens=0,
            now_ms=now,
            rng=self.rng,
            unreported_ms=vm.recent.rate(now) * (len(self.vms) - 1) * self.pattern.word_every_ms,
        )
        if found is not None:
            self.take(run, found)
        elif self.now - run.began < ROOM_WAIT_MS and len(run.tried) < MOST_SENDS:
            self.at(self.now + LOOK_AGAIN_MS, lambda: self.send(run))

    def take(self, run: Run, standing: ServerState) -> None:
        """Let an engine take or reject it."""
        run.server = run.vm.standings.index(standing)
        engine = self.engines[run.server]
        if len(engine.running) + len(engine.queue) >= self.pattern.slots + QUEUE:
            self.result.rejected += 1
            run.tried.add(run.server)
            self.at(self.now + 1, lambda: self.send(run))
            return
        run.missing = standing.prefixes.uncached_tokens(run.parts)
        standing.prefixes.add(run.parts, CACHE_TOKENS)
        standing.own_requests += 1
        standing.own_prefill_tokens += run.missing
        run.vm.recent.record(standing.speed.prefill_ms(run.missing), int(self.now))
        engine.queue.append(run)
        if not engine.stepping:
            engine.stepping = True
            self.step(engine)

    def step(self, engine: Engine) -> None:
        """Begin one step: waiting requests get places, one prompt is read a piece further."""
        while engine.queue and len(engine.running) < self.pattern.slots:
            run = engine.queue.popleft()
            run.unread = engine.cache.uncached_tokens(run.parts)
            self.result.read_again += sum(
                it.tokens for it in run.parts[:-1] if run.unread > it.tokens
            )
            engine.cache.add(run.parts, CACHE_TOKENS)
            engine.running.append(run)
        if not engine.running:
            engine.stepping = False
            return
        reads = next((run for run in engine.running if run.unread), None)
        piece = min(PIECE_TOKENS, reads.unread) if reads else 0
        took = STEP_MS + STEP_PER_RUN_MS * len(engine.running) + piece / READ_TOKENS_PER_MS
        self.at(self.now + took, lambda: self.stepped(engine, reads, piece))

    def stepped(self, engine: Engine, reads: Run | None, piece: int) -> None:
        """End a step: each stream that has been read has one more token."""
        for run in engine.running:
            if not run.unread:
                self.token(run)
        if reads is not None:
            reads.unread -= piece
            if not reads.unread:
                reads.vm.standings[reads.server].own_prefill_tokens -= reads.missing
        for run in [run for run in engine.running if run.made >= run.output]:
            engine.running.remove(run)
            run.vm.standings[run.server].own_requests -= 1
            self.result.punctual += not run.late
        self.step(engine)

    def token(self, run: Run) -> None:
        """Count a token; every few of them are an event that its caller gets."""
        run.made += 1
        if run.made % EVENT_TOKENS:
            return
        first = run.made == EVENT_TOKENS
        waited = self.now - (run.began if first else run.last_event)
        run.late |= waited > (TARGET_MS if first else GAP_MS)
        run.last_event = self.now

    def tell(self, vm: Vm) -> None:
        """Tell all others what a VM has, and let it hear what they told."""
        own = [(it.own_requests, it.own_prefill_tokens) for it in vm.standings]
        self.totals = [
            (total[0] - before[0] + now[0], total[1] - before[1] + now[1])
            for total, before, now in zip(self.totals, vm.told, own, strict=True)
        ]
        vm.told = own
        for standing, total, mine in zip(vm.standings, self.totals, own, strict=True):
            standing.peer_requests = total[0] - mine[0]
            standing.peer_prefill_tokens = total[1] - mine[1]
        self.at(self.now + self.pattern.word_every_ms, lambda: self.tell(vm))


def play(pattern: Pattern, *, one_places: bool, seed: int) -> Result:
    """Play a load once.

    :param one_places: one VM chooses for all of them.
    """
    return World(pattern, deciders=1 if one_places else pattern.vms, seed=seed).run()
