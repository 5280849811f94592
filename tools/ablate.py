"""Play days of a deployment with one change at a time, on several seeds, and compare worth.

    python tools/ablate.py --bench BENCH --scratch DIR --site SITE --days scale-1,trouble-3 \
        --seeds 1,2,3 [--jobs 3] [--with-cpu] [--small] [--revision REV] [NAME=PATCH ...]

Each ``PATCH`` is a file for ``git apply``, laid over REV in a clone of its own below DIR; the
clone without a patch is the base. The table gives the mean over days and seeds, the difference
to the base on the same days and seeds, and the standard error of that difference: a difference
below two of them says nothing. Reports stay in DIR for a second look.
"""

from __future__ import annotations

import argparse
import json
import math
import shutil
import statistics
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
BASE = "base"
PLAY_LIMIT_S = 1_500


@dataclass(frozen=True, slots=True)
class Play:
    """One day under one seed, played by one variant."""

    variant: str
    day: str
    seed: int


@dataclass(frozen=True, slots=True)
class Outcome:
    """What one play earned; ``broken`` names rules, or tells why there is no report."""

    worth: float
    served: float
    broken: str


def main(argv: list[str]) -> None:
    """Play every variant and print the table."""
    args = arguments(argv)
    patches = dict(pair.split("=", 1) for pair in args.variants)
    clones = {BASE: clone(args.scratch / BASE, args.revision, None)}
    for name, patch in patches.items():
        clones[name] = clone(args.scratch / name, args.revision, Path(patch).resolve())
    for tree in clones.values():
        subprocess.run([args.bench, "build"], cwd=tree, check=True, capture_output=True)
    plays = [
        Play(variant, day, seed)
        for day in args.days.split(",")
        for seed in map(int, args.seeds.split(","))
        for variant in clones
    ]
    with ThreadPoolExecutor(args.jobs) as pool:
        found = list(pool.map(lambda it: outcome_of(it, clones[it.variant], args), plays))
    results = dict(zip(plays, found, strict=True))
    print_days(results, list(clones))
    print_means(results, list(clones))


def arguments(argv: list[str]) -> argparse.Namespace:
    """Read the command line."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--bench", required=True, type=lambda it: str(Path(it).resolve()))
    parser.add_argument("--scratch", required=True, type=Path)
    parser.add_argument("--site", required=True, type=lambda it: str(Path(it).resolve()))
    parser.add_argument("--days", required=True)
    parser.add_argument("--seeds", default="1,2,3")
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--with-cpu", action="store_true")
    parser.add_argument("--small", action="store_true", help="play small twins of large days")
    parser.add_argument("--revision", default="HEAD")
    parser.add_argument("variants", nargs="*", metavar="NAME=PATCH")
    return parser.parse_args(argv)


def clone(tree: Path, revision: str, patch: Path | None) -> Path:
    """Return a clone of this repository with a patch laid over it; an old one is replaced."""
    if tree.exists():
        shutil.rmtree(tree)
    subprocess.run(["git", "clone", "-q", str(ROOT), str(tree)], check=True)
    subprocess.run(["git", "checkout", "-q", revision], cwd=tree, check=True)
    if patch is not None:
        subprocess.run(["git", "apply", str(patch)], cwd=tree, check=True)
    return tree


def outcome_of(play: Play, tree: Path, args: argparse.Namespace) -> Outcome:
    """Play once and read the report."""
    report = (
        args.scratch.resolve() / f"{play.variant}-{Path(args.site).stem}-{play.day}-{play.seed}"
    )
    cmd = [args.bench, "run", args.site, play.day, "--seed", str(play.seed)]
    cmd += ["--report", f"{report}.json", *([] if args.with_cpu else ["--no-cpu"])]
    cmd += ["--small"] if args.small else []
    done = subprocess.run(
        cmd, cwd=tree, capture_output=True, text=True, check=False, timeout=PLAY_LIMIT_S
    )
    Path(f"{report}.txt").write_text(done.stdout + done.stderr)
    try:
        day = json.loads(Path(f"{report}.json").read_text())
    except (OSError, ValueError) as exc:
        return Outcome(math.nan, math.nan, f"no report: {exc}")
    broken = " ".join(f"{rule} {count}" for rule, count in day["breaks"].items())
    return Outcome(day["G"], day["served"], broken)


def print_days(results: dict[Play, Outcome], variants: list[str]) -> None:
    """Print the mean worth of each day, and the rules that were broken."""
    print("| day |", " | ".join(variants), "|")
    print("|---" * (len(variants) + 1) + "|")
    for day in dict.fromkeys(play.day for play in results):
        means = []
        for variant in variants:
            worth = [o.worth for p, o in results.items() if (p.variant, p.day) == (variant, day)]
            means.append(f"{statistics.fmean(worth):.3f} ({min(worth):.3f}-{max(worth):.3f})")
        print(f"| {day} |", " | ".join(means), "|")
    for play, outcome in results.items():
        if outcome.broken:
            print(f"\n{play.variant} {play.day} seed {play.seed}: {outcome.broken}")


def print_means(results: dict[Play, Outcome], variants: list[str]) -> None:
    """Print each variant's mean, and how it differs from the base on the same plays."""
    print("\n| variant | worth | served | difference | standard error |")
    print("|---|---|---|---|---|")
    for variant in variants:
        plays = [play for play in results if play.variant == variant]
        worth = [results[play].worth for play in plays]
        served = statistics.fmean(results[play].served for play in plays)
        base = [results[Play(BASE, play.day, play.seed)].worth for play in plays]
        gained = [mine - other for mine, other in zip(worth, base, strict=True)]
        error = statistics.stdev(gained) / math.sqrt(len(gained)) if len(gained) > 1 else math.nan
        mean = statistics.fmean(worth)
        difference = f"{statistics.fmean(gained):+.4f} | {error:.4f}"
        print(f"| {variant} | {mean:.4f} | {served:.4f} | {difference} |")


if __name__ == "__main__":
    main(sys.argv[1:])
