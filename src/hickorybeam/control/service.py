"""The service ``control``: brings the engines of this data centre to the configured state."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio
from absl import logging

from hickorybeam import ports
from hickorybeam.control.lease import ControlLease
from hickorybeam.control.lease_term import WeightTransferLimiter
from hickorybeam.control.order_client import HttpOrderClient
from hickorybeam.control.plan import controllable_engines, next_order
from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.kernel import Service, Started
from hickorybeam.store import Platform
from hickorybeam.tickets.spread import watchers

if TYPE_CHECKING:
    from hickorybeam.clock import Clock
    from hickorybeam.control.lease_term import LeaseTerm
    from hickorybeam.control.order_client import OrderClient
    from hickorybeam.control.plan import Order
    from hickorybeam.kernel import Kernel
    from hickorybeam.model import BackendServer
    from hickorybeam.settings import Settings
    from hickorybeam.telemetry import Counters

__all__ = ("ControlService",)

RENEWALS_PER_LEASE = 3


@dataclass(frozen=True, slots=True)
class _ReconciledState:
    """When an engine last needed no order, and the position of the configuration then."""

    at_ms: int
    position: int


class ControlService(Service):
    """Holds the control lease of the data centre, or waits for it to be free.

    While the platform is unavailable, the lease cannot be renewed: engines get no new orders but
    keep serving.

    :param order_client: client for engines; HTTP by default, replaced in tests.
    """

    name = ports.CONTROL
    needs = (ports.PLATFORM, ports.CONFIG)

    def __init__(
        self,
        *,
        cfg: Settings,
        clock: Clock,
        counters: Counters,
        order_client: OrderClient | None = None,
    ) -> None:
        self._cfg = cfg.control
        self._vm = cfg.vm
        self._clock = clock
        self._order_client = order_client or HttpOrderClient(
            timeout_ms=cfg.control.order_timeout_ms
        )
        self._orders_counter = counters.counter("orders", "Orders to engines", ("order", "outcome"))
        self._weight_limiter = WeightTransferLimiter(cfg.control.weight_store_bytes_per_s)
        self._term: LeaseTerm | None = None
        self._draining = False
        self._highest_fencing = 0
        self._members: ports.Members | None = None
        self._reconciled: dict[str, _ReconciledState] = {}

    def bind(self, kernel: Kernel) -> None:
        """Look up the platform, the configuration and, if present, the membership."""
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
        """Return, for operators, whether this VM holds the lease, its token and time left."""
        term = self._term
        if term is None:
            return {"holder": False}
        left_ms = term.send_until_ms - self._clock.now()
        return {"holder": True, "fencing": term.fencing, "lease_left_ms": left_ms}

    async def main(self, started: Started) -> None:
        """Acquire the lease whenever it is free, and reconcile engines while holding it."""
        started()
        while True:
            if self._cfg.enabled and not self._draining and self._is_candidate():
                await self._hold_lease()
            await self._clock.sleep(self._cfg.lease_ms / 2)

    async def drain(self) -> None:
        """Release the lease, so that another VM need not wait for it to expire."""
        self._draining = True
        term, self._term = self._term, None
        if term is not None:
            await self._lease.release(term.lease_id)

    def _is_candidate(self) -> bool:
        """Whether this VM is one of the two in its data centre that compete for the lease.

        If all VMs competed, their useless reads of the holder's key would, with hundreds of VMs,
        outnumber all other calls to the platform.
        """
        if self._members is None:
            return True
        own_vm = self._members.own_vm
        return own_vm.id in {vm.id for vm in watchers(self._members.vms(), own_vm.data_centre)}

    async def _hold_lease(self) -> None:
        try:
            self._term = await self._lease.acquire(seen_fencing=self._highest_fencing)
        except GatewayError as exc:
            logging.info("cannot acquire the control lease: %s", exc.kind.value)
            return
        if self._term is None:
            return
        # The previous holder's last load is unknown: assume the largest model's weights.
        self._reconciled.clear()
        sizes = [model.weight_bytes for model in self._config.current().models.values()]
        self._weight_limiter.record_start(max(sizes, default=0), self._clock.now())
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._reconcile)
            await self._renew_lease()
            tg.cancel_scope.cancel()

    async def _renew_lease(self) -> None:
        while self._term is not None:
            await self._clock.sleep(self._cfg.lease_ms / RENEWALS_PER_LEASE)
            if self._term is not None:
                renewed = await self._lease.renew(self._term)
                # If the term was ended during the call, it stays ended.
                self._term = renewed if self._term is not None else None

    def _may_send(self) -> bool:
        return self._term is not None and self._term.may_send(self._clock.now())

    async def _reconcile(self) -> None:
        while True:
            await self._clock.sleep(self._cfg.reconcile_ms)
            if self._may_send():
                async with anyio.create_task_group() as tg:
                    for engine in controllable_engines(
                        self._config.current(), self._vm.data_centre
                    ):
                        if not self._is_recently_reconciled(engine):
                            tg.start_soon(self._reconcile_engine, engine)

    def _is_recently_reconciled(self, engine: BackendServer) -> bool:
        """Whether an engine needed no order within ``settled_ms``, so that it is not read again.

        Reading every engine in every round would cost 40 ms of CPU time a second at 200 engines.
        """
        seen = self._reconciled.get(engine.name)
        if seen is None or seen.position != self._config.current().position:
            return False
        return self._clock.now() - seen.at_ms < self._cfg.settled_ms

    async def _reconcile_engine(self, engine: BackendServer) -> None:
        """Read an engine's state, then send it one order if it needs one."""
        try:
            seen = await self._order_client.state(engine)
        except GatewayError as exc:
            logging.info("cannot read the state of engine %s: %s", engine.name, exc.kind.value)
            return
        self._highest_fencing = max(self._highest_fencing, seen.fencing)
        state = self._config.current()
        order = next_order(state, engine, seen)
        if order is None:
            self._reconciled[engine.name] = _ReconciledState(self._clock.now(), state.position)
            return
        self._reconciled.pop(engine.name, None)
        if not self._may_send():
            return
        if order.weight_bytes and not self._weight_limiter.try_start(
            order.weight_bytes, self._clock.now()
        ):
            return
        await self._send(engine, order)

    async def _send(self, engine: BackendServer, order: Order) -> None:
        term = self._term
        if term is None:
            return
        outcome = "done"
        try:
            await self._order_client.send(
                engine, order, fencing=term.fencing, may_send=self._may_send
            )
        except GatewayError as exc:
            outcome = exc.kind.value
            if exc.kind is ErrorKind.FENCED:
                # The engine has seen a newer token: release the lease, then acquire it again, if
                # it is free, with a token above that one.
                self._term = None
                await self._lease.release(term.lease_id)
        self._orders_counter.labels(order.kind.value, outcome).inc()
