"""Fail when a module under ``policy/`` or ``model/`` imports anything that can do I/O.

Decisions that a newcomer can read and test without a network stay that way only while a
check refuses the first import that would break it.
"""

from __future__ import annotations

import ast
import sys
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

ROOT = Path(__file__).resolve().parent.parent / "src" / "hickorybeam"
PURE_PACKAGES = ("policy", "model")
ALLOWED_MODULES = frozenset(
    {
        "__future__",
        "bisect",
        "collections",
        "dataclasses",
        "enum",
        "functools",
        "hashlib",
        "heapq",
        "itertools",
        "math",
        "msgspec",
        "operator",
        "random",
        "statistics",
        "typing",
    }
)
ALLOWED_OWN = ("hickorybeam.policy", "hickorybeam.model", "hickorybeam.errors")


def imported_names(path: Path) -> Iterator[tuple[int, str]]:
    """Yield each imported module of a file with its line."""
    for node in ast.walk(ast.parse(path.read_text())):
        match node:
            case ast.Import(names=names):
                for alias in names:
                    yield node.lineno, alias.name
            case ast.ImportFrom(module=module, level=level):
                yield node.lineno, "hickorybeam.policy" if level else (module or "")


def is_pure(name: str) -> bool:
    """Whether an import of this module keeps its importer free of I/O."""
    if name.split(".")[0] == "hickorybeam":
        return name.startswith(ALLOWED_OWN)
    return name.split(".")[0] in ALLOWED_MODULES


def main() -> int:
    """Print each offending import and return the exit code."""
    faults = [
        f"{path.relative_to(ROOT.parent)}:{line}: imports {name}"
        for package in PURE_PACKAGES
        for path in sorted((ROOT / package).rglob("*.py"))
        for line, name in imported_names(path)
        if not is_pure(name)
    ]
    print("\n".join(faults) if faults else "purity check: policy/ and model/ import no I/O")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
