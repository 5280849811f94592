"""Log lines and counts of looks at servers, of servers that ended, and of requests given up."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from hickorybeam.telemetry.decisions import DecisionLog

if TYPE_CHECKING:
    from hickorybeam.clock import Clock
    from hickorybeam.gateway.crashes.open_requests import Look, OpenRequest, ServerEnd
    from hickorybeam.gateway.routing_state import RoutingState
    from hickorybeam.policy.server_choice import ServerState
    from hickorybeam.telemetry import Counters

__all__ = ("ServerEndLog",)

# Requests of each kind that a log line describes.
MAX_LOGGED_REQUESTS = 8
MAX_LOGGED_SERVERS = 256


class ServerEndLog:
    """Tells what is known of servers that end, and of the requests there."""

    def __init__(self, *, clock: Clock, counters: Counters, routing_state: RoutingState) -> None:
        self._clock = clock
        self._routing_state = routing_state
        self._log = DecisionLog(clock)
        # Servers whose end has been logged, the latest ones.
        self._logged: OrderedDict[ServerState, None] = OrderedDict()
        self._ended = counters.counter(
            "server_ends",
            "Servers that ended while requests were open there, and whether they said so before",
            ("service", "planned"),
        )
        self._checked = counters.counter(
            "server_checks", "Looks at servers after broken responses", ("service", "found")
        )
        self._left = counters.counter(
            "requests_left",
            "Requests whose caller or deadline ended them before their server did",
            ("service",),
        )

    def write_left(self, request: OpenRequest) -> None:
        """Log and count a request that was given up."""
        server = request.server_state.server
        self._left.labels(server.service).inc()
        self._log.write(
            "request_left",
            request=request.request.call.request_id,
            server=server.id,
            sent_ms_before=self._clock.now() - request.sent_ms,
        )

    def write_check(self, server_state: ServerState, look: Look, end: ServerEnd) -> None:
        """Log and count what a look at a server found."""
        server = server_state.server
        self._checked.labels(server.service, end.value).inc()
        self._log.write(
            "server_checked",
            server=server.id,
            found=end.value,
            broken=len(look.requests),
            silent=sum(it.is_silent for it in look.requests),
            closed=look.closed,
            took_ms=self._clock.now() - look.since_ms,
        )

    def write_end(
        self,
        server_state: ServerState,
        look: Look,
        suspects: list[OpenRequest],
        *,
        left: int,
        planned: bool,
    ) -> None:
        """Log and count the end of a server; what breaks off there later adds nothing to that.

        :param left: how many requests had been given up there shortly before.
        """
        if server_state in self._logged:
            return
        self._logged[server_state] = None
        if len(self._logged) > MAX_LOGGED_SERVERS:
            self._logged.popitem(last=False)
        server = server_state.server
        begun = [it for it in suspects if it.began_ms is not None]
        unanswered = [it for it in suspects if it.began_ms is None]
        self._ended.labels(server.service, "yes" if planned else "no").inc()
        self._log.write(
            "server_ended",
            server=server.id,
            service=server.service,
            version=server.version,
            planned=planned,
            cold=self._routing_state.is_cold(server.id, look.since_ms),
            open=len(look.requests),
            left=left,
            just_begun=[described(it, look) for it in begun[:MAX_LOGGED_REQUESTS]],
            not_begun=len(unanswered),
            unanswered=[described(it, look) for it in unanswered[:MAX_LOGGED_REQUESTS]],
        )


def described(request: OpenRequest, look: Look) -> dict[str, object]:
    """Return a request as a log line tells it, with the ids of its prompt's shared parts.

    Repeats of one request have the same ``key``, whatever their ids.
    """
    began_ms = look.since_ms if request.began_ms is None else request.began_ms
    call = request.request.call
    return {
        "request": call.request_id,
        "key": request.request.key().hex(),
        "sent_ms_before": look.since_ms - request.sent_ms,
        "began_ms_before": look.since_ms - began_ms,
        "send": request.number,
        "resumed": request.request.resume_after is not None,
        "forwarded": request.forwarded,
        "parts": [part.id for part in call.parts[:-1]],
    }
