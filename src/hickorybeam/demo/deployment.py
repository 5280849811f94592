"""Read a deployment's files and move it to free ports of this machine."""

from __future__ import annotations

import itertools
import os
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
# Below 32768, where Linux starts to give out ports, and above the examples' own.
FIRST_PORT = 23_000
LAST_PORT = 32_000
PORTS_EACH = 100
_offset = itertools.count()
# Sockets that claim this process's ports until it ends.
_claims: list[socket.socket] = []


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
    """Return different ports that were free a moment ago.

    Ports that the system gives out for port 0 may be taken by any outgoing connection between
    this look and their use: the daemon then ends with "Address already in use". These lie
    below that range, from a start of each process's own, so nothing but a server that names
    one can take it. While such a server is down to be restarted, its port looks free to others, so
    each process claims what it has found.

    :raises OSError: there are not as many.
    """
    start = os.getpid() * PORTS_EACH % (LAST_PORT - FIRST_PORT)
    found: list[int] = []
    for _ in range(LAST_PORT - FIRST_PORT):
        port = FIRST_PORT + (start + next(_offset)) % (LAST_PORT - FIRST_PORT)
        if _is_free(port) and _claim(port):
            found.append(port)
        if len(found) == count:
            return found
    raise OSError("no free ports")


def _claim(port: int) -> bool:
    """Claim a port against other processes; ``False`` if one of them has done so.

    The claim is a name in Linux's abstract namespace, which ends with its process.
    """
    claim = socket.socket(socket.AF_UNIX)
    try:
        claim.bind(f"\0hickorybeam-port-{port}")
    except OSError:
        claim.close()
        return False
    _claims.append(claim)
    return True


def _is_free(port: int) -> bool:
    try:
        socket.create_server(("127.0.0.1", port)).close()
    except OSError:
        return False
    return True


def _at_port(backend: BackendServer, ports: Mapping[str, int]) -> BackendServer:
    return replace(backend, port=ports.get(backend.name, backend.port))
