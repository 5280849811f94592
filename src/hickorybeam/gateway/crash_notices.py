"""Datagram messages by which VMs tell each other of servers that crashed, and under what."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import msgspec

from hickorybeam.policy.crash_evidence import ToldPart  # noqa: TC001 - msgspec reads it

if TYPE_CHECKING:
    from hickorybeam.gateway.fleet import FleetService

__all__ = ("CrashNotice", "relay_notice", "send_notice")


class CrashNotice(msgspec.Struct, frozen=True, array_like=True, tag="crashed"):
    """What a VM has learned of parts of prompts since its last notice.

    ``relayed``: a VM of the receiver's data centre passes it on.
    """

    vm: str
    parts: list[ToldPart]
    relayed: bool = False


def send_notice(fleet: FleetService, parts: list[ToldPart]) -> None:
    """Tell all VMs: those of this data centre, and one of each other, which passes it on."""
    notice = CrashNotice(fleet.own_vm.name, parts)
    for peer in fleet.peers.local_peers():
        fleet.send_message(peer.vm.name, notice)
    for peers in fleet.peers.remote_peers().values():
        fleet.send_message(random.choice(peers).vm.name, notice)


def relay_notice(fleet: FleetService, notice: CrashNotice) -> None:
    """Pass a notice from another data centre on within this one."""
    sender = fleet.peers.by_name.get(notice.vm)
    is_local = sender is not None and sender.vm.data_centre == fleet.own_vm.data_centre
    if notice.relayed or is_local:
        return
    relayed = msgspec.structs.replace(notice, relayed=True)
    for peer in fleet.peers.local_peers():
        fleet.send_message(peer.vm.name, relayed)
