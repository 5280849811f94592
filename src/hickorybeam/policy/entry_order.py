"""Order the entry VMs that a caller should use.

Hundreds of callers hold the same list when a VM dies, and all turn to its next entry. With one
order for everyone they would arrive together at a single VM, which would then fail as well. So
each caller gets an order of its own by rendezvous hashing: it keeps its VM while the list changes
around it, and the callers of a dead VM spread evenly over the others.

Callers stay in their data centre while it has VMs, then in their region: a caller is about
3 ms away from its own region and 80 ms from the others. VMs outside the account's regions are left
out, since they would have to refuse, and so are those that are joining or leaving.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from hickorybeam.model import VmState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hickorybeam.model import EntryVm

__all__ = ("entry_order",)

OWN_DATA_CENTRE, OWN_REGION, OTHER_REGION = range(3)


def entry_order(
    vms: Iterable[EntryVm],
    *,
    region: str,
    data_centre: str,
    allowed: frozenset[str] | None,
    caller_key: str,
) -> tuple[EntryVm, ...]:
    """Return the VMs to use, best first.

    :param region: region of the VM that the caller asked.
    :param data_centre: data centre of that VM.
    :param allowed: regions that may see the account's data; ``None`` if its residency rule is
        not known, in which case no VM is returned.
    :param caller_key: hash key that tells callers apart, such as account and address.
    """
    if allowed is None:
        return ()

    def sort_key(vm: EntryVm) -> tuple[int, bytes]:
        key = f"{caller_key}\0{vm.id.name}".encode()
        return _distance(vm, region, data_centre), hashlib.blake2b(key, digest_size=8).digest()

    serving = (vm for vm in vms if vm.state is VmState.SERVING and vm.region in allowed)
    return tuple(sorted(serving, key=sort_key))


def _distance(vm: EntryVm, region: str, data_centre: str) -> int:
    if vm.region != region:
        return OTHER_REGION
    return OWN_DATA_CENTRE if vm.data_centre == data_centre else OWN_REGION
