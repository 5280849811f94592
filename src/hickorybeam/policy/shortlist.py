"""Keep a short list of a region's servers that each prompt is held against.

To hold every prompt against every server of a large region costs the coordinator more processor
time than all the rest of placing it. Only servers with little load can be the best choice, so all
are ranked a few times in each hundred ms, and a prompt is held against the first ones, whose load
is looked at afresh. A server whose request ends joins the list at once: in a full region that is
where the next free slot is.
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from hickorybeam.policy.server_choice import expected_wait_ms

if TYPE_CHECKING:
    from collections.abc import Sequence

    from hickorybeam.policy.server_choice import ServerState

__all__ = ("SHORTLIST_SIZE", "Shortlist")

# Regions with no more servers are always looked at whole.
SHORTLIST_SIZE = 12
# After so many prompts the listed servers may have become the busier ones.
MAX_USES = 8
# Other VMs' reports change the load about this often.
MAX_RANKING_AGE_MS = 20


class Shortlist:
    """The least loaded servers of one service in this region."""

    def __init__(self) -> None:
        self._servers: Sequence[ServerState] = ()
        self._listed: list[ServerState] = []
        self._ranked_ms = 0
        self._uses = 0
        # Whether servers with room are left out.
        self._truncated = False

    def candidates(self, servers: Sequence[ServerState], now_ms: int) -> Sequence[ServerState]:
        """Return the servers that a prompt is held against.

        :param servers: all of them; the same object until one comes or goes.
        """
        if len(servers) <= SHORTLIST_SIZE:
            return servers
        if (
            servers is not self._servers
            or self._uses >= MAX_USES
            or now_ms - self._ranked_ms >= MAX_RANKING_AGE_MS
        ):
            self._rank(servers, now_ms)
        self._uses += 1
        return self._listed

    def may_miss(self, servers: Sequence[ServerState], *, any_usable: bool) -> bool:
        """Return whether others than the last candidates may take a request that these can't.

        :param any_usable: whether the request may be sent to any of the candidates. If all of them
            rest or are avoided, the others may be full, which is no reason to give the request up.
        """
        return len(servers) > SHORTLIST_SIZE and (self._truncated or not any_usable)

    def offer(self, state: ServerState) -> None:
        """List a server that has become less busy, unless it is none of the available ones.

        Requests also end at servers that are leaving or evacuated, which get no new ones.
        """
        if len(self._servers) <= SHORTLIST_SIZE or state in self._listed:
            return
        if state in self._servers:
            self._listed.append(state)

    def _rank(self, servers: Sequence[ServerState], now_ms: int) -> None:
        """List the servers with the shortest waits, those with room first."""
        with_room = [it for it in servers if it.has_room(0, now_ms)]
        self._truncated = len(with_room) > SHORTLIST_SIZE
        self._listed = heapq.nsmallest(
            SHORTLIST_SIZE, with_room, key=lambda it: expected_wait_ms(it, 0, now_ms)
        )
        if len(self._listed) < SHORTLIST_SIZE:
            full = [it for it in servers if it not in self._listed]
            self._listed += full[: SHORTLIST_SIZE - len(self._listed)]
        self._servers, self._ranked_ms, self._uses = servers, now_ms, 0
