"""Requests at backend servers, what a look at a server finds, and the end of a server."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from hickorybeam.policy.crash_counts import Trait

if TYPE_CHECKING:
    import anyio

    from hickorybeam.gateway.attempt import Attempt
    from hickorybeam.gateway.targets import AdmittedRequest
    from hickorybeam.http1 import UpstreamConnection
    from hickorybeam.policy.server_choice import ServerState

__all__ = ("EndedServer", "EndedUnder", "Look", "OpenRequest", "ServerEnd")


# Bytes that a server sent before it fell silent may be read so much later.
MAX_READ_LAG_MS = 25


class ServerEnd(Enum):
    """Whether a server that broke responses off, or left requests unanswered, has ended.

    ``REPLACED``: all connections closed, and a new one is accepted, maybe by another process.
    """

    ALIVE = "alive"
    ENDED = "ended"
    SILENT = "silent"
    REPLACED = "replaced"

    @property
    def trait(self) -> Trait:
        """How a crash is known that a look at a server found."""
        return TRAITS[self]


TRAITS = {
    ServerEnd.ENDED: Trait.SEEN,
    ServerEnd.SILENT: Trait.SILENT,
    ServerEnd.REPLACED: Trait.CLOSED,
}


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request at a backend server, from its send to its end.

    ``number`` counts the sends of its answer, from 1 on. ``forwarded``: a VM of another region has
    sent it here. ``began_ms`` is when the first bytes of its response's body came. ``proven``: its
    server has outlived the beginning of its response. ``ended_whole``: the response ended as a
    whole one does. ``is_silent``: nothing came in time, so that this VM gave it up. ``left_ms`` is
    when its caller or deadline ended it. ``checked`` is set when it is known whether the server has
    ended that broke the response off. ``witness`` is a connection to the server without a request
    that was open before this one was sent.
    """

    server_state: ServerState
    request: AdmittedRequest
    attempt: Attempt
    sent_ms: int
    number: int = 1
    forwarded: bool = False
    began_ms: int | None = None
    proven: bool = False
    ended_whole: bool = False
    is_silent: bool = False
    left_ms: int | None = None
    checked: anyio.Event | None = None
    witness: UpstreamConnection | None = None

    @property
    def is_unheard(self) -> bool:
        """Whether nothing was heard from its server since it was sent."""
        return self.server_state.heard_ms <= self.sent_ms

    def alive_ms(self, end: ServerEnd, *, hangs: bool = False) -> int:
        """Return when it was sent, or its server last heard if that fell silent.

        :param hangs: its server takes connections, which so show nothing.
        """
        if end is not ServerEnd.SILENT:
            return self.sent_ms
        state = self.server_state
        heard_ms = state.heard_ms - MAX_READ_LAG_MS
        connect_ms = 0 if hangs else self.attempt.connect_asked_ms
        return max(heard_ms, state.renewed_ms, self.attempt.proven_ms, connect_ms)


@dataclass(frozen=True, slots=True)
class EndedUnder:
    """A request under which a server ended, or seems to have.

    ``alive_ms`` is when the request was sent, or the server last heard if it fell silent.
    ``was_open``: its connection closed with the server's others; ``is_only``: and no other server
    ended after it was sent.
    """

    request: AdmittedRequest
    alive_ms: int
    trait: Trait
    was_open: bool = False
    is_only: bool = False


@dataclass(frozen=True, slots=True)
class EndedServer:
    """A server that ended unplanned, or seems to have, and the requests that may have caused that.

    ``suspects`` are those whose responses had begun shortly before, or had not begun, and that its
    end broke off. ``under`` are all that were there, or had been given up shortly before.
    """

    server_state: ServerState
    at_ms: int
    suspects: tuple[OpenRequest, ...] = ()
    under: tuple[EndedUnder, ...] = ()


@dataclass(slots=True, eq=False)
class Look:
    """A look at a server: what broke off there, or was given up, since ``since_ms``.

    ``closed``: one of its connections has closed. ``asked_ms`` is when the last request there ended
    unanswered, ``unheard_ms`` when it was sent; ``again``: something ended since the look began.
    ``connect_ms`` is when a connection was asked for. ``told`` counts the requests that were
    reported as those of a server that may have ended. ``hangs``: it takes connections, and answers
    nothing.
    """

    since_ms: int
    checked: anyio.Event
    requests: list[OpenRequest] = field(default_factory=list)
    closed: bool = False
    asked_ms: int = 0
    unheard_ms: int = 0
    again: bool = False
    connect_ms: int = 0
    told: int = 0
    hangs: bool = False
