"""Track which server in any region last prefilled a shared part of a prompt.

Two thirds of a prompt are parts that many requests share, and callers move between regions. A
server that prefills such a part anew spends as long on it as on all the rest of the prompt; copied
from the cache of a server that has it, the part takes some ms. VMs report to each other which
parts they sent where, so a copy is requested only where one is likely.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from hickorybeam.model.routing import PromptPart

__all__ = ("PrefixHolders",)

# A part that was sent longer ago has probably been evicted from the server's cache.
MAX_HOLDER_AGE_MS = 20_000
MAX_PARTS = 4_096
# A smaller part is prefilled faster than a copy is arranged.
MIN_PART_TOKENS = 400


@dataclass(frozen=True, slots=True)
class _Holder:
    server_id: str
    at_ms: int


class PrefixHolders:
    """The last known server of each shared part, by this VM's requests and others' reports.

    :param audiences: names of the audiences that reports go to.
    """

    def __init__(self, audiences: Iterable[str]) -> None:
        self._holders: OrderedDict[str, _Holder] = OrderedDict()
        # What each audience has yet to be told, also before its first report.
        self._updates: dict[str, dict[str, str]] = {name: {} for name in audiences}

    def record_sent(self, parts: Sequence[PromptPart], server_id: str, now_ms: int) -> None:
        """Record a prompt that this VM sent; its last part isn't shared."""
        for part in parts[:-1]:
            if part.tokens >= MIN_PART_TOKENS:
                self._put(part.id, server_id, now_ms)
                for updates in self._updates.values():
                    updates[part.id] = server_id
                    if len(updates) > MAX_PARTS:
                        del updates[next(iter(updates))]

    def merge(self, updates: Mapping[str, str], now_ms: int) -> None:
        """Merge the updates that another VM reports."""
        for part, server_id in updates.items():
            self._put(part, server_id, now_ms)

    def take_updates(self, audience: str) -> dict[str, str]:
        """Return and clear what was sent since the last report to this audience."""
        found, self._updates[audience] = self._updates[audience], {}
        return found

    def find_holder(self, parts: Sequence[PromptPart], now_ms: int) -> str | None:
        """Return the server that probably holds most of a prompt's shared parts."""
        for part in reversed(parts[:-1]):
            found = self._holders.get(part.id)
            if found is not None and now_ms - found.at_ms < MAX_HOLDER_AGE_MS:
                return found.server_id
        return None

    def _put(self, part: str, server_id: str, now_ms: int) -> None:
        self._holders[part] = _Holder(server_id, now_ms)
        self._holders.move_to_end(part)
        if len(self._holders) > MAX_PARTS:
            self._holders.popitem(last=False)
