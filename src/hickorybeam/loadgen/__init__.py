"""Open-loop load generator with seeded arrivals; reports what callers of each account receive."""

from __future__ import annotations

from hickorybeam.loadgen.plan import Arrival, Plan, Stream, arrivals
from hickorybeam.loadgen.report import AccountRow, Report, make_report
from hickorybeam.loadgen.runner import Outcome, send_arrivals

__all__ = (
    "AccountRow",
    "Arrival",
    "Outcome",
    "Plan",
    "Report",
    "Stream",
    "arrivals",
    "send_arrivals",
    "make_report",
)
