"""The state that a log of change tickets gives, and what is to be said of a new ticket: pure."""

from __future__ import annotations

import hashlib
import heapq
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

import msgspec

from hickorybeam.model import ChangeTicket, ConfigObject, ConfigState, ObjectRef, Versioned, ref_of
from hickorybeam.tickets.checks import MAX_NUMBER, MAX_TICKET_BYTES, find_faults

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = (
    "KEEP_NUMBERS",
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
    "judge",
    "normalized",
)

# How many ticket numbers are remembered, twice: the highest, and the latest accepted. At 890
# changes a day the latest cover two days; a lost answer is settled within minutes.
KEEP_NUMBERS = 2_048


@dataclass(frozen=True, slots=True)
class UsedNumber:
    """Where a number stands in the log, and the digest of its content."""

    position: int
    digest: str


@dataclass(frozen=True, slots=True, kw_only=True)
class LogState:
    """Everything that the log up to one position says.

    ``used`` remembers accepted numbers beyond the log's compaction, so that a number sent
    again gets the same answer. It is bounded; ``floor`` is the highest number forgotten, and
    a new ticket at or below it is refused, since it may have been used.
    """

    config: ConfigState = field(default_factory=ConfigState)
    used: Mapping[int, UsedNumber] = field(default_factory=dict)
    floor: int = 0

    @property
    def position(self) -> int:
        """How many tickets the log holds."""
        return self.config.position


@dataclass(frozen=True, slots=True)
class Fresh:
    """The ticket may be written at the next position."""


@dataclass(frozen=True, slots=True)
class Accepted:
    """The same ticket was accepted before."""

    position: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """The number was accepted with other content."""

    position: int


@dataclass(frozen=True, slots=True)
class BelowFloor:
    """Whether the number was used is no longer known."""

    floor: int


@dataclass(frozen=True, slots=True)
class Stale:
    """Objects whose state was set by a later number, with that number."""

    objects: tuple[tuple[ObjectRef, int], ...]


@dataclass(frozen=True, slots=True)
class Faulty:
    """Every fault found."""

    faults: tuple[str, ...]


Verdict = Fresh | Accepted | Conflict | BelowFloor | Stale | Faulty


def content_digest(ticket: ChangeTicket) -> str:
    """Return a digest of a ticket's content in which the order of its objects plays no part."""
    parts = sorted(
        (str(ref_of(obj)).encode() + msgspec.json.encode(obj) for obj in ticket.objects()),
    )
    parts += sorted(msgspec.json.encode(ref) for ref in ticket.deleted)
    parts.append(ticket.note.encode())
    return hashlib.sha256(msgspec.json.encode(parts)).hexdigest()[:32]


def normalized(ticket: ChangeTicket) -> ChangeTicket:
    """Return a ticket as every VM reads it from the log, where 100 and 100.0 are one number.

    A ticket that can't be written, such as one with a rate that is no number, stays as it is
    and is refused by the checks.
    """
    try:
        return msgspec.json.decode(msgspec.json.encode(ticket), type=ChangeTicket)
    except msgspec.ValidationError:
        return ticket


def judge(state: LogState, ticket: ChangeTicket) -> Verdict:
    """Say what becomes of a ticket that is submitted at this state."""
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
    """Return the state after one more ticket of the log.

    A later number wins for each object, deleted ones included: their numbers stay, so a ticket
    that was written before a deletion and arrives after it can't bring the object back.
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
    return _forget(after) if len(used) > 3 * KEEP_NUMBERS else after


def _forget(state: LogState) -> LogState:
    """Forget old numbers, and deletions that the floor has made safe to forget.

    Without a bound, numbers and deletions would outgrow the platform's values and every VM's
    memory over the years. The highest numbers stay so that the floor stays below what
    operators use next; the latest stay so that an answer that was lost can still be settled.
    A deletion at or below the floor protects nothing any more: every ticket that it outranks
    is refused by its number alone.
    """
    highest = frozenset(heapq.nlargest(KEEP_NUMBERS, state.used))
    oldest = state.position - KEEP_NUMBERS
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
