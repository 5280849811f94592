"""Between entry VMs: membership, exchange, forwarding, token loans."""

from __future__ import annotations
