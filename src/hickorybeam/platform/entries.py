"""Decode entries of the platform's store into the types of ``model/routing.py``."""

from __future__ import annotations

from dataclasses import dataclass
from types import MappingProxyType
from typing import TYPE_CHECKING, Any

import msgspec

from hickorybeam.clock import MS_PER_SECOND
from hickorybeam.model.config import key_digest
from hickorybeam.model.routing import (
    AccountTerms,
    CallerLimits,
    EngineSpec,
    RegisteredServer,
    Repeat,
    Route,
    RoutingConfig,
    ServiceSpec,
    Unit,
    WeightedService,
)
from hickorybeam.platform import names

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = (
    "ConfigEntry",
    "DecodedEntry",
    "EvacuationEntry",
    "InvalidEntry",
    "ServerEntry",
    "decode_entry",
)

REPEAT_BY_KIND = {
    "safe": Repeat.IDEMPOTENT,
    "unsafe": Repeat.ONCE,
    "streaming": Repeat.STREAM,
}
LEAVING_BY_STATE = {"ready": False, "draining": True}


@dataclass(frozen=True, slots=True)
class ConfigEntry:
    """An entry that holds the whole routing configuration."""

    config: RoutingConfig


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """An entry that a backend server registered, or updated."""

    server: RegisteredServer


@dataclass(frozen=True, slots=True)
class EvacuationEntry:
    """An entry that evacuates a data centre: its backend servers get no new work."""

    data_centre: str


@dataclass(frozen=True, slots=True)
class InvalidEntry:
    """An entry that cannot be used; ``reason`` goes to the log."""

    key: str
    reason: str


DecodedEntry = ConfigEntry | ServerEntry | EvacuationEntry | InvalidEntry


def decode_entry(key: str, value: bytes) -> DecodedEntry:
    """Decode one entry of the store.

    Other writers may leave entries with missing fields or fields of another type. Such an entry
    becomes an ``InvalidEntry`` and does not affect the others.
    """
    if key.startswith(names.EVACUATION_PREFIX):
        return EvacuationEntry(key.removeprefix(names.EVACUATION_PREFIX))
    try:
        raw = msgspec.json.decode(value)
        if key == names.CONFIG_KEY:
            return ConfigEntry(decode_config(raw))
        if key.startswith(names.SERVER_PREFIX):
            return ServerEntry(decode_server(key.removeprefix(names.SERVER_PREFIX), raw))
    except (msgspec.DecodeError, KeyError, TypeError, ValueError, AttributeError) as exc:
        return InvalidEntry(key, f"{type(exc).__name__}: {exc}")
    return InvalidEntry(key, "unknown key")


def decode_config(raw: Mapping[str, Any]) -> RoutingConfig:
    """Decode the routing configuration."""
    accounts = raw.get("tenants") or []
    limits = raw.get("limits") or {}
    return RoutingConfig(
        version=int(raw["version"]),
        routes=tuple(decode_route(route) for route in raw["routes"]),
        services=MappingProxyType({it["name"]: decode_service(it) for it in raw["services"]}),
        accounts=MappingProxyType({it["name"]: decode_account(it) for it in accounts}),
        keys=MappingProxyType(
            {key_digest(key): it["name"] for it in accounts for key in it["api-keys"]}
        ),
        callers=CallerLimits(
            header_bytes=int(limits.get("max-header-bytes", 16_384)),
            body_bytes=int(limits.get("max-body-bytes", 4_194_304)),
            header_ms=int(limits.get("header-timeout-ms", 3_000)),
            idle_ms=int(limits.get("idle-timeout-ms", 15_000)),
        ),
        with_accounts="tenants" in raw,
    )


def decode_route(raw: Mapping[str, Any]) -> Route:
    """Decode one route; its kind says whether requests may be retried."""
    targets = raw.get("traffic-split") or [{"service": raw["service"], "weight": 1}]
    return Route(
        name=raw["name"],
        host=raw["host"].lower(),
        prefix=raw["prefix"],
        repeat=REPEAT_BY_KIND[raw["kind"]],
        targets=tuple(WeightedService(it["service"], float(it["weight"])) for it in targets),
        timeout_ms=int(raw.get("timeout-ms") or 60_000),
        target_ms=int(raw.get("target-latency-ms") or 1_000),
        gap_ms=int(raw.get("target-gap-ms") or 0),
        rank=int(raw.get("priority", 5)),
        max_attempts=max(1, int(raw.get("max-attempts") or 1)),
        public=bool(raw.get("public", False)),
        by_prefix=bool(raw.get("sticky", False)),
        resumable=bool(raw.get("resumable", False)),
        homes=frozenset(raw.get("home-regions") or ()),
    )


def decode_service(raw: Mapping[str, Any]) -> ServiceSpec:
    """Decode one service."""
    engine = raw.get("engine")
    return ServiceSpec(
        name=raw["name"],
        health_path=raw.get("health-path") or "/health",
        max_connections=int(raw.get("max-connections") or 0),
        cold_start_ms=int(float(raw.get("cold-start-s") or 0) * MS_PER_SECOND),
        cold_per_s=float(raw.get("cold-per-s") or 0),
        engine=EngineSpec(
            slots=int(engine.get("slots") or 0),
            cache_tokens=int(engine.get("kv-cache-tokens") or 0),
        )
        if engine
        else None,
    )


def decode_account(raw: Mapping[str, Any]) -> AccountTerms:
    """Decode one account's terms; the wire calls an account a tenant."""
    rank = raw.get("priority")
    return AccountTerms(
        name=raw["name"],
        rate_per_s=float(raw.get("rate-per-s") or 0),
        burst=float(raw.get("burst") or 0),
        unit=Unit.TOKENS if raw.get("unit") == "tokens" else Unit.REQUESTS,
        tokens_when_untold=int(raw.get("uncached-tokens") or 1),
        rank=None if rank is None else int(rank),
        homes=frozenset(raw.get("home-regions") or ()),
    )


def decode_server(server_id: str, raw: Mapping[str, Any]) -> RegisteredServer:
    """Decode a backend server's registration; the wire calls a data centre a zone."""
    host, _, port = raw["address"].rpartition(":")
    if not isinstance(raw["service"], str) or not isinstance(raw["zone"], str) or not host:
        raise ValueError("service and zone must be strings, address host:port")
    gone_in_ms = raw.get("remaining-ms")
    return RegisteredServer(
        id=server_id,
        service=raw["service"],
        host=host,
        port=int(port),
        data_centre=raw["zone"],
        slots=max(1, int(raw["slots"])),
        leaving=LEAVING_BY_STATE[raw["state"]],
        cold_ms=int(raw.get("cold-remaining-ms") or 0),
        gone_in_ms=None if gone_in_ms is None else int(gone_in_ms),
        born_ms=int(raw.get("born") or 0),
        version=version if isinstance(version := raw.get("version"), str) else "",
    )
