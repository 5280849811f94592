"""Break each safeguard in turn in a scratch copy and show that a test then fails.

Prints a table with one line for each mutation; exits with 1 when a mutation survives or no
longer applies. Arguments pick mutations by a part of the file's path or of the safeguard;
``--list`` only names them.

    .venv/bin/python -m tools.mutations [--list] [shares ...]
"""

from __future__ import annotations

import os
import re
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import TYPE_CHECKING

from tools.mutation_tables import MUTATIONS

if TYPE_CHECKING:
    from tools.mutation_tables import Mutation

ROOT = Path(__file__).resolve().parent.parent
SOURCE = "src/hickorybeam"
COPIED = ("src", "tests", "bench", "tools", "pyproject.toml")
WORKERS = 3
TIMEOUT_S = 90
LIST_OPTION = "--list"
SUMMARY = re.compile(r"^\d+ scenarios? passed, \d+ failed", re.M)
NOTHING_RUN = re.compile(r"^0 scenarios passed, 0 failed, \d+ skipped", re.M)


def copy_tree(target: Path) -> None:
    """Copy what the tests need."""
    for name in COPIED:
        source = ROOT / name
        if source.is_dir():
            ignore = shutil.ignore_patterns("__pycache__", "*.egg-info")
            shutil.copytree(source, target / name, ignore=ignore)
        else:
            shutil.copy(source, target / name)


def run_one(mutation: Mutation) -> str:
    """Return ``killed``, ``SURVIVED``, ``DOES NOT APPLY`` or what else went wrong."""
    with tempfile.TemporaryDirectory() as scratch:
        root = Path(scratch)
        copy_tree(root)
        path = root / SOURCE / mutation.path
        text = path.read_text()
        if text.count(mutation.old) != 1:
            return "DOES NOT APPLY"
        path.write_text(text.replace(mutation.old, mutation.new))
        cmd = [sys.executable, "-m", "behave", "--stop", "--format=progress3"]
        if mutation.scenarios:
            cmd += ["--name", mutation.scenarios]
        cmd.append(f"tests/{mutation.tests}")
        env = {**os.environ, "PYTHONPATH": f"{root / 'src'}{os.pathsep}{root}"}
        try:
            done = subprocess.run(
                cmd, cwd=root, env=env, capture_output=True, text=True, timeout=TIMEOUT_S
            )
        except subprocess.TimeoutExpired:
            return "killed (hangs)"
    if SUMMARY.search(done.stdout) is None:
        return f"NOT RUN: {(done.stdout + done.stderr).strip().splitlines()[-1:]}"
    if NOTHING_RUN.search(done.stdout) is not None:
        return "NOT RUN: no scenario matches"
    return "killed" if done.returncode else "SURVIVED"


def main(args: list[str]) -> int:
    """Run the mutations asked for and print the table."""
    wanted = [arg for arg in args if arg != LIST_OPTION]
    chosen = [
        one
        for one in MUTATIONS
        if not wanted or any(part in f"{one.path} {one.safeguard}" for part in wanted)
    ]
    if LIST_OPTION in args:
        for one in chosen:
            print(f"{one.path}: {one.safeguard}")
        return 0 if chosen else 1
    with ThreadPoolExecutor(WORKERS) as pool:
        verdicts = list(pool.map(run_one, chosen))
    print("| safeguard | file | tests | verdict |")
    print("| --- | --- | --- | --- |")
    for one, verdict in zip(chosen, verdicts, strict=True):
        print(f"| {one.safeguard} | {one.path} | {one.tests} | {verdict} |")
    bad = [verdict for verdict in verdicts if not verdict.startswith("killed")]
    print(f"{len(chosen)} mutations, {len(bad)} not killed")
    return 1 if bad or not chosen else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
