"""Percentiles and shares of a load run, as a table and, where wanted, a plot."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence
    from pathlib import Path

    from hickorybeam.loadgen.runner import Outcome

__all__ = ("AccountRow", "Report", "make_report", "plot")

HIGHEST_US = 600_000_000
PRECISION = 3
US_PER_MS = 1000


@dataclass(frozen=True, slots=True, kw_only=True)
class AccountRow:
    """What the callers of one account received; times in ms."""

    account: str
    sent: int
    answered: int
    first_p50: float
    first_p95: float
    first_p99: float
    between_p95: float
    refused: Mapping[str, int]

    @property
    def served(self) -> float:
        """The share of its requests that were answered whole."""
        return self.answered / self.sent if self.sent else 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """A whole run. ``cost`` is in the regions' currency, for the tokens answered."""

    rows: tuple[AccountRow, ...]
    total: AccountRow
    tokens: int
    elsewhere: float
    cost: float

    @property
    def worst(self) -> AccountRow:
        """The account with the smallest share answered."""
        return min(self.rows, key=lambda row: row.served)

    def text(self) -> str:
        """Return the table for people."""
        header = f"{'account':20} {'sent':>6} {'served':>7} {'ttft50':>8} {'ttft95':>8}"
        header += f" {'ttft99':>8} {'tbt95':>7}  refused"
        lines = [header, *(_line(row) for row in (*self.rows, self.total))]
        lines.append(
            f"tokens {self.tokens}, cost {self.cost:.2f}, to another region "
            f"{self.elsewhere:.1%}, worst served {self.worst.account} {self.worst.served:.1%}"
        )
        return "\n".join(lines)


def make_report(
    outcomes: Sequence[Outcome],
    *,
    homes: Mapping[str, str] | None = None,
    costs: Mapping[str, float] | None = None,
) -> Report:
    """Sum a run up.

    :param homes: the region where each account's callers are, to tell what ran elsewhere.
    :param costs: price of a thousand tokens in each region.
    """
    homes, costs = homes or {}, costs or {}
    accounts = sorted({item.account for item in outcomes})
    rows = tuple(_row(name, [o for o in outcomes if o.account == name]) for name in accounts)
    done = [item for item in outcomes if not item.code]
    away = [item for item in done if item.region != homes.get(item.account, item.region)]
    return Report(
        rows=rows,
        total=_row("all", outcomes),
        tokens=sum(item.tokens for item in done),
        elsewhere=len(away) / len(done) if done else 0.0,
        cost=sum(item.tokens * costs.get(item.region, 1.0) / 1000 for item in done),
    )


def _row(name: str, outcomes: Sequence[Outcome]) -> AccountRow:
    done = [item for item in outcomes if not item.code]
    first = _percentiles([item.first_ms for item in done], (50, 95, 99))
    between = _percentiles([item.between_ms for item in done], (95,))
    return AccountRow(
        account=name,
        sent=len(outcomes),
        answered=len(done),
        first_p50=first[0],
        first_p95=first[1],
        first_p99=first[2],
        between_p95=between[0],
        refused=dict(Counter(item.code for item in outcomes if item.code)),
    )


def _percentiles(values: Sequence[float], wanted: Sequence[float]) -> list[float]:
    from hdrh.histogram import HdrHistogram

    histogram = HdrHistogram(1, HIGHEST_US, PRECISION)
    for value in values:
        histogram.record_value(max(1, round(value * US_PER_MS)))
    return [histogram.get_value_at_percentile(p) / US_PER_MS for p in wanted]


def _line(row: AccountRow) -> str:
    refused = ", ".join(f"{code} {count}" for code, count in sorted(row.refused.items()))
    return (
        f"{row.account:20} {row.sent:6} {row.served:7.1%} {row.first_p50:8.1f} "
        f"{row.first_p95:8.1f} {row.first_p99:8.1f} {row.between_p95:7.1f}  {refused}"
    )


def plot(outcomes: Sequence[Outcome], path: Path) -> None:
    """Write the distribution of first tokens per account; needs the ``plot`` extra."""
    import matplotlib as mpl

    mpl.use("Agg")
    from matplotlib import pyplot as plt

    figure, axes = plt.subplots(figsize=(8, 5))
    for name in sorted({item.account for item in outcomes}):
        times = sorted(o.first_ms for o in outcomes if o.account == name and not o.code)
        if times:
            axes.step(times, [(i + 1) / len(times) for i in range(len(times))], label=name)
    axes.set_xlabel("first token, ms")
    axes.set_ylabel("share of answers")
    axes.legend()
    figure.savefig(path)
    plt.close(figure)
