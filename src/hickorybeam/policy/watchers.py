"""Which VMs of a data centre watch the store; the others learn changes from them.

Load it answers: a large fleet in a day with many changes. Each change ends the waiting call of
every watch, and every VM asks again: as many calls as VMs for one change, all paid for. With
two watchers a data centre the calls grow with the data centres and no longer with the VMs.
A VM stops watching only while it hears enough others that follow the store, so that a watcher
that dies, leaves or loses the store is followed by the next one in order, without a word.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorybeam.policy.cold_limit import rendezvous_order

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ("count_watchers", "should_watch")

# Watchers of a data centre: one can be lost, cut off or turned away, and the other goes on.
WATCHERS = 2
# In smaller data centres all watch: leaving it to others would save few calls.
MOST_THAT_ALL_WATCH = 4
ORDER = "watches the store"


def should_watch(me: str, live_peers: Mapping[str, bool]) -> bool:
    """Whether a VM watches the store itself.

    :param me: its name.
    :param live_peers: the other VMs of its data centre that it has heard lately, and whether each
        follows the store.
    """
    if len(live_peers) + 1 <= MOST_THAT_ALL_WATCH:
        return True
    order = rendezvous_order(ORDER, [me, *live_peers])
    before = order[: order.index(me)]
    return sum(live_peers[name] for name in before) < WATCHERS


def count_watchers(centres: Mapping[str, int]) -> int:
    """Return how many VMs watch the store in all.

    :param centres: how many VMs each data centre has.
    """
    return sum(size if size <= MOST_THAT_ALL_WATCH else WATCHERS for size in centres.values())
