"""When parts of prompts were last sound, and requests last answered."""

from __future__ import annotations

from collections import OrderedDict

__all__ = ("RecentlySound",)

# A part that was sound this shortly before a crash has not caused it.
RECENT_MS = 2_000
# A request that was answered this shortly before is not held, nor blamed for crashes at one moment.
RECENT_ANSWER_MS = 10_000
# Parts and requests whose last sound response is kept.
MAX_SOUND = 1_024


class RecentlySound:
    """The last sound responses of parts and requests, by a mark of each."""

    def __init__(self) -> None:
        self._sound_ms: OrderedDict[bytes, int] = OrderedDict()

    def keep(self, mark: bytes, now_ms: int) -> None:
        """Keep when a part or request was last sound, of the latest ones."""
        self._sound_ms[mark] = now_ms
        self._sound_ms.move_to_end(mark)
        if len(self._sound_ms) > MAX_SOUND:
            self._sound_ms.popitem(last=False)

    def last_ms(self, mark: bytes) -> int | None:
        """Return when a part or request was last sound, ``None`` if that is not known."""
        return self._sound_ms.get(mark)

    def was_sound(self, mark: bytes, at_ms: int) -> bool:
        """Return whether a part was sound shortly before a crash."""
        return at_ms - self._sound_ms.get(mark, at_ms - RECENT_MS) < RECENT_MS

    def was_answered(self, mark: bytes, now_ms: int) -> bool:
        """Return whether a request was answered lately."""
        return now_ms - self._sound_ms.get(mark, now_ms - RECENT_ANSWER_MS) < RECENT_ANSWER_MS
