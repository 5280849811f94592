"""Handlers of the operator API; each requires an operator's key."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qsl

from hickorybeam.decode import decode
from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.model import ChangeTicket
from hickorybeam.ports import TicketLog
from hickorybeam.untrusted import InvalidBytesError, decode_json

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorybeam.front.context import FrontContext
    from hickorybeam.front.request import Request
    from hickorybeam.model import ConfigState

__all__ = ("drain", "metrics", "state", "status", "submit", "tickets")

MAX_TICKET_BYTES = 4_000_000
MAX_TICKETS = 1_000
DEFAULT_TICKET_LIMIT = 100
METRICS_CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


async def submit(context: FrontContext, req: Request) -> None:
    """``POST /v1/tickets``: accept a change ticket."""
    context.require_operator(req)
    raw = await req.body(limit=MAX_TICKET_BYTES)
    try:
        value = decode_json(raw, object)
    except InvalidBytesError as exc:
        raise GatewayError(ErrorKind.BAD_REQUEST, "the ticket is not valid JSON") from exc
    ticket, faults = decode(ChangeTicket, value)
    if ticket is None:
        raise GatewayError(ErrorKind.TICKET_INVALID, faults=tuple(map(str, faults)))
    position = await context.config.submit(ticket)
    await req.respond_json(200, {"number": ticket.number, "position": position})


async def tickets(context: FrontContext, req: Request) -> None:
    """``GET /v1/tickets?from=POSITION&limit=N``: list accepted tickets in order of position."""
    context.require_operator(req)
    query = dict(parse_qsl(req.query.decode("latin-1")))
    start = int_parameter(query, "from", 0)
    limit = min(MAX_TICKETS, int_parameter(query, "limit", DEFAULT_TICKET_LIMIT))
    if not isinstance(context.config, TicketLog):
        raise GatewayError(ErrorKind.NOT_READY, "this VM keeps no log")
    found = await context.config.log(start, limit)
    listed = [
        {"position": position, "number": ticket.number, "note": ticket.note, "ticket": ticket}
        for position, ticket in found
    ]
    await req.respond_json(200, {"position": context.config.current().position, "tickets": listed})


async def state(context: FrontContext, req: Request) -> None:
    """``GET /v1/state``: list this VM's current objects, each with the ticket that set it."""
    context.require_operator(req)
    await req.respond_json(200, state_json(context.config.current()))


async def status(context: FrontContext, req: Request) -> None:
    """``GET /v1/status``: return the status of this VM and of each of its services."""
    context.require_operator(req)
    services: dict[str, object] = {}
    for service in context.kernel.services():
        report_status: Callable[[], dict[str, object]] | None = getattr(service, "status", None)
        if report_status is not None:
            services[service.name] = report_status()
    vm = context.cfg.vm
    response = {
        "vm": {"name": vm.name, "region": vm.region, "data_centre": vm.data_centre},
        "position": context.config.current().position,
        "age_ms": context.config.age_ms(),
        "restarts": context.kernel.restarts,
        "services": services,
    }
    await req.respond_json(200, response)


async def drain(context: FrontContext, req: Request) -> None:
    """``POST /v1/drain``: shut this VM down after the requests in flight."""
    context.require_operator(req)
    await req.respond_json(202, {"status": "draining"})
    context.kernel.stop()


async def metrics(context: FrontContext, req: Request) -> None:
    """``GET /metrics``: return the metrics, which name accounts and so need an operator's key."""
    context.require_operator(req)
    await req.respond(200, context.counters.text(), (b"content-type", METRICS_CONTENT_TYPE))


def state_json(config: ConfigState) -> dict[str, Any]:
    """Return a configuration state in the form of the operator API."""
    objects = [
        {"kind": ref.kind, "name": ref.name, "ticket": entry.ticket, "value": entry.value}
        for ref, entry in sorted(config.objects.items())
    ]
    head = {"position": config.position, "head_ticket": config.head_ticket}
    return head | {"objects": objects}


def int_parameter(query: dict[str, str], name: str, default: int) -> int:
    """Return an integer parameter of the query string."""
    value = query.get(name, str(default))
    if not value.isdecimal():
        raise GatewayError(ErrorKind.BAD_REQUEST, f"{name} must be a number")
    return int(value)
