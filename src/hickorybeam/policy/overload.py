"""Tell whether a service is overloaded, from how long its requests wait for what they need.

A queue that fills in a burst and drains again is no overload, and neither is a long one that
drains quickly. Overload is a standing delay: for some time, no request of an urgency got its slot
within a small part of the time that it may wait. It ends when for some time none has waited longer.
Urgent requests that are served at once don't hide that the less urgent ones are not.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ("OverloadDetector",)

# Share of the longest wait that its caller bears; a request that waited less was served promptly.
PROMPT_SHARE = 0.25
# A burst shorter than this is no overload.
BEGIN_MS = 250
END_MS = 1_500


@dataclass(slots=True)
class _Level:
    """Delays of one urgency: since when no request was served promptly, and the last delay."""

    delayed_since_ms: int | None = None
    last_delay_ms: int = 0


class OverloadDetector:
    """Overload of one service as the VM that places its requests sees it."""

    def __init__(self) -> None:
        self._levels: dict[int, _Level] = {}
        self._since_ms: int | None = None

    def record(self, urgency: int, waited_share: float, now_ms: int) -> None:
        """Record a request that got a slot, or was refused for want of one.

        :param waited_share: its wait as a share of the longest one it bears; 1 if it was refused.
        """
        level = self._levels.setdefault(urgency, _Level())
        if waited_share < PROMPT_SHARE:
            level.delayed_since_ms = None
            return
        level.last_delay_ms = now_ms
        if level.delayed_since_ms is None:
            level.delayed_since_ms = now_ms
        elif self._since_ms is None and now_ms - level.delayed_since_ms >= BEGIN_MS:
            self._since_ms = now_ms

    def overloaded_ms(self, now_ms: int) -> int | None:
        """Return for how long the service has been overloaded, ``None`` if it isn't."""
        if self._since_ms is None:
            return None
        if all(now_ms - it.last_delay_ms > END_MS for it in self._levels.values()):
            self._since_ms = None
            self._levels.clear()
            return None
        return now_ms - self._since_ms
