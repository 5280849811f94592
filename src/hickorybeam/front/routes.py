"""The table of paths, and the one place where a request's outcome is counted."""

from __future__ import annotations

import traceback
from typing import TYPE_CHECKING

from absl import logging

from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.front import directory, operators, work
from hickorybeam.front.request import CallerGoneError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

    from hickorybeam.front.context import FrontContext
    from hickorybeam.front.request import Request

    Handler = Callable[[FrontContext, Request], Awaitable[None]]

__all__ = ("answer", "find")

ROUTES: Mapping[str, Mapping[str, Handler]] = {
    "/v1/chat/completions": {"POST": work.chat},
    "/v1/completions": {"POST": work.completion},
    "/v1/models": {"GET": directory.models},
    "/v1/entries": {"GET": directory.entries},
    "/v1/idempotency-keys": {"POST": directory.idempotency_keys},
    "/v1/tickets": {"POST": operators.submit, "GET": operators.tickets},
    "/v1/state": {"GET": operators.state},
    "/v1/status": {"GET": operators.status},
    "/v1/drain": {"POST": operators.drain},
    "/metrics": {"GET": operators.metrics},
    "/healthz": {"GET": directory.health},
}
SERVICE_METHODS = ("DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT")
SERVICE_ROUTES: Mapping[str, Handler] = dict.fromkeys(SERVICE_METHODS, work.plain_service)
CONFIGURED_ROUTES: Mapping[str, Handler] = dict.fromkeys(SERVICE_METHODS, work.routed)


def find(context: FrontContext, req: Request) -> Mapping[str, Handler] | None:
    """Return the handlers of a path by method: the gateway's own, then configured ones."""
    if req.path.startswith(work.SERVICES_PREFIX):
        return SERVICE_ROUTES
    found = ROUTES.get(req.path)
    if found is None and context.route_of(req) is not None:
        return CONFIGURED_ROUTES
    return found


async def answer(context: FrontContext, req: Request) -> None:
    """Answer one request; nothing that a caller sends gets past here as a traceback."""
    req.closing = context.draining
    try:
        await handle(context, req)
        outcome = "answered"
    except CallerGoneError:
        outcome = "caller_gone"
    except GatewayError as exc:
        outcome = "refused" if not req.answered else "broken"
        if not req.counted:
            context.counters.refusals.labels(exc.kind.value).inc()
        if not req.answered:
            await req.refuse(exc)
    except Exception as exc:
        outcome = "fault"
        log_fault(req, exc)
        context.counters.refusals.labels(ErrorKind.INTERNAL.value).inc()
        if req.answered:
            req.conn.end()
        else:
            await req.refuse(GatewayError(ErrorKind.INTERNAL))
    finally:
        context.memory.release(req.held_bytes)
        req.held_bytes = 0
    context.counters.requests.labels(route_label(context, req), outcome).inc()


async def handle(context: FrontContext, req: Request) -> None:
    """Find the handler and run it."""
    handlers = find(context, req)
    if handlers is None:
        raise GatewayError(ErrorKind.ROUTE_UNKNOWN)
    handler = handlers.get(req.method)
    if handler is None:
        allow = ", ".join(sorted(handlers))
        req.allow = allow
        raise GatewayError(ErrorKind.METHOD_NOT_ALLOWED)
    await handler(context, req)


def route_label(context: FrontContext, req: Request) -> str:
    """Return the path's name in metrics; a closed list, whatever callers ask for."""
    if req.path.startswith(work.SERVICES_PREFIX):
        return "services"
    if req.path in ROUTES:
        return req.path.rsplit("/", 1)[-1]
    return "routed" if context.route_of(req) is not None else "unknown"


def log_fault(req: Request, exc: Exception) -> None:
    """Log where a fault happened, without the message, which may quote the request."""
    places = "".join(traceback.format_tb(exc.__traceback__))
    logging.error("request %s: %s\n%s", req.id, type(exc).__name__, places)
