"""Table of paths, and the entry point that runs handlers and counts outcomes."""

from __future__ import annotations

import traceback
from typing import TYPE_CHECKING

from absl import logging

from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.front import calls, directory, operators
from hickorybeam.front.request import CallerDisconnectedError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

    from hickorybeam.front.context import FrontContext
    from hickorybeam.front.request import Request

    Handler = Callable[[FrontContext, Request], Awaitable[None]]

__all__ = ("handle_request", "find_handlers")

ROUTES: Mapping[str, Mapping[str, Handler]] = {
    "/v1/chat/completions": {"POST": calls.chat},
    "/v1/completions": {"POST": calls.completion},
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
SERVICE_HANDLERS: Mapping[str, Handler] = dict.fromkeys(SERVICE_METHODS, calls.plain_service)
CONFIGURED_ROUTE_HANDLERS: Mapping[str, Handler] = dict.fromkeys(
    SERVICE_METHODS, calls.configured_route
)


def find_handlers(context: FrontContext, req: Request) -> Mapping[str, Handler] | None:
    """Return the handlers of a path by method; built-in paths go before configured routes."""
    if req.path.startswith(calls.SERVICES_PREFIX):
        return SERVICE_HANDLERS
    handlers = ROUTES.get(req.path)
    if handlers is None and context.match_route(req) is not None:
        return CONFIGURED_ROUTE_HANDLERS
    return handlers


async def handle_request(context: FrontContext, req: Request) -> None:
    """Handle one request and count its outcome; an unexpected error becomes ``INTERNAL``."""
    req.close_connection = context.draining
    try:
        await run_handler(context, req)
        outcome = "answered"
    except CallerDisconnectedError:
        outcome = "caller_gone"
    except GatewayError as exc:
        outcome = "refused" if not req.response_started else "broken"
        if not req.refusal_counted:
            context.counters.refusals.labels(exc.kind.value).inc()
        if not req.response_started:
            await req.refuse(exc)
    except Exception as exc:
        outcome = "fault"
        log_internal_error(req, exc)
        context.counters.refusals.labels(ErrorKind.INTERNAL.value).inc()
        if req.response_started:
            req.conn.close_early()
        else:
            await req.refuse(GatewayError(ErrorKind.INTERNAL))
    finally:
        req.memory.release()
    context.counters.requests.labels(route_label(context, req), outcome).inc()


async def run_handler(context: FrontContext, req: Request) -> None:
    """Find the handler of a request and run it."""
    handlers = find_handlers(context, req)
    if handlers is None:
        raise GatewayError(ErrorKind.ROUTE_UNKNOWN)
    handler = handlers.get(req.method)
    if handler is None:
        allow_header = ", ".join(sorted(handlers))
        req.allow_header = allow_header
        raise GatewayError(ErrorKind.METHOD_NOT_ALLOWED)
    await handler(context, req)


def route_label(context: FrontContext, req: Request) -> str:
    """Return the path's label in metrics; a fixed set, so that callers cannot add labels."""
    if req.path.startswith(calls.SERVICES_PREFIX):
        return "services"
    if req.path in ROUTES:
        return req.path.rsplit("/", 1)[-1]
    return "routed" if context.match_route(req) is not None else "unknown"


def log_internal_error(req: Request, exc: Exception) -> None:
    """Log an error's type and stack without its message, which may quote the request."""
    stack = "".join(traceback.format_tb(exc.__traceback__))
    logging.error("request %s failed: %s\n%s", req.id, type(exc).__name__, stack)
