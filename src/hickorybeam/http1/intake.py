"""What a server may take in from all its callers together: memory and connections."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hickorybeam.policy.memory_budget import MemoryBudget
from hickorybeam.sockets import bound_unread

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

__all__ = ("ClosedReason", "Intake", "unbounded_intake")

UNBOUNDED = 1 << 60
# Connections that wait to be accepted come all at once, before any of them can be closed.
BACKLOG = 2_048


class ClosedReason:
    """Why a connection was closed for the sake of others, as counters name it."""

    IDLE = "idle"
    SLOW = "slow"
    NEW = "new"
    UNREAD = "unread"


@dataclass(slots=True)
class Intake:
    """Bounds of one port.

    :param budget: the process's memory for what callers send and don't read; all ports share it.
    :param max_connections: connections that the port may have.
    :param backlog: connections that may wait to be accepted.
    :param receive_bytes: the kernel's buffer for each connection; 0 for its own choice.
    :param on_closed: called with the reason for which a connection was closed, and the id of the
        request that was being read on it, empty if none was.
    """

    budget: MemoryBudget
    max_connections: int = UNBOUNDED
    backlog: int = BACKLOG
    receive_bytes: int = 0
    on_closed: Callable[[str, str], None] = field(default=lambda reason, request_id: None)

    def apply_to(self, sock: socket.socket) -> None:
        """Bound what the kernel keeps for each connection of a listening socket."""
        if self.receive_bytes:
            bound_unread(sock, self.receive_bytes)


def unbounded_intake(now: Callable[[], int]) -> Intake:
    """Return bounds that are never met, for servers of tests and stand-ins."""
    return Intake(MemoryBudget(UNBOUNDED, now=now))
