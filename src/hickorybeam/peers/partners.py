"""Whom this VM talks to now, from its own view; no I/O and no clock reads."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorybeam.peers import ring

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hickorybeam.model import EntryVm
    from hickorybeam.peers.gossip import GossipState
    from hickorybeam.settings import PeerSettings

__all__ = ("HEARTBEAT_JITTER_FRACTION", "REMOTE_INTERVAL_HEARTBEATS", "Partners")

HEARTBEAT_JITTER_FRACTION = 0.1
# Counted in heartbeats.
REMOTE_INTERVAL_HEARTBEATS = 2
# After this many silent times a data centre counts as cut off. Contacts reach its VMs through
# the ring within a few heartbeats, which has to fit in with room.
CUT_OFF_AFTER_TIMEOUTS = 4
# A deputy takes over a delegate's duty after this many silent times without news, each next
# one after as many again.
DEPUTY_AFTER_TIMEOUTS = 2


class Partners:
    """Heartbeat partners, delegates' duties and witnesses of one VM.

    :param exchange: the view they are worked out from.
    """

    def __init__(self, gossip: GossipState, cfg: PeerSettings) -> None:
        self._gossip = gossip
        self._cfg = cfg
        self._remote_failures: dict[str, int] = {}

    def live_in(self, data_centre: str) -> dict[str, EntryVm]:
        """Return the VMs of a data centre believed alive, by name."""
        return {
            record.vm.id.name: record.vm
            for record in self._gossip.view
            if record.live and record.vm.data_centre == data_centre
        }

    def local(self) -> dict[str, EntryVm]:
        """Return the VMs of this data centre believed alive, by name."""
        return self.live_in(self._gossip.own_vm.data_centre)

    def is_live(self, name: str) -> bool:
        """Whether a VM of this name is believed alive."""
        record = self._gossip.view.get(name)
        return record is not None and record.live

    def local_partners(self) -> list[EntryVm]:
        """Return the heartbeat partners in this data centre, the successor first."""
        local = self.local()
        return [local[name] for name in ring.heartbeat_partners(self._gossip.own_vm.id.name, local)]

    def witnesses(self, suspect: EntryVm) -> list[EntryVm]:
        """Return whom the suspect heartbeats: they know best, even if nobody can reach it."""
        local = self.local()
        names = ring.heartbeat_partners(suspect.id.name, local)
        return [local[name] for name in names if name != self._gossip.own_vm.id.name]

    def reads_registry(self) -> bool:
        """Whether this VM reads the platform's list for its data centre."""
        local = self.local()
        me = self._gossip.own_vm
        if me.id.name not in local:
            return False
        return ring.delegate_order(local, of=me.data_centre, towards="list")[0] == me.id.name

    def remote_partners(self, now_ms: int, *, push: bool = False) -> list[EntryVm]:
        """Return the peers in other data centres towards which this VM speaks now.

        :param push: whether there is news, which goes out even if the other side was just heard.
        """
        here = self._gossip.own_vm.data_centre
        local = self.local()
        period_ms = (
            self._cfg.heartbeat_ms
            * REMOTE_INTERVAL_HEARTBEATS
            * (1 - 2 * HEARTBEAT_JITTER_FRACTION)
        )
        targets = []
        for there in sorted(self._data_centres(live=True) - {here}):
            silent_ms = self._gossip.ms_since_contact(there, now_ms)
            if not self._speaks(local, there, silent_ms):
                continue
            if push or silent_ms >= period_ms:
                targets.append(self._opposite(there))
        return targets

    def record_remote_success(self, data_centre: str) -> None:
        """Note that a VM of another data centre answered."""
        self._remote_failures.pop(data_centre, None)

    def record_remote_failure(self, data_centre: str) -> None:
        """Note that it did not; the next one there is tried."""
        self._remote_failures[data_centre] = self._remote_failures.get(data_centre, 0) + 1

    def cut_off(self, now_ms: int) -> frozenset[str]:
        """Return the data centres that nobody here hears from."""
        limit_ms = self._cfg.silent_after_ms * CUT_OFF_AFTER_TIMEOUTS
        others = self._data_centres(live=False) - {self._gossip.own_vm.data_centre}
        return frozenset(
            name for name in others if self._gossip.ms_since_contact(name, now_ms) > limit_ms
        )

    def _data_centres(self, *, live: bool) -> set[str]:
        return {record.vm.data_centre for record in self._gossip.view if record.live or not live}

    def _speaks(self, local: Iterable[str], there: str, silent_ms: int) -> bool:
        me = self._gossip.own_vm
        order = ring.delegate_order(local, of=me.data_centre, towards=there)
        deputy_ms = self._cfg.silent_after_ms * DEPUTY_AFTER_TIMEOUTS
        return me.id.name in order[: 1 + silent_ms // deputy_ms]

    def _opposite(self, there: str) -> EntryVm:
        far = self.live_in(there)
        order = ring.delegate_order(far, of=there, towards=self._gossip.own_vm.data_centre)
        return far[order[self._remote_failures.get(there, 0) % len(order)]]
