"""Entry VMs, their identity and their load reports."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

__all__ = ("EntryVm", "LoadReport", "RegionLoad", "VmId", "VmState")


class VmState(Enum):
    """Lifecycle state of an entry VM."""

    JOINING = "joining"
    SERVING = "serving"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True, order=True)
class VmId:
    """Identity of one incarnation of an entry VM; a restart has a new one."""

    name: str
    incarnation: str


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryVm:
    """Addresses and state of one entry VM."""

    id: VmId
    region: str
    data_centre: str
    host: str
    http_port: int
    peer_port: int
    state: VmState = VmState.SERVING

    @property
    def http_address(self) -> str:
        """The base URL given to callers."""
        return f"http://{self.host}:{self.http_port}"


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport:
    """The latest load report of one backend server.

    ``at_ms`` is its arrival on the receiver's monotonic clock, ``lag_ms`` its age on arrival.
    """

    backend: str
    at_ms: int
    running: int
    waiting: int
    tokens_in_flight: int
    lag_ms: int = 0
    cached_prefixes: tuple[str, ...] = ()
    leaving: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class RegionLoad:
    """Load forecast of one region for one model or service, made by the region's VMs."""

    region: str
    served: str
    wait_ms: float
    free_tokens: float
    at_ms: int
