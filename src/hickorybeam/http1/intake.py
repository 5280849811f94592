"""What a server may take in from all its callers together: memory and connections."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hickorybeam.policy.memory_budget import MemoryBudget

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ("ClosedReason", "Intake", "unbounded_intake")

UNBOUNDED = 1 << 60


class ClosedReason:
    """Why a connection was closed for the sake of others, as counters name it."""

    UNREAD = "unread"


@dataclass(slots=True)
class Intake:
    """Bounds of one port.

    :param budget: the process's memory for what callers send and don't read; all ports share it.
    :param on_closed: called with the reason for which a connection was closed.
    """

    budget: MemoryBudget
    on_closed: Callable[[str], None] = field(default=lambda reason: None)


def unbounded_intake(now: Callable[[], int]) -> Intake:
    """Return bounds that are never met, for servers of tests and stand-ins."""
    return Intake(MemoryBudget(UNBOUNDED, now=now))
