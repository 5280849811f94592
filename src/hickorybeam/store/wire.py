"""Messages of etcd v3's JSON mapping: bytes are base64 and 64-bit integers are strings.

Only the fields that hickorybeam uses are named; decoders pass over all others, and fields
that hold their default are left out, as the mapping does.
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

# Status codes of gRPC, which the mapping carries in the body of an error.
CODE_INVALID = 3
CODE_NOT_FOUND = 5
CODE_TOO_MANY = 8
CODE_UNAVAILABLE = 14


class Message(msgspec.Struct, frozen=True, omit_defaults=True, kw_only=True):
    """Base of all messages."""


class Header(Message, frozen=True):
    """What every reply begins with."""

    revision: str = "0"


class StatusReply(Message, frozen=True):
    """The body of an error."""

    code: int = 0
    message: str = ""
    error: str = ""


class KeyValueMessage(Message, frozen=True):
    """One key; an event of a deletion carries no value."""

    key: bytes
    value: bytes = b""
    create_revision: str = "0"
    mod_revision: str = "0"
    version: str = "0"
    lease: str = "0"


class RangeRequest(Message, frozen=True):
    """Read the keys from ``key`` up to ``range_end``, or one key without it."""

    key: bytes
    range_end: bytes = b""
    limit: str = "0"


class RangeReply(Message, frozen=True):
    """Keys in order, and the revision at which they were read."""

    header: Header = Header()
    kvs: tuple[KeyValueMessage, ...] = ()
    count: str = "0"
    more: bool = False


class CompareMessage(Message, frozen=True):
    """A comparison of a key's last revision."""

    key: bytes
    mod_revision: str = msgspec.field(default="0", name="modRevision")
    target: str = "VERSION"
    result: str = "EQUAL"


class PutRequest(Message, frozen=True):
    """Write one key."""

    key: bytes
    value: bytes = b""
    lease: str = "0"


class DeleteRequest(Message, frozen=True):
    """Remove one key."""

    key: bytes


class Operation(Message, frozen=True):
    """One of the operations of a transaction."""

    put: PutRequest | None = msgspec.field(default=None, name="requestPut")
    delete: DeleteRequest | None = msgspec.field(default=None, name="requestDeleteRange")


class TxnRequest(Message, frozen=True):
    """Apply ``success`` if every comparison holds."""

    compare: tuple[CompareMessage, ...] = ()
    success: tuple[Operation, ...] = ()


class TxnReply(Message, frozen=True):
    """Whether the comparisons held."""

    header: Header = Header()
    succeeded: bool = False


class LeaseGrantRequest(Message, frozen=True):
    """Create a lease of so many seconds."""

    ttl: str = msgspec.field(name="TTL")


class LeaseGrantReply(Message, frozen=True):
    """The lease that was created."""

    id: str = msgspec.field(name="ID")
    ttl: str = msgspec.field(default="0", name="TTL")


class LeaseRequest(Message, frozen=True):
    """Renew or end a lease."""

    id: str = msgspec.field(name="ID")


class KeepAliveResult(Message, frozen=True):
    """A renewed lease; without a time to live it has lapsed."""

    id: str = msgspec.field(default="0", name="ID")
    ttl: str = msgspec.field(default="0", name="TTL")


class KeepAliveReply(Message, frozen=True):
    """One line of the streamed reply to a renewal."""

    result: KeepAliveResult


class WatchCreate(Message, frozen=True):
    """Watch the keys from ``key`` up to ``range_end`` from a revision on."""

    key: bytes
    range_end: bytes = b""
    start_revision: str = "0"
    progress_notify: bool = False


class WatchRequest(Message, frozen=True):
    """The only request that a watch carries here."""

    create: WatchCreate = msgspec.field(name="create_request")


class Event(Message, frozen=True):
    """One change."""

    kv: KeyValueMessage
    type: str = "PUT"


class WatchResult(Message, frozen=True):
    """Changes of a watch, or its end."""

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
    """Return a key as the mapping writes it."""
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
