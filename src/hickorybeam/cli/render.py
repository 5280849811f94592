"""Output formats of the command line: text for people, JSON for programs."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

__all__ = ("as_json", "diff_objects", "format_lines", "table")


def as_json(value: object) -> str:
    """Return a value as indented JSON, keys in insertion order."""
    return json.dumps(value, indent=2, default=str)


def table(rows: Sequence[Sequence[object]], header: Sequence[str]) -> str:
    """Return rows as a text table with a header and aligned columns."""
    texts = [list(header), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[i]) for row in texts) for i in range(len(header))]
    padded = (
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in texts
    )
    return "\n".join(line.rstrip() for line in padded)


def format_lines(value: object, *, indent: int = 0) -> Iterable[str]:
    """Yield a nested value as indented lines."""
    padding = "  " * indent
    match value:
        case dict():
            for key, item in value.items():
                if isinstance(item, dict | list) and item:
                    yield f"{padding}{key}:"
                    yield from format_lines(item, indent=indent + 1)
                else:
                    yield f"{padding}{key}: {_format_scalar(item)}"
        case list():
            for item in value:
                if isinstance(item, dict):
                    yield (
                        padding
                        + "- "
                        + ", ".join(f"{k}={_format_scalar(v)}" for k, v in item.items())
                    )
                else:
                    yield f"{padding}- {_format_scalar(item)}"
        case _:
            yield f"{padding}{_format_scalar(value)}"


def diff_objects(before: Mapping[str, Any], after: Mapping[str, Any]) -> list[str]:
    """Return a line for each object or field in which two tickets differ."""
    changes: list[str] = []
    for kind in sorted({*before, *after} - {"number", "note"}):
        old = {_object_name(item): item for item in before.get(kind, ())}
        new = {_object_name(item): item for item in after.get(kind, ())}
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


def _object_name(item: Mapping[str, Any]) -> str:
    return (
        f"{item.get('kind', '')}/{item['name']}" if set(item) == {"kind", "name"} else item["name"]
    )


def _format_scalar(value: object) -> str:
    match value:
        case None:
            return "-"
        case {} | []:
            return "none"
        case float():
            return f"{value:g}"
        case _:
            return str(value)
