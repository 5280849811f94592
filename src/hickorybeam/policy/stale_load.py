"""Drawing one of several servers by waits that are known late.

Load it answers: many VMs before the same servers, each of which hears what the others sent some
hundred ms late. If each takes the server whose wait looks shortest, all that comes within that
time meets at the same few servers, which then hold a second of prompts beside idle ones; words
that come more often only make the crowd change places more often.

How much the others send unseen is known, though not where. The servers are thought of as filled
with that work, the emptiest first, up to one level; each is drawn in proportion to the work that
it takes up. Without unseen work, as on a VM that is alone, the shortest wait is taken.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

__all__ = ("WorkRate", "draw_server", "fill_level")

# The rate of work is taken over about this long, in ms: long enough for some prompts of one VM,
# short enough to follow a burst.
RATE_SPAN_MS = 1_000.0


@dataclass(slots=True)
class WorkRate:
    """How much work this VM sends, in ms of one server for each ms."""

    _rate: float = 0.0
    _at_ms: int = 0

    def record(self, work_ms: float, now_ms: int) -> None:
        """Count what was sent to a server."""
        self._rate = self.rate(now_ms) + work_ms / RATE_SPAN_MS
        self._at_ms = now_ms

    def rate(self, now_ms: int) -> float:
        """Return the present rate; what was sent counts less the longer ago it was."""
        return self._rate * math.exp((self._at_ms - now_ms) / RATE_SPAN_MS)


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


def draw_server(waits: Sequence[float], unseen_ms: float, rng: random.Random) -> int:
    """Return the index of the server to take.

    :param waits: of each server, as far as this VM knows; ties are won by the first.
    :param unseen_ms: work that other VMs have sent to these servers since they were heard.
    """
    level = fill_level(waits, unseen_ms)
    room = [max(0.0, level - wait) for wait in waits]
    if not any(room):
        return min(range(len(waits)), key=lambda index: waits[index])
    return rng.choices(range(len(waits)), room)[0]
