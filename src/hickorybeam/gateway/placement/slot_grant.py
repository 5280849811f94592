"""A slot at a backend server that the placement coordinator granted to a request of this VM."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from hickorybeam.gateway.placement.messages import SendStatus
from hickorybeam.gateway.status_report import NO_USAGE

if TYPE_CHECKING:
    from hickorybeam.gateway.status_report import ServerUsage
    from hickorybeam.policy.server_choice import ServerState

__all__ = ("GrantReporter", "SlotGrant")


class GrantReporter(Protocol):
    """Reports to the coordinator how the requests with slot grants go on."""

    def report_status(self, grant: SlotGrant, status: SendStatus) -> None:
        """Report the status of a request that goes on."""

    def report_end(self, grant: SlotGrant, status: SendStatus) -> None:
        """Report how a request's send ended."""


@dataclass(slots=True, kw_only=True, eq=False)
class SlotGrant:
    """A slot at a server that the coordinator granted to a request of this VM.

    ``usage`` is what this VM counts at the server for the request.
    """

    reporter: GrantReporter
    coordinator: str
    number: int
    server_state: ServerState
    copy_from: str | None
    expected_wait_ms: float
    usage: ServerUsage = NO_USAGE

    def start(self, *, prefill_tokens: int, held_tokens: int) -> None:
        """Record what this VM counts at the server when it sends the request."""
        self.usage = (1, prefill_tokens, held_tokens)

    def report_prefill(self) -> None:
        """Report that the request's prompt is prefilled."""
        requests, _, held_tokens = self.usage
        self.usage = (requests, 0, held_tokens)
        self.reporter.report_status(self, SendStatus.READ)

    def report_end(self, status: SendStatus) -> None:
        """Report how the request's send ended."""
        self.reporter.report_end(self, status)
