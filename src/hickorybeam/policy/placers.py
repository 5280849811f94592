"""Which VM of a region places the prompts of a service for all VMs there.

Load it answers: dozens of VMs before the same servers, each of which gets a few requests a second
itself and hears late what the others sent. What each believes of a server's places is then older
than a place lasts: they send to servers that are full and reject, leave others idle, read shared
parts anew that a server beside holds, and wait in as many lines as there are VMs. One VM that
places for all knows every place, part and departure. It is found by hashing, without a word. One
that doesn't answer is left out for a while, and whoever asked decides alone meanwhile.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorybeam.policy.cold_limit import rendezvous_order

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ("placers",)

# With so few VMs, words between them are a tenth of a second old and each sends a good part of
# what is sent: asking another one would gain nothing.
MOST_THAT_DECIDE_ALONE = 4
ORDER = "places"
# Placing takes a good part of a small VM's processor. Those with this share of what the strongest
# has count as equals.
STRONG_SHARE = 0.75


def placers(service: str, vms: Mapping[str, float]) -> list[str]:
    """Return the VMs that place a service's requests, in order; none where each decides alone.

    Those with much processor come first.

    :param vms: VMs of the region that are heard and stay, with their processor in usual cores.
    """
    if len(vms) <= MOST_THAT_DECIDE_ALONE:
        return []
    strong = max(vms.values()) * STRONG_SHARE
    order = rendezvous_order(f"{ORDER} {service}", vms)
    return sorted(order, key=lambda name: vms[name] < strong)
