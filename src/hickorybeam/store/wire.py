"""Messages of etcd v3's JSON mapping: bytes are base64 and 64-bit integers are strings.

Only the fields that hickorybeam uses are declared. Decoding ignores all others; encoding omits
fields that have their default value, as the mapping does.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from hickorybeam.store.port import KeyValue

__all__ = (
    "CODE_INVALID",
    "CODE_NOT_FOUND",
    "CODE_TOO_MANY",
    "CODE_UNAVAILABLE",
    "LEASE_GRANT",
    "LEASE_KEEP_ALIVE",
    "LEASE_REVOKE",
    "RANGE",
    "TXN",
    "WATCH",
    "CompareMessage",
    "DeleteRequest",
    "Event",
    "Header",
    "KeepAliveReply",
    "KeepAliveResult",
    "KeyValueMessage",
    "LeaseGrantReply",
    "LeaseGrantRequest",
    "LeaseRequest",
    "Operation",
    "PutRequest",
    "RangeReply",
    "RangeRequest",
    "StatusReply",
    "TxnReply",
    "TxnRequest",
    "WatchCreate",
    "WatchReply",
    "WatchRequest",
    "WatchResult",
    "as_key_value_message",
    "prefix_end",
)

RANGE = "/v3/kv/range"
TXN = "/v3/kv/txn"
LEASE_GRANT = "/v3/lease/grant"
LEASE_REVOKE = "/v3/kv/lease/revoke"
LEASE_KEEP_ALIVE = "/v3/lease/keepalive"
WATCH = "/v3/watch"

# gRPC status codes, sent in the body of an error response.
CODE_INVALID = 3
CODE_NOT_FOUND = 5
CODE_TOO_MANY = 8
CODE_UNAVAILABLE = 14


class Message(msgspec.Struct, frozen=True, omit_defaults=True, kw_only=True):
    """Base class of all messages."""


class Header(Message, frozen=True):
    """Header of a reply: the store's revision when it was made."""

    revision: str = "0"


class StatusReply(Message, frozen=True):
    """Body of an error response."""

    code: int = 0
    message: str = ""
    error: str = ""


class KeyValueMessage(Message, frozen=True):
    """A key and its value; in the event of a deletion the value is empty."""

    key: bytes
    value: bytes = b""
    create_revision: str = "0"
    mod_revision: str = "0"
    version: str = "0"
    lease: str = "0"


class RangeRequest(Message, frozen=True):
    """Reads the keys from ``key`` up to ``range_end`` (exclusive), or one key without it."""

    key: bytes
    range_end: bytes = b""
    limit: str = "0"


class RangeReply(Message, frozen=True):
    """The keys found, in order; the header has the revision at which they were read."""

    header: Header = Header()
    kvs: tuple[KeyValueMessage, ...] = ()
    count: str = "0"
    more: bool = False


class CompareMessage(Message, frozen=True):
    """Compares the revision of a key's last write."""

    key: bytes
    mod_revision: str = msgspec.field(default="0", name="modRevision")
    target: str = "VERSION"
    result: str = "EQUAL"


class PutRequest(Message, frozen=True):
    """Writes one key."""

    key: bytes
    value: bytes = b""
    lease: str = "0"


class DeleteRequest(Message, frozen=True):
    """Removes one key."""

    key: bytes


class Operation(Message, frozen=True):
    """One operation of a transaction: a put or a delete."""

    put: PutRequest | None = msgspec.field(default=None, name="requestPut")
    delete: DeleteRequest | None = msgspec.field(default=None, name="requestDeleteRange")


class TxnRequest(Message, frozen=True):
    """Applies the operations in ``success`` if all comparisons hold."""

    compare: tuple[CompareMessage, ...] = ()
    success: tuple[Operation, ...] = ()


class TxnReply(Message, frozen=True):
    """Whether all comparisons held."""

    header: Header = Header()
    succeeded: bool = False


class LeaseGrantRequest(Message, frozen=True):
    """Creates a lease; ``ttl`` is in seconds."""

    ttl: str = msgspec.field(name="TTL")


class LeaseGrantReply(Message, frozen=True):
    """The created lease; ``ttl`` is in seconds."""

    id: str = msgspec.field(name="ID")
    ttl: str = msgspec.field(default="0", name="TTL")


class LeaseRequest(Message, frozen=True):
    """Renews or ends a lease."""

    id: str = msgspec.field(name="ID")


class KeepAliveResult(Message, frozen=True):
    """A renewed lease; ``ttl`` is in seconds, 0 if the lease has expired."""

    id: str = msgspec.field(default="0", name="ID")
    ttl: str = msgspec.field(default="0", name="TTL")


class KeepAliveReply(Message, frozen=True):
    """One line of the streamed reply to a lease renewal."""

    result: KeepAliveResult


class WatchCreate(Message, frozen=True):
    """Watches the keys from ``key`` up to ``range_end``, from ``start_revision`` on."""

    key: bytes
    range_end: bytes = b""
    start_revision: str = "0"
    progress_notify: bool = False


class WatchRequest(Message, frozen=True):
    """Request on a watch; only its creation is used."""

    create: WatchCreate = msgspec.field(name="create_request")


class Event(Message, frozen=True):
    """A change of one key."""

    kv: KeyValueMessage
    type: str = "PUT"


class WatchResult(Message, frozen=True):
    """Changes that a watch reports, or its end."""

    header: Header = Header()
    created: bool = False
    canceled: bool = False
    compact_revision: str = "0"
    events: tuple[Event, ...] = ()


class WatchReply(Message, frozen=True):
    """One line of the streamed reply to a watch."""

    result: WatchResult | None = None
    error: StatusReply | None = None


def as_key_value_message(item: KeyValue) -> KeyValueMessage:
    """Return a key as a message of the mapping."""
    return KeyValueMessage(
        key=item.key.encode(),
        value=item.value,
        mod_revision=str(item.mod_revision),
        lease=str(item.lease),
    )


def prefix_end(prefix: bytes) -> bytes:
    """Return the first key after all keys with this prefix."""
    head = prefix.rstrip(b"\xff")
    return head[:-1] + bytes((head[-1] + 1,)) if head else b"\x00"
