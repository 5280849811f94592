"""Choice of the VMs that watch the store, and the messages by which VMs exchange tickets (pure)."""

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
    "FETCH_TOPIC",
    "NEVER_CONFIRMED_MS",
    "STATE_TOPIC",
    "WATCHERS_PER_DATA_CENTRE",
    "FetchReply",
    "FetchRequest",
    "Freshness",
    "Note",
    "StateReply",
    "StateRequest",
    "peers_to_ask",
    "store_watchers",
)

# With two, one may fail or have a watch that delivers nothing without the others losing updates.
WATCHERS_PER_DATA_CENTRE = 2
# Age of a state that was never confirmed; it fits a JSON integer.
NEVER_CONFIRMED_MS = 2**52


@dataclass(frozen=True, slots=True)
class Note:
    """The position in force on the sender, carried by its heartbeats.

    It only serves as a hint whom to ask. It confirms nothing, because a heartbeat may be read
    long after it was sent: a VM that was paused for an hour finds old ones in its receive buffer.
    """

    position: int


@dataclass(frozen=True, slots=True)
class FetchRequest:
    """Requests the log entries after a position."""

    after: int


@dataclass(frozen=True, slots=True)
class FetchReply:
    """Log entries, the sender's position, and the age of the sender's own confirmation.

    ``whole`` is set if the sender no longer holds the requested entries, so that the whole state
    has to be fetched instead.
    """

    position: int
    age_ms: int
    entries: tuple[LogEntry, ...] = ()
    whole: bool = False


@dataclass(frozen=True, slots=True)
class StateRequest:
    """Requests one part of the state at a position; position 0 means the latest."""

    position: int
    part: int


@dataclass(frozen=True, slots=True)
class StateReply:
    """One part of the requested state, or the first of a newer one if that is no longer held."""

    head: SnapshotHead
    part: bytes


FETCH_TOPIC = Topic("config.fetch", FetchRequest, FetchReply)
STATE_TOPIC = Topic("config.state", StateRequest, StateReply)


class Freshness:
    """Time of the last confirmation that this VM's state was up to date.

    A confirmation by a peer is dated back by the age of the peer's own, which its reply carries.
    So two VMs that are isolated together cannot keep each other fresh.
    """

    def __init__(self) -> None:
        self._confirmed_at: int | None = None

    def confirm(self, *, held: int, head: int, at: int) -> bool:
        """Record a reading of the log's head, if this VM's state covers it.

        :param held: position in force on this VM.
        :param head: position of the head that was read.
        :param at: time no later than the reading, such as the start of the call, in ms.
        :return: whether this VM's state covers the head.
        """
        if held < head:
            return False
        self._confirmed_at = at if self._confirmed_at is None else max(self._confirmed_at, at)
        return True

    def age_ms(self, now: int) -> int:
        """Return the time since the last confirmation, ``NEVER_CONFIRMED_MS`` without one."""
        return (
            NEVER_CONFIRMED_MS if self._confirmed_at is None else max(0, now - self._confirmed_at)
        )


def store_watchers(vms: tuple[EntryVm, ...], data_centre: str) -> tuple[EntryVm, ...]:
    """Return the VMs of a data centre that watch the store on behalf of the others.

    All VMs use the same order, so those that see the same members agree without a message.
    While they see different members, a few more VMs watch, which only costs calls.
    """
    local_vms = [
        vm for vm in vms if vm.data_centre == data_centre and vm.state is not VmState.LEAVING
    ]
    return tuple(sorted(local_vms, key=lambda vm: vm.id)[:WATCHERS_PER_DATA_CENTRE])


def peers_to_ask(
    vms: tuple[EntryVm, ...], own_vm: EntryVm, rng: random.Random, *, at_most: int
) -> tuple[EntryVm, ...]:
    """Return peers to ask for tickets: local watchers first, then local VMs, then remote ones."""
    watcher_ids = frozenset(vm.id for vm in store_watchers(vms, own_vm.data_centre))

    def rank(vm: EntryVm) -> tuple[bool, bool, float]:
        return vm.id not in watcher_ids, vm.data_centre != own_vm.data_centre, rng.random()

    others = [vm for vm in vms if vm.id.name != own_vm.id.name]
    return tuple(sorted(others, key=rank)[:at_most])
