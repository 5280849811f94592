"""Configuration objects that operators set by change ticket."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from enum import Enum

__all__ = (
    "BackendKind",
    "BackendServer",
    "ClientAccount",
    "ClientKey",
    "ConfigObject",
    "ModelService",
    "ObjectKind",
    "ObjectRef",
    "PlainService",
    "Region",
    "ResidencyRule",
    "ServiceRoute",
    "key_digest",
    "ref_of",
)


class ObjectKind(Enum):
    """The kinds of objects; the value is the field of the ticket that holds them."""

    REGION = "regions"
    RESIDENCY = "residency_rules"
    ACCOUNT = "accounts"
    KEY = "keys"
    MODEL = "models"
    SERVICE = "services"
    ROUTE = "routes"
    BACKEND = "backends"


class BackendKind(Enum):
    """The protocol of a backend server."""

    ENGINE = "engine"
    PLAIN = "plain"


@dataclass(frozen=True, slots=True, kw_only=True)
class Region:
    """A region and its price.

    ``cost`` is the price of a thousand tokens in the operator's currency.
    """

    name: str
    data_centres: tuple[str, ...]
    cost: float = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ResidencyRule:
    """The regions in which data under this rule may be processed."""

    name: str
    regions: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class ClientAccount:
    """A tenant of the gateway.

    ``rate`` is in tokens per second and ``burst`` in tokens, both summed over all entry VMs.
    ``residency`` names a rule; ``None`` lets every region serve the account. An empty
    ``models`` or ``services`` allows all.
    """

    name: str
    rate: float
    burst: float
    weight: float = 1.0
    priority: int = 0
    residency: str | None = None
    models: tuple[str, ...] = ()
    services: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class ClientKey:
    """A caller's key; only its digest is stored.

    ``name`` is the digest returned by :func:`key_digest`. Deleting a key revokes it.
    """

    name: str
    account: str
    operator: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class ModelService:
    """A model that engines serve, and the regions in which it is placed.

    ``adapter_of`` names the base model if this is an adapter. ``min_engines`` are kept in each of
    these regions; ``weight_bytes`` is what loading the model reads from the weight store.
    """

    name: str
    regions: tuple[str, ...]
    adapter_of: str | None = None
    version: str = "1"
    min_engines: int = 1
    weight_bytes: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class PlainService:
    """A plain HTTP service beside the engines.

    ``non_idempotent`` lists the methods that may run at most once. ``cost`` is the tokens that
    one call takes from the account.
    """

    name: str
    regions: tuple[str, ...]
    non_idempotent: tuple[str, ...] = ("POST", "PATCH")
    cost: int = 1
    timeout_ms: int = 10_000


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceRoute:
    """Requests of one host under a path prefix, which go unchanged to a plain service.

    ``prefix`` begins and ends with a slash; the longest matching one applies. ``idempotent`` tells
    whether the requests may be retried; ``None`` decides by method, as the service declares.
    ``timeout_ms`` 0 means the service's own timeout.
    """

    name: str
    host: str
    prefix: str
    service: str
    idempotent: bool | None = None
    timeout_ms: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class BackendServer:
    """One backend server as declared by its operator.

    ``serves`` names models (engine) or services (plain). ``slots`` is the number of concurrent
    requests and ``tokens_per_s`` the rated output. ``role`` is the role that an engine is ordered
    to take (empty: no order). A ``leaving`` one gets no new work.
    """

    name: str
    kind: BackendKind
    region: str
    data_centre: str
    host: str
    port: int
    serves: tuple[str, ...] = ()
    slots: int = 16
    tokens_per_s: float = 1_000.0
    checks_fencing: bool = False
    role: str = ""
    leaving: bool = False


ConfigObject = (
    Region
    | ResidencyRule
    | ClientAccount
    | ClientKey
    | ModelService
    | PlainService
    | ServiceRoute
    | BackendServer
)

_KINDS: dict[type, ObjectKind] = {
    Region: ObjectKind.REGION,
    ResidencyRule: ObjectKind.RESIDENCY,
    ClientAccount: ObjectKind.ACCOUNT,
    ClientKey: ObjectKind.KEY,
    ModelService: ObjectKind.MODEL,
    PlainService: ObjectKind.SERVICE,
    ServiceRoute: ObjectKind.ROUTE,
    BackendServer: ObjectKind.BACKEND,
}


@dataclass(frozen=True, slots=True, order=True)
class ObjectRef:
    """Kind and name of one object, existing or deleted."""

    kind: str
    name: str


def ref_of(obj: ConfigObject) -> ObjectRef:
    """Return the reference of an object."""
    return ObjectRef(_KINDS[type(obj)].value, obj.name)


def key_digest(secret: str) -> str:
    """Return the digest by which a caller's key is configured."""
    return hashlib.sha256(secret.encode()).hexdigest()
