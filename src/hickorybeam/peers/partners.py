"""Which VMs this VM exchanges heartbeats with, from its own view; no I/O and no clock reads."""

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
REMOTE_INTERVAL_HEARTBEATS = 2
# A data centre is cut off after this many times ``silent_after_ms`` without a message from it.
# Contacts take a few heartbeats to cross the ring of the receiving data centre, well within that.
CUT_OFF_AFTER_TIMEOUTS = 4
# The first deputy takes over from a delegate after this many times ``silent_after_ms`` without a
# message from the other data centre, each further deputy after as many again.
DEPUTY_AFTER_TIMEOUTS = 2


class Partners:
    """Selects the heartbeat partners, delegate duties and witnesses of one VM.

    :param gossip: holds the view from which they are derived.
    """

    def __init__(self, gossip: GossipState, cfg: PeerSettings) -> None:
        self._gossip = gossip
        self._cfg = cfg
        self._remote_failures: dict[str, int] = {}

    def live_in(self, data_centre: str) -> dict[str, EntryVm]:
        """Return the live VMs of a data centre by name."""
        return {
            record.vm.id.name: record.vm
            for record in self._gossip.view
            if record.live and record.vm.data_centre == data_centre
        }

    def local(self) -> dict[str, EntryVm]:
        """Return the live VMs of this data centre by name."""
        return self.live_in(self._gossip.own_vm.data_centre)

    def is_live(self, name: str) -> bool:
        """Return whether a VM of this name is live."""
        record = self._gossip.view.get(name)
        return record is not None and record.live

    def local_partners(self) -> list[EntryVm]:
        """Return the heartbeat partners in this data centre, the successor first."""
        local = self.local()
        return [local[name] for name in ring.heartbeat_partners(self._gossip.own_vm.id.name, local)]

    def witnesses(self, suspect: EntryVm) -> list[EntryVm]:
        """Return the VMs to which the suspect sends heartbeats.

        They receive these even if nobody can connect to the suspect.
        """
        local = self.local()
        names = ring.heartbeat_partners(suspect.id.name, local)
        return [local[name] for name in names if name != self._gossip.own_vm.id.name]

    def reads_registry(self) -> bool:
        """Return whether this VM reads the platform's VM registry for its data centre."""
        local = self.local()
        own_vm = self._gossip.own_vm
        if own_vm.id.name not in local:
            return False
        return (
            ring.delegate_order(local, of=own_vm.data_centre, towards="list")[0] == own_vm.id.name
        )

    def remote_partners(self, now_ms: int, *, push: bool = False) -> list[EntryVm]:
        """Return the VMs of other data centres to which this VM now sends heartbeats as delegate.

        :param push: send urgent updates, even if a message from there has just been received.
        """
        own_data_centre = self._gossip.own_vm.data_centre
        local = self.local()
        period_ms = (
            self._cfg.heartbeat_ms
            * REMOTE_INTERVAL_HEARTBEATS
            * (1 - 2 * HEARTBEAT_JITTER_FRACTION)
        )
        selected = []
        for remote in sorted(self._data_centres(live=True) - {own_data_centre}):
            silent_ms = self._gossip.ms_since_contact(remote, now_ms)
            if not self._is_delegate(local, remote, silent_ms):
                continue
            if push or silent_ms >= period_ms:
                selected.append(self._remote_partner(remote))
        return selected

    def record_remote_success(self, data_centre: str) -> None:
        """Record that a VM of another data centre replied."""
        self._remote_failures.pop(data_centre, None)

    def record_remote_failure(self, data_centre: str) -> None:
        """Record that a VM of another data centre did not reply, so that the next one is tried."""
        self._remote_failures[data_centre] = self._remote_failures.get(data_centre, 0) + 1

    def cut_off(self, now_ms: int) -> frozenset[str]:
        """Return the data centres from which no VM of this one receives messages."""
        limit_ms = self._cfg.silent_after_ms * CUT_OFF_AFTER_TIMEOUTS
        others = self._data_centres(live=False) - {self._gossip.own_vm.data_centre}
        return frozenset(
            name for name in others if self._gossip.ms_since_contact(name, now_ms) > limit_ms
        )

    def _data_centres(self, *, live: bool) -> set[str]:
        return {record.vm.data_centre for record in self._gossip.view if record.live or not live}

    def _is_delegate(self, local: Iterable[str], remote: str, silent_ms: int) -> bool:
        own_vm = self._gossip.own_vm
        order = ring.delegate_order(local, of=own_vm.data_centre, towards=remote)
        takeover_ms = self._cfg.silent_after_ms * DEPUTY_AFTER_TIMEOUTS
        return own_vm.id.name in order[: 1 + silent_ms // takeover_ms]

    def _remote_partner(self, remote: str) -> EntryVm:
        candidates = self.live_in(remote)
        order = ring.delegate_order(candidates, of=remote, towards=self._gossip.own_vm.data_centre)
        return candidates[order[self._remote_failures.get(remote, 0) % len(order)]]
