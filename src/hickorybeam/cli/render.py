"""What the command line prints, for people or as JSON for programs."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

__all__ = ("as_json", "diff_objects", "lines_of", "table")


def as_json(value: object) -> str:
    """Return a value as JSON, keys in order of insertion."""
    return json.dumps(value, indent=2, default=str)


def table(rows: Sequence[Sequence[object]], header: Sequence[str]) -> str:
    """Return rows under a header, columns aligned."""
    texts = [list(header), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[i]) for row in texts) for i in range(len(header))]
    padded = (
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in texts
    )
    return "\n".join(line.rstrip() for line in padded)


def lines_of(value: object, *, indent: int = 0) -> Iterable[str]:
    """Yield a nested value as indented lines."""
    pad = "  " * indent
    match value:
        case dict():
            for key, item in value.items():
                if isinstance(item, dict | list) and item:
                    yield f"{pad}{key}:"
                    yield from lines_of(item, indent=indent + 1)
                else:
                    yield f"{pad}{key}: {_plain(item)}"
        case list():
            for item in value:
                if isinstance(item, dict):
                    yield pad + "- " + ", ".join(f"{k}={_plain(v)}" for k, v in item.items())
                else:
                    yield f"{pad}- {_plain(item)}"
        case _:
            yield f"{pad}{_plain(value)}"


def diff_objects(before: Mapping[str, Any], after: Mapping[str, Any]) -> list[str]:
    """Return one line for each object that two tickets set differently."""
    changes: list[str] = []
    for kind in sorted({*before, *after} - {"number", "note"}):
        old = {_name(item): item for item in before.get(kind, ())}
        new = {_name(item): item for item in after.get(kind, ())}
        for name in sorted({*old, *new}):
            if name not in new:
                changes.append(f"- {kind} {name}")
            elif name not in old:
                changes.append(f"+ {kind} {name}: {json.dumps(new[name])}")
            elif old[name] != new[name]:
                fields = [key for key in new[name] if new[name][key] != old[name].get(key)]
                changes += [
                    f"~ {kind} {name}.{key}: {old[name].get(key)!r} -> {new[name][key]!r}"
                    for key in fields
                ]
    return changes


def _name(item: Mapping[str, Any]) -> str:
    return (
        f"{item.get('kind', '')}/{item['name']}" if set(item) == {"kind", "name"} else item["name"]
    )


def _plain(value: object) -> str:
    match value:
        case None:
            return "-"
        case {} | []:
            return "none"
        case float():
            return f"{value:g}"
        case _:
            return str(value)
