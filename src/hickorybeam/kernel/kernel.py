"""The kernel: starts named services in dependency order, supervises them and stops them."""

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

# The pause before a crashed service is restarted doubles from MIN to MAX with each crash. Without
# it, a service that crashes at once would take the whole core from the services that still work.
MIN_RESTART_PAUSE_MS = 50
MAX_RESTART_PAUSE_MS = 5_000
# A service that ran for this long is restarted after MIN_RESTART_PAUSE_MS again.
STABLE_AFTER_MS = 10_000
# Longer than any stream that the default deadline and the engine limits allow.
DEFAULT_DRAIN_LIMIT_MS = 300_000


class KernelError(Exception):
    """A service is missing, registered twice, of the wrong type, or in a dependency cycle."""


class Started:
    """Signals that a service is ready; its ``main`` calls it once other services may use it."""

    def __init__(self) -> None:
        self.event = anyio.Event()

    def __call__(self) -> None:
        """Mark the service as ready."""
        self.event.set()


class Service:
    """Base class of all services that the kernel runs.

    ``name`` is what other services look it up by. ``needs`` names the services that it depends
    on: they start before it and stop after it.
    """

    name: ClassVar[str]
    needs: ClassVar[tuple[str, ...]] = ()

    def bind(self, kernel: Kernel) -> None:
        """Look up other services; called once for each service before any of them starts."""

    async def main(self, started: Started) -> None:
        """Run the service until cancelled; call ``started()`` when it is ready."""
        started()
        await anyio.sleep_forever()

    async def drain(self) -> None:
        """Finish work in progress; called in stop order, before any service is cancelled."""


class Kernel:
    """Holds, starts, supervises and stops the services of one process.

    :param clock: the time source that all services share.
    :param drain_limit_ms: maximum time that each service has for its ``drain``.
    """

    def __init__(self, clock: Clock, *, drain_limit_ms: int = DEFAULT_DRAIN_LIMIT_MS) -> None:
        self.clock = clock
        self._drain_limit_ms = drain_limit_ms
        # Of the service that is being drained, and when that began.
        self._drain_scope: anyio.CancelScope | None = None
        self._drain_began_s = 0.0
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

        :param kind: class or runtime-checkable protocol that the service must be an instance of.
        :raises KernelError: if there is no such service, or it is not a ``kind``.
        """
        service = self._services.get(name)
        if service is None:
            raise KernelError(f"no service is named {name!r}")
        if not isinstance(service, kind):
            raise KernelError(f"service {name!r} is not a {kind.__name__}")
        return service

    def has(self, name: str) -> bool:
        """Return whether a service of this name is registered."""
        return name in self._services

    def services(self) -> tuple[Service, ...]:
        """Return every registered service."""
        return tuple(self._services.values())

    def stop(self) -> None:
        """Make ``run`` drain and stop all services, then return."""
        self._stop.set()

    async def run(self, *, ready: Callable[[], None] | None = None) -> None:
        """Start all services, wait for ``stop``, then drain and stop them in reverse order.

        :param ready: called once all services have started.
        """
        order = self._start_order()
        for service in order:
            service.bind(self)
        scopes: dict[str, anyio.CancelScope] = {}
        ended: dict[str, anyio.Event] = {}
        async with anyio.create_task_group() as task_group:
            for service in order:
                started = Started()
                scopes[service.name] = anyio.CancelScope()
                ended[service.name] = anyio.Event()
                task_group.start_soon(
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

    def set_drain_limit(self, limit_ms: int) -> None:
        """Set the time that each service has for its ``drain``, also for one that drains now."""
        self._drain_limit_ms = limit_ms
        if self._drain_scope is not None:
            self._drain_scope.deadline = self._drain_began_s + limit_ms / MS_PER_SECOND

    async def _drain(self, order: list[Service]) -> None:
        """Drain the services in reverse start order, each for the drain limit at most.

        Without the limit, a peer or caller whose stream never ends would leave a VM half shut
        down for good: it has left the directory but still holds its leases. Services have limits
        of their own for what they wait for; this one covers what they miss.
        """
        for service in reversed(order):
            self._drain_began_s = anyio.current_time()
            with anyio.move_on_after(self._drain_limit_ms / MS_PER_SECOND) as scope:
                self._drain_scope = scope
                await service.drain()
            self._drain_scope = None
            if scope.cancelled_caught:
                logging.error("service %s was not drained within the limit", service.name)

    async def _supervise(
        self, service: Service, started: Started, scope: anyio.CancelScope, ended: anyio.Event
    ) -> None:
        """Run a service and restart it when it ends or crashes, until its scope is cancelled.

        A service that crashes before it was ready is not restarted: its error ends ``run``.
        """
        restart_pause_ms = MIN_RESTART_PAUSE_MS
        try:
            with scope:
                while True:
                    run_began_ms = self.clock.now()
                    try:
                        await service.main(started)
                    except Exception as exc:
                        if not started.event.is_set():
                            raise
                        logging.exception("service %s crashed: %s", service.name, exc)
                    if self.clock.now() - run_began_ms >= STABLE_AFTER_MS:
                        restart_pause_ms = MIN_RESTART_PAUSE_MS
                    self.restarts[service.name] = self.restarts.get(service.name, 0) + 1
                    await self.clock.sleep(restart_pause_ms)
                    restart_pause_ms = min(MAX_RESTART_PAUSE_MS, restart_pause_ms * 2)
        finally:
            ended.set()

    def _start_order(self) -> list[Service]:
        """Return the services, each after those that it depends on."""
        order: list[Service] = []
        ordered: set[str] = set()
        path: list[str] = []

        def visit(name: str, required_by: str) -> None:
            if name in ordered:
                return
            if name in path:
                raise KernelError(f"services depend on each other in a circle: {[*path, name]}")
            if name not in self._services:
                raise KernelError(f"{required_by!r} needs {name!r}, which is not registered")
            path.append(name)
            for dependency in self._services[name].needs:
                visit(dependency, name)
            path.pop()
            ordered.add(name)
            order.append(self._services[name])

        for name in self._services:
            visit(name, "kernel")
        return order
