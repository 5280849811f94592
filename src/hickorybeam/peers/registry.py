"""The platform's list of VMs: this VM's entry under its lease, and reading the others'.

The list lags and may be wrong, and the platform has outages. It therefore only says whom to
try: nobody is believed alive because the list says so, or dead because it does not.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import msgspec

from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.model import EntryVm
from hickorybeam.peers.codec import pack, unpack
from hickorybeam.store import Put

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorybeam.clock import Clock
    from hickorybeam.store import Platform

__all__ = ("VM_PREFIX", "Registry")

VM_PREFIX = "vms/"
# Three renewals fit into a lease, so that one lost answer does not end it.
RENEWALS_PER_LEASE = 3


class Registry:
    """Keeps one VM's entry in the platform.

    :param own_vm: returns the VM as it is to be listed now.
    :param lease_ms: how long the entry outlives its VM.
    """

    def __init__(
        self, *, platform: Platform, clock: Clock, own_vm: Callable[[], EntryVm], lease_ms: int
    ) -> None:
        self.lease: int | None = None
        self._platform = platform
        self._clock = clock
        self._own_vm = own_vm
        self._lease_ms = lease_ms
        self._listed: EntryVm | None = None
        self._changed = anyio.Event()

    def mark_changed(self) -> None:
        """Write the entry again soon."""
        self._changed.set()

    async def run(self) -> None:
        """Renew the lease and the entry until cancelled, whatever the platform does."""
        while True:
            try:
                await self._renew()
            except GatewayError as exc:
                if exc.kind is ErrorKind.LEASE_LOST:
                    self.lease = None
            self._changed = anyio.Event()
            async with anyio.create_task_group() as tg:
                tg.start_soon(self._wait, tg.cancel_scope)
                await self._changed.wait()
                tg.cancel_scope.cancel()

    async def read(self) -> tuple[EntryVm, ...]:
        """Read the list; entries that cannot be read are left out."""
        found = await self._platform.read_prefix(VM_PREFIX)
        return tuple(vm for item in found.items if (vm := _read(item.value)) is not None)

    async def deregister(self) -> None:
        """Take the entry off the list."""
        if self.lease is not None:
            await self._platform.revoke(self.lease)

    async def _wait(self, scope: anyio.CancelScope) -> None:
        await self._clock.sleep(self._lease_ms / RENEWALS_PER_LEASE)
        scope.cancel()

    async def _renew(self) -> None:
        if self.lease is None:
            self.lease = await self._platform.grant(self._lease_ms)
            self._listed = None
        else:
            await self._platform.keep_alive(self.lease)
        own_vm = self._own_vm()
        if self._listed != own_vm:
            entry = Put(VM_PREFIX + own_vm.id.name, pack(own_vm), self.lease)
            await self._platform.txn((), (entry,))
            self._listed = own_vm


def _read(value: bytes) -> EntryVm | None:
    try:
        return unpack(EntryVm, value)
    except msgspec.DecodeError:
        return None
