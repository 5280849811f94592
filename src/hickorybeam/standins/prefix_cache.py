"""The prompt parts that a stand-in engine keeps, the least recently used giving way."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Sequence

__all__ = ("CachedPart", "PrefixCache")


@dataclass(frozen=True, slots=True)
class CachedPart:
    """A part of a prompt, by name, and its size in tokens."""

    name: str
    tokens: int


class PrefixCache:
    """Parts by name; one counts as cached only while all parts before it are.

    :param room_tokens: what all parts together may hold.
    :param on_change: called with ``stored`` or ``evicted`` and the part's name.
    """

    def __init__(self, room_tokens: int, on_change: Callable[[str, str], None]) -> None:
        self._room_tokens = room_tokens
        self._on_change = on_change
        self._parts: OrderedDict[str, int] = OrderedDict()

    def read(self, parts: Sequence[CachedPart]) -> int:
        """Keep a prompt's parts; :return: how many of its tokens were there already."""
        cached = self.cached_tokens(parts)
        for part in parts:
            self._keep(part)
        self._evict()
        return cached

    def cached_tokens(self, parts: Sequence[CachedPart]) -> int:
        """Return how many tokens of a prompt need not be read."""
        found = 0
        for part in parts:
            if part.name not in self._parts:
                break
            found += part.tokens
        return found

    def newest(self) -> Iterator[str]:
        """Return the names of the parts that are kept, the last used first."""
        return reversed(self._parts)

    def _keep(self, part: CachedPart) -> None:
        if part.name in self._parts:
            self._parts.move_to_end(part.name)
            return
        self._parts[part.name] = part.tokens
        self._on_change("stored", part.name)

    def _evict(self) -> None:
        while sum(self._parts.values()) > self._room_tokens:
            evicted, _ = self._parts.popitem(last=False)
            self._on_change("evicted", evicted)
