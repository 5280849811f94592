"""Commands for change tickets."""

from __future__ import annotations

from typing import Any

from hickorybeam.cli.client import OperatorClient, read_key
from hickorybeam.cli.render import as_json, diff_objects, format_lines, table
from hickorybeam.errors import ErrorKind
from hickorybeam.model import ChangeTicket
from hickorybeam.settings import load_file

__all__ = ("TicketCommands", "find_ticket")


class TicketCommands:
    """Submit, show, list and compare change tickets."""

    def submit(
        self, file: str, *, url: str, key_file: str | None = None, json: bool = False
    ) -> str:
        """Submit a change ticket; it is safe to submit the same number and content again.

        :param file: the ticket in JSON with comments.
        :param url: the address of any entry VM.
        """
        ticket = load_file(ChangeTicket, file, kind=ErrorKind.TICKET_INVALID)
        result = OperatorClient(url, read_key(key_file)).submit(ticket)
        if json:
            return as_json(result)
        return f"ticket {ticket.number} is accepted at position {result['position']}"

    def list(
        self,
        *,
        url: str,
        after: int = 0,
        limit: int = 100,
        key_file: str | None = None,
        json: bool = False,
    ) -> str:
        """List accepted tickets in order of position."""
        response = OperatorClient(url, read_key(key_file)).tickets(after=after, limit=limit)
        if json:
            return as_json(response)
        rows = [(item["position"], item["number"], item["note"]) for item in response["tickets"]]
        return table(rows, ("position", "number", "note"))

    def show(
        self, number: int, *, url: str, key_file: str | None = None, json: bool = False
    ) -> str:
        """Show one accepted ticket."""
        ticket = find_ticket(OperatorClient(url, read_key(key_file)), number)
        return as_json(ticket) if json else "\n".join(format_lines(_drop_empty_fields(ticket)))

    def diff(self, before: int, after: int, *, url: str, key_file: str | None = None) -> str:
        """Show the differences between two accepted tickets."""
        client = OperatorClient(url, read_key(key_file))
        lines = diff_objects(find_ticket(client, before), find_ticket(client, after))
        return "\n".join(lines) or "no difference"


def find_ticket(client: OperatorClient, number: int) -> dict[str, Any]:
    """Return the accepted ticket with a number.

    :raises ValueError: there is none.
    """
    after = 0
    while True:
        response = client.tickets(after=after)
        for item in response["tickets"]:
            if item["number"] == number:
                return dict(item["ticket"])
        if not response["tickets"]:
            raise ValueError(f"no accepted ticket has the number {number}")
        after = response["tickets"][-1]["position"]


def _drop_empty_fields(ticket: dict[str, Any]) -> dict[str, Any]:
    return {key: value for key, value in ticket.items() if value not in ((), [], "")}
