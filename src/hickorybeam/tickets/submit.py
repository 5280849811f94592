"""Acceptance of a ticket: check it at the log's head, then append it by compare-and-swap."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorybeam.errors import ErrorKind, GatewayError, Ran
from hickorybeam.tickets.apply import (
    Accepted,
    BelowFloor,
    Conflict,
    Faulty,
    Fresh,
    Stale,
    check_ticket,
    normalized,
)
from hickorybeam.tickets.codec import LogEntry

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from hickorybeam.clock import Clock
    from hickorybeam.model import ChangeTicket
    from hickorybeam.tickets.apply import LogState, Verdict
    from hickorybeam.tickets.log import TicketLog

__all__ = ("Submitter",)

# A lost race means that another ticket was accepted; operators rarely submit concurrently.
MAX_ATTEMPTS = 24
MAX_RACE_BACKOFF_MS = 20


class Submitter:
    """Appends tickets to the log, one at a time.

    :param state: returns the state in force on this VM.
    :param catch_up: brings the state of this VM up to the head in the platform.
    :param apply_entries: applies log entries to the state of this VM.
    """

    def __init__(
        self,
        *,
        log: TicketLog,
        clock: Clock,
        rng: random.Random,
        state: Callable[[], LogState],
        catch_up: Callable[[], Awaitable[None]],
        apply_entries: Callable[[tuple[LogEntry, ...]], Awaitable[None]],
    ) -> None:
        self._log = log
        self._clock = clock
        self._rng = rng
        self._state = state
        self._catch_up = catch_up
        self._apply_entries = apply_entries

    async def accept(self, ticket: ChangeTicket) -> int:
        """Return the ticket's log position, or raise a ticket error.

        When the response to the write is lost, the head is read back. If the ticket is in the
        log, its number is used with the same content, so it counts as accepted. Otherwise it is
        written again. That is safe: both writes compare the same head, so at most one of them
        takes effect.
        """
        ticket = normalized(ticket)
        outcome_unknown = False
        for attempt in range(MAX_ATTEMPTS):
            if attempt:
                await self._clock.sleep(self._rng.uniform(0, MAX_RACE_BACKOFF_MS))
            try:
                position = await self._try_append(ticket)
            except GatewayError as exc:
                if exc.kind is ErrorKind.PLATFORM_UNKNOWN:
                    outcome_unknown = True
                    continue
                if outcome_unknown and exc.kind is ErrorKind.PLATFORM_OUT:
                    raise GatewayError(ErrorKind.PLATFORM_UNKNOWN, "send it again") from exc
                raise
            if position is not None:
                return position
        kind = ErrorKind.PLATFORM_UNKNOWN if outcome_unknown else ErrorKind.PLATFORM_OUT
        raise GatewayError(kind, f"not settled in {MAX_ATTEMPTS} attempts")

    async def _try_append(self, ticket: ChangeTicket) -> int | None:
        """Check and append once; :return: position, or ``None`` if another ticket came first."""
        read = await self._log.head()
        if self._state().position < read.head.position:
            await self._catch_up()
        state = self._state()
        if state.position < read.head.position:
            raise GatewayError(ErrorKind.PLATFORM_OUT, "the log could not be read to its head")
        verdict = check_ticket(state, ticket)
        if isinstance(verdict, Accepted):
            return verdict.position
        if state.position > read.head.position:
            return None
        if not isinstance(verdict, Fresh):
            raise refusal(verdict, ticket)
        entry = LogEntry(state.position + 1, ticket)
        if not await self._log.append(read, entry):
            return None
        await self._apply_entries((entry,))
        return entry.position


def refusal(verdict: Verdict, ticket: ChangeTicket) -> GatewayError:
    """Return the error for a verdict that refuses a ticket."""
    match verdict:
        case Conflict(position):
            text = f"number {ticket.number} was accepted with other content at {position}"
            return GatewayError(ErrorKind.TICKET_CONFLICT, text, ran=Ran.NO)
        case BelowFloor(floor):
            text = f"number {ticket.number} is not above {floor}, the highest number forgotten"
            return GatewayError(ErrorKind.TICKET_STALE, text, ran=Ran.NO)
        case Stale(objects):
            faults = tuple(
                f"{ref.kind} {ref.name!r}: set by ticket {number}" for ref, number in objects
            )
            text = f"number {ticket.number} is below what is in force"
            return GatewayError(ErrorKind.TICKET_STALE, text, faults=faults)
        case Faulty(faults):
            text = f"{len(faults)} faults"
            return GatewayError(ErrorKind.TICKET_INVALID, text, faults=faults)
        case Fresh() | Accepted():
            raise AssertionError("not a refusal")
