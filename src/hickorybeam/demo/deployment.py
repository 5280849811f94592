"""Read a deployment's files and move it to free ports of this machine."""

from __future__ import annotations

import socket
from dataclasses import dataclass, replace
from pathlib import Path
from typing import TYPE_CHECKING

from hickorybeam.errors import ErrorKind
from hickorybeam.model import BackendServer, ChangeTicket
from hickorybeam.settings import Settings, load_file, load_settings

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ("Deployment", "free_ports")

TICKET_FILE = "ticket-1.json"


@dataclass(frozen=True, slots=True)
class Deployment:
    """The settings of every entry VM and the first change ticket."""

    name: str
    vms: tuple[Settings, ...]
    ticket: ChangeTicket

    @classmethod
    def load(cls, folder: str | Path) -> Deployment:
        """Read ``vms/*.json`` and the first ticket of a folder, or of a folder in examples/."""
        path = Path(folder)
        if not path.is_dir():
            path = Path(__file__).resolve().parents[3] / "examples" / folder
        files = sorted((path / "vms").glob("*.json"))
        if not files:
            raise ValueError(f"{folder}: no settings in {path / 'vms'}")
        ticket = load_file(ChangeTicket, path / TICKET_FILE, kind=ErrorKind.TICKET_INVALID)
        return cls(path.name, tuple(load_settings(file) for file in files), ticket)

    @property
    def regions(self) -> tuple[str, ...]:
        """The regions' names in the ticket's order."""
        return tuple(region.name for region in self.ticket.regions)

    def with_free_ports(self) -> Deployment:
        """Return the deployment with free ports for every entry VM."""
        ports = free_ports(2 * len(self.vms))
        vms = tuple(
            replace(cfg, vm=replace(cfg.vm, http_port=ports[2 * i], peer_port=ports[2 * i + 1]))
            for i, cfg in enumerate(self.vms)
        )
        return replace(self, vms=vms)

    def with_backend_ports(self, ports: Mapping[str, int]) -> Deployment:
        """Return the deployment with backend servers on the ports they really got."""
        backends = tuple(_at_port(backend, ports) for backend in self.ticket.backends)
        return replace(self, ticket=replace(self.ticket, backends=backends))


def free_ports(count: int) -> list[int]:
    """Return different ports that were free a moment ago."""
    socks = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [int(sock.getsockname()[1]) for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def _at_port(backend: BackendServer, ports: Mapping[str, int]) -> BackendServer:
    return replace(backend, port=ports.get(backend.name, backend.port))
