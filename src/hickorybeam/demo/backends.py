"""The backend servers of a deployment as stand-ins inside this process."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hickorybeam.model import BackendKind
from hickorybeam.standins import engine, plain

if TYPE_CHECKING:
    from contextlib import AsyncExitStack

    from hickorybeam.demo.deployment import Deployment
    from hickorybeam.standins.http import Served

__all__ = ("Backends", "start_backends")


@dataclass(slots=True)
class Backends:
    """Running backend servers by name."""

    engines: dict[str, Served[engine.EngineApp]] = field(default_factory=dict)
    plains: dict[str, Served[plain.PlainApp]] = field(default_factory=dict)

    def ports(self) -> dict[str, int]:
        """Return the port that each backend server really got."""
        engines = {name: server.port for name, server in self.engines.items()}
        return engines | {name: server.port for name, server in self.plains.items()}

    def executions(self) -> int:
        """Return how many calls the plain services have run."""
        return sum(server.app.executions.total() for server in self.plains.values())


async def start_backends(deployment: Deployment, stack: AsyncExitStack) -> Backends:
    """Start every backend server that the deployment's ticket declares, on free ports."""
    found = Backends()
    for backend in deployment.ticket.backends:
        match backend.kind:
            case BackendKind.ENGINE:
                app = engine.EngineApp(
                    name=backend.name,
                    models=backend.serves,
                    checks_fencing=backend.checks_fencing,
                )
                server = await stack.enter_async_context(engine.serve(app=app))
                found.engines[backend.name] = server
            case BackendKind.PLAIN:
                service = await stack.enter_async_context(plain.serve(name=backend.name))
                found.plains[backend.name] = service
    return found
