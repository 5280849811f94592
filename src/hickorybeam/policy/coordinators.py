"""Rank the VMs of a region that coordinate a service's placement for all VMs there.

With dozens of VMs before the same servers, each gets a few requests a second and learns late what
the others have sent. Its view of a server's slots is then older than the time for which a slot is
held: VMs send to servers that are full and reject, leave others idle, prefill shared parts anew
that a server beside holds, and keep as many queues as there are VMs. One VM that places for all
knows every slot, shared part and departure. Rendezvous hashing finds it without messages. One that
doesn't respond is skipped for a while; meanwhile the VM that asked it decides alone.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorybeam.policy.rendezvous import rendezvous_order

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ("rank_coordinators",)

# Up to this many VMs need no coordinator: reports between them are a tenth of a second old, and
# each VM sends a good part of all requests.
MAX_VMS_WITHOUT_COORDINATOR = 4
# Prefix of the hash key; it must be the same on all VMs.
HASH_KEY_PREFIX = "places"
# Placement takes a good part of a small VM's processor. VMs with at least this share of the
# strongest one's processor count as equals.
STRONG_SHARE = 0.75


def rank_coordinators(service: str, vms: Mapping[str, float]) -> list[str]:
    """Return the VMs that may coordinate a service, best first; none where each decides alone.

    VMs with a strong processor come first.

    :param vms: the region's live VMs that aren't shutting down, with their processors in units of
        a usual core.
    """
    if len(vms) <= MAX_VMS_WITHOUT_COORDINATOR:
        return []
    strong = max(vms.values()) * STRONG_SHARE
    order = rendezvous_order(f"{HASH_KEY_PREFIX} {service}", vms)
    return sorted(order, key=lambda name: vms[name] < strong)
