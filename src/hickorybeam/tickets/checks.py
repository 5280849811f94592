"""Validation of a change ticket against the state it would be applied to; reports all faults."""

from __future__ import annotations

import ipaddress
import math
import re
from collections import Counter
from typing import TYPE_CHECKING

from hickorybeam.model import (
    BackendKind,
    BackendServer,
    ChangeTicket,
    ClientAccount,
    ClientKey,
    ConfigObject,
    ConfigState,
    ModelService,
    ObjectKind,
    ObjectRef,
    PlainService,
    Region,
    ResidencyRule,
    ServiceRoute,
    ref_of,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ("MAX_NUMBER", "MAX_TICKET_BYTES", "find_faults")

# JSON readers represent integers exactly only up to this bound.
MAX_NUMBER = 2**53 - 1
# A value of the platform holds a megabyte; the rest is left for the encoding of the log entry.
MAX_TICKET_BYTES = 900_000
MAX_PORT = 65_535
MAX_NOTE_CHARS = 1_000
RESERVED_PREFIX = "/v1/"

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
_MODEL_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/@-]{0,127}")
_DIGEST = re.compile(r"[0-9a-f]{64}")
_HOST = re.compile(r"[a-z0-9][a-z0-9.-]{0,252}")
_PREFIX = re.compile(r"/(?:[!-~]*/)?")
_METHOD = re.compile(r"[A-Z]{1,20}")
_KINDS = frozenset(kind.value for kind in ObjectKind)


def find_faults(before: ConfigState, after: ConfigState, ticket: ChangeTicket) -> tuple[str, ...]:
    """Return all faults of a ticket, each with the object that it concerns.

    :param before: state that the ticket would be applied to.
    :param after: state with the ticket applied.
    """
    return (
        *_ticket_faults(before, ticket),
        *(fault for obj in ticket.objects() for fault in _object_faults(obj)),
        *_reference_faults(after, ticket),
    )


def _ticket_faults(before: ConfigState, ticket: ChangeTicket) -> Iterator[str]:
    if not 1 <= ticket.number <= MAX_NUMBER:
        yield f"number: expected 1 to {MAX_NUMBER}, found {ticket.number}"
    if len(ticket.note) > MAX_NOTE_CHARS:
        yield f"note: at most {MAX_NOTE_CHARS} characters, found {len(ticket.note)}"
    if not ticket.changed_refs():
        yield "the ticket touches no object"
    for ref, count in Counter(ticket.changed_refs()).items():
        if count > 1:
            yield f"{_describe(ref)}: stands {count} times in the ticket"
    for ref in ticket.deleted:
        if ref.kind not in _KINDS:
            yield f"deleted: unknown kind {ref.kind!r}"
        elif ref not in before.objects:
            yield f"{_describe(ref)}: deleted, but it never existed"


def _object_faults(obj: ConfigObject) -> Iterator[str]:
    where = _describe(ref_of(obj))
    yield from (f"{where}: {fault}" for fault in _name_faults(obj))
    yield from (f"{where}: {fault}" for fault in _field_faults(obj))


def _name_faults(obj: ConfigObject) -> Iterator[str]:
    match obj:
        case ClientKey():
            if not _DIGEST.fullmatch(obj.name):
                yield "name: expected the key's SHA-256 digest in lower-case hex"
        case ModelService():
            if not _MODEL_NAME.fullmatch(obj.name):
                yield "name: expected 1 to 128 of letters, digits and ._:/@-"
        case _:
            if not _NAME.fullmatch(obj.name):
                yield "name: expected 1 to 128 of letters, digits and ._-"


def _field_faults(obj: ConfigObject) -> Iterator[str]:
    match obj:
        case Region():
            yield from _at_least_faults(0, cost=obj.cost)
            yield from _empty_faults(data_centres=obj.data_centres)
            yield from (
                f"data_centres: {name!r} is no name"
                for name in obj.data_centres
                if not _NAME.fullmatch(name)
            )
        case ResidencyRule():
            yield from _empty_faults(regions=obj.regions)
        case ClientAccount():
            yield from _at_least_faults(0, rate=obj.rate, burst=obj.burst)
            yield from _above_faults(0, weight=obj.weight)
        case ModelService():
            yield from _empty_faults(regions=obj.regions)
            yield from _at_least_faults(
                0, min_engines=obj.min_engines, weight_bytes=obj.weight_bytes
            )
        case PlainService():
            yield from _empty_faults(regions=obj.regions)
            yield from _at_least_faults(0, cost=obj.cost)
            yield from _above_faults(0, timeout_ms=obj.timeout_ms)
            yield from (
                f"non_idempotent: {method!r} is no method in capitals"
                for method in obj.non_idempotent
                if not _METHOD.fullmatch(method)
            )
        case ServiceRoute():
            yield from _at_least_faults(0, timeout_ms=obj.timeout_ms)
            yield from _route_faults(obj)
        case BackendServer():
            yield from _above_faults(0, slots=obj.slots, tokens_per_s=obj.tokens_per_s)
            if not 1 <= obj.port <= MAX_PORT:
                yield f"port: expected 1 to {MAX_PORT}, found {obj.port}"
            if not _is_ip(obj.host):
                yield f"host: expected an IP number, found {obj.host!r}"


def _route_faults(route: ServiceRoute) -> Iterator[str]:
    if not _HOST.fullmatch(route.host):
        yield f"host: expected lower-case letters, digits, dots and hyphens, found {route.host!r}"
    if not _PREFIX.fullmatch(route.prefix):
        yield f"prefix: expected a path that begins and ends with a slash, found {route.prefix!r}"
    elif route.prefix.startswith(RESERVED_PREFIX):
        yield f"prefix: paths under {RESERVED_PREFIX!r} are the gateway's own"


def _reference_faults(after: ConfigState, ticket: ChangeTicket) -> Iterator[str]:
    deleted = frozenset(ticket.deleted)
    for ref, entry in after.objects.items():
        if entry.value is None:
            continue
        for target in _references(entry.value):
            found = after.objects.get(target)
            if found is not None and found.value is not None:
                continue
            if target in deleted:
                yield f"{_describe(target)}: deleted, but {_describe(ref)} refers to it"
            else:
                yield f"{_describe(ref)}: refers to {_describe(target)}, which does not exist"
        yield from (f"{_describe(ref)}: {fault}" for fault in _relation_faults(after, entry.value))


def _references(obj: ConfigObject) -> Iterator[ObjectRef]:
    match obj:
        case ResidencyRule():
            yield from _refs(ObjectKind.REGION, *obj.regions)
        case ClientAccount():
            if obj.residency is not None:
                yield from _refs(ObjectKind.RESIDENCY, obj.residency)
            yield from _refs(ObjectKind.MODEL, *obj.models)
            yield from _refs(ObjectKind.SERVICE, *obj.services)
        case ClientKey():
            yield from _refs(ObjectKind.ACCOUNT, obj.account)
        case ModelService():
            yield from _refs(ObjectKind.REGION, *obj.regions)
            if obj.adapter_of is not None:
                yield from _refs(ObjectKind.MODEL, obj.adapter_of)
        case PlainService():
            yield from _refs(ObjectKind.REGION, *obj.regions)
        case ServiceRoute():
            yield from _refs(ObjectKind.SERVICE, obj.service)
        case BackendServer():
            yield from _refs(ObjectKind.REGION, obj.region)
            engine = obj.kind is BackendKind.ENGINE
            yield from _refs(ObjectKind.MODEL if engine else ObjectKind.SERVICE, *obj.serves)


def _relation_faults(after: ConfigState, obj: ConfigObject) -> Iterator[str]:
    match obj:
        case BackendServer():
            region = after.regions.get(obj.region)
            if region is not None and obj.data_centre not in region.data_centres:
                yield f"data centre {obj.data_centre!r} is not in region {obj.region!r}"
        case ServiceRoute():
            yield from (
                f"{name!r} has the same host and prefix"
                for name, other in after.routes.items()
                if name < obj.name and (other.host, other.prefix) == (obj.host, obj.prefix)
            )
        case ModelService(adapter_of=str(base)):
            found = after.models.get(base)
            if found is not None and found.adapter_of is not None:
                yield f"adapter_of: {base!r} is an adapter itself"


def _refs(kind: ObjectKind, *names: str) -> Iterator[ObjectRef]:
    return (ObjectRef(kind.value, name) for name in names)


def _at_least_faults(least: float, **fields: float) -> Iterator[str]:
    for name, value in fields.items():
        if not (math.isfinite(value) and value >= least):
            yield f"{name}: expected a finite number of at least {least}, found {value}"


def _above_faults(bound: float, **fields: float) -> Iterator[str]:
    for name, value in fields.items():
        if not (math.isfinite(value) and value > bound):
            yield f"{name}: expected a finite number above {bound}, found {value}"


def _empty_faults(**fields: tuple[str, ...]) -> Iterator[str]:
    for name, value in fields.items():
        if not value:
            yield f"{name}: expected at least one"


def _is_ip(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def _describe(ref: ObjectRef) -> str:
    return f"{ref.kind} {ref.name!r}"
