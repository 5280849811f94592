"""Choose the VMs that the directory lists for a caller.

VMs may be restarted in turn faster than the ones before are back, until a region has only VMs that
shut down. A caller sent outside its home regions costs a round trip between regions and may be
refused there. One that is sent to a VM which has just stopped accepting requests is refused as
well, but retries. So home regions go before VMs that accept everything.
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
    """The VMs of one region, by what they still accept.

    ``draining`` VMs shut down but accept everything for a moment more; ``draining_short_only``
    ones accept only requests that are sure to end before they do.
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
    """Return the VMs that a caller of a region should use, none if it should ask another VM.

    :param homes: home regions of the routes of the caller's host, those of most routes first;
        empty for none.
    :param vms_of: called for other regions only if the caller's own has no VMs.
    :param fleet_known: whether this VM has had time to receive a report from every other VM. One
        that has just started knows few VMs, and would send callers out of their home regions past
        VMs that it doesn't know yet. With an empty list, callers ask another VM or keep the list
        that they have.
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
    """Yield the groups of VMs that may be listed, best first."""
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
