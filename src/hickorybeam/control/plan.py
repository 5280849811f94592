"""Which orders bring a data centre's engines to the configured state; without I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from hickorybeam.model import BackendKind, BackendServer

if TYPE_CHECKING:
    from collections.abc import Mapping

    from hickorybeam.model import ConfigState, ModelService

__all__ = ("EngineState", "Order", "OrderKind", "controllable_engines", "next_order")


class OrderKind(Enum):
    """What an order makes an engine do."""

    LOAD = "load"
    UNLOAD = "unload"
    ROLE = "role"


@dataclass(frozen=True, slots=True, kw_only=True)
class Order:
    """One order to one engine; ``weight_bytes`` is what it transfers from the weight store."""

    kind: OrderKind
    model: str = ""
    version: str = "1"
    role: str = ""
    weight_bytes: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineState:
    """An engine's reported state: versions by model, its role, the highest fencing token seen."""

    models: Mapping[str, str] = field(default_factory=dict)
    role: str = ""
    fencing: int = 0


def controllable_engines(config: ConfigState, data_centre: str) -> tuple[BackendServer, ...]:
    """Return the engines of a data centre that are sent orders; leaving ones are not."""
    return tuple(
        backend
        for backend in config.backends.values()
        if backend.kind is BackendKind.ENGINE
        and backend.data_centre == data_centre
        and not backend.leaving
    )


def next_order(config: ConfigState, engine: BackendServer, seen: EngineState) -> Order | None:
    """Return the next order for an engine, or ``None`` if it is in the configured state.

    One order at a time: its outcome is read back before the next. Unloads come first, since they
    free the memory that a load needs. An adapter is unloaded before its base model and loaded
    after it.
    """
    wanted = {
        name: config.models[name]
        for name in engine.serves
        if name in config.models and engine.region in config.models[name].regions
    }
    to_unload = sorted(
        (name for name in seen.models if name not in wanted),
        key=lambda name: (not _is_adapter(config.models.get(name)), name),
    )
    if to_unload:
        return Order(kind=OrderKind.UNLOAD, model=to_unload[0], version=seen.models[to_unload[0]])
    to_load = sorted(
        (model for name, model in wanted.items() if seen.models.get(name) != model.version),
        key=lambda model: (_is_adapter(model), model.name),
    )
    if to_load:
        return Order(
            kind=OrderKind.LOAD,
            model=to_load[0].name,
            version=to_load[0].version,
            weight_bytes=to_load[0].weight_bytes,
        )
    if engine.role and engine.role != seen.role:
        return Order(kind=OrderKind.ROLE, role=engine.role)
    return None


def _is_adapter(model: ModelService | None) -> bool:
    return model is not None and model.adapter_of is not None
