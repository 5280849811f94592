"""Structured log of decisions, one line each, with a rate limit for each kind of event.

Under load the lines would take the CPU time that requests need. Lines over the limit are counted,
and the next line of that kind says how many were left out.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from absl import logging

from hickorybeam.clock import MS_PER_SECOND

if TYPE_CHECKING:
    from hickorybeam.clock import Clock

__all__ = ("DecisionLog",)

MAX_LINES_PER_S = 20


class DecisionLog:
    """Logs decisions; never a key, a prompt or a response."""

    def __init__(self, clock: Clock, *, per_s: int = MAX_LINES_PER_S) -> None:
        self._clock = clock
        self._max_per_s = per_s
        self._windows: dict[str, tuple[int, int, int]] = {}

    @logging.skip_log_prefix
    def write(self, event: str, **fields: object) -> None:
        """Log an event, or count it if its kind is over the rate limit."""
        second = self._clock.now() // MS_PER_SECOND
        window_s, written, dropped = self._windows.get(event, (second, 0, 0))
        if window_s != second:
            window_s, written = second, 0
        if written >= self._max_per_s:
            self._windows[event] = (window_s, written, dropped + 1)
            return
        if dropped:
            fields["left_out"] = dropped
        self._windows[event] = (window_s, written + 1, 0)
        logging.info(event, extra=fields)
