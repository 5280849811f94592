"""Which VMs of a data centre watch the store; the others get changes from them.

Each change ends the waiting poll of every watcher, which then polls again: if all VMs of a large
fleet watched, one change would cost as many calls as there are VMs, all paid for. With two
watchers in each data centre the calls grow with the data centres and not with the VMs.
A VM stops watching only while enough others are live and watch the store, so that a watcher that
dies, leaves or loses the store is replaced by the next one in the ranking, without coordination.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorybeam.policy.rendezvous import rendezvous_order

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ("count_watchers", "should_watch")

# If one is lost, partitioned or refused by the store, the other goes on.
WATCHERS_PER_DATA_CENTRE = 2
# In data centres of up to this many VMs all watch: two watchers would save few calls.
MAX_VMS_WHERE_ALL_WATCH = 4
RANKING_KEY = "watches the store"


def should_watch(me: str, live_peers: Mapping[str, bool]) -> bool:
    """Return whether a VM should watch the store itself.

    :param me: the VM's name.
    :param live_peers: the other live VMs of its data centre, and whether each watches the store.
    """
    if len(live_peers) + 1 <= MAX_VMS_WHERE_ALL_WATCH:
        return True
    ranking = rendezvous_order(RANKING_KEY, [me, *live_peers])
    higher_ranked = ranking[: ranking.index(me)]
    return sum(live_peers[name] for name in higher_ranked) < WATCHERS_PER_DATA_CENTRE


def count_watchers(data_centres: Mapping[str, int]) -> int:
    """Return the number of VMs in the fleet that watch the store.

    :param data_centres: number of VMs in each data centre.
    """
    return sum(
        size if size <= MAX_VMS_WHERE_ALL_WATCH else WATCHERS_PER_DATA_CENTRE
        for size in data_centres.values()
    )
