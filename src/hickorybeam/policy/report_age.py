"""How old a VM's status report is when it arrives.

A VM that stood still reads what others sent it meanwhile, maybe long after they ended, and relays
it. Each report names its VM's time since its start. What the fastest of them make of that start
tells how late the others are, without clocks that agree.
"""

from __future__ import annotations

__all__ = ("ReportAge",)

# Reports that have all been late for so long are not: the way has become longer, or a clock was
# stopped. What a VM reads at once after it stood still takes much less.
LATE_MS = 3_000


class ReportAge:
    """Estimates the age of the reports of one start of a VM; times are this VM's."""

    def __init__(self) -> None:
        self._started_ms: int | None = None
        # The least late reports since ``_late_since_ms``.
        self._late_started_ms = 0
        self._late_since_ms: int | None = None

    def age_ms(self, up_ms: int, now_ms: int) -> int:
        """Return how much later than the fastest ones a report arrived.

        :param up_ms: the VM's time since its start when it made the report.
        """
        started_ms = now_ms - up_ms
        if self._started_ms is None or started_ms <= self._started_ms:
            self._started_ms, self._late_since_ms = started_ms, None
            return 0
        if self._late_since_ms is None:
            self._late_started_ms, self._late_since_ms = started_ms, now_ms
        self._late_started_ms = min(self._late_started_ms, started_ms)
        if now_ms - self._late_since_ms >= LATE_MS:
            self._started_ms, self._late_since_ms = self._late_started_ms, None
        return started_ms - self._started_ms
