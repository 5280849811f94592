"""The service ``control``: brings the engines of this data centre to the state wanted."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio
from absl import logging

from hickorybeam import ports
from hickorybeam.control.lease import ControlLease
from hickorybeam.control.plan import engines_of, next_order
from hickorybeam.control.sender import HttpOrders
from hickorybeam.control.lease_term import WeightRate
from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.kernel import Service, Started
from hickorybeam.store import Platform
from hickorybeam.tickets.spread import watchers

if TYPE_CHECKING:
    from hickorybeam.clock import Clock
    from hickorybeam.control.plan import Order
    from hickorybeam.control.sender import OrderPort
    from hickorybeam.control.lease_term import LeaseTerm
    from hickorybeam.kernel import Kernel
    from hickorybeam.model import BackendServer
    from hickorybeam.settings import Settings
    from hickorybeam.telemetry import Counters

__all__ = ("ControlService",)

RENEWALS_PER_LEASE = 3


@dataclass(frozen=True, slots=True)
class _Settled:
    """When an engine was last seen to want no order, and under which configuration."""

    at_ms: int
    position: int


class ControlService(Service):
    """Holds the control lease of the data centre, or stands by for it.

    While the platform is out the lease can't be renewed: no new orders, serving goes on.

    :param orders: how engines are reached; HTTP unless a test says otherwise.
    """

    name = ports.CONTROL
    needs = (ports.PLATFORM, ports.CONFIG)

    def __init__(
        self, *, cfg: Settings, clock: Clock, counters: Counters, orders: OrderPort | None = None
    ) -> None:
        self._cfg = cfg.control
        self._vm = cfg.vm
        self._clock = clock
        self._orders = orders or HttpOrders(timeout_ms=cfg.control.order_timeout_ms)
        self._sent = counters.counter("orders", "Orders to engines", ("order", "outcome"))
        self._weights = WeightRate(cfg.control.weight_store_bytes_per_s)
        self._turn: LeaseTerm | None = None
        self._draining = False
        self._highest_fencing = 0
        self._members: ports.Members | None = None
        self._settled: dict[str, _Settled] = {}

    def bind(self, kernel: Kernel) -> None:
        """Find the platform, the configuration and, where there are any, other VMs."""
        self._config = kernel.find(ports.CONFIG, ports.ConfigView)  # type: ignore[type-abstract]
        self._lease = ControlLease(
            kernel.find(ports.PLATFORM, Platform),  # type: ignore[type-abstract]
            self._clock,
            data_centre=self._vm.data_centre,
            vm=self._vm.name,
            lease_ms=self._cfg.lease_ms,
            order_timeout_ms=self._cfg.order_timeout_ms,
        )
        if kernel.has(ports.MEMBERS):
            self._members = kernel.find(ports.MEMBERS, ports.Members)  # type: ignore[type-abstract]

    def status(self) -> dict[str, object]:
        """Return what an operator wants to see of this service."""
        turn = self._turn
        if turn is None:
            return {"holder": False}
        left_ms = turn.send_until_ms - self._clock.now()
        return {"holder": True, "fencing": turn.fencing, "lease_left_ms": left_ms}

    async def main(self, started: Started) -> None:
        """Take the lease whenever it is free, and reconcile while it holds."""
        started()
        while True:
            if self._cfg.enabled and not self._draining and self._is_candidate():
                await self._stand_by()
            await self._clock.sleep(self._cfg.lease_ms / 2)

    async def drain(self) -> None:
        """Give the lease up, so that another VM need not wait for it to lapse."""
        self._draining = True
        turn, self._turn = self._turn, None
        if turn is not None:
            await self._lease.give_up(turn.lease)

    def _is_candidate(self) -> bool:
        """Whether this VM is one of the two of its data centre that compete.

        All others would read the holder's key for nothing, at hundreds of VMs more often than
        everything else together.
        """
        if self._members is None:
            return True
        me = self._members.me
        return me.id in {vm.id for vm in watchers(self._members.vms(), me.data_centre)}

    async def _stand_by(self) -> None:
        try:
            self._turn = await self._lease.take(above=self._highest_fencing)
        except GatewayError as exc:
            logging.info("control lease not taken: %s", exc.kind.value)
            return
        if self._turn is None:
            return
        # What the holder before loaded last is not known: the largest weights there are.
        self._settled.clear()
        sizes = [model.weight_bytes for model in self._config.current().models.values()]
        self._weights.assume(max(sizes, default=0), self._clock.now())
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._reconcile)
            await self._keep()
            tg.cancel_scope.cancel()

    async def _keep(self) -> None:
        while self._turn is not None:
            await self._clock.sleep(self._cfg.lease_ms / RENEWALS_PER_LEASE)
            if self._turn is not None:
                renewed = await self._lease.renew(self._turn)
                # A turn that ended while the call was on its way stays ended.
                self._turn = renewed if self._turn is not None else None

    def _may_send(self) -> bool:
        return self._turn is not None and self._turn.may_send(self._clock.now())

    async def _reconcile(self) -> None:
        while True:
            await self._clock.sleep(self._cfg.reconcile_ms)
            if self._may_send():
                async with anyio.create_task_group() as tg:
                    for engine in engines_of(self._config.current(), self._vm.data_centre):
                        if not self._is_settled(engine):
                            tg.start_soon(self._reconcile_engine, engine)

    def _is_settled(self, engine: BackendServer) -> bool:
        """Whether an engine wanted nothing lately: reading all each round costs a core's part.

        At 200 engines the reads alone took 40 ms of processor a second.
        """
        seen = self._settled.get(engine.name)
        if seen is None or seen.position != self._config.current().position:
            return False
        return self._clock.now() - seen.at_ms < self._cfg.settled_ms

    async def _reconcile_engine(self, engine: BackendServer) -> None:
        """Read an engine's state back, then send it one order if it needs one."""
        try:
            seen = await self._orders.state(engine)
        except GatewayError as exc:
            logging.info("state of %s not read: %s", engine.name, exc.kind.value)
            return
        self._highest_fencing = max(self._highest_fencing, seen.fencing)
        state = self._config.current()
        order = next_order(state, engine, seen)
        if order is None:
            self._settled[engine.name] = _Settled(self._clock.now(), state.position)
            return
        self._settled.pop(engine.name, None)
        if not self._may_send():
            return
        if order.weight_bytes and not self._weights.take(order.weight_bytes, self._clock.now()):
            return
        await self._send(engine, order)

    async def _send(self, engine: BackendServer, order: Order) -> None:
        turn = self._turn
        if turn is None:
            return
        outcome = "done"
        try:
            await self._orders.send(engine, order, fencing=turn.fencing, may_send=self._may_send)
        except GatewayError as exc:
            outcome = exc.kind.value
            if exc.kind is ErrorKind.FENCED:
                # Another VM held a newer token: step down, and take a higher one if it's free.
                self._turn = None
                await self._lease.give_up(turn.lease)
        self._sent.labels(order.kind.value, outcome).inc()
