"""Port to the platform's key-value service, with few calls because the service counts each one.

It follows the service's model: the revision grows with every write, a compare-and-swap covers
several keys, a lease removes its keys when it expires, and a watch yields the changes after a
revision. Errors are ``GatewayError`` of the kinds ``PLATFORM_OUT`` (nothing was written),
``PLATFORM_UNKNOWN`` (the response to a write was lost), ``VALUE_TOO_LARGE``, ``WATCH_COMPACTED``
and ``LEASE_LOST``.
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
    """A key and its value in the store; ``mod_revision`` is the revision of its last write."""

    key: str
    value: bytes
    mod_revision: int
    lease: int = 0


@dataclass(frozen=True, slots=True)
class ReadResult:
    """The keys found, in key order, and the revision at which they were read."""

    revision: int
    items: tuple[KeyValue, ...]


@dataclass(frozen=True, slots=True)
class Compare:
    """A condition: the key was last written at this revision, or doesn't exist (0)."""

    key: str
    mod_revision: int


@dataclass(frozen=True, slots=True)
class Put:
    """Writes a key; ``lease`` is the lease that it is bound to, 0 for none."""

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Delete:
    """Removes a key."""

    key: str


Write = Put | Delete


@dataclass(frozen=True, slots=True)
class TxnResult:
    """Whether all comparisons held, so that the writes took effect, and at which revision."""

    done: bool
    revision: int


@dataclass(frozen=True, slots=True)
class WatchBatch:
    """Changes that a watch yields at once; ``revision`` is theirs or a later one.

    Deleted keys have no value. An empty batch is a progress notification: all changes up to
    ``revision`` were delivered.
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
        """Apply all writes if all comparisons hold, otherwise none."""
        ...

    async def grant(self, ttl_ms: int) -> int:
        """Create a lease and return its id."""
        ...

    async def keep_alive(self, lease: int) -> int:
        """Renew a lease and return its time to live in ms; raise ``LEASE_LOST`` if it has ended."""
        ...

    async def revoke(self, lease: int) -> None:
        """End a lease and remove its keys."""
        ...

    def watch(self, prefix: str, *, after: int) -> AsyncIterator[WatchBatch]:
        """Yield the changes after a revision until closed; may stall without an error."""
        ...


@runtime_checkable
class PollingPlatform(Platform, Protocol):
    """A platform whose watches are repeated long polls, each counted as a call.

    ``watch_poll_timeout_ms`` is the maximum wait of one poll, ``watch_pause_ms`` the pause after a
    poll that returned changes. ``failing``: a call has failed, and none has succeeded since. A poll
    that waits meanwhile may never be answered.
    """

    watch_poll_timeout_ms: int
    watch_pause_ms: int

    @property
    def failing(self) -> bool:
        """Whether a call has failed, and none has succeeded since."""
        ...

    @property
    def answered_ms(self) -> int | None:
        """When a call last succeeded; ``None`` if none has."""
        ...

    @property
    def failed_ms(self) -> int | None:
        """When a call last failed; ``None`` if none has."""
        ...

    async def catch_up(self, prefix: str, *, after: int) -> list[WatchBatch]:
        """Return the changes after a revision, at the least those until the call began."""
        ...
