"""Load generator: open loop, seeded, several accounts, judged by what callers receive."""

from __future__ import annotations

from hickorybeam.loadgen.plan import Arrival, Plan, Stream, arrivals
from hickorybeam.loadgen.report import AccountRow, Report, make_report
from hickorybeam.loadgen.runner import Outcome, drive

__all__ = (
    "AccountRow",
    "Arrival",
    "Outcome",
    "Plan",
    "Report",
    "Stream",
    "arrivals",
    "drive",
    "make_report",
)
