"""Which VMs of a data centre watch the store; the others learn changes from them.

Load it answers: a large fleet in a day with many changes. Each change ends the waiting call of
every watch, and every VM asks again: as many calls as VMs for one change, all paid for. With
two watchers a data centre the calls grow with the data centres and no longer with the VMs.
A VM stops watching only while it hears enough others that follow the store, so that a watcher
that dies, leaves or loses the store is followed by the next one in order, without a word.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorybeam.policy.cold_limit import rendezvous

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ("watchers_of", "watches_itself")

# Watchers of a data centre: one can be lost, cut off or turned away, and the other goes on.
WATCHERS = 2
# In smaller data centres all watch: leaving it to others would save few calls.
MOST_THAT_ALL_WATCH = 4
ORDER = "watches the store"


def watches_itself(me: str, heard: Mapping[str, bool]) -> bool:
    """Whether a VM watches the store itself.

    :param me: its name.
    :param heard: the other VMs of its data centre that it has heard lately, and whether each
        follows the store.
    """
    if len(heard) + 1 <= MOST_THAT_ALL_WATCH:
        return True
    order = rendezvous(ORDER, [me, *heard])
    before = order[: order.index(me)]
    return sum(heard[name] for name in before) < WATCHERS


def watchers_of(centres: Mapping[str, int]) -> int:
    """Return how many VMs watch the store in all.

    :param centres: how many VMs each data centre has.
    """
    return sum(size if size <= MOST_THAT_ALL_WATCH else WATCHERS for size in centres.values())
