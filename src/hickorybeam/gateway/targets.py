"""Admitted requests, the targets that they may be sent to, and why there may be none."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from hickorybeam.model.routing import Repeat, Route
from hickorybeam.policy.request_key import request_key, request_outline

if TYPE_CHECKING:
    from collections.abc import Collection

    from hickorybeam.gateway.peers import Peer
    from hickorybeam.gateway.placement.slot_grant import SlotGrant
    from hickorybeam.model.routing import RelayCall
    from hickorybeam.policy.server_choice import ServerState
    from hickorybeam.policy.version_word import VersionWord

__all__ = (
    "AdmittedRequest",
    "NoCapacity",
    "NoTarget",
    "PeerTarget",
    "ServerTarget",
    "Target",
    "TargetFilter",
    "address_of",
    "foreign_route",
    "target_name",
)


@dataclass(frozen=True, slots=True)
class ServerTarget:
    """A backend server of this region, with the slot grant if another VM granted its slot."""

    server_state: ServerState
    grant: SlotGrant | None = None


@dataclass(frozen=True, slots=True)
class PeerTarget:
    """A VM of another region, which selects one of its servers."""

    peer: Peer


Target = ServerTarget | PeerTarget


@dataclass(slots=True, kw_only=True)
class AdmittedRequest:
    """A request with the decisions made at its admission.

    ``resume_after`` is the id of the last event that the caller has received; it advances when a
    stream breaks off. ``deadline_ms`` is on this VM's clock. ``version_key`` is the key of the only
    version of the servers' software that may run it, since it began the stream; ``None`` if no
    event of the stream has been passed on, and unknown if the server named no version.
    ``version_word`` is whose word that rests on, if the stream was taken up at this VM. ``trial``:
    it is sent to see whether a blocked part of its prompt still crashes servers. ``account_homes``
    are the home regions of its account at its admission, empty for any.
    """

    call: RelayCall
    route: Route
    service: str
    account: str | None
    urgency: int
    deadline_ms: int
    resume_after: str | None
    cost: float = 0.0
    version_key: bytes | None = None
    version_word: VersionWord | None = None
    trial: bool = False
    account_homes: frozenset[str] = frozenset()
    _outline: bytes | None = field(default=None, repr=False)
    _key: bytes | None = field(default=None, repr=False)

    def outline(self) -> bytes:
        """Return the digest of what a server gets, without the body."""
        if self._outline is None:
            self._outline = request_outline(self.call, self.account)
        return self._outline

    def key(self) -> bytes:
        """Return the digest of what a server gets, which the request's repeats have too."""
        if self._key is None:
            self._key = request_key(self.outline(), self.call.body)
        return self._key


@dataclass(frozen=True, slots=True)
class NoCapacity:
    """No server that may take the request has a free slot now.

    ``wait_ms`` is the expected time until one has. ``deferred``: there are free slots, but the
    request would miss its objective there and lets others go first. ``final``: neither a wait nor
    another search helps; it can't finish before its deadline, came back too early, or gave up its
    place in the queue. ``retry_after_ms`` is the retry-after for its caller, if it is known.
    """

    wait_ms: float
    deferred: bool = False
    final: bool = False
    retry_after_ms: int | None = None


@dataclass(frozen=True, slots=True)
class NoTarget:
    """The placement coordinator responded that nothing can take the request."""


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetFilter:
    """Which targets a request may go to.

    ``tried`` names targets that it was sent to before; with ``retry_tried`` one of these may be
    used again if there is no other. ``refused_regions`` have refused it: their other VMs have the
    same servers. ``own_region_only``: another VM forwarded it, so it is run in this region or not
    at all. ``may_defer``: if it will miss its objective, it waits for a server with little to
    prefill. ``origin_data_centre`` is that of the VM which sends it, whose servers are preferred.
    ``resting`` names servers that asked that VM for rest, ``None`` if this VM sends it and knows
    them itself.
    """

    tried: Collection[str] = ()
    refused_regions: Collection[str] = ()
    retry_tried: bool = False
    own_region_only: bool = False
    may_defer: bool = True
    origin_data_centre: str = ""
    resting: Collection[str] | None = None

    def without_deferral(self) -> TargetFilter:
        """Return the same filter for a request that is not deferred any longer."""
        return replace(self, may_defer=False)


def foreign_route(name: str, *, target_ms: int, homes: frozenset[str] = frozenset()) -> Route:
    """Return a route for a request that another VM has admitted, as far as placement needs it.

    The other VM keeps the request's attempts, so it is run at most once here.
    """
    return Route(
        name=name,
        host="",
        prefix="/",
        repeat=Repeat.ONCE,
        targets=(),
        target_ms=target_ms,
        homes=homes,
    )


def address_of(target: Target) -> tuple[str, int]:
    """Return the host and port of a target."""
    match target:
        case ServerTarget(server_state):
            return (server_state.server.host, server_state.server.port)
        case PeerTarget(peer):
            return (peer.vm.host, peer.vm.peer_port)


def target_name(target: Target) -> str:
    """Return the server's id or the VM's name, for logs and to recognise a target tried before."""
    match target:
        case ServerTarget(server_state):
            return server_state.server.id
        case PeerTarget(peer):
            return peer.vm.name
