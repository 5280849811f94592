"""Which orders bring a data centre's engines from the state seen to the state wanted: pure."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from hickorybeam.model import BackendKind, BackendServer

if TYPE_CHECKING:
    from collections.abc import Mapping

    from hickorybeam.model import ConfigState, ModelService

__all__ = ("EngineState", "Order", "OrderKind", "engines_of", "next_order")


class OrderKind(Enum):
    """What an engine can be told."""

    LOAD = "load"
    UNLOAD = "unload"
    ROLE = "role"


@dataclass(frozen=True, slots=True, kw_only=True)
class Order:
    """One order to one engine; ``weight_bytes`` is what it takes from the weight store."""

    kind: OrderKind
    model: str = ""
    version: str = "1"
    role: str = ""
    weight_bytes: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineState:
    """What an engine says of itself: versions by model, its role, the highest token seen."""

    models: Mapping[str, str] = field(default_factory=dict)
    role: str = ""
    fencing: int = 0


def engines_of(config: ConfigState, data_centre: str) -> tuple[BackendServer, ...]:
    """Return the engines of a data centre that take orders; a leaving one takes none."""
    return tuple(
        backend
        for backend in config.backends.values()
        if backend.kind is BackendKind.ENGINE
        and backend.data_centre == data_centre
        and not backend.leaving
    )


def next_order(config: ConfigState, engine: BackendServer, seen: EngineState) -> Order | None:
    """Return the next order for an engine, or ``None`` when it is as wanted.

    One order at a time: its outcome is read back before the next. What is no longer wanted
    goes first, since it holds the memory that a load needs; an adapter goes before its base
    and comes after it.
    """
    wanted = {
        name: config.models[name]
        for name in engine.serves
        if name in config.models and engine.region in config.models[name].regions
    }
    gone = sorted(
        (name for name in seen.models if name not in wanted),
        key=lambda name: (not _is_adapter(config.models.get(name)), name),
    )
    if gone:
        return Order(kind=OrderKind.UNLOAD, model=gone[0], version=seen.models[gone[0]])
    due = sorted(
        (model for name, model in wanted.items() if seen.models.get(name) != model.version),
        key=lambda model: (_is_adapter(model), model.name),
    )
    if due:
        return Order(
            kind=OrderKind.LOAD,
            model=due[0].name,
            version=due[0].version,
            weight_bytes=due[0].weight_bytes,
        )
    if engine.role and engine.role != seen.role:
        return Order(kind=OrderKind.ROLE, role=engine.role)
    return None


def _is_adapter(model: ModelService | None) -> bool:
    return model is not None and model.adapter_of is not None
