"""Which entry VMs a caller should use, in order.

Load pattern: hundreds of callers hold the same list when a VM dies, and all turn to its next
entry. With one order for everyone they arrive together at a single VM, which then fails as
well. Here each caller gets an order of its own by rendezvous hashing: it keeps its VM while
the list changes around it, and the callers of a dead VM spread evenly over the others.

Callers stay in their data centre while it has VMs, then in their region: a caller is about
3 ms away from its own region and 80 ms from the others. No VM outside the account's regions
is named, since that VM would have to refuse, and none that is joining or leaving.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from hickorybeam.model import VmState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hickorybeam.model import EntryVm

__all__ = ("entry_order",)

OWN_DATA_CENTRE, OWN_REGION, ELSEWHERE = range(3)


def entry_order(
    vms: Iterable[EntryVm],
    *,
    region: str,
    data_centre: str,
    allowed: frozenset[str] | None,
    caller_key: str,
) -> tuple[EntryVm, ...]:
    """Return the VMs to use, best first.

    :param region: where the caller asked.
    :param data_centre: where the caller asked.
    :param allowed: regions that may see the account's data; ``None`` when its residency rule
        is not known, and then no VM may.
    :param caller_key: what tells callers apart, such as account and address.
    """
    if allowed is None:
        return ()

    def place(vm: EntryVm) -> tuple[int, bytes]:
        key = f"{caller_key}\0{vm.id.name}".encode()
        return _tier(vm, region, data_centre), hashlib.blake2b(key, digest_size=8).digest()

    serving = (vm for vm in vms if vm.state is VmState.SERVING and vm.region in allowed)
    return tuple(sorted(serving, key=place))


def _tier(vm: EntryVm, region: str, data_centre: str) -> int:
    if vm.region != region:
        return ELSEWHERE
    return OWN_DATA_CENTRE if vm.data_centre == data_centre else OWN_REGION
