"""Which servers a VM asks for their health, and when.

Load it answers: a VM is cut off from the store, or the store is out for all, while a server that
it goes on sending to turns cold. Nobody tells it; sent to at the full rate, the server crashes
under the requests of its first second. Asked often enough, it is found cold before more reach it
than the bound on cold servers allows. While the store or a VM beside tells changes, nobody asks:
each question is paid for and takes a place at the server.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorybeam.policy.cold_limit import cold_server_owners

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ("HEALTH_CHECK_INTERVAL_MS", "servers_to_check")

# A server that bears 2 requests a second cold gets about 10 while it is warm: asked at this
# interval, it gets 3 or 4 more before it is known to be cold.
HEALTH_CHECK_INTERVAL_MS = 300


def servers_to_check(me: str, *, servers: Iterable[str], vms: Iterable[str]) -> list[str]:
    """Return the servers that this VM asks, out of those that may turn cold.

    Each one has two owners among the region's VMs, who tell the others.

    :param vms: names of the region's VMs, this one included.
    """
    names = tuple(vms)
    return [server for server in servers if me in cold_server_owners(server, names)]
