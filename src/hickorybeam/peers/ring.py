"""The heartbeat topology, derived by each VM from its own view with no election.

Inside a data centre the VMs form a ring, and each one sends heartbeats to its successor and to
the VMs 2, 4, 8... places on, like the finger table of Chord. This bounds connections and messages
by the logarithm of the data centre's size, where a mesh grows with the size, and updates cross the
ring in as many hops. The ring is ordered by a hash of the names, since neighbours by name tend to
share a rack.

Between two data centres one VM of each, the delegate for that pair, exchanges heartbeats for all.
It is the first by a hash of pair and name, so that the delegates of the pairs are different VMs.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ("delegate_order", "heartbeat_partners", "ring_order")


def _hash(*parts: str) -> bytes:
    return hashlib.blake2b("\0".join(parts).encode(), digest_size=8).digest()


def ring_order(names: Iterable[str]) -> tuple[str, ...]:
    """Return names in their order on the ring."""
    return tuple(sorted(names, key=_hash))


def heartbeat_partners(name: str, names: Iterable[str]) -> tuple[str, ...]:
    """Return the heartbeat partners of a VM: its successor, then the VMs 2, 4, 8... places on.

    :param names: VMs of its data centre, with or without itself.
    """
    ring = ring_order({*names, name})
    index = ring.index(name)
    partners: list[str] = []
    step = 1
    while step < len(ring):
        partners.append(ring[(index + step) % len(ring)])
        step *= 2
    return tuple(partners)


def delegate_order(names: Iterable[str], *, of: str, towards: str) -> tuple[str, ...]:
    """Return the VMs of a data centre in their order as its delegate towards another one.

    The first is the delegate; each next one takes over when those before receive no messages.

    :param names: VMs of the data centre ``of``.
    """
    return tuple(sorted(names, key=lambda name: _hash(of, towards, name)))
