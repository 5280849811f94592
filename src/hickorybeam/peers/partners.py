"""Whom this VM talks to now, from its own view; no I/O and no clock reads."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorybeam.peers import ring

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hickorybeam.model import EntryVm
    from hickorybeam.peers.exchange import Exchange
    from hickorybeam.settings import PeerSettings

__all__ = ("JITTER", "WIDE_EVERY", "Partners")

JITTER = 0.1
# Counted in heartbeats.
WIDE_EVERY = 2
# After this many silent times a data centre counts as cut off. Contacts reach its VMs through
# the ring within a few heartbeats, which has to fit in with room.
CUT_OFF_TIMES = 4
# A deputy takes over a delegate's duty after this many silent times without news, each next
# one after as many again.
DEPUTY_TIMES = 2


class Partners:
    """Heartbeat partners, delegates' duties and witnesses of one VM.

    :param exchange: the view they are worked out from.
    """

    def __init__(self, exchange: Exchange, cfg: PeerSettings) -> None:
        self._exchange = exchange
        self._cfg = cfg
        self._wide_tries: dict[str, int] = {}

    def alive_in(self, data_centre: str) -> dict[str, EntryVm]:
        """Return the VMs of a data centre believed alive, by name."""
        return {
            record.vm.id.name: record.vm
            for record in self._exchange.roster
            if record.alive and record.vm.data_centre == data_centre
        }

    def local(self) -> dict[str, EntryVm]:
        """Return the VMs of this data centre believed alive, by name."""
        return self.alive_in(self._exchange.me.data_centre)

    def is_alive(self, name: str) -> bool:
        """Whether a VM of this name is believed alive."""
        record = self._exchange.roster.get(name)
        return record is not None and record.alive

    def fingers(self) -> list[EntryVm]:
        """Return the heartbeat partners in this data centre, the successor first."""
        local = self.local()
        return [local[name] for name in ring.fingers(self._exchange.me.id.name, local)]

    def witnesses(self, suspect: EntryVm) -> list[EntryVm]:
        """Return whom the suspect heartbeats: they know best, even if nobody can reach it."""
        local = self.local()
        names = ring.fingers(suspect.id.name, local)
        return [local[name] for name in names if name != self._exchange.me.id.name]

    def reads_list(self) -> bool:
        """Whether this VM reads the platform's list for its data centre."""
        local = self.local()
        me = self._exchange.me
        if me.id.name not in local:
            return False
        return ring.delegates(local, of=me.data_centre, towards="list")[0] == me.id.name

    def wide(self, now_ms: int, *, push: bool = False) -> list[EntryVm]:
        """Return the peers in other data centres towards which this VM speaks now.

        :param push: whether there is news, which goes out even if the other side was just heard.
        """
        here = self._exchange.me.data_centre
        local = self.local()
        period_ms = self._cfg.heartbeat_ms * WIDE_EVERY * (1 - 2 * JITTER)
        targets = []
        for there in sorted(self._data_centres(alive=True) - {here}):
            silent_ms = self._exchange.silent_for(there, now_ms)
            if not self._speaks(local, there, silent_ms):
                continue
            if push or silent_ms >= period_ms:
                targets.append(self._opposite(there))
        return targets

    def wide_answered(self, data_centre: str) -> None:
        """Note that a VM of another data centre answered."""
        self._wide_tries.pop(data_centre, None)

    def wide_missed(self, data_centre: str) -> None:
        """Note that it did not; the next one there is tried."""
        self._wide_tries[data_centre] = self._wide_tries.get(data_centre, 0) + 1

    def cut_off(self, now_ms: int) -> frozenset[str]:
        """Return the data centres that nobody here hears from."""
        limit_ms = self._cfg.silent_after_ms * CUT_OFF_TIMES
        others = self._data_centres(alive=False) - {self._exchange.me.data_centre}
        return frozenset(
            name for name in others if self._exchange.silent_for(name, now_ms) > limit_ms
        )

    def _data_centres(self, *, alive: bool) -> set[str]:
        return {
            record.vm.data_centre for record in self._exchange.roster if record.alive or not alive
        }

    def _speaks(self, local: Iterable[str], there: str, silent_ms: int) -> bool:
        me = self._exchange.me
        order = ring.delegates(local, of=me.data_centre, towards=there)
        deputy_ms = self._cfg.silent_after_ms * DEPUTY_TIMES
        return me.id.name in order[: 1 + silent_ms // deputy_ms]

    def _opposite(self, there: str) -> EntryVm:
        far = self.alive_in(there)
        order = ring.delegates(far, of=there, towards=self._exchange.me.data_centre)
        return far[order[self._wide_tries.get(there, 0) % len(order)]]
