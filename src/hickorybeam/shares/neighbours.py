"""What VMs tell each other of the shares that they hold: promises, and that shares were moved."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import anyio
from absl import logging

from hickorybeam.errors import GatewayError
from hickorybeam.shares.messages import (
    SHARES_MOVED,
    TAKE_OVER_PROMISE,
    SharesMoved,
    TakeOverPromiseReply,
    TakeOverPromiseRequest,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorybeam import ports
    from hickorybeam.clock import Clock
    from hickorybeam.model import EntryVm, VmId
    from hickorybeam.shares.ledger import ShareLedgerClient

__all__ = ("Neighbours",)

Q = TypeVar("Q")
R = TypeVar("R")


class Neighbours:
    """Asks and answers the other holders of shares.

    :param ledger_client: returns the client of the ledger.
    :param rebalance_ms: interval of rounds with the ledger.
    :param on_shares_moved: called when another VM has transferred shares to this one.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        ledger_client: Callable[[], ShareLedgerClient],
        rebalance_ms: int,
        on_shares_moved: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._ledger_client = ledger_client
        self._rebalance_ms = rebalance_ms
        self._on_shares_moved = on_shares_moved
        self._members: ports.Members | None = None
        self._peers: ports.Peers | None = None

    def connect(self, members: ports.Members | None, peers: ports.Peers | None) -> None:
        """Use these services, and register the handlers of peers' requests."""
        self._members = members
        self._peers = peers
        if peers is not None:
            peers.serve(SHARES_MOVED, self._handle_shares_moved)
            peers.serve(TAKE_OVER_PROMISE, self._handle_promise_request)

    async def request_promises(self) -> None:
        """Ask the VMs of this data centre not to take over, while the platform is unavailable.

        If one has taken over, this VM stops at once. Otherwise one promise is enough: the others
        receive each other's reports, and none takes over from a VM that is live to it. Without
        any reply this VM may be the isolated one, and stops when its deadlines pass.
        """
        ledger_client = self._ledger_client()
        if not ledger_client.has_read:
            return
        asked_at_ms = self._clock.now()
        promise_ms = 3 * self._rebalance_ms
        neighbours = ledger_client.neighbours()
        if not neighbours:
            ledger_client.lease_state.neighbours_promised(asked_at_ms, promise_ms)
            return
        replies = await self._ask_each(
            neighbours, TAKE_OVER_PROMISE, TakeOverPromiseRequest(promise_ms)
        )
        if any(reply.taken for reply in replies):
            ledger_client.stop_using_shares()
        elif replies:
            ledger_client.lease_state.neighbours_promised(asked_at_ms, promise_ms)

    async def _ask_each(self, vms: set[VmId], topic: ports.Topic[Q, R], request: Q) -> list[R]:
        """Send a request to several VMs at once and return the replies received."""
        replies: list[R] = []
        if self._peers is None or self._members is None:
            return replies
        peers = self._peers

        async def ask(vm: EntryVm) -> None:
            try:
                replies.append(await peers.ask(vm, topic, request))
            except GatewayError as exc:
                logging.debug("request %s to VM %s failed: %s", topic.name, vm.id.name, exc)

        async with anyio.create_task_group() as tg:
            for vm_id in vms:
                vm = self._members.find(vm_id)
                if vm is not None:
                    tg.start_soon(ask, vm)
        return replies

    async def _handle_promise_request(
        self, sender: VmId, request: TakeOverPromiseRequest
    ) -> TakeOverPromiseReply:
        return TakeOverPromiseReply(
            taken=not self._ledger_client().promise_no_take_over(sender, request.promise_ms)
        )

    async def notify_receivers(self, vms: set[VmId]) -> None:
        """Tell the receivers of shares to read the ledger early.

        Until they read, neither side uses the transferred parts, and the account's total rate is
        lower by that much. If the message is lost, they read within a few rounds anyway.
        """
        await self._ask_each(vms, SHARES_MOVED, SharesMoved())

    async def _handle_shares_moved(self, sender: VmId, request: SharesMoved) -> SharesMoved:
        self._on_shares_moved()
        return request
