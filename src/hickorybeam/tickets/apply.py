"""State derived from the log of change tickets, and the verdict on a new ticket (pure)."""

from __future__ import annotations

import hashlib
import heapq
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

import msgspec

from hickorybeam.model import ChangeTicket, ConfigObject, ConfigState, ObjectRef, Versioned, ref_of
from hickorybeam.tickets.checks import MAX_NUMBER, MAX_TICKET_BYTES, find_faults
from hickorybeam.untrusted import InvalidBytesError, decode_json

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = (
    "REMEMBERED_NUMBERS",
    "Accepted",
    "BelowFloor",
    "Conflict",
    "Faulty",
    "Fresh",
    "LogState",
    "Stale",
    "UsedNumber",
    "Verdict",
    "apply",
    "content_digest",
    "check_ticket",
    "normalized",
)

# Ticket numbers kept as the highest ones, and as many again as the latest accepted ones. At 890
# changes a day the latest cover two days; a lost response is resolved within minutes.
REMEMBERED_NUMBERS = 2_048


@dataclass(frozen=True, slots=True)
class UsedNumber:
    """The log position of an accepted ticket number, and the digest of the ticket's content."""

    position: int
    digest: str


@dataclass(frozen=True, slots=True, kw_only=True)
class LogState:
    """The result of applying the log up to one position.

    ``used`` keeps accepted numbers beyond the log's compaction, so that a ticket that is sent
    again gets the same response. It is bounded; ``floor`` is the highest number dropped from it,
    and a new ticket at or below the floor is refused, since its number may have been used.
    """

    config: ConfigState = field(default_factory=ConfigState)
    used: Mapping[int, UsedNumber] = field(default_factory=dict)
    floor: int = 0

    @property
    def position(self) -> int:
        """Number of tickets applied, compacted ones included."""
        return self.config.position


@dataclass(frozen=True, slots=True)
class Fresh:
    """The ticket can be appended at the next position."""


@dataclass(frozen=True, slots=True)
class Accepted:
    """The same ticket was accepted before, at this position."""

    position: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """The number was accepted with other content, at this position."""

    position: int


@dataclass(frozen=True, slots=True)
class BelowFloor:
    """The number is at or below the floor, so whether it was used is no longer known."""

    floor: int


@dataclass(frozen=True, slots=True)
class Stale:
    """The ticket changes objects that a higher number has set; each with that number."""

    objects: tuple[tuple[ObjectRef, int], ...]


@dataclass(frozen=True, slots=True)
class Faulty:
    """The ticket is invalid; all faults found."""

    faults: tuple[str, ...]


Verdict = Fresh | Accepted | Conflict | BelowFloor | Stale | Faulty


def content_digest(ticket: ChangeTicket) -> str:
    """Return a digest of a ticket's content that does not depend on the order of its objects."""
    parts = sorted(
        (str(ref_of(obj)).encode() + msgspec.json.encode(obj) for obj in ticket.objects()),
    )
    parts += sorted(msgspec.json.encode(ref) for ref in ticket.deleted)
    parts.append(ticket.note.encode())
    return hashlib.sha256(msgspec.json.encode(parts)).hexdigest()[:32]


def normalized(ticket: ChangeTicket) -> ChangeTicket:
    """Return a ticket as every VM decodes it from the log, where 100 and 100.0 are the same.

    A ticket that cannot be encoded and decoded, such as one with a rate of NaN, is returned
    unchanged; the checks refuse it.
    """
    try:
        return decode_json(msgspec.json.encode(ticket), ChangeTicket)
    except InvalidBytesError:
        return ticket


def check_ticket(state: LogState, ticket: ChangeTicket) -> Verdict:
    """Return the verdict on a ticket that is submitted at this state."""
    known = state.used.get(ticket.number)
    if known is not None:
        same = known.digest == content_digest(ticket)
        return Accepted(known.position) if same else Conflict(known.position)
    faults = _faults(state, ticket)
    if not 1 <= ticket.number <= MAX_NUMBER:
        return Faulty(faults)
    if ticket.number <= state.floor:
        return BelowFloor(state.floor)
    later = tuple(
        (ref, number)
        for ref in ticket.changed_refs()
        if (number := state.config.ticket_number(ref)) > ticket.number
    )
    if later:
        return Stale(later)
    return Faulty(faults) if faults else Fresh()


def _faults(state: LogState, ticket: ChangeTicket) -> tuple[str, ...]:
    faults = find_faults(state.config, apply(state, ticket).config, ticket)
    size = len(msgspec.json.encode(ticket))
    if size > MAX_TICKET_BYTES:
        faults += (f"the ticket has {size} bytes, at most {MAX_TICKET_BYTES} are allowed",)
    return faults


def apply(state: LogState, ticket: ChangeTicket) -> LogState:
    """Return the state after the log's next ticket.

    For each object the highest ticket number wins. Deleted objects keep their number, so a
    ticket with a lower number that is applied after the deletion cannot restore the object.
    """
    position = state.position + 1
    objects = dict(state.config.objects)
    values: dict[ObjectRef, ConfigObject | None] = dict.fromkeys(ticket.deleted)
    values |= {ref_of(obj): obj for obj in ticket.objects()}
    for ref, value in values.items():
        if ticket.number > state.config.ticket_number(ref):
            objects[ref] = Versioned(ticket.number, value)
    config = ConfigState(position=position, head_ticket=ticket.number, objects=objects)
    used = {**state.used, ticket.number: UsedNumber(position, content_digest(ticket))}
    after = LogState(config=config, used=used, floor=state.floor)
    return _drop_old_numbers(after) if len(used) > 3 * REMEMBERED_NUMBERS else after


def _drop_old_numbers(state: LogState) -> LogState:
    """Drop old numbers, and the deletions that the floor makes redundant.

    Without a bound, numbers and deletions would outgrow the platform's values and every VM's
    memory over the years. The highest numbers are kept so that the floor stays below the
    numbers that operators use next; the latest so that a lost response can still be resolved.
    A deletion at or below the floor is redundant: every ticket with a lower number is refused
    by its number alone.
    """
    highest = frozenset(heapq.nlargest(REMEMBERED_NUMBERS, state.used))
    oldest = state.position - REMEMBERED_NUMBERS
    kept = {
        number: known
        for number, known in state.used.items()
        if number in highest or known.position > oldest
    }
    floor = max((number for number in state.used if number not in kept), default=0)
    floor = max(floor, state.floor)
    objects = {
        ref: entry
        for ref, entry in state.config.objects.items()
        if entry.value is not None or entry.ticket > floor
    }
    config = replace(state.config, objects=objects)
    return LogState(config=config, used=kept, floor=floor)
