"""The kernel: a table of named services, started in order and supervised."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar, TypeVar

import anyio
from absl import logging

from hickorybeam.clock import MS_PER_SECOND

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorybeam.clock import Clock

__all__ = ("Kernel", "KernelError", "Service", "Started")

T = TypeVar("T")

# A crashed service starts again after this pause, doubled up to the longest. A fault that
# repeats at once would otherwise take the whole core from the services that still work.
FIRST_RESTART_MS = 50
LONGEST_RESTART_MS = 5_000
STABLE_AFTER_MS = 10_000
# Above the longest stream that the default deadline and engine limits let run.
DRAIN_LIMIT_MS = 300_000


class KernelError(Exception):
    """A service is missing, doubled, of the wrong type, or in a circle of needs."""


class Started:
    """Handed to a service's ``main``; called once when the service is ready for neighbours."""

    def __init__(self) -> None:
        self.event = anyio.Event()

    def __call__(self) -> None:
        """Mark the service as ready."""
        self.event.set()


class Service:
    """Base class of everything that the kernel starts.

    ``name`` is how neighbours find it; ``needs`` are the names that start before it and stop
    after it.
    """

    name: ClassVar[str]
    needs: ClassVar[tuple[str, ...]] = ()

    def bind(self, kernel: Kernel) -> None:
        """Look up neighbours; called once for every service before any starts."""

    async def main(self, started: Started) -> None:
        """Serve until cancelled; call ``started()`` when ready."""
        started()
        await anyio.sleep_forever()

    async def drain(self) -> None:
        """Finish work in flight; called in stop order before the service is cancelled."""


class Kernel:
    """Holds the services of one process.

    :param clock: the time source every service shares.
    :param drain_limit_ms: how long one service may take to finish its work at the end.
    """

    def __init__(self, clock: Clock, *, drain_limit_ms: int = DRAIN_LIMIT_MS) -> None:
        self.clock = clock
        self._drain_limit_ms = drain_limit_ms
        self.restarts: dict[str, int] = {}
        self._services: dict[str, Service] = {}
        self._stop = anyio.Event()

    def add(self, service: Service) -> None:
        """Register a service under its name."""
        if service.name in self._services:
            raise KernelError(f"two services are named {service.name!r}")
        self._services[service.name] = service

    def find(self, name: str, kind: type[T]) -> T:
        """Return the service of this name.

        :param kind: class or runtime-checkable protocol that the caller relies on.
        """
        service = self._services.get(name)
        if service is None:
            raise KernelError(f"no service is named {name!r}")
        if not isinstance(service, kind):
            raise KernelError(f"service {name!r} is not a {kind.__name__}")
        return service

    def has(self, name: str) -> bool:
        """Whether a service of this name is registered."""
        return name in self._services

    def services(self) -> tuple[Service, ...]:
        """Return every registered service."""
        return tuple(self._services.values())

    def stop(self) -> None:
        """Ask ``run`` to drain and return."""
        self._stop.set()

    async def run(self, *, ready: Callable[[], None] | None = None) -> None:
        """Start every service, wait for ``stop``, then drain and stop in reverse order."""
        order = self._start_order()
        for service in order:
            service.bind(self)
        scopes: dict[str, anyio.CancelScope] = {}
        ended: dict[str, anyio.Event] = {}
        async with anyio.create_task_group() as tg:
            for service in order:
                started = Started()
                scopes[service.name] = anyio.CancelScope()
                ended[service.name] = anyio.Event()
                tg.start_soon(
                    self._supervise, service, started, scopes[service.name], ended[service.name]
                )
                await started.event.wait()
            if ready is not None:
                ready()
            await self._stop.wait()
            await self._drain(order)
            for service in reversed(order):
                scopes[service.name].cancel()
                await ended[service.name].wait()

    async def _drain(self, order: list[Service]) -> None:
        """Let every service finish; a peer or caller that never ends cannot keep the process.

        Without the limit one stalled stream would leave a VM half shut down for good: it has
        left the directory and still holds its leases. Each service has its own limits for what
        it waits for; this one is for what they overlook.
        """
        for service in reversed(order):
            with anyio.move_on_after(self._drain_limit_ms / MS_PER_SECOND) as scope:
                await service.drain()
            if scope.cancelled_caught:
                logging.error("service %s did not finish in time", service.name)

    async def _supervise(
        self, service: Service, started: Started, scope: anyio.CancelScope, ended: anyio.Event
    ) -> None:
        pause = FIRST_RESTART_MS
        try:
            with scope:
                while True:
                    begun = self.clock.now()
                    try:
                        await service.main(started)
                    except Exception as exc:
                        if not started.event.is_set():
                            raise
                        logging.exception("service %s crashed: %s", service.name, exc)
                    if self.clock.now() - begun >= STABLE_AFTER_MS:
                        pause = FIRST_RESTART_MS
                    self.restarts[service.name] = self.restarts.get(service.name, 0) + 1
                    await self.clock.sleep(pause)
                    pause = min(LONGEST_RESTART_MS, pause * 2)
        finally:
            ended.set()

    def _start_order(self) -> list[Service]:
        order: list[Service] = []
        placed: set[str] = set()
        trail: list[str] = []

        def place(name: str, wanted_by: str) -> None:
            if name in placed:
                return
            if name in trail:
                raise KernelError(f"services need each other in a circle: {[*trail, name]}")
            if name not in self._services:
                raise KernelError(f"{wanted_by!r} needs {name!r}, which is not registered")
            trail.append(name)
            for need in self._services[name].needs:
                place(need, name)
            trail.pop()
            placed.add(name)
            order.append(self._services[name])

        for name in self._services:
            place(name, "kernel")
        return order
