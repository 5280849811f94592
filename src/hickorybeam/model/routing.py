"""The routing configuration, registered backend servers, VMs and requests of the gateway."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from hickorybeam.model.bounds import BoundedFloat, Port  # noqa: TC001 - read by msgspec

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
    """Whether a request whose outcome is unknown may be retried.

    A ``STREAM`` may be retried only if its route is resumable.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


class Unit(Enum):
    """The unit of an account's rate and burst."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service and its weight in the split of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Requests of one host under one path prefix, and how they are handled.

    Times are in ms. ``rank`` 0 is the most urgent. ``homes`` are the regions in which requests may
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
        """Whether a request whose outcome is unknown may be retried."""
        return self.repeat is Repeat.IDEMPOTENT or (self.repeat is Repeat.STREAM and self.resumable)


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineSpec:
    """Capacity of a service's model engines: concurrent requests, tokens in the cache."""

    slots: int = 0
    cache_tokens: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceSpec:
    """A service; ``cold_per_s`` limits the requests per second to each of its cold servers."""

    name: str
    health_path: str = "/health"
    max_connections: int = 0
    cold_start_ms: int = 0
    cold_per_s: float = 0.0
    engine: EngineSpec | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class AccountTerms:
    """A client account's rate and burst over all VMs (0: no limit), and its home regions.

    ``tokens_when_untold`` is the cost of a request that does not declare its tokens. ``rank``, if
    set, overrides the route's.
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
    """Limits on a caller's request, in bytes, and on its duration and idle time, in ms."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_ms: int = 3_000
    idle_ms: int = 15_000


@dataclass(frozen=True, slots=True, kw_only=True)
class RoutingConfig:
    """One version of the routing configuration; ``keys`` maps key digests to account names."""

    version: int
    routes: tuple[Route, ...] = ()
    services: Mapping[str, ServiceSpec] = field(default_factory=dict)
    accounts: Mapping[str, AccountTerms] = field(default_factory=dict)
    keys: Mapping[str, str] = field(default_factory=dict)
    callers: CallerLimits = CallerLimits()
    with_accounts: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class RegisteredServer:
    """One incarnation of a backend server, as it registered itself.

    ``cold_ms`` is how long it stays cold, from when the entry was read; ``born_ms`` is the wall
    time of its start. A ``leaving`` one gets no new work; ``gone_in_ms`` is the time until it ends,
    if known. ``version`` is that of its software, empty if it isn't known.
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
    """Addresses of one incarnation of a VM of the gateway.

    ``power`` is its CPU capacity in standard cores.
    """

    name: str
    incarnation: str
    region: str
    data_centre: str
    host: str
    caller_port: Port
    peer_port: Port
    power: BoundedFloat = 1.0


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that requests may share: its id and its size in tokens."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RelayCall:
    """A caller's request: what decisions need, and what is forwarded unchanged.

    ``headers`` are those to forward. ``model`` is the one that it names, empty for none.
    ``deadline_ms`` is on this VM's monotonic clock.
    ``resume_after`` is the id of the last event that a caller has who takes a stream up,
    ``resumes`` that of the request which brought the stream's first event.
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
    model: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    tokens_told: bool = False
    parts: tuple[PromptPart, ...] = ()
    resume_after: str | None = None
    resumes: str | None = None
