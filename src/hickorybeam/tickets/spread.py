"""Who watches the platform, whom the others ask, and what they say to each other: pure."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from hickorybeam.model import EntryVm, VmState
from hickorybeam.ports import Topic

# msgspec resolves the fields' types when a message is first decoded.
from hickorybeam.tickets.codec import LogEntry, SnapshotHead  # noqa: TC001

if TYPE_CHECKING:
    import random

__all__ = (
    "FETCH",
    "NEVER_MS",
    "STATE",
    "WATCHERS",
    "FetchReply",
    "FetchRequest",
    "Freshness",
    "Note",
    "StateReply",
    "StateRequest",
    "ask_order",
    "store_watchers",
)

# Two watchers in a data centre: one may fail, or have a silent watch, unnoticed by the rest.
WATCHERS = 2
# The age of what was never confirmed; it fits a JSON integer.
NEVER_MS = 2**52


@dataclass(frozen=True, slots=True)
class Note:
    """What rides on every heartbeat: the position in force.

    It only tells whom to ask. It confirms nothing, because a heartbeat may be read long after
    it was sent: a VM that was paused for an hour finds old ones in its receive buffer.
    """

    position: int


@dataclass(frozen=True, slots=True)
class FetchRequest:
    """Asks for the entries after a position."""

    after: int


@dataclass(frozen=True, slots=True)
class FetchReply:
    """The entries, and how old the replier's own confirmation is.

    ``whole`` says that the entries asked for are no longer held, so the state itself has to
    be fetched.
    """

    position: int
    age_ms: int
    entries: tuple[LogEntry, ...] = ()
    whole: bool = False


@dataclass(frozen=True, slots=True)
class StateRequest:
    """Asks for one part of the state at a position; position 0 for the replier's newest."""

    position: int
    part: int


@dataclass(frozen=True, slots=True)
class StateReply:
    """One part of the state, or of a newer one when that position is no longer held."""

    head: SnapshotHead
    part: bytes


FETCH = Topic("config.fetch", FetchRequest, FetchReply)
STATE = Topic("config.state", StateRequest, StateReply)


class Freshness:
    """When this VM last knew that it had missed nothing.

    A confirmation by a peer counts as old as the peer's own: the age travels along, so two
    VMs that are cut off together can't refresh each other.
    """

    def __init__(self) -> None:
        self._confirmed_at: int | None = None

    def confirm(self, *, held: int, head: int, at: int) -> bool:
        """Note that the log's head was at a position at some time.

        :param held: the position that this VM has in force.
        :param head: the position that was the head.
        :param at: a time at or before that; the start of the call that brought it.
        :return: whether this VM held all of it.
        """
        if held < head:
            return False
        self._confirmed_at = at if self._confirmed_at is None else max(self._confirmed_at, at)
        return True

    def age_ms(self, now: int) -> int:
        """Return the time since the last confirmation."""
        return NEVER_MS if self._confirmed_at is None else max(0, now - self._confirmed_at)


def store_watchers(vms: tuple[EntryVm, ...], data_centre: str) -> tuple[EntryVm, ...]:
    """Return the VMs of a data centre that watch the platform for the others.

    Every VM ranks alike, so VMs that see the same members agree without a message; while
    they see different ones, a few more watch, which costs calls and nothing else.
    """
    near = [vm for vm in vms if vm.data_centre == data_centre and vm.state is not VmState.LEAVING]
    return tuple(sorted(near, key=lambda vm: vm.id)[:WATCHERS])


def ask_order(
    vms: tuple[EntryVm, ...], me: EntryVm, rng: random.Random, *, at_most: int
) -> tuple[EntryVm, ...]:
    """Return whom to ask for tickets: watchers nearby, then others nearby, then any."""
    chosen = frozenset(vm.id for vm in store_watchers(vms, me.data_centre))

    def rank(vm: EntryVm) -> tuple[bool, bool, float]:
        return vm.id not in chosen, vm.data_centre != me.data_centre, rng.random()

    others = [vm for vm in vms if vm.id.name != me.id.name]
    return tuple(sorted(others, key=rank)[:at_most])
