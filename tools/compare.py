"""Play variants of the sources on the same sites, days and seeds, and compare what they earn.

    python tools/compare.py --bench BENCH --out DIR FILE

FILE is JSON with comments::

    {
      "sites": [{"file": "path/of/site.toml", "days": ["scale-1"], "seeds": [1, 2], "small": true}],
      "charge_processor": false,
      "jobs": 3,
      "base": "HEAD",                        // revision of the base
      "variants": {"name": {"revision": "HEAD", "patch": "change.patch"}}
    }

``patch`` and ``revision`` may be left out; ``seeds`` left out plays each day with its own.
Paths are relative to FILE. Reports stay in DIR, so that a run that was cut off goes on where it
was. DIR also gets ``table.md`` and ``chart.png``. The exit code is 1 if a rule was broken, a play
has no figures, or a site fell by more than is tolerated.
"""

from __future__ import annotations

import argparse
import hashlib
import json
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor, as_completed
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import json5
from tqdm import tqdm

from comparison import TOLERATED_LOSS, Comparison, Outcome, Play, compare, table, verdicts

ROOT = Path(__file__).resolve().parent.parent
BASE = "base"
PLAY_LIMIT_S = 3_000


@dataclass(frozen=True, slots=True)
class Variant:
    """A revision of this repository with an optional patch over it."""

    name: str
    revision: str
    patch: Path | None

    def digest(self) -> str:
        """Return a digest of the sources, which tells whether an old report still counts."""
        commit = run_git("rev-parse", self.revision)
        patch = self.patch.read_bytes() if self.patch else b""
        return hashlib.sha256(commit.encode() + patch).hexdigest()[:12]


@dataclass(frozen=True, slots=True)
class Experiment:
    """What to play: the variants, the first of which is the base, and the plays of each."""

    variants: tuple[Variant, ...]
    sites: dict[str, Path]
    small: dict[str, bool]
    plays: tuple[Play, ...]
    charge_processor: bool
    jobs: int


def main(argv: list[str]) -> int:
    """Play what is missing, write the table and the chart, and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--bench", required=True, type=Path)
    parser.add_argument("--out", required=True, type=Path)
    parser.add_argument("file", type=Path)
    args = parser.parse_args(argv)
    experiment = read_experiment(args.file)
    out, bench = args.out.resolve(), args.bench.resolve()
    out.mkdir(parents=True, exist_ok=True)
    trees = {it.name: source_tree(it, out, bench) for it in experiment.variants}
    results = play_all(experiment, trees, bench)
    comparisons = [
        found
        for site in experiment.sites
        for variant in trees
        if (found := compare(results, base=BASE, variant=variant, site=site)) is not None
    ]
    problems = verdicts(results, comparisons)
    text = "\n".join((table(comparisons), "", *(f"- {line}" for line in problems)))
    (out / "table.md").write_text(text + "\n")
    print(text)
    draw_chart(comparisons, out / "chart.png")
    return 1 if problems else 0


def read_experiment(file: Path) -> Experiment:
    """Read an experiment.

    :raises ValueError: it names unknown fields.
    """
    doc = json5.loads(file.read_text())
    check_fields("experiment", doc, {"sites", "charge_processor", "jobs", "base", "variants"})
    variants = [Variant(BASE, doc.get("base", "HEAD"), None)]
    for name, entry in doc.get("variants", {}).items():
        check_fields(f"variant {name!r}", entry, {"revision", "patch"})
        patch = file.parent / entry["patch"] if "patch" in entry else None
        variants.append(Variant(name, entry.get("revision", variants[0].revision), patch))
    sites, small, plays = {}, {}, []
    for entry in doc["sites"]:
        check_fields("site", entry, {"file", "days", "seeds", "small"})
        path = (file.parent / entry["file"]).resolve()
        sites[path.stem], small[path.stem] = path, bool(entry.get("small", False))
        plays += [
            Play(variant.name, path.stem, day, seed)
            for day in entry["days"]
            for seed in entry.get("seeds", [None])
            for variant in variants
        ]
    return Experiment(
        variants=tuple(variants),
        sites=sites,
        small=small,
        plays=tuple(plays),
        charge_processor=bool(doc.get("charge_processor", False)),
        jobs=int(doc.get("jobs", 3)),
    )


def check_fields(where: str, entry: dict[str, Any], known: set[str]) -> None:
    """Refuse fields that are not known.

    :raises ValueError: there are some.
    """
    unknown = entry.keys() - known
    if unknown:
        raise ValueError(f"{where}: unknown fields {sorted(unknown)}")


def source_tree(variant: Variant, out: Path, bench: Path) -> Path:
    """Return a built checkout of a variant; one of the same sources is used again."""
    tree = out / f"{variant.name}-{variant.digest()}"
    if not tree.exists():
        subprocess.run(["git", "clone", "-q", str(ROOT), str(tree)], check=True)
        commit = run_git("rev-parse", variant.revision)
        subprocess.run(["git", "checkout", "-q", commit], cwd=tree, check=True)
        if variant.patch is not None:
            subprocess.run(["git", "apply", str(variant.patch.resolve())], cwd=tree, check=True)
    subprocess.run([bench, "build"], cwd=tree, check=True, capture_output=True)
    return tree


def play_all(experiment: Experiment, trees: dict[str, Path], bench: Path) -> dict[Play, Outcome]:
    """Play everything that has no report yet, some plays side by side."""
    results: dict[Play, Outcome] = {}
    with ThreadPoolExecutor(experiment.jobs) as pool:
        pending = {
            pool.submit(outcome_of, play, trees[play.variant], experiment, bench): play
            for play in experiment.plays
        }
        for done in tqdm(as_completed(pending), total=len(pending), unit="play"):
            results[pending[done]] = done.result()
    return results


def outcome_of(play: Play, tree: Path, experiment: Experiment, bench: Path) -> Outcome:
    """Read a play's report, after playing it if there is none."""
    size = "-small" if experiment.small[play.site] else ""
    charged = "-charged" if experiment.charge_processor else ""
    report = tree.parent / f"{tree.name}-{play.site}{size}{charged}-{play.day}-{play.seed}.json"
    if not report.exists():
        cmd = [str(bench), "run", str(experiment.sites[play.site]), play.day]
        cmd += ["--report", str(report), "--jobs", "1"]
        cmd += [] if play.seed is None else ["--seed", str(play.seed)]
        cmd += [] if experiment.charge_processor else ["--no-cpu"]
        cmd += ["--small"] if experiment.small[play.site] else []
        try:
            done = subprocess.run(
                cmd, cwd=tree, capture_output=True, text=True, check=False, timeout=PLAY_LIMIT_S
            )
        except subprocess.TimeoutExpired:
            return Outcome(problem=f"no report after {PLAY_LIMIT_S} s", complete=False)
        report.with_suffix(".txt").write_text(done.stdout + done.stderr)
    return read_report(report)


def read_report(report: Path) -> Outcome:
    """Read what a play earned."""
    try:
        day = json.loads(report.read_text())
    except (OSError, ValueError) as exc:
        return Outcome(problem=f"no report: {exc}", complete=False)
    if day["fault"] or day["G"] is None:
        return Outcome(problem=f"fault: {day['fault']}", complete=False)
    return Outcome(
        worth=day["G"],
        served=day["served"],
        refused=day["refused"],
        failed=day["failed"],
        prices=sum(price for _, _, price in day["prices"]),
        problem=" ".join(f"{rule} {count}" for rule, count in day["breaks"].items()),
    )


def draw_chart(comparisons: list[Comparison], file: Path) -> None:
    """Draw the differences of all variants on all sites with their standard errors."""
    import matplotlib as mpl

    mpl.use("Agg")
    import matplotlib.pyplot as plt

    shown = [it for it in comparisons if it.variant != BASE]
    fig, axes = plt.subplots(figsize=(8, 1 + 0.3 * max(1, len(shown))))
    positions = list(range(len(shown)))
    axes.errorbar(
        [it.difference for it in shown], positions, xerr=[it.error for it in shown], fmt="o"
    )
    for line in (0.0, -TOLERATED_LOSS, TOLERATED_LOSS):
        axes.axvline(line, color="grey", linewidth=0.8, linestyle="--" if line else "-")
    axes.set_yticks(positions, [f"{it.site}: {it.variant}" for it in shown])
    axes.set_xlabel("difference in worth")
    fig.savefig(file, bbox_inches="tight", dpi=120)
    plt.close(fig)


def run_git(*words: str) -> str:
    """Return what a git command prints."""
    done = subprocess.run(["git", *words], cwd=ROOT, capture_output=True, text=True, check=True)
    return done.stdout.strip()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
