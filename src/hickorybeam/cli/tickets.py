"""Commands about change tickets."""

from __future__ import annotations

from typing import Any

from hickorybeam.cli.client import OperatorClient, read_key
from hickorybeam.cli.render import as_json, diff_objects, lines_of, table
from hickorybeam.errors import ErrorKind
from hickorybeam.model import ChangeTicket
from hickorybeam.settings import load_file

__all__ = ("TicketCommands", "ticket_at")


class TicketCommands:
    """Submit, show, list and compare change tickets."""

    def submit(
        self, file: str, *, url: str, key_file: str | None = None, json: bool = False
    ) -> str:
        """Submit a change ticket; the same number and content again is harmless.

        :param file: the ticket in JSON with comments.
        :param url: any entry VM's address.
        """
        ticket = load_file(ChangeTicket, file, kind=ErrorKind.TICKET_INVALID)
        done = OperatorClient(url, read_key(key_file)).submit(ticket)
        if json:
            return as_json(done)
        return f"ticket {ticket.number} is accepted at position {done['position']}"

    def list(
        self,
        *,
        url: str,
        after: int = 0,
        limit: int = 100,
        key_file: str | None = None,
        json: bool = False,
    ) -> str:
        """List accepted tickets by position."""
        found = OperatorClient(url, read_key(key_file)).tickets(after=after, limit=limit)
        if json:
            return as_json(found)
        rows = [(item["position"], item["number"], item["note"]) for item in found["tickets"]]
        return table(rows, ("position", "number", "note"))

    def show(
        self, number: int, *, url: str, key_file: str | None = None, json: bool = False
    ) -> str:
        """Show one accepted ticket."""
        ticket = ticket_at(OperatorClient(url, read_key(key_file)), number)
        return as_json(ticket) if json else "\n".join(lines_of(_without_empty(ticket)))

    def diff(self, before: int, after: int, *, url: str, key_file: str | None = None) -> str:
        """Show what one ticket sets differently from another."""
        client = OperatorClient(url, read_key(key_file))
        lines = diff_objects(ticket_at(client, before), ticket_at(client, after))
        return "\n".join(lines) or "no difference"


def ticket_at(client: OperatorClient, number: int) -> dict[str, Any]:
    """Return the accepted ticket of a number, or raise ``ValueError``."""
    after = 0
    while True:
        found = client.tickets(after=after)
        for item in found["tickets"]:
            if item["number"] == number:
                return dict(item["ticket"])
        if not found["tickets"]:
            raise ValueError(f"no accepted ticket has the number {number}")
        after = found["tickets"][-1]["position"]


def _without_empty(ticket: dict[str, Any]) -> dict[str, Any]:
    return {key: value for key, value in ticket.items() if value not in ((), [], "")}
