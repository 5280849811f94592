"""Which server anywhere last read a shared part of a prompt.

Load it answers: prompts of which two thirds are parts that many requests share, while their
callers move between regions. Each server that reads such a part anew spends as long on it as
on all the rest of the prompt; copied from a server that has it, the part takes some ms. VMs
tell each other which parts they sent where, so the copy is asked for only where one is likely.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from hickorybeam.model.routing import PromptPart

__all__ = ("PrefixHolders",)

# A part that was read longer ago has probably given way to others, in ms.
HELD_MS = 20_000
MOST_PARTS = 4_096
# Parts smaller than this are read faster than a copy is arranged, in tokens.
LEAST_TOKENS = 400


@dataclass(frozen=True, slots=True)
class _Holder:
    server_id: str
    at_ms: int


class PrefixHolders:
    """The last reader of each shared part, as far as this VM knows."""

    def __init__(self) -> None:
        self._holders: OrderedDict[str, _Holder] = OrderedDict()
        self._news: dict[str, dict[str, str]] = {}

    def record_sent(self, parts: Sequence[PromptPart], server_id: str, now_ms: int) -> None:
        """Take note of a prompt that this VM sent; its last part is nobody else's."""
        for part in parts[:-1]:
            if part.tokens >= LEAST_TOKENS:
                self._put(part.id, server_id, now_ms)
                for news in self._news.values():
                    news[part.id] = server_id

    def merge(self, news: Mapping[str, str], now_ms: int) -> None:
        """Take over what another VM sent."""
        for part, server_id in news.items():
            self._put(part, server_id, now_ms)

    def take_updates(self, audience: str) -> dict[str, str]:
        """Return what was sent since this audience was told last."""
        found = self._news.get(audience, {})
        self._news[audience] = {}
        return found

    def find_holder(self, parts: Sequence[PromptPart], now_ms: int) -> str | None:
        """Return the server that holds the most of a prompt's shared parts."""
        for part in reversed(parts[:-1]):
            found = self._holders.get(part.id)
            if found is not None and now_ms - found.at_ms < HELD_MS:
                return found.server_id
        return None

    def _put(self, part: str, server_id: str, now_ms: int) -> None:
        self._holders[part] = _Holder(server_id, now_ms)
        self._holders.move_to_end(part)
        if len(self._holders) > MOST_PARTS:
            self._holders.popitem(last=False)
