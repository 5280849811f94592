"""Budget of the memory that other parties make a process hold, and who yields when it is short.

The pattern: a crowd of callers that each stay inside their own limits, and stop just short of the
end of what they send. Each holds little; together they hold more memory than the machine has, and
the process is killed. So everything that is held for others is reserved from one budget, by what
it costs and not by what it holds.

When room is short, unfinished requests yield. Each weighs its bytes times how long nothing more of
it has come, and the origin (an address) that weighs most gives up its heaviest. So a crowd of one
origin yields before anybody else does; a crowd of many whose bodies stopped yields before a body
that is on its way; and a small body, which weighs next to nothing, finds room beside any of them.
By age or size alone, a crowd that comes again at once would outlast slow callers, or large bodies.
What belongs to a request that runs can't yield; such requests have a share of the budget, and the
rest of it is for small ones.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ("FREE_BYTES", "SMALL_BYTES", "Holder", "Holding", "MemoryBudget")

# What each holder may hold unreserved. A usual head and body are smaller, so usual requests never
# ask the budget.
FREE_BYTES = 8_192
# A request of this size finds room where larger ones don't.
SMALL_BYTES = 65_536
# The share of the budget that requests larger than that may take while they run.
RUNNING_SHARE = 0.75
# Makes the size decide among bodies that are on their way.
LEAST_PAUSE_MS = 100
# Room is made for more than was asked for, as each time all holders are weighed.
SPARE_SHARE = 1 / 32


class Holder(Protocol):
    """Whoever holds memory for another party."""

    def yield_room(self) -> None:
        """Let go of everything that a holding counts; called once room is short."""
        ...


class MemoryBudget:
    """Counts reserved bytes of a process.

    :param limit: bytes that may be reserved together.
    :param now: returns the time in ms.
    """

    def __init__(self, limit: int, *, now: Callable[[], int]) -> None:
        self.limit = limit
        self.taken = 0
        self.running = 0
        self._now = now
        self._holdings: dict[Holding, None] = {}

    @property
    def largest(self) -> int:
        """The size of the largest request that may run."""
        return int(self.limit * RUNNING_SHARE)

    def hold(self, holder: Holder, origin: str = "") -> Holding:
        """Return an account for bytes that can yield; it holds nothing yet.

        :param origin: whoever the bytes come from, as far as one can tell.
        """
        return Holding(self, holder, origin)

    def start_running(self, size: int, origin: str = "") -> bool:
        """Reserve what a request costs that runs; return whether there is room.

        Whoever gets ``True`` calls ``end_running`` with the same size.
        """
        if size <= FREE_BYTES:
            return True
        if size > SMALL_BYTES and self.running + size > self.largest:
            return False
        if not self._has_room(size) and not self._make_room(size, size, origin):
            return False
        self.running += size
        self.taken += size
        return True

    def end_running(self, size: int) -> None:
        """Release what ``start_running`` reserved."""
        if size > FREE_BYTES:
            self.running -= size
            self.taken -= size

    def resize(self, holding: Holding, size: int) -> bool:
        """Let a holding hold so many bytes; return whether there is room, else nothing changes."""
        wanted = size if size > FREE_BYTES else 0
        more = wanted - holding.taken
        if more > 0:
            if not self._has_room(more) and not self._make_room(
                more, wanted, holding.origin, holding
            ):
                return False
            holding.grown_ms = self._now()
        self._set(holding, wanted)
        return True

    def _has_room(self, size: int) -> bool:
        return self.taken + size <= self.limit

    def _set(self, holding: Holding, wanted: int) -> None:
        if wanted:
            self._holdings[holding] = None
        else:
            self._holdings.pop(holding, None)
        self.taken += wanted - holding.taken
        holding.taken = wanted

    def _weight(self, size: int, grown_ms: int) -> float:
        return size * (self._now() - grown_ms + LEAST_PAUSE_MS)

    def _make_room(self, size: int, wanted: int, origin: str, asker: Holding | None = None) -> bool:
        """Let the heaviest of the heaviest origin yield until there is room for so many bytes.

        :param wanted: all that the asker would hold; it weighs as if it had just come.
        :return: ``False`` if the asker is the heaviest itself.
        """
        own_weight = self._weight(wanted, self._now())
        spare = int(self.limit * SPARE_SHARE)
        weights = {
            it: self._weight(it.taken, it.grown_ms) for it in self._holdings if it is not asker
        }
        by_origin = defaultdict(float, {origin: own_weight})
        for it, weight in weights.items():
            by_origin[it.origin] += weight
        ordered = sorted(weights, key=weights.__getitem__)
        while not self._has_room(size + spare):
            heaviest = max(by_origin, key=by_origin.__getitem__)
            victim = next((it for it in reversed(ordered) if it.origin == heaviest), None)
            if victim is None or (heaviest == origin and weights[victim] <= own_weight):
                break
            ordered.remove(victim)
            by_origin[heaviest] -= weights[victim]
            self._set(victim, 0)
            victim.holder.yield_room()
        return self._has_room(size)


class Holding:
    """What one holder holds that can yield; ``grown_ms`` is when it last grew."""

    __slots__ = ("_budget", "grown_ms", "holder", "origin", "taken")

    def __init__(self, budget: MemoryBudget, holder: Holder, origin: str) -> None:
        self._budget = budget
        self.holder = holder
        self.origin = origin
        self.taken = 0
        self.grown_ms = 0

    def resize(self, size: int) -> bool:
        """Hold so many bytes from now on.

        :return: whether there is room. If not, nothing has changed, and the holder has to yield.
        """
        if size <= FREE_BYTES and not self.taken:
            return True
        return self._budget.resize(self, size)

    def release(self) -> None:
        """Hold nothing any more."""
        if self.taken:
            self._budget.resize(self, 0)
