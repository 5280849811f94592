"""The entries of the platform's store as they are written there.

Fields that the gateway doesn't read are left out, and skipped. Numbers that a writer may leave out
may be null as well.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

__all__ = (
    "RawAccount",
    "RawConfig",
    "RawEngine",
    "RawLimits",
    "RawRoute",
    "RawServer",
    "RawService",
    "RawWeightedService",
)

# Sums of such numbers are told to other VMs, in 64 bits. No sound rate or time comes near it.
MAX_NUMBER = 2**53
Version = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
Number = Annotated[float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
# The end of an entry's key, or the name of a service or a data centre, goes into headers and logs.
MAX_NAME_CHARS = 200
Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARS)]


class RawWeightedService(msgspec.Struct, rename="kebab"):
    """A service and its weight in a route's split."""

    service: str
    weight: Number


class RawRoute(msgspec.Struct, rename="kebab"):
    """A route."""

    name: str
    host: str
    prefix: str
    kind: str
    service: str | None = None
    traffic_split: list[RawWeightedService] | None = None
    timeout_ms: Number | None = None
    target_latency_ms: Number | None = None
    target_gap_ms: Number | None = None
    priority: Number | None = None
    max_attempts: Number | None = None
    public: bool | None = None
    sticky: bool | None = None
    resumable: bool | None = None
    home_regions: list[str] | None = None


class RawEngine(msgspec.Struct, rename="kebab"):
    """What a service's engines hold."""

    slots: Number | None = None
    kv_cache_tokens: Number | None = None


class RawService(msgspec.Struct, rename="kebab"):
    """A service."""

    name: str
    health_path: str | None = None
    max_connections: Number | None = None
    cold_start_s: Number | None = None
    cold_per_s: Number | None = None
    engine: RawEngine | None = None


class RawLimits(msgspec.Struct, rename="kebab"):
    """Limits on callers."""

    max_header_bytes: Number = 16_384
    max_body_bytes: Number = 4_194_304
    header_timeout_ms: Number = 3_000
    idle_timeout_ms: Number = 15_000


class RawAccount(msgspec.Struct, rename="kebab"):
    """A client account with its keys."""

    name: str
    api_keys: list[str]
    priority: Number | None = None
    unit: str | None = None
    uncached_tokens: Number | None = None
    rate_per_s: Number | None = None
    burst: Number | None = None
    home_regions: list[str] | None = None


class RawConfig(msgspec.Struct, rename="kebab"):
    """The whole configuration."""

    version: Version
    routes: list[RawRoute]
    services: list[RawService]
    limits: RawLimits | None = None
    tenants: list[RawAccount] | msgspec.UnsetType | None = msgspec.UNSET


class RawServer(msgspec.Struct, rename="kebab"):
    """A backend server's registration."""

    service: Name
    address: str
    zone: Name
    slots: Number
    state: str
    cold_remaining_ms: Number | None = None
    remaining_ms: Number | None = None
    born: Number | None = None
    version: Name | None = None
