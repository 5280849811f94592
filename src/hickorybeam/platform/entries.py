"""Decode entries of the platform's store into the types of ``model/routing.py``."""

from __future__ import annotations

from dataclasses import dataclass
from types import MappingProxyType

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
from hickorybeam.platform.entry_types import (
    MAX_NAME_CHARS,
    RawAccount,
    RawConfig,
    RawLimits,
    RawRoute,
    RawServer,
    RawService,
    RawWeightedService,
)
from hickorybeam.sockets import split_ip_address
from hickorybeam.untrusted import InvalidBytesError, decode_json

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
DEFAULT_TIMEOUT_MS = 60_000
DEFAULT_TARGET_MS = 1_000
DEFAULT_RANK = 5
DEFAULT_HEALTH_PATH = "/health"
# More requests at once than any server runs.
MAX_SLOTS = 100_000


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

    Other writers may leave entries with missing fields, fields of another type, or bytes of any
    kind. Such an entry becomes an ``InvalidEntry`` and does not affect the others.
    """
    if key.startswith(names.EVACUATION_PREFIX):
        return EvacuationEntry(key.removeprefix(names.EVACUATION_PREFIX))
    try:
        if key == names.CONFIG_KEY:
            return ConfigEntry(decode_config(decode_json(value, RawConfig)))
        if key.startswith(names.SERVER_PREFIX):
            raw = decode_json(value, RawServer)
            return ServerEntry(decode_server(key.removeprefix(names.SERVER_PREFIX), raw))
    except InvalidBytesError as exc:
        return InvalidEntry(key, str(exc))
    return InvalidEntry(key, "unknown key")


def decode_config(raw: RawConfig) -> RoutingConfig:
    """Decode the routing configuration.

    :raises InvalidBytesError: a route is of an unknown kind, or has no service.
    """
    accounts = raw.tenants or []
    limits = raw.limits or RawLimits()
    return RoutingConfig(
        version=raw.version,
        routes=tuple(decode_route(route) for route in raw.routes),
        services=MappingProxyType({it.name: decode_service(it) for it in raw.services}),
        accounts=MappingProxyType({it.name: decode_account(it) for it in accounts}),
        keys=MappingProxyType({key_digest(key): it.name for it in accounts for key in it.api_keys}),
        callers=CallerLimits(
            header_bytes=int(limits.max_header_bytes),
            body_bytes=int(limits.max_body_bytes),
            header_ms=int(limits.header_timeout_ms),
            idle_ms=int(limits.idle_timeout_ms),
        ),
        with_accounts=raw.tenants is not msgspec.UNSET,
    )


def decode_route(raw: RawRoute) -> Route:
    """Decode one route; its kind says whether requests may be retried.

    :raises InvalidBytesError: it is of an unknown kind, or has no service.
    """
    if raw.kind not in REPEAT_BY_KIND:
        raise InvalidBytesError(f"route {raw.name!r} is of unknown kind {raw.kind!r}")
    targets = raw.traffic_split
    if not targets:
        if raw.service is None:
            raise InvalidBytesError(f"route {raw.name!r} has no service")
        targets = [RawWeightedService(raw.service, 1)]
    return Route(
        name=raw.name,
        host=raw.host.lower(),
        prefix=raw.prefix,
        repeat=REPEAT_BY_KIND[raw.kind],
        targets=tuple(WeightedService(it.service, it.weight) for it in targets),
        timeout_ms=int(raw.timeout_ms or DEFAULT_TIMEOUT_MS),
        target_ms=int(raw.target_latency_ms or DEFAULT_TARGET_MS),
        gap_ms=int(raw.target_gap_ms or 0),
        rank=DEFAULT_RANK if raw.priority is None else int(raw.priority),
        max_attempts=max(1, int(raw.max_attempts or 1)),
        public=bool(raw.public),
        by_prefix=bool(raw.sticky),
        resumable=bool(raw.resumable),
        homes=frozenset(raw.home_regions or ()),
    )


def decode_service(raw: RawService) -> ServiceSpec:
    """Decode one service."""
    engine = raw.engine
    return ServiceSpec(
        name=raw.name,
        health_path=decode_health_path(raw.health_path),
        max_connections=int(raw.max_connections or 0),
        cold_start_ms=int((raw.cold_start_s or 0) * MS_PER_SECOND),
        cold_per_s=raw.cold_per_s or 0.0,
        engine=EngineSpec(
            slots=max(0, int(engine.slots or 0)),
            cache_tokens=max(0, int(engine.kv_cache_tokens or 0)),
        )
        if engine
        else None,
    )


def decode_health_path(path: str | None) -> str:
    """Return where a service's health is asked; the usual path in place of one that can't be sent.

    A path with a space or the end of a line in it would be read as more than a path.
    """
    if path and path.startswith("/") and is_header_text(path) and " " not in path:
        return path
    return DEFAULT_HEALTH_PATH


def decode_account(raw: RawAccount) -> AccountTerms:
    """Decode one account's terms; the wire calls an account a tenant."""
    return AccountTerms(
        name=raw.name,
        rate_per_s=raw.rate_per_s or 0.0,
        burst=raw.burst or 0.0,
        unit=Unit.TOKENS if raw.unit == "tokens" else Unit.REQUESTS,
        tokens_when_untold=int(raw.uncached_tokens or 1),
        rank=None if raw.priority is None else int(raw.priority),
        homes=frozenset(raw.home_regions or ()),
    )


def decode_server(server_id: str, raw: RawServer) -> RegisteredServer:
    """Decode a backend server's registration; the wire calls a data centre a zone.

    :raises InvalidBytesError: its id can't be sent to it, its state is unknown, or its address is
        none of an IP number and a port.
    """
    if not is_header_text(server_id):
        raise InvalidBytesError(f"the id {server_id[:MAX_NAME_CHARS]!r} can't be sent in a header")
    if raw.state not in LEAVING_BY_STATE:
        raise InvalidBytesError(f"unknown state {raw.state[:MAX_NAME_CHARS]!r}")
    host, port = split_ip_address(raw.address)
    return RegisteredServer(
        id=server_id,
        service=raw.service,
        host=host,
        port=port,
        data_centre=raw.zone,
        slots=min(MAX_SLOTS, max(1, int(raw.slots))),
        leaving=LEAVING_BY_STATE[raw.state],
        cold_ms=int(raw.cold_remaining_ms or 0),
        gone_in_ms=None if raw.remaining_ms is None else int(raw.remaining_ms),
        born_ms=int(raw.born or 0),
        version=raw.version or "",
    )


def is_header_text(text: str) -> bool:
    """Return whether a text can be the value of a header as it is."""
    return bool(text) and text.isascii() and text.isprintable() and text == text.strip()
