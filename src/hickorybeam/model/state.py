"""The configuration in force: an immutable snapshot, so that a decision uses one state."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import cached_property
from typing import TYPE_CHECKING, Generic, TypeVar

from hickorybeam.model.config import (
    BackendServer,
    ClientAccount,
    ClientKey,
    ConfigObject,
    ModelService,
    ObjectKind,
    ObjectRef,
    PlainService,
    Region,
    ResidencyRule,
    ServiceRoute,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ("ConfigState", "Versioned")

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Versioned(Generic[T]):
    """An object with the number of the ticket that set it; ``None`` marks a deletion."""

    ticket: int
    value: T | None


@dataclass(frozen=True)
class ConfigState:
    """All objects at one position of the ticket log.

    ``position`` counts accepted tickets; ``head_ticket`` is the number of the last one.
    """

    position: int = 0
    head_ticket: int = 0
    objects: Mapping[ObjectRef, Versioned[ConfigObject]] = field(default_factory=dict)

    def ticket_number(self, ref: ObjectRef) -> int:
        """Return the number of the ticket that last set or deleted an object, 0 if none did."""
        found = self.objects.get(ref)
        return found.ticket if found else 0

    @cached_property
    def regions(self) -> Mapping[str, Region]:
        """Regions by name."""
        return self._objects_of(ObjectKind.REGION, Region)

    @cached_property
    def residency_rules(self) -> Mapping[str, ResidencyRule]:
        """Residency rules by name."""
        return self._objects_of(ObjectKind.RESIDENCY, ResidencyRule)

    @cached_property
    def accounts(self) -> Mapping[str, ClientAccount]:
        """Client accounts by name."""
        return self._objects_of(ObjectKind.ACCOUNT, ClientAccount)

    @cached_property
    def keys(self) -> Mapping[str, ClientKey]:
        """Keys by digest."""
        return self._objects_of(ObjectKind.KEY, ClientKey)

    @cached_property
    def models(self) -> Mapping[str, ModelService]:
        """Models by name."""
        return self._objects_of(ObjectKind.MODEL, ModelService)

    @cached_property
    def services(self) -> Mapping[str, PlainService]:
        """Plain services by name."""
        return self._objects_of(ObjectKind.SERVICE, PlainService)

    @cached_property
    def routes(self) -> Mapping[str, ServiceRoute]:
        """Routes to plain services by name."""
        return self._objects_of(ObjectKind.ROUTE, ServiceRoute)

    @cached_property
    def backends(self) -> Mapping[str, BackendServer]:
        """Backend servers by name."""
        return self._objects_of(ObjectKind.BACKEND, BackendServer)

    @cached_property
    def backends_by_served(self) -> Mapping[str, tuple[BackendServer, ...]]:
        """Backend servers by the model or service they serve."""
        served: dict[str, list[BackendServer]] = {}
        for backend in self.backends.values():
            for name in backend.serves:
                served.setdefault(name, []).append(backend)
        return {name: tuple(found) for name, found in served.items()}

    def allowed_regions(self, account: ClientAccount) -> frozenset[str] | None:
        """Return the regions whose VMs and backend servers may process the account's data.

        :return: ``None`` if the account's rule does not exist; then no region is allowed.
        """
        if account.residency is None:
            return frozenset(self.regions)
        rule = self.residency_rules.get(account.residency)
        return None if rule is None else frozenset(rule.regions) & frozenset(self.regions)

    def is_revoked(self, digest: str) -> bool:
        """Return whether a key existed and was deleted."""
        found = self.objects.get(ObjectRef(ObjectKind.KEY.value, digest))
        return found is not None and found.value is None

    def _objects_of(self, kind: ObjectKind, cls: type[T]) -> Mapping[str, T]:
        return {
            ref.name: entry.value
            for ref, entry in self.objects.items()
            if ref.kind == kind.value and isinstance(entry.value, cls)
        }
