"""Notice that a backend server has ended unplanned, and which requests it ended under.

A server that crashes says nothing: all its connections close at once, and nothing listens at its
address any more. One connection that closes shows less, since servers and networks break off single
responses too. So after a break this VM looks whether an earlier connection to the server is left,
and if none is, tries to open one. Refused, the server has ended. Accepted, another process may have
started at its address; unanswered, the server may have fallen silent, or be cut off. Its entry in
the store tells which: until then the end is undecided.

Requests that were given up shortly before count as well: a server may end under one whose caller
has left, when nothing is open there any more.
"""

from __future__ import annotations

from collections import deque
from functools import partial
from typing import TYPE_CHECKING

import anyio
from anyio.lowlevel import checkpoint

from hickorybeam.clock import MS_PER_SECOND
from hickorybeam.gateway.crashes.end_moments import EndMoments, address_of
from hickorybeam.gateway.crashes.open_requests import (
    EndedServer,
    EndedUnder,
    Look,
    OpenRequest,
    ServerEnd,
)
from hickorybeam.gateway.crashes.sameness import Sameness
from hickorybeam.gateway.crashes.server_end_log import ServerEndLog
from hickorybeam.gateway.crashes.server_presence import ServerPresence
from hickorybeam.gateway.crashes.server_probe import ACCEPT_MS, SILENCE_MS, ServerProbe
from hickorybeam.policy.crash_counts import Trait

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from anyio.abc import TaskGroup

    from hickorybeam.clock import Clock
    from hickorybeam.gateway.routing_state import RoutingState
    from hickorybeam.http1 import UpstreamConnection, UpstreamPool
    from hickorybeam.http1.pool import Address
    from hickorybeam.policy.server_choice import ServerState
    from hickorybeam.telemetry import Counters

__all__ = ("EndedServer", "EndedUnder", "OpenRequest", "ServerEnds")

# No request waits longer for the check of its server: a connection may take until its timeout.
MAX_CHECK_WAIT_MS = 100
# Two connections to a server, and what it is asked on them, take no longer.
MAX_PROOF_MS = 600
# A response whose server still writes so long after its first bytes did not crash the server, nor
# did a request that was given up so long ago.
PROOF_MS = 1_000
# Requests that were given up at one server, the latest ones.
MAX_LEFT = 32


class ServerEnds:
    """Follows the requests at backend servers, and reports the servers that end under them.

    :param known_vms: returns the number of known VMs, this one included.
    :param on_end: called with each server that ended unplanned.
    :param on_undecided: called with each server that seems to have ended, before it is known.
    :param on_unheard: called with each request that was given up before its server was heard of.
    :param on_alive: called with each server that was found to be there.
    :param on_proven: called with each request whose server has outlived its response's beginning.
    :param on_whole: called with each request whose server has outlived its whole response.
    :param on_outlived: called with each request that was given up and that its server has outlived.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        counters: Counters,
        routing_state: RoutingState,
        pool: UpstreamPool,
        known_vms: Callable[[], int] = lambda: 1,
        on_end: Callable[[EndedServer], None] = lambda ended: None,
        on_undecided: Callable[[EndedServer], None] = lambda ended: None,
        on_unheard: Callable[[EndedServer], None] = lambda ended: None,
        on_alive: Callable[[ServerState], None] = lambda server_state: None,
        on_proven: Callable[[OpenRequest], None] = lambda request: None,
        on_whole: Callable[[OpenRequest], None] = lambda request: None,
        on_outlived: Callable[[OpenRequest], None] = lambda request: None,
    ) -> None:
        self._clock = clock
        self._routing_state = routing_state
        self._pool = pool
        self._on_end = on_end
        self._on_undecided = on_undecided
        self._on_unheard = on_unheard
        self._on_alive = on_alive
        self._on_proven = on_proven
        self._on_whole = on_whole
        self._on_outlived = on_outlived
        self._log = ServerEndLog(clock=clock, counters=counters, routing_state=routing_state)
        self._tasks: TaskGroup | None = None
        self._open: dict[ServerState, set[OpenRequest]] = {}
        # Requests that were given up less than a while ago, in that order.
        self._left: dict[ServerState, deque[OpenRequest]] = {}
        self._looks: dict[ServerState, Look] = {}
        self._moments = EndMoments()
        self._probe = ServerProbe(
            clock=clock, routing_state=routing_state, pool=pool, known_vms=known_vms
        )
        self._presence = ServerPresence(
            clock=clock,
            routing_state=routing_state,
            pool=pool,
            probe=self._probe,
            opened=self._open,
        )

    def start(self, tasks: TaskGroup) -> None:
        """Check servers in tasks of a group from now on."""
        # Those of an earlier group ended with it.
        self._looks.clear()
        self._left.clear()
        self._tasks = tasks
        self._pool.on_idle_closed = self._record_idle_closed

    @property
    def is_looking(self) -> bool:
        """Whether a server may have ended a moment ago, and others with it."""
        return bool(self._looks)

    def prover(
        self, server_state: ServerState | None
    ) -> Callable[[UpstreamConnection], Awaitable[int | None]] | None:
        """Return what asks a server whether it answers; ``None`` where a VM is asked.

        It returns when it asked, 0 if the server did not answer, ``None`` if it may not ask now.
        """
        return None if server_state is None else partial(self._probe.prove, server_state)

    def open(self, request: OpenRequest) -> None:
        """Follow a request that is about to be sent."""
        self._open.setdefault(request.server_state, set()).add(request)

    async def prepare(self, request: OpenRequest) -> None:
        """Prepare for a response without framing, if one may come, before a request is sent."""
        if self._tasks is not None and self._presence.wants_witness(request):
            with anyio.move_on_after(ACCEPT_MS / MS_PER_SECOND):
                await self._presence.keep_witness(request.server_state)
        request.witness = self._presence.witness(request.server_state)

    def record_bytes(self, request: OpenRequest, now_ms: int) -> None:
        """Record that bytes of a response's body came."""
        request.server_state.heard_ms = now_ms
        if request.began_ms is None:
            request.began_ms = now_ms
        elif not request.proven and now_ms - request.began_ms >= PROOF_MS:
            self._prove(request)

    def record_unframed(self, request: OpenRequest) -> None:
        """Record that only the end of its connection will mark the end of a response."""
        request.server_state.frames = False
        if self._tasks is not None:
            self._tasks.start_soon(self._presence.keep_witness, request.server_state)

    def record_whole(self, request: OpenRequest, *, framed: bool) -> None:
        """Record that a response ended as a whole one does.

        :param framed: it marked its own end. Otherwise the server's end may have ended it, so that
            it shows only later that the server is still there.
        """
        request.ended_whole = True
        if framed:
            request.server_state.frames = True
            self._prove_whole(request)
        else:
            self.record_break(request)

    def record_break(self, request: OpenRequest, *, is_silent: bool = False) -> None:
        """Record that a response broke off; look whether the server has ended.

        :param is_silent: its server sent nothing in time, and has not closed the connection.
        """
        look = self._look(request.server_state, closed=not is_silent, sent_ms=request.sent_ms)
        if look is None:
            return
        request.is_silent = is_silent
        request.checked = look.checked
        look.requests.append(request)
        if is_silent:
            self._report_unheard(request)

    async def wait_checked(self, request: OpenRequest) -> None:
        """Wait until it is known whether a request's server has ended that broke it off.

        A repeat sent sooner, by this VM or by the caller, could reach a VM that doesn't know yet.
        Silence takes long to be known. Its server is asked before the next one, so that the next
        one's answer shows which of them a cut has taken.
        """
        if request.checked is None:
            return
        if request.is_silent:
            await checkpoint()
            return
        with anyio.move_on_after(MAX_CHECK_WAIT_MS / MS_PER_SECOND):
            await request.checked.wait()

    async def prove(self, request: OpenRequest) -> Sameness:
        """Return what shows that a server outlived a response that its connection has ended."""
        with anyio.move_on_after(MAX_PROOF_MS / MS_PER_SECOND):
            return await self._presence.prove(request)
        return Sameness.UNTOLD

    def record_left(self, request: OpenRequest) -> None:
        """Record that a request ended here while its server had yet to answer it.

        The server may end under it soon. Its connection is closed by now, so another one has to
        tell that, and a server that doesn't answer may have fallen silent already.
        """
        self._log.write_left(request)
        server_state, now = request.server_state, self._clock.now()
        if self._tasks is None or not request.attempt.was_sent:
            return
        if request.proven and now - server_state.heard_ms < SILENCE_MS:
            return
        request.left_ms = now
        if server_state not in self._left:
            self._left[server_state] = deque(maxlen=MAX_LEFT)
            self._tasks.start_soon(self._outlive_left, server_state)
        self._left[server_state].append(request)
        self._look(server_state, closed=False, sent_ms=request.sent_ms)
        self._report_unheard(request)

    def _report_unheard(self, request: OpenRequest) -> None:
        """Report a request that ended before anything was heard of its server."""
        server_state, now = request.server_state, self._clock.now()
        if request.is_unheard and self._probe.is_in_use(server_state):
            alive_ms = request.alive_ms(ServerEnd.SILENT)
            under = EndedUnder(request.request, alive_ms, Trait.SILENT)
            self._on_unheard(EndedServer(server_state, now, under=(under,)))

    def close(self, request: OpenRequest) -> None:
        """Stop following a request."""
        at_server = self._open.get(request.server_state)
        if at_server is not None:
            at_server.discard(request)
            if not at_server:
                del self._open[request.server_state]

    def _record_idle_closed(self, address: Address) -> None:
        """Record that an idle connection closed; its server may have ended under what was left."""
        self._moments.record_closed(address, self._clock.now())
        for server_state in tuple(self._left):
            if address_of(server_state) == address and self._recently_left(server_state):
                self._look(server_state, closed=True, sent_ms=self._clock.now())

    def _recently_left(self, server_state: ServerState) -> list[OpenRequest]:
        """Return the requests given up at a server that it has yet to outlive."""
        left, now = self._left.get(server_state, ()), self._clock.now()
        return [it for it in left if it.left_ms is not None and now - it.left_ms < PROOF_MS]

    def _prove(self, request: OpenRequest) -> None:
        request.proven = True
        self._on_proven(request)

    def _prove_whole(self, request: OpenRequest) -> None:
        if not request.proven:
            self._prove(request)
        self._on_whole(request)

    def _look(self, server_state: ServerState, *, closed: bool, sent_ms: int) -> Look | None:
        """Look whether a server has ended, unless this VM does already.

        :param closed: one of its connections has closed.
        :param sent_ms: when the request was sent that ended there.
        """
        if self._tasks is None:
            return None
        look, now = self._looks.get(server_state), self._clock.now()
        if look is None:
            look = self._looks[server_state] = Look(now, anyio.Event())
            self._tasks.start_soon(self._run_look, server_state, look)
        if closed and not look.closed:
            look.closed, look.since_ms = True, now
        look.asked_ms, look.unheard_ms, look.again = now, sent_ms, True
        return look

    async def _run_look(self, server_state: ServerState, look: Look) -> None:
        """Find out whether a server has ended that broke requests off, or left them unanswered."""
        planned = not self._probe.is_in_use(server_state)
        end = await self._presence.find(
            server_state, look, lambda: self._tell_silent(server_state, look)
        )
        del self._looks[server_state]
        self._log.write_check(server_state, look, end)
        was_undecided = end in (ServerEnd.SILENT, ServerEnd.REPLACED)
        if was_undecided and not planned:
            self._tell_undecided(server_state, look, end)
            look.checked.set()
            end = await self._probe.decide(server_state, look, end)
        match end:
            case ServerEnd.ENDED:
                self._report(server_state, look, planned=planned, was_undecided=was_undecided)
            case ServerEnd.ALIVE:
                self._on_alive(server_state)
                self._prove_unframed(look)
        look.checked.set()

    def _tell_silent(self, server_state: ServerState, look: Look) -> None:
        """Report a server that takes no connection, before its silence is certain.

        Its callers repeat their requests meanwhile. Only VMs that know of it send those on new
        connections, which show that the next servers were there.
        """
        if not look.closed and self._probe.is_in_use(server_state):
            self._tell_undecided(server_state, look, ServerEnd.SILENT)

    def _tell_undecided(self, server_state: ServerState, look: Look, end: ServerEnd) -> None:
        """Report a server that seems to have ended, unless nothing is new since the last time."""
        under = self._ended_under(server_state, look, end)
        if len(under) != look.told:
            look.told = len(under)
            self._on_undecided(EndedServer(server_state, self._at_ms(look), under=under))

    def _prove_unframed(self, look: Look) -> None:
        """Prove the requests whose unframed response ended, now that their server is there."""
        for request in look.requests:
            if request.ended_whole:
                self._prove_whole(request)

    async def _outlive_left(self, server_state: ServerState) -> None:
        """Report the requests that a server has outlived since they were given up."""
        while left := self._left.get(server_state):
            await self._clock.sleep(PROOF_MS / 4)
            now = self._clock.now()
            while left and now - (left[0].left_ms or 0) >= PROOF_MS:
                request = left.popleft()
                # Once its entry is gone, whoever is heard at its address is another start.
                if server_state.heard_ms > (request.left_ms or 0) and self._probe.is_in_use(
                    server_state
                ):
                    self._on_outlived(request)
        self._left.pop(server_state, None)

    def _report(
        self, server_state: ServerState, look: Look, *, planned: bool, was_undecided: bool
    ) -> None:
        suspects = [it for it in look.requests if not it.proven]
        at_ms = self._moments.common_silence_ms(look.since_ms) if not look.closed else look.since_ms
        left = len(self._recently_left(server_state))
        if look.requests or left:
            self._log.write_end(server_state, look, suspects, left=left, planned=planned)
        if not planned:
            if was_undecided:
                under = self._lapsed_under(server_state)
            else:
                under = self._ended_under(server_state, look, ServerEnd.ENDED)
            self._moments.record_ended(server_state, look)
            self._on_end(EndedServer(server_state, at_ms, tuple(suspects), under))
        self._left.pop(server_state, None)

    def _at_ms(self, look: Look) -> int:
        """Return when a server ended, or by when it was silent.

        One that was there when a connection was asked for would have taken it.
        """
        return look.since_ms if look.closed else look.connect_ms

    def _ended_under(
        self, server_state: ServerState, look: Look, end: ServerEnd
    ) -> tuple[EndedUnder, ...]:
        """Return the requests under which a server ended, or seems to have."""
        found = dict.fromkeys([*look.requests, *self._recently_left(server_state)])
        looks = {state: it for state, it in self._looks.items() if state is not server_state}
        alone: frozenset[bytes] = frozenset()
        if end is ServerEnd.ENDED:
            alone = self._moments.alone(server_state, look, looks=looks, opened=self._open)
        under = []
        for it in found:
            trait = Trait.ALONE if it.request.outline() in alone else end.trait
            was_open = end is ServerEnd.ENDED and it.left_ms is None
            is_only = was_open and self._moments.is_only(server_state, it.sent_ms, looks)
            under.append(
                EndedUnder(
                    it.request,
                    it.alive_ms(end, hangs=look.hangs),
                    trait,
                    was_open=was_open,
                    is_only=is_only,
                )
            )
        return tuple(under)

    def _lapsed_under(self, server_state: ServerState) -> tuple[EndedUnder, ...]:
        """Return the requests that still wait for a server whose entry has lapsed."""
        return tuple(
            EndedUnder(it.request, it.alive_ms(ServerEnd.SILENT), Trait.LAPSED)
            for it in self._open.get(server_state, ())
            if not it.proven
        )
