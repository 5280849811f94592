"""The messages of membership; field names are short, since every heartbeat carries them."""

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
    """One region's load forecast for one model or service.

    ``stamp`` is the wall time at the VM that made it; the later one wins. It is encoded as an array
    of whole numbers: at 32 models in two regions the field names alone would exceed the 14 KB a
    second of a VM.
    """

    region: str
    served: str
    wait_ms: int
    free_tokens: int
    stamp: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat:
    """The updates that the receiver lacks; used as request and as reply.

    ``have`` is the receiver's sequence number up to which the sender has its updates, ``seq`` the
    sender's own when it sent this. In their first exchange two VMs compare ``digest``, the digest
    of the sender's view, before they send each other their whole views: such a message is not
    ``whole``, and a reply sets ``same`` if the views are equal. ``data_centre`` is the sender's.
    ``members`` are records, ``notes`` the sender's own notes, ``loads`` forecasts of regions,
    ``contacts`` how many messages the sender's data centre has received from each other one.
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
    """Asks which VM listens at an address.

    Only the sender's ``name`` is given, since its incarnation may not be set yet.
    """

    name: str


@dataclass(frozen=True, slots=True)
class WhoReply:
    """The record of the VM that listens, and the one that it has for the requester's name."""

    me: MemberRecord
    you: MemberRecord | None = None


@dataclass(frozen=True, slots=True)
class ProbeRequest:
    """Asks a witness to contact a suspect."""

    suspect: EntryVm


@dataclass(frozen=True, slots=True)
class ProbeReply:
    """Whether the suspect replied to the witness, or was seen by it recently."""

    reached: bool


HEARTBEAT = Topic("heartbeat", Heartbeat, Heartbeat, shared_stream=True)
PROBE = Topic("probe", ProbeRequest, ProbeReply)
WHO = Topic("who", WhoRequest, WhoReply)
