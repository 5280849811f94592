"""Who yields when the memory for unfinished requests is short: what ordinary callers get.

A crowd fills the budget with bodies that stop one byte short and comes again as soon as it is
refused; ordinary callers send small, medium and largest bodies beside it. Plays the budget itself
on a manual clock, other weights, and admission by the announced length, where nobody yields.

    python -m bench.yielding
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import fire

from hickorybeam.policy.memory_budget import Holding, MemoryBudget

Weigh = Callable[[Any], float]

LIMIT_BYTES = 24_000_000
CROWD = 90
LARGEST_BYTES = 1_000_000
# What one caller sends in a ms, and a client of the crowd.
BYTES_PER_MS = 10_000
CROWD_BYTES_PER_MS = 2_000
# How long a request runs once its body is whole.
RUN_MS = 20
SECONDS = 20
MS_PER_SECOND = 1_000
# Bodies and arrivals a second of ordinary callers.
ORDINARY = {
    "small": (20_000, 50),
    "medium": (200_000, 10),
    "largest": (LARGEST_BYTES, 2),
    "slow": (200_000, 5),
}
# Callers on a slow link; their bodies take a second.
SLOW_BYTES_PER_MS = 200
RATES = {"crowd": CROWD_BYTES_PER_MS, "slow": SLOW_BYTES_PER_MS}


class Nobody(MemoryBudget):
    """Whoever finds no room is refused."""

    def _make_room(self, size: int, wanted: int, origin: str, asker: Holding | None = None) -> bool:
        return False


class Largest(MemoryBudget):
    """The largest yields, whoever it is of."""

    def _make_room(self, size: int, wanted: int, origin: str, asker: Holding | None = None) -> bool:
        return self._drop(size, wanted, asker, key=lambda it: it.taken)

    def _drop(self, size: int, wanted: float, asker: Holding | None, key: Weigh) -> bool:
        others = sorted((it for it in self._holdings if it is not asker), key=key)
        while others and not self._has_room(size) and key(others[-1]) > wanted:
            victim = others.pop()
            self._set(victim, 0)
            victim.holder.yield_room()
        return self._has_room(size)


class LargeAndOld(Largest):
    """The largest by bytes times age yields."""

    def _make_room(self, size: int, wanted: int, origin: str, asker: Holding | None = None) -> bool:
        now = self._now()
        age = now - asker.holder.began_ms + 100 if asker else 100
        return self._drop(
            size, wanted * age, asker, key=lambda it: it.taken * (now - it.holder.began_ms + 100)
        )


class Oldest(Largest):
    """The oldest yields."""

    def _make_room(self, size: int, wanted: int, origin: str, asker: Holding | None = None) -> bool:
        began_ms = asker.holder.began_ms if asker else self._now()
        return self._drop(size, -began_ms, asker, key=lambda it: -it.holder.began_ms)


@dataclass(frozen=True)
class Crowd:
    """How many addresses a crowd has, and how long its clients wait before they send."""

    origins: int
    pause_ms: int


@dataclass(eq=False)
class Caller:
    """One caller that sends a body; the crowd's never end."""

    kind: str
    size: int
    began_ms: int = 0
    holding: Holding | None = None
    sent: int = 0
    gone: bool = False

    def yield_room(self) -> None:
        """Be refused."""
        self.gone = True


class Play:
    """One policy before the crowd and the ordinary callers."""

    def __init__(self, kind: type[MemoryBudget], *, by_head: bool, seed: int, crowd: Crowd) -> None:
        self.crowd = crowd
        self.now = 0
        self.budget = kind(LIMIT_BYTES, now=lambda: self.now)
        self.rng = random.Random(seed)
        self.by_head = by_head
        self.callers: list[Caller] = []
        self.running: list[tuple[int, int]] = []
        self.asked: dict[str, int] = dict.fromkeys(ORDINARY, 0)
        self.served: dict[str, int] = dict.fromkeys(ORDINARY, 0)
        self.refusals = 0

    def run(self) -> None:
        """Play in steps of a ms."""
        for number in range(CROWD):
            self.come("crowd", LARGEST_BYTES, f"crowd-{number % self.crowd.origins}")
        for self.now in range(SECONDS * MS_PER_SECOND):
            while self.running and self.running[0][0] <= self.now:
                self.budget.end_running(self.running.pop(0)[1])
            for kind, (size, per_s) in ORDINARY.items():
                if self.rng.random() < per_s / MS_PER_SECOND:
                    self.asked[kind] += 1
                    self.come(kind, size, f"{kind}-{self.asked[kind] % 20}")
            for caller in tuple(self.callers):
                self.step(caller)

    def come(self, kind: str, size: int, origin: str) -> None:
        """Begin to send a body."""
        caller = Caller(kind, size, began_ms=self.now)
        caller.holding = self.budget.hold(caller, origin)
        if self.by_head and not caller.holding.resize(size):
            caller.gone = True
        self.callers.append(caller)

    def step(self, caller: Caller) -> None:
        """Send for a ms."""
        if caller.gone:
            self.end(caller)
            return
        if caller.kind == "crowd" and self.now < caller.began_ms + self.crowd.pause_ms:
            return
        last = caller.size - 1 if caller.kind == "crowd" else caller.size
        if caller.sent >= last:
            return
        caller.sent = min(last, caller.sent + RATES.get(caller.kind, BYTES_PER_MS))
        if not self.by_head and not caller.holding.resize(caller.sent):
            caller.gone = True
            self.end(caller)
        elif caller.sent == caller.size:
            self.finish(caller)

    def finish(self, caller: Caller) -> None:
        """Run the request of a whole body."""
        caller.holding.release()
        self.callers.remove(caller)
        if self.budget.start_running(caller.size):
            self.running.append((self.now + RUN_MS, caller.size))
            self.served[caller.kind] += 1

    def end(self, caller: Caller) -> None:
        """Leave; the crowd comes again."""
        caller.holding.release()
        self.callers.remove(caller)
        if caller.kind == "crowd":
            self.refusals += 1
            self.come("crowd", LARGEST_BYTES, caller.holding.origin)


WAYS = {
    "nobody yields": (Nobody, False),
    "announced length, nobody yields": (Nobody, True),
    "the oldest yields": (Oldest, False),
    "the largest yields": (Largest, False),
    "bytes times age yields": (LargeAndOld, False),
    "heaviest origin's heaviest": (MemoryBudget, False),
}
CROWDS = {
    "one address, comes again at once": Crowd(origins=1, pause_ms=0),
    "90 addresses, comes again at once": Crowd(origins=90, pause_ms=0),
    "90 addresses, comes again after 500 ms": Crowd(origins=90, pause_ms=500),
}


def main(seed: int = 1) -> None:
    """Print the share of ordinary callers' bodies that were served."""
    for title, crowd in CROWDS.items():
        print(f"\n{title}")
        print(f"{'':34}" + "".join(f"{it:>9}" for it in ORDINARY) + f"{'refusals/s':>12}")
        for name, (kind, by_head) in WAYS.items():
            play = Play(kind, by_head=by_head, seed=seed, crowd=crowd)
            play.run()
            shares = [play.served[it] / max(1, play.asked[it]) for it in ORDINARY]
            served = "".join(f"{share:9.2f}" for share in shares)
            print(f"{name:34}{served}{play.refusals / SECONDS:12.0f}")


if __name__ == "__main__":
    fire.Fire(main)
