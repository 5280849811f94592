"""Which backend servers a VM health-checks, and how often.

While a VM can't reach the store, or the store is unavailable to all, a server that it sends
to may restart and be cold without the VM being informed; sent to at the full rate, the server
crashes under the requests of its first second. Frequent health checks find it cold before it has
got more requests than the limit for cold servers allows. While the store or a local VM reports
changes there are no health checks, since each one is paid for and occupies a slot at the server.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorybeam.policy.server_rate import MIN_SENDERS, limited_server_senders

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ("HEALTH_CHECK_INTERVAL_MS", "servers_to_check")

# A server that can take 2 requests a second while cold gets about 10 while warm: at this interval
# it gets 3 or 4 more before it is known to be cold.
HEALTH_CHECK_INTERVAL_MS = 300


def servers_to_check(me: str, *, servers: Iterable[str], vms: Iterable[str]) -> list[str]:
    """Return the servers that this VM checks, out of those that may turn cold.

    Each server is checked by those that may send to it while it is cold; they inform the others.

    :param me: this VM's name.
    :param vms: names of the region's VMs, this one included.
    """
    names = tuple(vms)
    return [it for it in servers if me in limited_server_senders(it, names, MIN_SENDERS)]
