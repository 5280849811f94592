"""Entry VMs, their identity and what they report of themselves."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

__all__ = ("EntryVm", "LoadReport", "RegionLoad", "VmId", "VmState")


class VmState(Enum):
    """Where an entry VM stands in its life."""

    JOINING = "joining"
    SERVING = "serving"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True, order=True)
class VmId:
    """One life of one entry VM; a restart has a new incarnation."""

    name: str
    incarnation: str


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryVm:
    """How callers and peers reach one entry VM."""

    id: VmId
    region: str
    data_centre: str
    host: str
    http_port: int
    peer_port: int
    state: VmState = VmState.SERVING

    @property
    def http_address(self) -> str:
        """The address given to callers."""
        return f"http://{self.host}:{self.http_port}"


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport:
    """What one backend server last said of its load.

    ``at_ms`` is the reader's monotonic time of arrival, ``lag_ms`` how old the figures were.
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
    """Summary of one region for one model or service, as its VMs forecast it."""

    region: str
    served: str
    wait_ms: float
    free_tokens: float
    at_ms: int
