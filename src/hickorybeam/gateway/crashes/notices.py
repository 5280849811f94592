"""Send notices of servers that crashed to all VMs, and pass on those of other data centres."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import msgspec

from hickorybeam.gateway.crashes.notice import CrashNotice

if TYPE_CHECKING:
    from hickorybeam.gateway.fleet import FleetService
    from hickorybeam.policy.crash_messages import ToldPart

__all__ = ("relay_notice", "send_notice")


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
