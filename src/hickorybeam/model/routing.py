"""Where requests go and under which terms: the routing configuration, backend servers, VMs."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = (
    "AccountTerms",
    "CallerLimits",
    "EngineSpec",
    "GatewayVm",
    "PromptPart",
    "RegisteredServer",
    "RelayCall",
    "Repeat",
    "Route",
    "RoutingConfig",
    "ServiceSpec",
    "Unit",
    "WeightedService",
)


class Repeat(Enum):
    """What may be done with a request whose outcome is not known.

    A ``STREAM`` may run again only where its route says that it can be resumed.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


class Unit(Enum):
    """In what an account's rate and burst are counted."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service and its share of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Requests of one host under one path prefix, and how they are treated.

    Times are in ms. ``rank`` 0 is the most urgent. ``homes`` are the regions in which it may
    be processed; empty for all.
    """

    name: str
    host: str
    prefix: str
    repeat: Repeat
    targets: tuple[WeightedService, ...]
    timeout_ms: int = 60_000
    target_ms: int = 1_000
    gap_ms: int = 0
    rank: int = 5
    max_attempts: int = 1
    public: bool = False
    by_prefix: bool = False
    resumable: bool = False
    homes: frozenset[str] = frozenset()

    @property
    def repeatable(self) -> bool:
        """Whether a run whose outcome is unknown may be followed by another."""
        return self.repeat is Repeat.IDEMPOTENT or (self.repeat is Repeat.STREAM and self.resumable)


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineSpec:
    """What a model engine of a service can hold: requests at once, tokens in its cache."""

    slots: int = 0
    cache_tokens: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceSpec:
    """A service; ``cold_per_s`` bounds the requests that a cold server of it may get."""

    name: str
    health_path: str = "/health"
    max_connections: int = 0
    cold_start_ms: int = 0
    cold_per_s: float = 0.0
    engine: EngineSpec | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class AccountTerms:
    """A client account's rate and burst over all VMs (0: no bound), and its homes.

    ``tokens_when_untold`` is the cost of a request that does not tell its tokens. ``rank``
    goes before the route's where it is given.
    """

    name: str
    rate_per_s: float = 0.0
    burst: float = 0.0
    unit: Unit = Unit.REQUESTS
    tokens_when_untold: int = 1
    rank: int | None = None
    homes: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """What a caller may send, in bytes, and how long it may take or idle, in ms."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_ms: int = 3_000
    idle_ms: int = 15_000


@dataclass(frozen=True, slots=True, kw_only=True)
class RoutingConfig:
    """The whole routing configuration of one version; ``keys`` leads to names of accounts."""

    version: int
    routes: tuple[Route, ...] = ()
    services: Mapping[str, ServiceSpec] = field(default_factory=dict)
    accounts: Mapping[str, AccountTerms] = field(default_factory=dict)
    keys: Mapping[str, str] = field(default_factory=dict)
    callers: CallerLimits = CallerLimits()
    with_accounts: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class RegisteredServer:
    """One life of a backend server, as it registered itself.

    ``cold_ms`` is how long it stays cold from when this was read; ``born_ms`` the wall time
    of its start. A ``leaving`` one gets no new work; ``gone_in_ms`` is when it ends, if known.
    """

    id: str
    service: str
    host: str
    port: int
    data_centre: str
    slots: int = 1
    leaving: bool = False
    cold_ms: int = 0
    gone_in_ms: int | None = None
    born_ms: int = 0
    version: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewayVm:
    """How callers and peers reach one VM of the gateway, in one life of it.

    ``power`` is its processor, in usual cores.
    """

    name: str
    incarnation: str
    region: str
    data_centre: str
    host: str
    caller_port: int
    peer_port: int
    power: float = 1.0


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that requests may share, by id, and its size in tokens."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RelayCall:
    """A caller's request on its way: what decisions need, and what goes on unchanged.

    ``headers`` are those to pass on. ``deadline_ms`` is on this VM's clock.
    """

    request_id: str
    method: str
    target: bytes
    host: str
    path: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    key: str | None
    arrived_ms: int
    deadline_ms: int
    prompt_tokens: int = 0
    output_tokens: int = 0
    tokens_told: bool = False
    parts: tuple[PromptPart, ...] = ()
    resume_after: str | None = None
