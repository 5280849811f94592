"""Run the behave features, one process for each feature file, and add up the counts.

Features run side by side because each owns its ports and clocks, but for those tagged ``@alone``,
which read the memory of processes and run one at a time after the others. The sum is printed in one
line that CI reads. Arguments name folders (``tickets``) or paths to features.
"""

from __future__ import annotations

import re
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TESTS = ROOT / "tests"
WORKERS = 8
SUITE_LIMIT_S = 300
SUMMARY = re.compile(
    r"^(\d+) scenarios? passed, (\d+) failed(?:, (\d+) error)?(?:, (\d+) skipped)?", re.M
)
FAILURE = re.compile(r"^(?:FAILURE|ERROR) in step .*(?:\n(?!-{5}).*){0,4}", re.M)
FAILING = re.compile(r"^(?:Failing|Errored) scenarios:\n((?:  .+\n)+)", re.M)
ALONE = "@alone"
TAIL_LINES = 5  # of an output that names no scenario


@dataclass(frozen=True, slots=True)
class Outcome:
    """What one behave process reported."""

    name: str
    passed: int
    failed: int
    skipped: int
    output: str
    seconds: float = 0.0


def suites(args: list[str]) -> list[Path]:
    """Return the folders or features to run."""
    if args:
        return [path if (path := TESTS / arg).exists() else Path(arg) for arg in args]
    return sorted(TESTS.rglob("*.feature"))


def runs_alone(path: Path) -> bool:
    """Return whether a feature runs while no other one does."""
    return path.is_file() and path.read_text().startswith(ALONE)


def run_suite(path: Path) -> Outcome:
    """Run one folder and read its counts; a crash counts as one failure."""
    cmd = [sys.executable, "-m", "behave", "--format=progress3", str(path)]
    name = str(path.resolve().relative_to(TESTS))
    begun = time.monotonic()
    try:
        done = subprocess.run(
            cmd, cwd=ROOT, capture_output=True, text=True, check=False, timeout=SUITE_LIMIT_S
        )
    except subprocess.TimeoutExpired as exc:
        output = f"ended after {SUITE_LIMIT_S} s:\n{exc.stdout!r}"
        return Outcome(name, 0, 1, 0, output)
    output = done.stdout + done.stderr
    found = SUMMARY.search(output)
    if found is None:
        return Outcome(name, 0, 1, 0, output)
    passed, failed, errors, skipped = (int(group or 0) for group in found.groups())
    failed += errors
    if done.returncode and not failed:
        failed = 1
    return Outcome(name, passed, failed, skipped, output, time.monotonic() - begun)


def failure_lines(outcome: Outcome) -> str:
    """Return the scenarios that failed in a feature, and the step and reason of each."""
    scenarios = [line for group in FAILING.findall(outcome.output) for line in group.splitlines()]
    if not scenarios:
        return "\n".join([f"  {outcome.name}", *outcome.output.splitlines()[-TAIL_LINES:]])
    return "\n".join([*scenarios, *FAILURE.findall(outcome.output)])


def main(args: list[str]) -> int:
    """Run every suite and print the closing line."""
    paths = suites(args)
    with ThreadPoolExecutor(WORKERS) as pool:
        outcomes = list(pool.map(run_suite, [path for path in paths if not runs_alone(path)]))
    outcomes += [run_suite(path) for path in paths if runs_alone(path)]
    for outcome in outcomes:
        counts = f"{outcome.passed} passed, {outcome.failed} failed"
        print(f"{outcome.name}: {counts} in {outcome.seconds:.0f} s")
        if outcome.failed:
            print(outcome.output)
    known_red = ROOT / "KNOWN-RED.txt"
    if known_red.exists():
        print(f"passed over, known red:\n{known_red.read_text()}")
    # Once more at the end, as whoever keeps the output may cut its beginning.
    for outcome in outcomes:
        if outcome.failed:
            print(f"failed:\n{failure_lines(outcome)}")
    passed, failed, skipped = (
        sum(getattr(outcome, field) for outcome in outcomes)
        for field in ("passed", "failed", "skipped")
    )
    print(f"{passed} passed, {failed} failed, {skipped} skipped")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
