"""Which VMs the directory names to a caller.

Load it answers: VMs that are stopped and started in turn, faster than the ones before are back,
until a region has only VMs that shut down. A caller led out of its homes costs two ways between
regions and may be refused there; one that is named a VM which has just stopped taking requests
is refused as well, but comes back. So homes go before VMs that take everything.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterator, Sequence

    from hickorybeam.model.routing import GatewayVm

__all__ = ("RegionVms", "vms_to_list")


@dataclass(frozen=True, slots=True)
class RegionVms:
    """The VMs of one region, by what they still take.

    ``draining`` VMs shut down and take everything for a moment yet; ``draining_short_only`` ones take only
    requests that surely end before they do.
    """

    serving: Sequence[GatewayVm] = ()
    draining: Sequence[GatewayVm] = ()
    draining_short_only: Sequence[GatewayVm] = ()


def vms_to_list(
    region: str,
    *,
    homes: Sequence[str],
    regions: Collection[str],
    vms_of: Callable[[str], RegionVms],
    fleet_known: bool,
) -> Sequence[GatewayVm]:
    """Return the VMs that a caller of a region should use, none if it should ask elsewhere.

    :param homes: regions that the routes of the caller's host are bound to, those of most routes
        first; empty for none.
    :param vms_of: asked for other regions only where the caller's own has no VMs.
    :param fleet_known: this VM has had the time to hear of all others. One that has just started
        knows few of them; it would lead callers out of their homes past VMs that it doesn't
        know yet. Told nothing, they ask another VM or keep the answer that they have.
    """
    for choice in _choices(region, homes, regions, vms_of, fleet_known=fleet_known):
        if choice:
            return choice
    return ()


def _choices(
    region: str,
    homes: Sequence[str],
    regions: Collection[str],
    vms_of: Callable[[str], RegionVms],
    *,
    fleet_known: bool,
) -> Iterator[Sequence[GatewayVm]]:
    """Yield what may be named, best first."""
    own = vms_of(region)
    yield own.serving
    yield own.draining
    at_home = [vms_of(it) for it in homes]
    yield from (it.serving for it in at_home)
    yield from (it.draining for it in at_home)
    if homes:
        yield own.draining_short_only
    yield from (it.draining_short_only for it in at_home)
    if not fleet_known:
        return
    others = [vms_of(it) for it in sorted(regions) if it != region]
    yield from (it.serving for it in others)
    yield from (it.draining for it in others)
    yield own.draining_short_only
