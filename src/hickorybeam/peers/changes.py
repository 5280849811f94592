"""The log of changes, from which heartbeats send a peer only what it lacks.

Whole state in every heartbeat would cost bytes in proportion to the fleet's size, twice a second
from every VM. Each change of an item takes the next local sequence number; a peer that
acknowledged a number is sent what came after it, except the changes that came from itself.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Hashable, Iterator

    from hickorybeam.model import VmId

__all__ = ("ChangeLog",)

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class LoggedChange(Generic[T]):
    """One item's latest value and the peer from which it came, if any."""

    seq: int
    value: T
    source: VmId | None


class ChangeLog(Generic[T]):
    """The latest value of each item, in the order in which they changed on this VM."""

    def __init__(self) -> None:
        self.seq = 0
        self._items: OrderedDict[Hashable, LoggedChange[T]] = OrderedDict()

    def put(self, key: Hashable, value: T, *, source: VmId | None = None) -> None:
        """Record an item's new value."""
        self.seq += 1
        self._items[key] = LoggedChange(self.seq, value, source)
        self._items.move_to_end(key)

    def remove(self, key: Hashable) -> None:
        """Remove an item without recording a change."""
        self._items.pop(key, None)

    def get(self, key: Hashable) -> T | None:
        """Return an item's value."""
        found = self._items.get(key)
        return None if found is None else found.value

    def since(self, seq: int, *, to: VmId | None = None) -> Iterator[T]:
        """Yield values changed after a sequence number, latest first, except those from ``to``."""
        for item in reversed(self._items.values()):
            if item.seq <= seq:
                return
            if to is None or item.source != to:
                yield item.value
