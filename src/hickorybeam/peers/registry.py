"""The platform's VM registry: keeps this VM's entry under its lease and reads all entries.

The registry lags and may be wrong, and the platform has outages. Its entries are therefore only
hints about which VMs to contact: an entry makes no VM live, and a missing one makes none dead.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.model import EntryVm
from hickorybeam.peers.codec import pack, unpack
from hickorybeam.store import Put
from hickorybeam.untrusted import InvalidBytesError

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorybeam.clock import Clock
    from hickorybeam.store import Platform

__all__ = ("VM_PREFIX", "Registry")

VM_PREFIX = "vms/"
# One lost reply does not let the lease expire.
RENEWALS_PER_LEASE = 3


class Registry:
    """Maintains this VM's entry in the registry and reads the registry.

    :param own_vm: returns the current record of this VM.
    :param lease_ms: time after which the entry of a VM that died expires.
    """

    def __init__(
        self, *, platform: Platform, clock: Clock, own_vm: Callable[[], EntryVm], lease_ms: int
    ) -> None:
        self.lease: int | None = None
        self._platform = platform
        self._clock = clock
        self._own_vm = own_vm
        self._lease_ms = lease_ms
        self._written: EntryVm | None = None
        self._changed = anyio.Event()

    def mark_changed(self) -> None:
        """Have the changed entry written without waiting for the next renewal."""
        self._changed.set()

    async def run(self) -> None:
        """Renew the lease and the entry until cancelled; errors of the platform are retried."""
        while True:
            try:
                await self._renew()
            except GatewayError as exc:
                if exc.kind is ErrorKind.LEASE_LOST:
                    self.lease = None
            self._changed = anyio.Event()
            async with anyio.create_task_group() as tg:
                tg.start_soon(self._cancel_at_renewal, tg.cancel_scope)
                await self._changed.wait()
                tg.cancel_scope.cancel()

    async def read(self) -> tuple[EntryVm, ...]:
        """Return the VMs in the registry; entries that cannot be decoded are left out."""
        found = await self._platform.read_prefix(VM_PREFIX)
        return tuple(vm for item in found.items if (vm := _decode(item.value)) is not None)

    async def deregister(self) -> None:
        """Remove the entry by revoking its lease."""
        if self.lease is not None:
            await self._platform.revoke(self.lease)

    async def _cancel_at_renewal(self, scope: anyio.CancelScope) -> None:
        await self._clock.sleep(self._lease_ms / RENEWALS_PER_LEASE)
        scope.cancel()

    async def _renew(self) -> None:
        if self.lease is None:
            self.lease = await self._platform.grant(self._lease_ms)
            self._written = None
        else:
            await self._platform.keep_alive(self.lease)
        own_vm = self._own_vm()
        if self._written != own_vm:
            entry = Put(VM_PREFIX + own_vm.id.name, pack(own_vm), self.lease)
            await self._platform.txn((), (entry,))
            self._written = own_vm


def _decode(value: bytes) -> EntryVm | None:
    try:
        return unpack(EntryVm, value)
    except InvalidBytesError:
        return None
