"""Print which requests lose worth on played days, in which seconds and for which reason.

    python tools/lost.py REPORT.json[:OUTPUT.txt] ...

A report comes from a play's ``--report``; the output is what the same play printed with
``--log all``, from which late answers get their cause. Shares are of the worth that was asked
for, each kind of request weighed by ``--worth KIND=WORTH`` (1 where it isn't given).
"""

from __future__ import annotations

import argparse
import json
import sys
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

# A late answer keeps this share of its worth.
LATE_KEEPS = 0.3
LATE = '"event":"late"'
# A request that waited for longer than this share of its objective was late for its place in line.
IN_LINE_SHARE = 0.3
WORST_WINDOWS = 4


@dataclass(slots=True)
class Losses:
    """Worth lost, by kind and end; late answers by cause; the worst windows of each day."""

    asked: float = 0.0
    by_end: Counter[tuple[str, str]] = field(default_factory=Counter)
    unserved: Counter[str] = field(default_factory=Counter)
    causes: Counter[str] = field(default_factory=Counter)
    windows: list[str] = field(default_factory=list)


def main(argv: list[str]) -> None:
    """Read the reports and print the tables."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--worth", action="append", default=[], metavar="KIND=WORTH")
    parser.add_argument("plays", nargs="+", metavar="REPORT[:OUTPUT]")
    args = parser.parse_args(argv)
    pairs = (pair.split("=") for pair in args.worth)
    worth = {kind: float(value) for kind, value in pairs}
    losses = Losses()
    for play in args.plays:
        report, _, output = play.partition(":")
        take_report(losses, report, json.loads(Path(report).read_text()), worth)
        if output:
            take_output(losses, Path(output).read_text())
    print_losses(losses)


def take_report(losses: Losses, name: str, day: dict[str, Any], worth: dict[str, float]) -> None:
    """Add what one day's report tells."""
    for kind in day["classes"]:
        each = worth.get(kind["name"], 1.0)
        losses.asked += each * (kind["n"] - kind["not_owed"])
        losses.by_end[kind["name"], "late"] += each * (1 - LATE_KEEPS) * kind["late"]
        for end in ("refused", "failed"):
            losses.by_end[kind["name"], end] += each * kind[end]
    for end, count, _ in day["unserved_by"]:
        losses.unserved[end] += count
    worst = sorted(day["windows"], key=lambda it: it["worth"])[:WORST_WINDOWS]
    told = ", ".join(f"{it['name']} s {it['worth']:.2f}" for it in worst)
    losses.windows.append(f"{Path(name).stem}: {told}")


def take_output(losses: Losses, text: str) -> None:
    """Add the causes of late answers from the VMs' logs."""
    for line in text.splitlines():
        # A VM's line follows its time and name.
        _, found, log_line = line.partition("{")
        if LATE in log_line:
            late = json.loads(found + log_line)
            losses.causes[cause_of(late)] += 1 + late.get("left_out", 0)


def cause_of(late: dict[str, Any]) -> str:
    """Name what made an answer late, from its log line."""
    if late["first_ms"] <= late["target_ms"]:
        return "a pause between events"
    if late["in_line_ms"] > IN_LINE_SHARE * late["target_ms"]:
        return "its place in line"
    if late["sends"] > 1:
        return "sent more than once"
    if late["foreseen_ms"] > late["target_ms"] / 2:
        return "a long wait that was foreseen"
    return "a longer wait than foreseen, or another region"


def print_losses(losses: Losses) -> None:
    """Print all tables, largest loss first."""
    print("| kind | end | share of worth lost |\n|---|---|---|")
    for (kind, end), lost in losses.by_end.most_common():
        if lost:
            print(f"| {kind} | {end} | {lost / losses.asked:.3f} |")
    print("\n| last try of those not served | requests |\n|---|---|")
    for end, count in losses.unserved.most_common():
        print(f"| {end} | {count} |")
    if losses.causes:
        print("\n| late because of | answers |\n|---|---|")
        for cause, count in losses.causes.most_common():
            print(f"| {cause} | {count} |")
    print("\nWorst windows:", *losses.windows, sep="\n- ")


if __name__ == "__main__":
    main(sys.argv[1:])
