"""Summary of a load run: latency percentiles and answered shares, as a table or a plot."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence
    from pathlib import Path

    from hickorybeam.loadgen.runner import Outcome

__all__ = ("AccountRow", "Report", "make_report", "plot")

MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 3
US_PER_MS = 1000


@dataclass(frozen=True, slots=True, kw_only=True)
class AccountRow:
    """Results of one account's requests; ``first`` and ``between`` are times in ms."""

    account: str
    sent: int
    answered: int
    first_p50: float
    first_p95: float
    first_p99: float
    between_p95: float
    refused: Mapping[str, int]

    @property
    def answered_share(self) -> float:
        """The share of the requests with a complete response, 1 if none were sent."""
        return self.answered / self.sent if self.sent else 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """Results of a run.

    ``cost`` is in the currency of the regions' prices and covers the tokens of complete responses;
    ``elsewhere`` is the share of these that ran outside the account's home region.
    """

    rows: tuple[AccountRow, ...]
    total: AccountRow
    tokens: int
    elsewhere: float
    cost: float

    @property
    def worst_account(self) -> AccountRow:
        """The account with the smallest answered share."""
        return min(self.rows, key=lambda row: row.answered_share)

    def text(self) -> str:
        """Return the report as a text table."""
        header = f"{'account':20} {'sent':>6} {'served':>7} {'ttft50':>8} {'ttft95':>8}"
        header += f" {'ttft99':>8} {'tbt95':>7}  refused"
        lines = [header, *(_format_row(row) for row in (*self.rows, self.total))]
        lines.append(
            f"tokens {self.tokens}, cost {self.cost:.2f}, to another region "
            f"{self.elsewhere:.1%}, worst served {self.worst_account.account} "
            f"{self.worst_account.answered_share:.1%}"
        )
        return "\n".join(lines)


def make_report(
    outcomes: Sequence[Outcome],
    *,
    homes: Mapping[str, str] | None = None,
    costs: Mapping[str, float] | None = None,
) -> Report:
    """Summarise a run.

    :param homes: region of each account's callers; a response from another one ran elsewhere.
    :param costs: price of 1000 tokens in each region.
    """
    homes, costs = homes or {}, costs or {}
    accounts = sorted({item.account for item in outcomes})
    rows = tuple(
        _account_row(name, [o for o in outcomes if o.account == name]) for name in accounts
    )
    answered = [item for item in outcomes if not item.code]
    ran_elsewhere = [
        item for item in answered if item.region != homes.get(item.account, item.region)
    ]
    return Report(
        rows=rows,
        total=_account_row("all", outcomes),
        tokens=sum(item.tokens for item in answered),
        elsewhere=len(ran_elsewhere) / len(answered) if answered else 0.0,
        cost=sum(item.tokens * costs.get(item.region, 1.0) / 1000 for item in answered),
    )


def _account_row(name: str, outcomes: Sequence[Outcome]) -> AccountRow:
    answered = [item for item in outcomes if not item.code]
    first_token_ms = _percentiles([item.first_ms for item in answered], (50, 95, 99))
    token_gap_ms = _percentiles([item.between_ms for item in answered], (95,))
    return AccountRow(
        account=name,
        sent=len(outcomes),
        answered=len(answered),
        first_p50=first_token_ms[0],
        first_p95=first_token_ms[1],
        first_p99=first_token_ms[2],
        between_p95=token_gap_ms[0],
        refused=dict(Counter(item.code for item in outcomes if item.code)),
    )


def _percentiles(values: Sequence[float], percentiles: Sequence[float]) -> list[float]:
    from hdrh.histogram import HdrHistogram

    histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for value in values:
        histogram.record_value(max(1, round(value * US_PER_MS)))
    return [histogram.get_value_at_percentile(p) / US_PER_MS for p in percentiles]


def _format_row(row: AccountRow) -> str:
    refused = ", ".join(f"{code} {count}" for code, count in sorted(row.refused.items()))
    return (
        f"{row.account:20} {row.sent:6} {row.answered_share:7.1%} {row.first_p50:8.1f} "
        f"{row.first_p95:8.1f} {row.first_p99:8.1f} {row.between_p95:7.1f}  {refused}"
    )


def plot(outcomes: Sequence[Outcome], path: Path) -> None:
    """Plot the distribution of the time to the first token; needs the ``plot`` extra."""
    import matplotlib as mpl

    mpl.use("Agg")
    from matplotlib import pyplot as plt

    figure, axes = plt.subplots(figsize=(8, 5))
    for name in sorted({item.account for item in outcomes}):
        times = sorted(o.first_ms for o in outcomes if o.account == name and not o.code)
        if times:
            axes.step(times, [(i + 1) / len(times) for i in range(len(times))], label=name)
    axes.set_xlabel("first token, ms")
    axes.set_ylabel("share of responses")
    axes.legend()
    figure.savefig(path)
    plt.close(figure)
