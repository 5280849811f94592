"""Draw a server by waits that are known with a delay.

Many VMs share the same servers, and each learns some hundred ms late what the others have sent. If
each took the server with the shortest known wait, all requests within that delay would go to the
same few servers, which then hold a second of prompts beside idle ones. More frequent reports only
make the crowd move more often.

How much work the other VMs have sent unreported is known, though not where. So that work is
spread over the servers by water filling, the emptiest first up to one level, and each server is
drawn with a probability in proportion to the work that it takes up. Without unreported work, as on
a VM that is alone, the shortest wait is taken.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

__all__ = ("WorkRate", "draw_server", "fill_level")

# Time constant of the rate's decay: long enough for some prompts of one VM, short enough to follow
# a burst.
DECAY_MS = 1_000.0


@dataclass(slots=True)
class WorkRate:
    """Decaying average of the work that this VM sends, in ms of one server for each ms."""

    _rate: float = 0.0
    _updated_ms: int = 0

    def record(self, work_ms: float, now_ms: int) -> None:
        """Add work that is sent to a server."""
        self._rate = self.rate(now_ms) + work_ms / DECAY_MS
        self._updated_ms = now_ms

    def rate(self, now_ms: int) -> float:
        """Return the rate now; work counts less the longer ago it was sent."""
        return self._rate * math.exp((self._updated_ms - now_ms) / DECAY_MS)


def fill_level(waits: Sequence[float], work_ms: float) -> float:
    """Return the level up to which an amount of work fills servers with these waits."""
    total = 0.0
    level = math.inf
    for count, wait in enumerate(sorted(waits), 1):
        if wait >= level:
            break
        total += wait
        level = (work_ms + total) / count
    return level


def draw_server(waits: Sequence[float], unreported_ms: float, rng: random.Random) -> int:
    """Return the index of the server to use.

    :param waits: known wait of each server; the first of equals wins.
    :param unreported_ms: work that other VMs have sent to these servers since their last reports.
    """
    level = fill_level(waits, unreported_ms)
    shares = [max(0.0, level - wait) for wait in waits]
    if not any(shares):
        return min(range(len(waits)), key=lambda index: waits[index])
    return rng.choices(range(len(waits)), shares)[0]
