"""The settings of one daemon; fields without a default are required."""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = (
    "BackendSettings",
    "ConfigSettings",
    "ControlSettings",
    "FrontSettings",
    "GatewaySettings",
    "IntakeSettings",
    "LoadSettings",
    "LogSettings",
    "PeerSettings",
    "PlatformSettings",
    "RouteSettings",
    "Settings",
    "ShareSettings",
    "TlsSettings",
    "VmSettings",
)


@dataclass(frozen=True, slots=True, kw_only=True)
class VmSettings:
    """Identity of this entry VM and the addresses that it listens on; port 0 picks a free one.

    It has ``core_share`` of a core that is ``core_speed`` times as fast as a standard core, and its
    process may take ``memory_mb`` of memory and ``file_descriptors`` open files and sockets.
    """

    name: str
    region: str
    data_centre: str
    host: str = "127.0.0.1"
    http_port: int = 0
    peer_port: int = 0
    core_share: float = 1.0
    core_speed: float = 1.0
    memory_mb: float = 300.0
    file_descriptors: int = 4_096

    @property
    def power(self) -> float:
        """CPU capacity in standard cores."""
        return self.core_share * self.core_speed


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformSettings:
    """How to reach the platform's key-value service; the gateway's keys begin with ``prefix``."""

    urls: tuple[str, ...]
    prefix: str = "/hickorybeam/"
    timeout_ms: int = 2_000
    lease_ms: int = 10_000


@dataclass(frozen=True, slots=True, kw_only=True)
class TlsSettings:
    """Mutual TLS between VMs; ``plain`` must be set explicitly to go without."""

    plain: bool = False
    ca_file: str = ""
    cert_file: str = ""
    key_file: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class RouteSettings:
    """Connect to ``via`` instead of a peer's advertised ``address``, for instance through NAT.

    Both are ``host:port``.
    """

    address: str
    via: str


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerSettings:
    """Communication between entry VMs."""

    seeds: tuple[str, ...] = ()
    heartbeat_ms: int = 500
    silent_after_ms: int = 2_000
    call_timeout_ms: int = 1_000
    tls: TlsSettings = field(default_factory=TlsSettings)
    routes: tuple[RouteSettings, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigSettings:
    """Change tickets.

    ``stale_after_ms`` is how long a VM serves while neither the platform nor a peer can tell it of
    revoked keys; 0 means no limit.
    """

    read_back_ms: int = 2_000
    snapshot_every: int = 200
    stale_after_ms: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class FrontSettings:
    """Limits towards callers.

    ``operator_keys`` are digests of keys that may always call the operator interface, whatever
    the tickets say. They are needed to submit the first ticket, and to repair a configuration
    without operators.
    """

    operator_keys: tuple[str, ...] = ()

    max_body_bytes: int = 2_000_000
    max_header_bytes: int = 32_768
    max_connections_per_address: int = 256
    idle_ms: int = 75_000
    body_timeout_ms: int = 10_000
    stall_ms: int = 15_000
    memory_bytes: int = 256_000_000
    entries_valid_ms: int = 10_000
    default_deadline_ms: int = 60_000


@dataclass(frozen=True, slots=True, kw_only=True)
class BackendSettings:
    """Limits towards backend servers."""

    connect_timeout_ms: int = 1_000
    first_byte_ms: int = 30_000
    between_ms: int = 5_000
    report_every_ms: int = 500
    idle_ms: int = 15_000


@dataclass(frozen=True, slots=True, kw_only=True)
class ShareSettings:
    """VMs' shares of each account's rate and burst."""

    groups: int = 16
    floor: float = 0.05
    rebalance_ms: int = 2_000
    loan_ms: int = 2_000
    loan_margin_ms: int = 1_000


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadSettings:
    """The policy: ``cheap`` favours cost and the worst-served account, ``fast`` tail latency."""

    profile: str = "cheap"
    max_wait_ms: int = 10_000


@dataclass(frozen=True, slots=True, kw_only=True)
class ControlSettings:
    """Orders to engines.

    An engine that needed no order is checked again after ``settled_ms``, or when a ticket comes
    into force; until then, a restart that lost its models goes unnoticed here.
    """

    enabled: bool = True
    lease_ms: int = 6_000
    order_timeout_ms: int = 1_500
    reconcile_ms: int = 1_000
    settled_ms: int = 10_000
    weight_store_bytes_per_s: float = 100_000_000.0


@dataclass(frozen=True, slots=True, kw_only=True)
class LogSettings:
    """Logging; ``format`` is ``text`` or ``json`` (one object per line)."""

    format: str = "text"
    level: str = "info"


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewaySettings:
    """A VM whose configuration and backend servers come from the platform's store.

    Addresses are ``host:port``: ``callers`` for requests, ``ready`` for the readiness check,
    ``directory`` for callers that look up VMs, ``state`` for VMs that cannot reach the store and
    copy this one's state; ``seeds`` are ``state`` addresses of other VMs. ``regions`` maps data
    centres to regions. ``grace_s`` is the time limit of a shutdown, in seconds. Over all VMs and in
    each ``repeat_window_s``, retries are limited to ``repeat_ratio`` of the requests plus
    ``repeat_allowance``. ``quota_allowance`` is what an account may spend over all VMs beyond its
    rate and burst in any window. ``fair_share``: while a service is overloaded, accounts share it
    by their rates.
    """

    callers: str = "127.0.0.1:0"
    ready: str = "127.0.0.1:0"
    directory: str = "127.0.0.1:0"
    state: str = "127.0.0.1:0"
    seeds: tuple[str, ...] = ()
    regions: dict[str, str] = field(default_factory=dict)
    grace_s: float = 8.0
    repeat_ratio: float = 0.2
    repeat_allowance: float = 20.0
    repeat_window_s: float = 10.0
    quota_allowance: float = 0.0
    fair_share: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class IntakeSettings:
    """What all who connect to a VM may make it hold together; whoever is over it is refused.

    ``request_share`` is the share of the VM's memory for requests that are being read or run, and
    for responses that nobody reads; ``connection_share`` that for connections, with what the
    kernel keeps for each; ``descriptor_share`` the connections' share of the file descriptors.
    """

    request_share: float = 0.2
    connection_share: float = 0.4
    descriptor_share: float = 0.5


@dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """All settings of one daemon, read at its start."""

    vm: VmSettings
    platform: PlatformSettings
    peers: PeerSettings = field(default_factory=PeerSettings)
    config: ConfigSettings = field(default_factory=ConfigSettings)
    front: FrontSettings = field(default_factory=FrontSettings)
    backends: BackendSettings = field(default_factory=BackendSettings)
    shares: ShareSettings = field(default_factory=ShareSettings)
    load: LoadSettings = field(default_factory=LoadSettings)
    control: ControlSettings = field(default_factory=ControlSettings)
    log: LogSettings = field(default_factory=LogSettings)
    intake: IntakeSettings = field(default_factory=IntakeSettings)
    gateway: GatewaySettings | None = None
