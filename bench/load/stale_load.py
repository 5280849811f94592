"""Many VMs before the same servers, each hearing late what the others sent; simulated time.

A server reads one prompt after the other. A VM knows its own prompts at once, and those of the
others as of their last word. Waits are in ms.
"""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hickorybeam.policy.stale_load import WorkRate, draw_server

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ("POLICIES", "Pattern", "play")

# Prompts differ in length about as those of the users' long requests do.
WORK_SPREAD = 0.8


@dataclass(frozen=True, slots=True, kw_only=True)
class Pattern:
    """A load: ``work_ms`` is the mean reading of a prompt, ``busy`` the servers' share of it."""

    vms: int
    servers: int
    busy: float
    work_ms: float = 100.0
    word_every_ms: int = 200
    seconds: int = 20


@dataclass(slots=True)
class Vm:
    """What one VM has at each server, and what it told the others last."""

    servers: int
    jobs: list[tuple[float, int, float]] = field(default_factory=list)
    own: list[float] = field(default_factory=list)
    running: list[int] = field(default_factory=list)
    told: list[float] = field(default_factory=list)
    recent: WorkRate = field(default_factory=WorkRate)
    turn: int = 0

    def __post_init__(self) -> None:
        """Start with nothing at any server."""
        self.own, self.told = [0.0] * self.servers, [0.0] * self.servers
        self.running = [0] * self.servers

    def forget_done(self, now: float) -> None:
        """Take out what has been read."""
        while self.jobs and self.jobs[0][0] <= now:
            _, server, work = heapq.heappop(self.jobs)
            self.own[server] -= work
            self.running[server] -= 1

    def send(self, server: int, work: float, done: float, now: float) -> None:
        """Take note of a prompt that is read at ``done``."""
        heapq.heappush(self.jobs, (done, server, work))
        self.own[server] += work
        self.running[server] += 1
        self.recent.record(work, round(now))


class World:
    """The servers, the VMs and what was told."""

    def __init__(self, pattern: Pattern, rng: random.Random) -> None:
        self.pattern = pattern
        self.rng = rng
        self.free_at = [0.0] * pattern.servers
        self.vms = [Vm(pattern.servers) for _ in range(pattern.vms)]
        self.told = [0.0] * pattern.servers
        self.now = 0.0

    def waits(self, vm: Vm) -> list[float]:
        """Return the servers' waits as a VM knows them."""
        sums = zip(self.told, vm.told, vm.own, strict=True)
        return [told - mine + own for told, mine, own in sums]

    def unseen_ms(self, vm: Vm) -> float:
        """Return what the others sent within the time between two words.

        They were heard half of it ago in the mean; twice that gave the shortest waits at 3 to
        43 VMs and words 100 to 500 ms apart.
        """
        others = len(self.vms) - 1
        return vm.recent.rate(round(self.now)) * others * self.pattern.word_every_ms

    def tell(self, vm: Vm) -> None:
        """Tell all others what a VM has at each server."""
        vm.forget_done(self.now)
        self.told = [
            told - before + own
            for told, before, own in zip(self.told, vm.told, vm.own, strict=True)
        ]
        vm.told = list(vm.own)

    def ask(self, vm: Vm, choose: Callable[[World, Vm], int]) -> float:
        """Send one prompt; :return: how long it waited."""
        vm.forget_done(self.now)
        server = choose(self, vm)
        work = self.pattern.work_ms * self.rng.lognormvariate(-(WORK_SPREAD**2) / 2, WORK_SPREAD)
        wait = max(0.0, self.free_at[server] - self.now)
        self.free_at[server] = self.now + wait + work
        vm.send(server, work, self.free_at[server], self.now)
        return wait


def drawn(world: World, vm: Vm) -> int:
    """Draw by what the others send unseen."""
    return draw_server(world.waits(vm), world.unseen_ms(vm), world.rng)


def shortest(world: World, vm: Vm) -> int:
    """Take the shortest wait that is known."""
    waits = world.waits(vm)
    return waits.index(min(waits))


def round_robin(world: World, vm: Vm) -> int:
    """Take one server after the other."""
    vm.turn += 1
    return (vm.turn + world.vms.index(vm)) % len(world.free_at)


def least_requests(world: World, vm: Vm) -> int:
    """Take the server with the fewest requests of this VM, any of them."""
    least = min(vm.running)
    return world.rng.choice([it for it, count in enumerate(vm.running) if count == least])


POLICIES: dict[str, Callable[[World, Vm], int]] = {
    "drawn": drawn,
    "shortest": shortest,
    "round-robin": round_robin,
    "least-requests": least_requests,
}


def play(pattern: Pattern, policy: str, seed: int) -> list[float]:
    """Return the waits of all prompts, sorted."""
    rng = random.Random(seed)
    world = World(pattern, rng)
    end = pattern.seconds * 1000
    every = pattern.work_ms / pattern.busy / pattern.servers
    order = itertools.count()
    events: list[tuple[float, int, Vm | None]] = [(rng.expovariate(1 / every), next(order), None)]
    events += [(rng.uniform(0, pattern.word_every_ms), next(order), vm) for vm in world.vms]
    heapq.heapify(events)
    waits = []
    while events[0][0] < end:
        world.now, _, vm = heapq.heappop(events)
        if vm is None:
            waits.append(world.ask(rng.choice(world.vms), POLICIES[policy]))
            due = world.now + rng.expovariate(1 / every)
        else:
            world.tell(vm)
            due = world.now + pattern.word_every_ms
        heapq.heappush(events, (due, next(order), vm))
    return sorted(waits)
