"""The port to the platform's key-value service: few calls, each of them counted there.

Keys and values follow the service's model: revisions grow with every write, a
compare-and-swap covers several keys at once, leases remove their keys when they lapse, and a
watch tells of changes after a revision. Errors are ``GatewayError`` of the kinds
``PLATFORM_OUT`` (nothing was written), ``PLATFORM_UNKNOWN`` (a write's answer was lost),
``VALUE_TOO_LARGE``, ``WATCH_COMPACTED`` and ``LEASE_LOST``.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol, runtime_checkable

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

__all__ = (
    "MAX_VALUE_BYTES",
    "Compare",
    "Delete",
    "KeyValue",
    "PollingPlatform",
    "Platform",
    "Put",
    "ReadResult",
    "TxnResult",
    "WatchBatch",
    "Write",
)

MAX_VALUE_BYTES = 1_000_000


@dataclass(frozen=True, slots=True)
class KeyValue:
    """One key as the service holds it; ``mod_revision`` is the revision of its last write."""

    key: str
    value: bytes
    mod_revision: int
    lease: int = 0


@dataclass(frozen=True, slots=True)
class ReadResult:
    """Keys found, in key order, and the revision at which they were read."""

    revision: int
    items: tuple[KeyValue, ...]


@dataclass(frozen=True, slots=True)
class Compare:
    """Holds when the key was last written at this revision; 0 when it must not exist."""

    key: str
    mod_revision: int


@dataclass(frozen=True, slots=True)
class Put:
    """Write a key, bound to a lease if one is given."""

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Delete:
    """Remove a key."""

    key: str


Write = Put | Delete


@dataclass(frozen=True, slots=True)
class TxnResult:
    """Whether every comparison held and the writes took effect, and at which revision."""

    done: bool
    revision: int


@dataclass(frozen=True, slots=True)
class WatchBatch:
    """Changes of one revision or later; a deleted key carries no value.

    An empty batch is the service's progress notice: nothing was missed up to ``revision``.
    """

    revision: int
    puts: tuple[KeyValue, ...] = ()
    deletes: tuple[str, ...] = ()


@runtime_checkable
class Platform(Protocol):
    """The calls hickorybeam makes of the platform (service ``platform``)."""

    async def read(self, key: str, *, limit: int = 0) -> ReadResult:
        """Read one key."""
        ...

    async def read_prefix(self, prefix: str, *, start: str = "", limit: int = 0) -> ReadResult:
        """Read the keys under a prefix, from ``start`` on, at most ``limit`` (0: all)."""
        ...

    async def txn(self, compares: tuple[Compare, ...], writes: tuple[Write, ...]) -> TxnResult:
        """Apply all writes if every comparison holds, else none."""
        ...

    async def grant(self, ttl_ms: int) -> int:
        """Create a lease and return its id."""
        ...

    async def keep_alive(self, lease: int) -> int:
        """Renew a lease and return its time to live in ms, or raise ``LEASE_LOST``."""
        ...

    async def revoke(self, lease: int) -> None:
        """End a lease; its keys are removed."""
        ...

    def watch(self, prefix: str, *, after: int) -> AsyncIterator[WatchBatch]:
        """Yield changes after a revision until closed; may go silent without an error."""
        ...


@runtime_checkable
class PollingPlatform(Platform, Protocol):
    """A platform whose watches are made of calls, which are counted.

    ``watch_poll_timeout_ms`` is how long one call may wait, ``watch_pause_ms`` the pause after one
    that brought changes.
    """

    watch_poll_timeout_ms: int
    watch_pause_ms: int
