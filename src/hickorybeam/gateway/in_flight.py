"""What one request adds to its server, from its send to its end."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from hickorybeam.gateway.placement_messages import SendStatus

if TYPE_CHECKING:
    from hickorybeam.clock import Clock
    from hickorybeam.gateway.placement_client import Grant
    from hickorybeam.gateway.service_queue import ServiceQueue
    from hickorybeam.policy.server_choice import ServerState

__all__ = ("Burden",)


@dataclass(slots=True, kw_only=True)
class Burden:
    """A request as this VM counts it at a server.

    ``given``: another VM sends it, to which this one gave the place. ``reading`` prompt tokens
    are its own, as long as they aren't read; ``ahead`` were to be read there when it was sent at
    ``sent_ms``, its own and known others. ``size`` is what it holds in the server's memory, in
    tokens. ``wait_ms`` was foreseen until its first event. Parts of it are copied from
    ``copy_from``, a server's ``host:port``, if any. Its answer has ``output`` tokens at most, the
    first of them at ``read_ms``. Where another VM gave it its place by a ``grant``, that one is
    told how it goes on.
    """

    clock: Clock
    line: ServiceQueue
    standing: ServerState
    given: bool
    size: int
    reading: int
    ahead: int
    sent_ms: int
    wait_ms: float
    copy_from: str | None
    output: int
    grant: Grant | None = None
    read_ms: int | None = None
    ended: bool = False

    def begin(self) -> None:
        """Count it at its server."""
        self._add(1, self.reading, self.size)
        if self.grant is not None:
            self.grant.begin(reading=self.reading, size=self.size)

    def has_read(self) -> None:
        """Take the first sign of an answer: its prompt is read."""
        if self.copy_from is None:
            self.standing.speed.record_prefill(self.ahead, self.clock.now() - self.sent_ms)
        self._add(0, -self.reading, 0)
        self.reading = 0
        self.read_ms = self.clock.now()
        if self.grant is not None:
            self.grant.has_read()

    def end(self, ending: SendStatus) -> None:
        """Take it off its server, once."""
        if self.ended:
            return
        self.ended = True
        if ending is SendStatus.ANSWERED and self.read_ms is not None:
            self.standing.speed.record_decode(self.output, self.clock.now() - self.read_ms)
        self._add(-1, -self.reading, -self.size)
        self.line.departed()
        if self.grant is not None:
            self.grant.end(ending)

    def told(self, ending: SendStatus) -> None:
        """Take what the VM that sends it says of it."""
        match ending:
            case SendStatus.READ:
                self.has_read()
                return
            case SendStatus.ANSWERED:
                self.standing.record_success()
            case SendStatus.FAILED:
                self.standing.record_failure()
            case SendStatus.UNREACHABLE:
                self.standing.record_unreachable(self.clock.now())
            case SendStatus.LEFT:
                pass
        self.end(ending)

    def _add(self, running: int, reading: int, holding: int) -> None:
        it = self.standing
        if self.given:
            it.granted_requests += running
            it.granted_prefill_tokens += reading
            it.granted_held_tokens += holding
        else:
            it.own_requests += running
            it.own_prefill_tokens += reading
            it.own_held_tokens += holding
