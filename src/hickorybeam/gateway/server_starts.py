"""Check that a server is still the start that its entry names, before a stream depends on it.

A server may end and start again under its id, at its address, with another version of its software.
Its new entry tells so, but reaches a VM that is out of step with the store only after seconds. A
connection that was lost, or refused, is a sign of such an end. From then on the server's version
counts as known only on connections that are older, until the server itself or a later entry tells
which start it is.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from hickorybeam.clock import MS_PER_SECOND
from hickorybeam.gateway.targets import PeerTarget, ServerTarget
from hickorybeam.model.routing import Repeat

if TYPE_CHECKING:
    from hickorybeam.clock import Clock
    from hickorybeam.gateway.routing_state import RoutingState
    from hickorybeam.gateway.runs.server_reports import ServerReports
    from hickorybeam.gateway.store_confirmation import StoreConfirmation
    from hickorybeam.gateway.targets import AdmittedRequest, Target
    from hickorybeam.http1 import UpstreamPool
    from hickorybeam.http1.pool import Address
    from hickorybeam.policy.server_choice import ServerState
    from hickorybeam.policy.start_doubt import StartDoubt
    from hickorybeam.telemetry import Counters
    from hickorybeam.telemetry.decisions import DecisionLog

__all__ = ("ServerStarts",)

# A server that names no start is not asked again for so long.
ASK_PAUSE_MS = 250
# The entry of a server that has ended goes within this time: three of its intervals of renewal, and
# the way from the store.
LISTED_MS = 6_000
# A server in reach answers within this time; a stream that begins waits no longer.
MAX_BEGIN_WAIT_MS = 25
# The store's answer is waited for no longer.
MAX_CONFIRMATION_MS = 250


class ServerStarts:
    """Notes signs that servers have ended, and finds out which start listens at an address.

    :param pool: the connections to servers whose loss is such a sign.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        counters: Counters,
        log: DecisionLog,
        routing_state: RoutingState,
        pool: UpstreamPool,
        reports: ServerReports,
        confirmation: StoreConfirmation,
    ) -> None:
        self._clock = clock
        self._log = log
        self._routing_state = routing_state
        self._pool = pool
        self._reports = reports
        self._confirmation = confirmation
        self._checks = counters.counter(
            "server_start_checks", "Checks which start listens at an address", ("found",)
        )
        pool.on_lost = self._note_lost

    def _note_lost(self, address: Address) -> None:
        now = self._clock.now()
        for state in self._routing_state.server_states.values():
            if (state.server.host, state.server.port) == address:
                state.doubt_start(now)

    async def may_send(self, target: Target, request: AdmittedRequest) -> bool:
        """Return whether a request may be sent to a target: its stream may go on there, if any.

        A stream that begins may be sent anyway; its version counts as unknown then.
        """
        match target:
            case PeerTarget():
                return True
            case ServerTarget(server_state):
                is_bound = request.version_key is not None
                if server_state.start_doubt is None:
                    return not is_bound or await self._is_watched(server_state)
                if not is_stream(request):
                    return True
                if is_bound:
                    return await self._is_proven(server_state)
                with anyio.move_on_after(MAX_BEGIN_WAIT_MS / MS_PER_SECOND):
                    await self._is_proven(server_state)
                return True

    async def _is_watched(self, state: ServerState) -> bool:
        """Return whether a server that is not in doubt has named no other start of itself.

        It is asked only where no connection is open to it, so that no sign of its end would come.
        """
        address = (state.server.host, state.server.port)
        if self._pool.idle_count(address):
            return True
        now = self._clock.now()
        born_ms = await self._reports.find_born_ms(address, after_ms=now - 1)
        if born_ms in (None, state.server.born_ms):
            return True
        state.doubt_start(now)
        return await self._is_proven(state)

    async def _is_proven(self, state: ServerState) -> bool:
        """Return whether a server is the start that its entry names; it isn't in doubt then."""
        doubt = state.start_doubt
        if doubt is None:
            return True
        address, signs_ms = (state.server.host, state.server.port), doubt.latest_ms
        if self._has_earlier_connection(address, doubt):
            found = "connection"
        elif doubt.told_born_ms is None and self._clock.now() >= doubt.ask_again_ms:
            found = await self._ask(address, state, doubt)
        else:
            return False
        if state.start_doubt is None:
            # Proven meanwhile, for another request.
            return True
        if state.start_doubt is not doubt or doubt.latest_ms != signs_ms:
            found = "lost_again"
        self._checks.labels(found).inc()
        is_same = found in ("connection", "report", "store")
        if is_same:
            state.start_doubt = None
        self._log.write(
            "server_start_checked",
            server=state.server.id,
            version=state.server.version,
            found=found,
            doubted_ms=self._clock.now() - doubt.since_ms,
        )
        return is_same

    def _has_earlier_connection(self, address: Address, doubt: StartDoubt) -> bool:
        """Return whether a connection from before the signs is still open."""
        if not doubt.is_settled(self._clock.now()):
            return False
        return self._pool.has_idle(address, opened_before_ms=doubt.proven_before_ms)

    async def _ask(self, address: Address, state: ServerState, doubt: StartDoubt) -> str:
        """Ask a server for its start, and return what tells it, or what was found instead."""
        if self._clock.now() <= doubt.latest_ms:
            await self._clock.sleep(1)
        try:
            born_ms = await self._reports.find_born_ms(address, after_ms=doubt.latest_ms)
        except BaseException:
            doubt.ask_again_ms = self._clock.now() + ASK_PAUSE_MS
            raise
        if born_ms == state.server.born_ms:
            return "report"
        if born_ms is not None:
            doubt.told_born_ms = born_ms
            return "another_start"
        if await self._is_listed_since(state, doubt):
            return "store"
        doubt.ask_again_ms = self._clock.now() + ASK_PAUSE_MS
        return "unknown"

    async def _is_listed_since(self, state: ServerState, doubt: StartDoubt) -> bool:
        """Return whether the store still lists a server's start long after the latest sign."""
        if self._clock.now() - doubt.latest_ms < LISTED_MS:
            return False
        confirmation = self._confirmation.request()
        with anyio.move_on_after(MAX_CONFIRMATION_MS / MS_PER_SECOND):
            await confirmation.done.wait()
        is_current = self._routing_state.server_states.get(state.server.id) is state
        return confirmation.confirmed and is_current


def is_stream(request: AdmittedRequest) -> bool:
    """Return whether a request is for a stream that may go on later, here or at another VM."""
    if request.version_key is not None:
        return True
    route = request.route
    is_foreign = request.call.output_tokens > 0 and not route.targets
    return is_foreign or (route.repeat is Repeat.STREAM and route.resumable)
