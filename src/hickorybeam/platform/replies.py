"""Decode the replies of the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from absl import logging

from hickorybeam.model.bounds import BoundedInt, Revision  # noqa: TC001 - read by msgspec
from hickorybeam.store.port import KeyValue, WatchBatch
from hickorybeam.untrusted import InvalidBytesError, decode_json

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ("StoreReply", "decode_batches", "decode_items", "decode_reply")

INVALID_LOG_INTERVAL_S = 1


class StoreReply(msgspec.Struct, rename="kebab"):
    """The body of a reply to any kind of call; each kind has some of the fields."""

    at: Revision | None = None
    key: str | None = None
    value: bytes | None = None
    revision: Revision | None = None
    lease: Revision | None = None
    ttl_ms: BoundedInt | None = None
    has_more: bool | None = None
    items: list[msgspec.Raw] | None = None
    events: list[msgspec.Raw] | None = None

    def missing_fields(self, required: Iterable[str]) -> tuple[str, ...]:
        """Return the fields among those required that the reply lacks."""
        return tuple(field for field in required if getattr(self, field) is None)


class _Item(msgspec.Struct, rename="kebab"):
    """An item as it was written, or a key that was deleted."""

    key: str
    revision: Revision
    value: bytes | None = None
    lease: Revision | None = None
    deleted: bool | None = None

    def to_key_value(self) -> KeyValue:
        """Return the item in the form of the store's port."""
        return KeyValue(self.key, self.value or b"", self.revision, self.lease or 0)


def decode_reply(raw: bytes) -> StoreReply | None:
    """Decode the body of a reply; ``None`` if it can't be read, and an empty one without a body."""
    try:
        reply: StoreReply | None = decode_json(raw or b"null", StoreReply | None)  # type: ignore[arg-type]
    except InvalidBytesError:
        return None
    return reply or StoreReply()


def decode_items(page: Iterable[msgspec.Raw]) -> list[KeyValue]:
    """Decode the items of a page; those that can't be read are left out."""
    return [item.to_key_value() for item in _decode_valid(page)]


def decode_batches(reply: StoreReply) -> list[WatchBatch]:
    """Decode a poll's reply: a batch per revision, the last one at the store's revision."""
    puts: dict[int, list[KeyValue]] = {}
    deletes: dict[int, list[str]] = {}
    for item in _decode_valid(reply.events or ()):
        if item.deleted:
            deletes.setdefault(item.revision, []).append(item.key)
        else:
            puts.setdefault(item.revision, []).append(item.to_key_value())
    batches = [
        WatchBatch(revision, tuple(puts.get(revision, ())), tuple(deletes.get(revision, ())))
        for revision in sorted(puts.keys() | deletes.keys())
    ]
    at = reply.at or 0
    if not batches or batches[-1].revision < at:
        batches.append(WatchBatch(at))
    return batches


def _decode_valid(raw_items: Iterable[msgspec.Raw]) -> list[_Item]:
    """Decode items one by one, as one that can't be read must not take its neighbours with it."""
    found = []
    for raw in raw_items:
        try:
            found.append(decode_json(raw, _Item))
        except InvalidBytesError as exc:
            logging.log_every_n_seconds(
                logging.WARNING, "invalid item ignored: %s", INVALID_LOG_INTERVAL_S, exc
            )
    return found
