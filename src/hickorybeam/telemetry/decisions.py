"""One structured line for each decision, within a budget for each kind of line.

Under load the lines themselves would cost the processor time that requests need; beyond the
budget they are counted, and the next line of the kind tells how many were left out.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from absl import logging

from hickorybeam.clock import MS_PER_SECOND

if TYPE_CHECKING:
    from hickorybeam.clock import Clock

__all__ = ("DecisionLog",)

LINES_PER_S = 20


class DecisionLog:
    """Writes decisions; never a key, a prompt or an answer."""

    def __init__(self, clock: Clock, *, per_s: int = LINES_PER_S) -> None:
        self._clock = clock
        self._per_s = per_s
        self._budgets: dict[str, tuple[int, int, int]] = {}

    @logging.skip_log_prefix
    def write(self, event: str, **fields: object) -> None:
        """Write a line, or count it where there are too many of its kind."""
        second = self._clock.now() // MS_PER_SECOND
        since, written, dropped = self._budgets.get(event, (second, 0, 0))
        if since != second:
            since, written = second, 0
        if written >= self._per_s:
            self._budgets[event] = (since, written, dropped + 1)
            return
        if dropped:
            fields["left_out"] = dropped
        self._budgets[event] = (since, written + 1, 0)
        logging.info(event, extra=fields)
