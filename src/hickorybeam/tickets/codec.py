"""Encoding of the log and its snapshots as JSON, which the platform's own tools can display."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from hickorybeam.model import (
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
    Versioned,
)
from hickorybeam.tickets.apply import LogState, UsedNumber
from hickorybeam.untrusted import InvalidBytesError, decode_json

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = (
    "TARGET_PART_BYTES",
    "Head",
    "LogEntry",
    "Snapshot",
    "SnapshotHead",
    "decode_snapshot",
    "encode_snapshot",
)

# Below the platform's limit of a megabyte for one value. A larger item has its own part.
TARGET_PART_BYTES = 800_000

_NULL = msgspec.Raw(b"null")
_OBJECT_CLASSES: dict[str, type[ConfigObject]] = {
    ObjectKind.REGION.value: Region,
    ObjectKind.RESIDENCY.value: ResidencyRule,
    ObjectKind.ACCOUNT.value: ClientAccount,
    ObjectKind.KEY.value: ClientKey,
    ObjectKind.MODEL.value: ModelService,
    ObjectKind.SERVICE.value: PlainService,
    ObjectKind.ROUTE.value: ServiceRoute,
    ObjectKind.BACKEND.value: BackendServer,
}


@dataclass(frozen=True, slots=True)
class Head:
    """The log's last position and the number of the ticket at it."""

    position: int = 0
    number: int = 0


@dataclass(frozen=True, slots=True)
class LogEntry:
    """A ticket and its log position."""

    position: int
    ticket: ChangeTicket


@dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotHead:
    """The position of a snapshot, the state's scalar fields and the number of parts."""

    position: int
    head_ticket: int
    floor: int
    parts: int


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The state at one position, encoded in parts that each fit a value of the platform."""

    head: SnapshotHead
    parts: tuple[bytes, ...]


class _SnapshotItem(msgspec.Struct, frozen=True, omit_defaults=True):
    """One object with its ticket number, or one used number; a deleted object's value is null.

    This is a ``msgspec.Struct`` because msgspec decodes ``Raw`` fields in no other class.
    """

    ticket: int
    ref: ObjectRef | None = None
    value: msgspec.Raw = _NULL
    used: UsedNumber | None = None


def encode_snapshot(state: LogState) -> Snapshot:
    """Return a state encoded in parts; equal states give equal bytes."""
    parts = tuple(_pack_parts(_encoded_items(state)))
    head = SnapshotHead(
        position=state.position,
        head_ticket=state.config.head_ticket,
        floor=state.floor,
        parts=len(parts),
    )
    return Snapshot(head, parts)


def decode_snapshot(snapshot: Snapshot) -> LogState:
    """Return the state that a snapshot encodes.

    :raises InvalidBytesError: a part of it can't be read.
    """
    objects: dict[ObjectRef, Versioned[ConfigObject]] = {}
    used: dict[int, UsedNumber] = {}
    for part in snapshot.parts:
        for item in decode_json(part, tuple[_SnapshotItem, ...]):
            if item.used is not None:
                used[item.ticket] = item.used
            if item.ref is not None:
                objects[item.ref] = Versioned(item.ticket, _decode_value(item.ref, item.value))
    head = snapshot.head
    config = ConfigState(position=head.position, head_ticket=head.head_ticket, objects=objects)
    return LogState(config=config, used=used, floor=head.floor)


def _decode_value(ref: ObjectRef, raw: msgspec.Raw) -> ConfigObject | None:
    if raw == _NULL:
        return None
    if ref.kind not in _OBJECT_CLASSES:
        raise InvalidBytesError(f"unknown kind of object {ref.kind!r}")
    value: ConfigObject = decode_json(raw, _OBJECT_CLASSES[ref.kind])
    return value


def _encoded_items(state: LogState) -> Iterator[bytes]:
    for ref, entry in sorted(state.config.objects.items(), key=lambda pair: pair[0]):
        value = msgspec.Raw(msgspec.json.encode(entry.value))
        yield msgspec.json.encode(_SnapshotItem(entry.ticket, ref, value))
    for number, known in sorted(state.used.items()):
        yield msgspec.json.encode(_SnapshotItem(number, used=known))


def _pack_parts(items: Iterator[bytes]) -> Iterator[bytes]:
    part: list[bytes] = []
    size = 0
    for item in items:
        if part and size + len(item) > TARGET_PART_BYTES:
            yield b"[" + b",".join(part) + b"]"
            part, size = [], 0
        part.append(item)
        size += len(item) + 1
    yield b"[" + b",".join(part) + b"]"
