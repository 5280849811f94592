"""The messages of membership; field names are short, since they travel with every heartbeat."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

# Needed at run time: msgspec reads the field types when it encodes.
from hickorybeam.model import EntryVm  # noqa: TC001
from hickorybeam.peers.view import MemberRecord  # noqa: TC001
from hickorybeam.ports import Topic

__all__ = (
    "HEARTBEAT",
    "PROBE",
    "WHO",
    "Heartbeat",
    "WhoReply",
    "LoadForecast",
    "ProbeRequest",
    "ProbeReply",
    "WhoRequest",
)


class LoadForecast(msgspec.Struct, frozen=True, array_like=True):
    """What one region forecasts for one model or service.

    ``stamp`` is the wall time at the VM that made it; the later one wins. It travels as a bare
    list and in whole numbers: at 32 models of two regions the field names alone would take
    more than a node's 14 KB a second.
    """

    region: str
    served: str
    wait_ms: int
    free_tokens: int
    stamp: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat:
    """Both request and reply: what the other side has not been told yet.

    ``have`` is the other side's sequence number up to which the sender knows its news, and
    ``seq`` the sender's own when it wrote this. Two VMs that meet for the first time compare
    ``digest``, the fingerprint of the sender's view, before they send each other all of it:
    such a message is not ``whole``, and a reply says in ``same`` that the views are equal.
    ``data_centre`` is the sender's. ``members`` are records, ``notes`` the sender's own notes,
    ``loads`` forecasts of regions, ``contacts`` how often its data centre has heard from each
    other one.
    """

    have: int
    seq: int
    digest: int
    data_centre: str
    whole: bool = True
    same: bool = False
    members: tuple[MemberRecord, ...] = ()
    notes: dict[str, bytes] = field(default_factory=dict)
    loads: tuple[LoadForecast, ...] = ()
    contacts: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class WhoRequest:
    """Asks who listens at an address, before the asker has settled its own incarnation."""

    name: str


@dataclass(frozen=True, slots=True)
class WhoReply:
    """Who listens, and what it knows of the asker's name."""

    me: MemberRecord
    you: MemberRecord | None = None


@dataclass(frozen=True, slots=True)
class ProbeRequest:
    """Asks a peer to try a suspect."""

    suspect: EntryVm


@dataclass(frozen=True, slots=True)
class ProbeReply:
    """Whether the suspect answered."""

    reached: bool


HEARTBEAT = Topic("heartbeat", Heartbeat, Heartbeat, shared_stream=True)
PROBE = Topic("probe", ProbeRequest, ProbeReply)
WHO = Topic("who", WhoRequest, WhoReply)
