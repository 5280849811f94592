"""Write docs/operators/reference.md from the settings, the error table and the counters.

Run it after a change; a test compares the page with what this would write.
"""

from __future__ import annotations

import dataclasses
import sys
import typing
from pathlib import Path
from typing import Any

import anyio

from hickorybeam.daemon import Daemon
from hickorybeam.errors import ERROR_RESPONSES
from hickorybeam.gateway.daemon import build
from hickorybeam.model import ChangeTicket
from hickorybeam.settings import PlatformSettings, Settings, TlsSettings, VmSettings
from hickorybeam.settings.types import GatewaySettings, PeerSettings
from hickorybeam.telemetry import Counters

PAGE = Path(__file__).resolve().parent.parent / "docs" / "operators" / "reference.md"


def page() -> str:
    """Return the whole page."""
    parts = [
        "# Reference",
        "Written by `tools/make_reference.py`; edit the code, not this page.",
        "## Settings",
        "JSON with comments. `hickorybeam check FILE` names every fault, "
        "`hickorybeam effective FILE` prints the defaults filled in. Names ending in `_ms` are "
        "milliseconds, in `_bytes` bytes.",
        *settings_tables(Settings, ""),
        "## Change tickets",
        "A ticket carries the whole new state of each object that it touches. Fields without a "
        "default are needed.",
        *ticket_tables(),
        "## Refusals",
        'Every refusal is `{"error": {...}}` with the code, whether the work ran, and whether '
        "and when to retry. `hickorybeam_refusals_total{kind=...}` counts each.",
        refusals(),
        "## Metrics",
        metrics(),
    ]
    return "\n\n".join(parts) + "\n"


def settings_tables(cls: Any, prefix: str) -> list[str]:
    """Return a table for each section."""
    hints = typing.get_type_hints(cls)
    rows, below = [], []
    for field in dataclasses.fields(cls):
        key = f"{prefix}{field.name}"
        section = section_of(hints[field.name])
        if section is not None:
            below += [f"### `{key}`", *settings_tables(section, f"{key}.")]
        else:
            rows.append(f"| `{key}` | {type_name(hints[field.name])} | {default(field)} |")
    head = ["| key | type | default |\n|---|---|---|\n" + "\n".join(rows)] if rows else []
    return [doc(cls), *head, *below]


def section_of(hint: Any) -> Any | None:
    """Return the data class of a section of settings, also of one that may be left out."""
    for found in (hint, *typing.get_args(hint)):
        if dataclasses.is_dataclass(found):
            return found if typing.get_origin(hint) is not tuple else None
    return None


def ticket_tables() -> list[str]:
    """Return a table for each kind of object."""
    hints = typing.get_type_hints(ChangeTicket)
    parts = []
    for field in dataclasses.fields(ChangeTicket):
        args = typing.get_args(hints[field.name])
        if not args or not dataclasses.is_dataclass(args[0]):
            continue
        cls = args[0]
        inner = typing.get_type_hints(cls)
        rows = [
            f"| `{f.name}` | {type_name(inner[f.name])} | {default(f)} |"
            for f in dataclasses.fields(cls)
        ]
        table = "| field | type | default |\n|---|---|---|\n" + "\n".join(rows)
        parts += [f"### `{field.name}`", doc(cls), table]
    return parts


def refusals() -> str:
    """Return the table of error kinds."""
    rows = [
        f"| `{kind.value}` | {a.status} | {a.ran.value} | {a.retry.value} | {a.text} |"
        for kind, a in ERROR_RESPONSES.items()
    ]
    return "| code | status | ran | retry | meaning |\n|---|---|---|---|---|\n" + "\n".join(rows)


def metrics() -> str:
    """Return the table of everything a daemon counts."""
    vm = VmSettings(name="vm", region="r", data_centre="d")
    cfg = Settings(
        vm=vm,
        platform=PlatformSettings(urls=("http://127.0.0.1:1",)),
        peers=PeerSettings(tls=TlsSettings(plain=True)),
    )
    gateway_cfg = dataclasses.replace(cfg, gateway=GatewaySettings())
    gateway = Counters()
    anyio.run(_bind, gateway_cfg, gateway)
    tables = ((Daemon.build(cfg).counters, ""), (gateway, "With the section `gateway`:\n\n"))
    return "\n\n".join(title + metric_table(counters) for counters, title in tables)


async def _bind(cfg: Settings, counters: Counters) -> None:
    """Let the gateway's services make their counters; they need a running loop."""
    kernel = build(cfg, counters=counters)
    for service in kernel.services():
        service.bind(kernel)


def metric_table(counters: Counters) -> str:
    """Return the table of what these counters hold."""
    rows = sorted(metric_row(collector) for collector in counters.registry._collector_to_names)
    return "| name | type | labels | meaning |\n|---|---|---|---|\n" + "\n".join(rows)


def metric_row(collector: Any) -> str:
    """Return a metric's line; prometheus_client tells label names of no sample only here."""
    (metric,) = collector.collect()
    names = ", ".join(collector._labelnames) or "-"
    suffix = "_total" if metric.type == "counter" else ""
    return f"| `{metric.name}{suffix}` | {metric.type} | {names} | {metric.documentation} |"


def doc(cls: Any) -> str:
    """Return a class's docstring as one paragraph."""
    return " ".join((cls.__doc__ or "").split())


def default(field: dataclasses.Field[Any]) -> str:
    """Return a field's default as JSON would write it."""
    if field.default is not dataclasses.MISSING:
        return f"`{field.default!r}`" if field.default != () else "none"
    if field.default_factory is not dataclasses.MISSING:
        return "none"
    return "needed"


def type_name(hint: Any) -> str:
    """Return a type as a reader of JSON knows it."""
    names = {str: "string", int: "whole number", float: "number", bool: "true or false"}
    if hint in names:
        return names[hint]
    if typing.get_origin(hint) is tuple:
        return f"list of {type_name(typing.get_args(hint)[0])}"
    if typing.get_origin(hint) is dict:
        return f"object of {type_name(typing.get_args(hint)[1])}s"
    if typing.get_args(hint):
        return " or ".join(type_name(arg) for arg in typing.get_args(hint))
    if hint is type(None):
        return "null"
    if hasattr(hint, "__members__"):
        return ", ".join(f'"{item.value}"' for item in hint)
    return str(hint.__name__)


if __name__ == "__main__":
    if "--print" in sys.argv:
        print(page())
    else:
        PAGE.write_text(page(), encoding="utf-8")
