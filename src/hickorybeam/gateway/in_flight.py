"""Accounting of one request at its backend server, from its send to its end."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from hickorybeam.gateway.placement.messages import SendStatus

if TYPE_CHECKING:
    from hickorybeam.clock import Clock
    from hickorybeam.gateway.placement.service_queue import ServiceQueue
    from hickorybeam.gateway.placement.slot_grant import SlotGrant
    from hickorybeam.policy.server_choice import ServerState
    from hickorybeam.policy.shortlist import Shortlist

__all__ = ("InFlightRequest",)


@dataclass(slots=True, kw_only=True)
class InFlightRequest:
    """A request that this VM counts in a server's state while it is in flight.

    ``granted``: another VM sends it, in a slot that this one granted. ``prefill_tokens`` are the
    tokens of its prompt that the server still has to prefill; ``backlog_tokens`` are those that
    the server had to prefill when it was sent at ``sent_ms``: its own and all known others.
    ``held_tokens`` is what it takes of the server's memory. ``expected_wait_ms`` was expected
    until its first event, ``queue_wait_ms`` of it in the server's own queue. ``copy_from`` is the
    ``host:port`` of a server that parts of its prompt are copied from, if any. Its response has at
    most ``max_output_tokens``, the first of them at ``first_event_ms``. If another VM granted its
    slot, ``grant`` reports its progress there. ``sent_factor`` is how long work took at the server
    when it was sent, relative to usual.
    """

    clock: Clock
    queue: ServiceQueue
    shortlist: Shortlist
    server_state: ServerState
    granted: bool
    held_tokens: int
    prefill_tokens: int
    backlog_tokens: int
    sent_ms: int
    expected_wait_ms: float
    queue_wait_ms: float
    copy_from: str | None
    max_output_tokens: int
    sent_factor: float = 1.0
    grant: SlotGrant | None = None
    first_event_ms: int | None = None
    ended: bool = False

    def start(self) -> None:
        """Count it at its server."""
        self._add(1, self.prefill_tokens, self.held_tokens)
        if self.grant is not None:
            self.grant.start(prefill_tokens=self.prefill_tokens, held_tokens=self.held_tokens)

    def record_prefill(self) -> None:
        """Record the first sign of a response: its prompt is prefilled."""
        now = self.clock.now()
        if self.copy_from is None:
            factor = (self.sent_factor + self.server_state.time_factor.at(now)) / 2
            self.server_state.speed.record_prefill(
                self.backlog_tokens, (now - self.sent_ms) / factor
            )
        self._add(0, -self.prefill_tokens, 0)
        self.prefill_tokens = 0
        self.first_event_ms = now
        if self.grant is not None:
            self.grant.report_prefill()

    def end(self, status: SendStatus) -> None:
        """Stop counting it at its server; further calls do nothing."""
        if self.ended:
            return
        self.ended = True
        if status is SendStatus.ANSWERED and self.first_event_ms is not None:
            now, speed = self.clock.now(), self.server_state.speed
            # It took longer than the factor changes, so its average counts.
            factor = self.server_state.time_factor.average
            speed.record_decode(self.max_output_tokens, (now - self.first_event_ms) / factor)
            speed.record_slot((now - self.sent_ms - self.queue_wait_ms) / factor)
        self._add(-1, -self.prefill_tokens, -self.held_tokens)
        self.shortlist.offer(self.server_state)
        self.queue.record_departure()
        if self.grant is not None:
            self.grant.report_end(status)

    def apply_status(self, status: SendStatus) -> None:
        """Apply a status that the VM which sends the request reported."""
        match status:
            case SendStatus.READ:
                self.record_prefill()
                return
            case SendStatus.ANSWERED:
                self.server_state.record_success()
            case SendStatus.FAILED:
                self.server_state.record_failure()
            case SendStatus.UNREACHABLE:
                self.server_state.record_unreachable(self.clock.now())
            case SendStatus.LEFT:
                pass
        self.end(status)

    def _add(self, requests: int, prefill_tokens: int, held_tokens: int) -> None:
        state = self.server_state
        if self.granted:
            state.granted_requests += requests
            state.granted_prefill_tokens += prefill_tokens
            state.granted_held_tokens += held_tokens
        else:
            state.own_requests += requests
            state.own_prefill_tokens += prefill_tokens
            state.own_held_tokens += held_tokens
