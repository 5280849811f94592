"""Which VMs hold shares, or may: what the service ``members`` and the ledger tell together."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

from hickorybeam.model import VmId, VmState
from hickorybeam.policy.shares import Holder
from hickorybeam.shares.ledger import LiveHolders
from hickorybeam.shares.lending import LoanSource

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorybeam import ports
    from hickorybeam.model import EntryVm
    from hickorybeam.settings.types import VmSettings
    from hickorybeam.shares.ledger import ShareLedgerClient

__all__ = ("Holders",)


class Holders:
    """The holders of shares among the VMs of the fleet; without ``members`` there is only one.

    :param own_vm: the settings of this VM.
    :param ledger_client: returns the client of the ledger.
    """

    def __init__(
        self, own_vm: VmSettings, *, ledger_client: Callable[[], ShareLedgerClient]
    ) -> None:
        self._own_vm = own_vm
        self._ledger_client = ledger_client
        self._members: ports.Members | None = None

    def connect(self, members: ports.Members | None) -> None:
        """Use a service that knows the other VMs."""
        self._members = members

    def own(self) -> Holder:
        """Return this VM as a holder."""
        if self._members is not None:
            return Holder(self._members.own_vm.id, self._members.own_vm.data_centre)
        vm = VmId(self._own_vm.name, secrets.token_hex(8))
        return Holder(vm, self._own_vm.data_centre)

    def live(self) -> LiveHolders:
        """Return the VMs that may hold shares."""
        if self._members is None:
            return LiveHolders(())
        return LiveHolders(
            tuple(
                Holder(vm.id, vm.data_centre)
                for vm in self._members.vms()
                if vm.state is not VmState.LEAVING
            )
        )

    def loan_sources(self, account: str) -> list[LoanSource]:
        """Return the peers that may lend of an account; all of them before the first read."""
        if self._members is None:
            return []
        ledger_client = self._ledger_client()
        own = ledger_client.own_holder.vm
        if not ledger_client.has_read:
            return [self._loan_source(vm, 1) for vm in self._members.vms() if vm.id != own]
        found: list[LoanSource] = []
        for holder, parts in ledger_client.parts_by_holder(account).items():
            vm = self._members.find(holder.vm)
            if vm is not None and parts and holder.vm != own:
                found.append(self._loan_source(vm, parts))
        return found

    def _loan_source(self, vm: EntryVm, parts: int) -> LoanSource:
        return LoanSource(vm, parts, local=vm.data_centre == self._own_vm.data_centre)
