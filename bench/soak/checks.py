"""Checks over a soak's log; they know the promises and nothing of the code."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from hickorybeam.model import ChangeTicket

__all__ = ("Verdict", "check")

Record = dict[str, Any]
IN_FORCE_MS = 7_000
# A VM that faults kept from the platform and from every peer learns nothing; the log tells
# when that was the case, and the limit counts from the end of the last fault that touched it.
FAULT_MARGIN_MS = 8_000
# A request sent less than this before a signal may not have been accepted yet.
ACCEPTED_MS = 200
BROKEN = ("unreachable", "stream_error")


@dataclass(frozen=True, slots=True)
class Verdict:
    """One promise: how much was looked at and what broke it."""

    promise: str
    looked_at: int
    violations: tuple[str, ...]


def check(
    records: list[Record], ticket: ChangeTicket, backends: Mapping[str, Any]
) -> list[Verdict]:
    """Judge a log.

    :param backends: what reached each backend server: region, kind, prompts, bookings and
        header names.
    """
    by_kind: dict[str, list[Record]] = defaultdict(list)
    for record in records:
        by_kind[record["kind"]].append(record)
    return [
        _verdict("whole and right answers", by_kind["chat"], _answers),
        _verdict("bookings at most once", by_kind["book"], lambda r: _once(r, backends)),
        _verdict(
            "a refusal 'not run' did not run", by_kind["book"], lambda r: _not_run(r, backends)
        ),
        _verdict("rate and burst", by_kind["chat"], lambda r: _rate(r, ticket)),
        _residency(ticket, backends),
        _no_credentials(backends),
        _verdict("no state goes back", by_kind["state"], _no_reverting),
        _verdict("one content per number", by_kind["ticket"], _one_content),
        _verdict("accepted is in force", by_kind["state"], lambda r: _in_force(r, by_kind)),
        _verdict("withdrawn keys stop", by_kind["key_use"], lambda r: _withdrawn(r, by_kind)),
        _verdict("graceful shutdowns end well", by_kind["terminated"], _ended_well),
        _verdict(
            "graceful shutdowns cut nothing off",
            by_kind["terminate"],
            lambda r: _cut_off(r, by_kind),
        ),
    ]


def _verdict(promise: str, records: list[Record], find: Any) -> Verdict:
    return Verdict(promise, len(records), tuple(find(records)))


def _answers(chats: list[Record]) -> Iterator[str]:
    for chat in chats:
        if not chat["code"] and not (chat.get("right") and chat.get("whole")):
            yield f"{chat}"
        if chat["code"] in ("unreadable", "internal"):
            yield f"{chat}"


def _runs(backends: Mapping[str, Any]) -> dict[str, int]:
    runs: dict[str, int] = defaultdict(int)
    for backend in backends.values():
        for booking in backend["bookings"]:
            runs[booking["booking"]] += 1
    return runs


def _once(_: list[Record], backends: Mapping[str, Any]) -> Iterator[str]:
    for name, count in _runs(backends).items():
        if count > 1:
            yield f"{name} ran {count} times"


def _not_run(books: list[Record], backends: Mapping[str, Any]) -> Iterator[str]:
    runs = _runs(backends)
    attempts: dict[str, list[Record]] = defaultdict(list)
    for book in books:
        attempts[book["name"]].append(book)
    for name, tries in attempts.items():
        if runs.get(name) and all(book.get("ran") == "no" for book in tries):
            yield f"{name} ran, and every attempt was told it did not: {tries}"
        if not runs.get(name) and any(not book["code"] for book in tries):
            yield f"{name} never ran, and an attempt was told it did: {tries}"


def _rate(chats: list[Record], ticket: ChangeTicket) -> Iterator[str]:
    """Every window from one sending to one end may hold at most burst + rate * length."""
    for account in ticket.accounts:
        done = [c for c in chats if c["account"] == account.name and not c["code"]]
        done.sort(key=lambda c: c["at"])
        for first in range(0, len(done), 7):
            begin, spent = done[first]["sent"], 0
            for chat in done:
                if chat["sent"] < begin:
                    continue
                spent += chat["tokens"]
                length_s = (chat["at"] - begin) / 1000
                if spent > account.burst + account.rate * length_s + 1:
                    yield f"{account.name}: {spent} tokens in {length_s:.1f} s from {begin}"
                    break


def _residency(ticket: ChangeTicket, backends: Mapping[str, Any]) -> Verdict:
    rules = {rule.name: set(rule.regions) for rule in ticket.residency_rules}
    allowed = {a.name: rules[a.residency] for a in ticket.accounts if a.residency}
    found: list[str] = []
    looked_at = 0
    for name, backend in backends.items():
        for account in backend["accounts"]:
            looked_at += 1
            if account in allowed and backend["region"] not in allowed[account]:
                found.append(f"{account} at {name} in {backend['region']}")
    return Verdict("residency", looked_at, tuple(found))


def _no_credentials(backends: Mapping[str, Any]) -> Verdict:
    barred = {"authorization", "x-api-key", "cookie", "proxy-authorization"}
    found = [
        f"{name} saw {sorted(barred & set(backend['headers']))}"
        for name, backend in backends.items()
        if barred & set(backend["headers"])
    ]
    return Verdict("no caller's key at a backend server", len(backends), tuple(found))


def _no_reverting(states: list[Record]) -> Iterator[str]:
    last: dict[str, Record] = {}
    for state in sorted(states, key=lambda s: s["sent"]):
        before = last.get(state["vm"])
        if before is not None and before["life"] == state["life"] and _went_back(before, state):
            yield f"{state['vm']}: {before} then {state}"
        last[state["vm"]] = state


def _went_back(before: Record, state: Record) -> bool:
    if before["at"] > state["sent"]:
        return False  # answers that overlap in time may cross
    return bool(state["position"] < before["position"] or state["marker"] < before["marker"])


def _one_content(tickets: list[Record]) -> Iterator[str]:
    accepted: dict[int, set[float]] = defaultdict(set)
    for ticket in tickets:
        if not ticket["code"]:
            accepted[ticket["number"]].add(ticket["rate"])
    for number, rates in accepted.items():
        if len(rates) > 1:
            yield f"ticket {number} was accepted with rates {sorted(rates)}"


def _troubled(by_kind: Mapping[str, list[Record]]) -> list[tuple[float, float]]:
    """Spans of time in which some fault may keep a VM from learning of a change."""
    spans: list[tuple[float, float]] = []
    for kind in ("cut", "pause", "platform_out"):
        spans += [(r["at"], r["at"] + r["s"] * 1000 + FAULT_MARGIN_MS) for r in by_kind[kind]]
    for kind in ("kill", "terminate", "fault"):
        spans += [(r["at"], r["at"] + FAULT_MARGIN_MS) for r in by_kind[kind]]
    return spans


def _calm(spans: list[tuple[float, float]], begin: float, end: float) -> bool:
    return not any(left < end and right > begin for left, right in spans)


def _in_force(states: list[Record], by_kind: Mapping[str, list[Record]]) -> Iterator[str]:
    spans = _troubled(by_kind)
    accepted = [t for t in (*by_kind["ticket"], *by_kind["key_ticket"]) if not t["code"]]
    for ticket in accepted:
        due = ticket["at"] + IN_FORCE_MS
        for state in states:
            late = due < state["sent"] < due + 3_000 and state["position"] < ticket["position"]
            if late and _calm(spans, ticket["at"], state["sent"]):
                yield f"position {ticket['position']} accepted at {ticket['at']}: {state}"


def _withdrawn(uses: list[Record], by_kind: Mapping[str, list[Record]]) -> Iterator[str]:
    spans = _troubled(by_kind)
    for use in uses:
        if use["withdrawn"] is None or use["code"]:
            continue
        late = use["sent"] > use["withdrawn"] + IN_FORCE_MS
        if late and _calm(spans, use["withdrawn"], use["sent"]):
            yield f"{use}"


def _ended_well(ends: list[Record]) -> Iterator[str]:
    for end in ends:
        if end["code"] != 0:
            yield f"{end}"


def _cut_off(ends: list[Record], by_kind: Mapping[str, list[Record]]) -> Iterator[str]:
    """Answers in flight when a VM was told to stop, with no other fault meanwhile."""
    others = [
        (r["at"], r["at"] + r.get("s", 0) * 1000 + FAULT_MARGIN_MS) for r in _other_faults(by_kind)
    ]
    for end in ends:
        for chat in by_kind["chat"]:
            in_flight = chat["sent"] < end["at"] - ACCEPTED_MS and chat["at"] > end["at"]
            broken = chat["vm"] == end["vm"] and chat["code"] in BROKEN
            if in_flight and broken and _calm(others, chat["sent"], chat["at"]):
                yield f"{end}: {chat}"


def _other_faults(by_kind: Mapping[str, list[Record]]) -> list[Record]:
    return [r for kind in ("cut", "pause", "kill") for r in by_kind[kind]]
