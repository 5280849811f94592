"""Print where the worth of scored days goes, from the newest scores in the journal.

    python tools/worth.py journal > docs/design/worth.md

For each site the newest score with all its days: what was earned in each part, the largest
prices, and how many requests were refused or failed; weakest day first.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

MOST_PRICES = 4
LEAST_PRICE = 0.002


def newest_scores(folder: Path) -> dict[str, dict[str, Any]]:
    """Return the newest whole score of each site."""
    found: dict[str, dict[str, Any]] = {}
    for path in folder.glob("*.json"):
        entry = json.loads(path.read_text())
        if entry.get("cmd") != "score" or not entry.get("days"):
            continue
        known = found.get(entry["site"])
        if known is None or known["at"] < entry["at"]:
            found[entry["site"]] = entry
    return found


def row_of(day: dict[str, Any]) -> str:
    """Return one day as a row of the table."""
    parts = {name: earned for name, _, earned in day["parts"]}
    prices = sorted(day["prices"], key=lambda price: -price[2])
    largest = [f"{name} {price:.3f}" for name, _, price in prices if price >= LEAST_PRICE]
    cells = [
        day["name"],
        f"{day['G']:.3f}",
        *(f"{parts.get(name, 0):.3f}" for name in PARTS),
        f"{day['refused']:.3f}",
        f"{day['failed']:.3f}",
        "; ".join(largest[:MOST_PRICES]),
        ", ".join(day["rules"]) or "none",
    ]
    return "| " + " | ".join(cells) + " |"


PARTS = ("whole day", "worst windows", "worst class", "worst zone")


def main() -> None:
    """Print the page."""
    folder = Path(sys.argv[1] if len(sys.argv) > 1 else "journal")
    print("# Where worth goes\n\nWritten by `tools/worth.py` from the newest scores in `journal/`.")
    for site, entry in sorted(newest_scores(folder).items()):
        score = entry["score"]
        print(f"\n## {site}: score {score if score is None else round(score, 3)}\n")
        print("| day | worth |", " | ".join(PARTS), "| refused | failed | prices | broken |")
        print("|---" * (len(PARTS) + 6) + "|")
        for day in sorted(entry["days"], key=lambda day: day["G"]):
            print(row_of(day))


if __name__ == "__main__":
    main()
