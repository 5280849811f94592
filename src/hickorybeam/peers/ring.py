"""Whom a VM talks to, worked out by each VM from its own view, with no election.

Inside a data centre the VMs form a ring, and each one heartbeats its successor and the VMs
2, 4, 8... places on. That bounds connections and messages by the logarithm of the data
centre's size, where a mesh grows with it, and news crosses the ring in as many steps. The
ring is ordered by a hash of the names, since neighbours by name tend to share a rack.

Between data centres one VM of each speaks for all: its delegate for that pair, the first by
a hash of pair and name, so that the pairs' duties fall on different VMs.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ("delegate_order", "heartbeat_partners", "ring_order")


def _place(*parts: str) -> bytes:
    return hashlib.blake2b("\0".join(parts).encode(), digest_size=8).digest()


def ring_order(names: Iterable[str]) -> tuple[str, ...]:
    """Return names in their order on the ring."""
    return tuple(sorted(names, key=_place))


def heartbeat_partners(me: str, names: Iterable[str]) -> tuple[str, ...]:
    """Return the VMs that I heartbeat: my successor first, then 2, 4, 8... places on.

    :param names: VMs of my data centre, with or without me.
    """
    ring = ring_order({*names, me})
    here = ring.index(me)
    chosen: list[str] = []
    step = 1
    while step < len(ring):
        chosen.append(ring[(here + step) % len(ring)])
        step *= 2
    return tuple(chosen)


def delegate_order(names: Iterable[str], *, of: str, towards: str) -> tuple[str, ...]:
    """Return VMs in the order in which they speak for a data centre towards another one.

    The first is the delegate; each next one takes over when those before it bring no news.

    :param names: VMs of the data centre ``of``.
    """
    return tuple(sorted(names, key=lambda name: _place(of, towards, name)))
