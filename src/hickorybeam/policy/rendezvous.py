"""Rendezvous hashing: VMs agree on an order of names for a key without messages."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ("rendezvous_first", "rendezvous_order")


def rendezvous_order(key: str, names: Iterable[str]) -> list[str]:
    """Return names in the order of their rendezvous hashes for a key, the same on every VM."""
    return sorted(names, key=lambda name: rendezvous_hash(key, name))


def rendezvous_first(key: str, names: Iterable[str]) -> str:
    """Return the first name in that order, without sorting the others.

    :raises ValueError: there are no names.
    """
    return min(names, key=lambda name: rendezvous_hash(key, name))


def rendezvous_hash(key: str, name: str) -> bytes:
    """Return the hash that orders names for a key."""
    return hashlib.blake2b(f"{key}|{name}".encode(), digest_size=8).digest()
