"""The change ticket: a number and the complete new state of each object that it changes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from hickorybeam.model.config import (
    BackendServer,
    ClientAccount,
    ClientKey,
    ModelService,
    ObjectRef,
    PlainService,
    Region,
    ResidencyRule,
    ServiceRoute,
    ref_of,
)

if TYPE_CHECKING:
    from hickorybeam.model.config import ConfigObject

__all__ = ("ChangeTicket",)


@dataclass(frozen=True, slots=True, kw_only=True)
class ChangeTicket:
    """One numbered change; for each object, the highest number wins."""

    number: int
    regions: tuple[Region, ...] = ()
    residency_rules: tuple[ResidencyRule, ...] = ()
    accounts: tuple[ClientAccount, ...] = ()
    keys: tuple[ClientKey, ...] = ()
    models: tuple[ModelService, ...] = ()
    services: tuple[PlainService, ...] = ()
    routes: tuple[ServiceRoute, ...] = ()
    backends: tuple[BackendServer, ...] = ()
    deleted: tuple[ObjectRef, ...] = ()
    note: str = ""

    def objects(self) -> tuple[ConfigObject, ...]:
        """Return every object that the ticket sets."""
        return (
            *self.regions,
            *self.residency_rules,
            *self.accounts,
            *self.keys,
            *self.models,
            *self.services,
            *self.routes,
            *self.backends,
        )

    def changed_refs(self) -> tuple[ObjectRef, ...]:
        """Return references to all objects that the ticket sets or deletes."""
        return (*(ref_of(obj) for obj in self.objects()), *self.deleted)
