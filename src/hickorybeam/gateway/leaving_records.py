"""Records in the store of servers that said that they are leaving, for VMs that start later.

A server says it to the VM that it answers. VMs tell each other, and those that start; but if all
end at once, each that starts would send to the server until it hears it again.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import msgspec

from hickorybeam.errors import GatewayError
from hickorybeam.model.bounds import BoundedInt  # noqa: TC001 - read by msgspec
from hickorybeam.store import Put
from hickorybeam.untrusted import InvalidBytesError, decode_json

if TYPE_CHECKING:
    from hickorybeam.clock import Clock
    from hickorybeam.gateway.server_notices import ServerNotices
    from hickorybeam.policy.server_choice import ServerState
    from hickorybeam.store import Platform, WatchBatch

__all__ = ("LeavingRecords",)

# A server that is leaving ends within so long.
LEASE_MS = 120_000
# Several VMs hear it at about the same time; the rest see the first one's record before they write.
MAX_WRITE_DELAY_MS = 400
WRITE_INTERVAL_MS = 50


class _Record(msgspec.Struct, frozen=True):
    """The start of a server that said that it is leaving, as its entry names it."""

    born_ms: BoundedInt


class LeavingRecords:
    """Writes and reads the records.

    :param prefix: prefix of the records' keys.
    """

    def __init__(
        self, *, clock: Clock, store: Platform, prefix: str, server_notices: ServerNotices
    ) -> None:
        self._clock = clock
        self._store = store
        self._prefix = prefix
        self._server_notices = server_notices
        self._rng = random.Random()
        # By server: the start that is recorded, and those to record with the time to do so.
        self._recorded: dict[str, int] = {}
        self._due_ms: dict[str, tuple[int, int]] = {}
        server_notices.on_heard_leaving = self._plan_write

    def apply(self, batch: WatchBatch) -> None:
        """Apply a batch of changes of the store."""
        for key in batch.deletes:
            if key.startswith(self._prefix):
                self._recorded.pop(key.removeprefix(self._prefix), None)
        found = {}
        for item in batch.puts:
            if item.key.startswith(self._prefix) and (record := decode(item.value)) is not None:
                found[item.key.removeprefix(self._prefix)] = record.born_ms
        if found:
            self._recorded |= found
            self._server_notices.apply_leaving(found)

    async def keep(self) -> None:
        """Write records when they are due, until cancelled."""
        while True:
            await self._clock.sleep(WRITE_INTERVAL_MS)
            now = self._clock.now()
            for server, (due_ms, born_ms) in tuple(self._due_ms.items()):
                if due_ms <= now:
                    del self._due_ms[server]
                    if self._recorded.get(server) != born_ms:
                        await self._write(server, born_ms)

    def _plan_write(self, state: ServerState) -> None:
        delay_ms = round(self._rng.uniform(0, MAX_WRITE_DELAY_MS))
        self._due_ms[state.server.id] = (self._clock.now() + delay_ms, state.server.born_ms)

    async def _write(self, server: str, born_ms: int) -> None:
        try:
            lease = await self._store.grant(LEASE_MS)
            value = msgspec.json.encode(_Record(born_ms))
            await self._store.txn((), (Put(self._prefix + server, value, lease),))
        except GatewayError:
            # The store is away. VMs tell each other.
            return


def decode(value: bytes) -> _Record | None:
    """Decode a record, ``None`` if it is none."""
    try:
        return decode_json(value, _Record)
    except InvalidBytesError:
        return None
