"""Arithmetic of paired comparisons: variants of the sources on the same sites, days and seeds."""

from __future__ import annotations

import math
import statistics
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

__all__ = ("TOLERATED_LOSS", "Comparison", "Outcome", "Play", "compare", "table", "verdicts")

# A site may fall by this much before a variant counts as worse there.
TOLERATED_LOSS = 0.03
# A difference below this many standard errors counts as none.
SIGNIFICANT_ERRORS = 2.0


@dataclass(frozen=True, slots=True, order=True)
class Play:
    """One day of a site under one seed (``None``: the day's own), played by one variant."""

    variant: str
    site: str
    day: str
    seed: int | None


@dataclass(frozen=True, slots=True)
class Outcome:
    """What one play earned; all figures are shares of the worth that was asked for, 0 to 1.

    ``prices`` is what was taken off the worth. ``problem`` names broken rules, or why the play
    has no figures; with ``complete`` unset the figures are not valid.
    """

    worth: float = 0.0
    served: float = 0.0
    refused: float = 0.0
    failed: float = 0.0
    prices: float = 0.0
    problem: str = ""
    complete: bool = True


@dataclass(frozen=True, slots=True)
class Comparison:
    """One variant's means on one site, and its mean difference in worth to the base.

    ``error`` is the standard error of ``difference`` over pairs, NaN with fewer than two.
    """

    variant: str
    site: str
    pairs: int
    means: Outcome
    difference: float
    error: float

    @property
    def is_worse(self) -> bool:
        """Whether the site fell by more than is tolerated, beyond what chance explains."""
        if math.isnan(self.error):
            return False
        return (
            self.difference < -TOLERATED_LOSS and -self.difference > SIGNIFICANT_ERRORS * self.error
        )


def compare(
    results: Mapping[Play, Outcome], *, base: str, variant: str, site: str
) -> Comparison | None:
    """Compare a variant with the base on the plays that both have completed, if any."""
    pairs = [
        (outcome, other)
        for play, outcome in results.items()
        if (play.variant, play.site) == (variant, site)
        and outcome.complete
        and (other := results.get(Play(base, site, play.day, play.seed))) is not None
        and other.complete
    ]
    if not pairs:
        return None
    gains = [mine.worth - other.worth for mine, other in pairs]
    own = [mine for mine, _ in pairs]
    means = Outcome(
        worth=statistics.fmean(it.worth for it in own),
        served=statistics.fmean(it.served for it in own),
        refused=statistics.fmean(it.refused for it in own),
        failed=statistics.fmean(it.failed for it in own),
        prices=statistics.fmean(it.prices for it in own),
    )
    error = statistics.stdev(gains) / math.sqrt(len(gains)) if len(gains) > 1 else math.nan
    return Comparison(variant, site, len(pairs), means, statistics.fmean(gains), error)


def verdicts(results: Mapping[Play, Outcome], comparisons: Sequence[Comparison]) -> list[str]:
    """Return one line for each broken rule, play without figures, and site that fell."""
    lines = [
        f"{play.variant}, {play.site}, {play.day}, seed {play.seed}: {outcome.problem}"
        for play, outcome in sorted(results.items(), key=lambda it: str(it[0]))
        if outcome.problem
    ]
    lines += [
        f"{it.variant}, {it.site}: fell by {-it.difference:.4f} (standard error {it.error:.4f})"
        for it in comparisons
        if it.is_worse
    ]
    return lines


def table(comparisons: Sequence[Comparison]) -> str:
    """Return a Markdown table, one row for each site and variant."""
    rows = [
        "| site | variant | pairs | worth | difference | standard error "
        "| served | refused | failed | prices |",
        "|---|---|---|---|---|---|---|---|---|---|",
    ]
    for it in comparisons:
        means = it.means
        rows.append(
            f"| {it.site} | {it.variant} | {it.pairs} | {means.worth:.4f} "
            f"| {it.difference:+.4f} | {it.error:.4f} | {means.served:.4f} "
            f"| {means.refused:.4f} | {means.failed:.4f} | {means.prices:.4f} |"
        )
    return "\n".join(rows)
