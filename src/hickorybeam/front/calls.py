"""Handlers of calls that run at backend servers: model calls and plain services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.front.bodies import BodyError, parse_body
from hickorybeam.front.memory import REQUEST_OVERHEAD_BYTES
from hickorybeam.front.relay import relay
from hickorybeam.model import Call, CallKind

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from hickorybeam.front.context import FrontContext
    from hickorybeam.front.identity import Identity
    from hickorybeam.front.request import Request
    from hickorybeam.model import ClientAccount, Header, ResponsePart, ServiceRoute

__all__ = ("chat", "completion", "plain_service", "configured_route")

IDEMPOTENCY_KEY_HEADER = b"idempotency-key"
DEADLINE_HEADER = b"x-hickorybeam-deadline-ms"
SERVICES_PREFIX = "/v1/services/"
MAX_IDEMPOTENCY_KEY_CHARS = 255
CHARS_PER_TOKEN = 4


async def chat(context: FrontContext, req: Request) -> None:
    """``POST /v1/chat/completions``: run a chat completion."""
    await model_call(context, req, CallKind.CHAT)


async def completion(context: FrontContext, req: Request) -> None:
    """``POST /v1/completions``: run a text completion."""
    await model_call(context, req, CallKind.COMPLETION)


async def model_call(context: FrontContext, req: Request, kind: CallKind) -> None:
    """Run a chat or text completion."""
    identity = context.admit(req)
    raw = await read_call_body(context, req, identity)
    try:
        body = parse_body(kind, raw)
    except BodyError as exc:
        req.param = exc.param
        raise
    check_model(context, identity.account, body.model)
    call = Call(
        request_id=req.id,
        account=identity.account.name,
        key_digest=identity.key_digest,
        kind=kind,
        served=body.model,
        headers=forwarded_headers(context, req),
        body=body.raw,
        stream=body.stream,
        idempotency_key=idempotency_key(req),
        priority=identity.account.priority,
        prompt_tokens=body.prompt_tokens,
        max_tokens=body.max_tokens,
        cost=body.cost,
        prefix=body.prefix,
        deadline_ms=deadline_ms(context, req),
        position=context.config.current().position,
    )
    await run_call(context, req, call, identity)


async def plain_service(context: FrontContext, req: Request) -> None:
    """``/v1/services/{service}/{path}``, any method: call a plain service."""
    identity = context.admit(req)
    name, path = split_target(req)
    await service_call(context, req, identity, name=name, path=path)


async def configured_route(context: FrontContext, req: Request) -> None:
    """Path of a configured route, any method: call the route's plain service."""
    identity = context.admit(req)
    route = context.match_route(req)
    if route is None:
        raise GatewayError(ErrorKind.ROUTE_UNKNOWN)
    await service_call(
        context, req, identity, name=route.service, path=raw_target(req), route=route
    )


async def service_call(
    context: FrontContext,
    req: Request,
    identity: Identity,
    *,
    name: str,
    path: str,
    route: ServiceRoute | None = None,
) -> None:
    """Run a call of a plain service.

    :param path: request target for the service, with the query.
    :param route: configured route of the request; its values override the service's.
    """
    state = context.config.current()
    service = state.services.get(name)
    allowed_services = identity.account.services
    if service is None or (allowed_services and name not in allowed_services):
        raise GatewayError(ErrorKind.SERVICE_UNKNOWN)
    idempotent = req.method not in service.non_idempotent
    timeout_ms = deadline_ms(context, req)
    if route is not None:
        idempotent = idempotent if route.idempotent is None else route.idempotent
        timeout_ms = min(timeout_ms, route.timeout_ms or timeout_ms)
    body = await read_call_body(context, req, identity)
    call = Call(
        request_id=req.id,
        account=identity.account.name,
        key_digest=identity.key_digest,
        kind=CallKind.PLAIN,
        served=name,
        method=req.method,
        path=path,
        headers=forwarded_headers(context, req),
        body=body,
        idempotent=idempotent,
        idempotency_key=idempotency_key(req),
        priority=identity.account.priority,
        cost=service.cost,
        deadline_ms=timeout_ms,
        position=state.position,
    )
    await run_call(context, req, call, identity)


async def read_call_body(context: FrontContext, req: Request, identity: Identity) -> bytes:
    """Read the body of an admitted call, and refuse a key outside of the headers."""
    try:
        req.memory.reserve(REQUEST_OVERHEAD_BYTES)
        body = await req.body(limit=context.cfg.front.max_body_bytes)
    except GatewayError as exc:
        raise context.add_entries(exc, identity.allowed_regions) from exc
    if (
        context.request_secret(req).encode("latin-1") in body
        or context.request_secret(req).encode() in req.query
    ):
        # The body and the query go to the backend server, which must not get the key.
        raise GatewayError(ErrorKind.BAD_REQUEST, "the key must be sent in a header only")
    return body


async def run_call(context: FrontContext, req: Request, call: Call, identity: Identity) -> None:
    """Run a call and send its response."""
    parts = start_call(context, call)
    try:
        await relay(req, parts)
    except GatewayError as exc:
        # The service that ran the call has counted the refusal already.
        req.refusal_counted = True
        raise context.add_entries(exc, identity.allowed_regions) from exc


def start_call(context: FrontContext, call: Call) -> AsyncIterator[ResponsePart]:
    """Start a call, through the idempotency service if it has an idempotency key."""
    if not call.idempotency_key:
        return context.dispatch.run(call)
    if context.once is None:
        raise GatewayError(ErrorKind.IDEMPOTENCY_INVALID, "this VM takes no idempotency keys")
    return context.once.run(call)


def check_model(context: FrontContext, account: ClientAccount, model: str) -> None:
    """Raise ``MODEL_UNKNOWN`` if the model does not exist or the account may not use it."""
    if model not in context.config.current().models or (
        account.models and model not in account.models
    ):
        raise GatewayError(ErrorKind.MODEL_UNKNOWN)


def split_target(req: Request) -> tuple[str, str]:
    """Return the service's name, and the rest of the target with its query as sent."""
    rest = raw_target(req).removeprefix(SERVICES_PREFIX)
    name, _, path = rest.partition("/")
    if not name:
        raise GatewayError(ErrorKind.ROUTE_UNKNOWN)
    return name, f"/{path}"


def raw_target(req: Request) -> str:
    """Return the target of a request with its query, as sent."""
    sent = req.raw_path + (b"?" + req.query if req.query else b"")
    try:
        return sent.decode("ascii")
    except UnicodeDecodeError as exc:
        raise GatewayError(ErrorKind.BAD_REQUEST, "the target is not ASCII") from exc


def forwarded_headers(context: FrontContext, req: Request) -> tuple[Header, ...]:
    """Return the caller's headers except any whose value contains its key."""
    secret = context.request_secret(req).encode("latin-1")
    return tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in req.raw_headers
        if secret not in value
    )


def idempotency_key(req: Request) -> str:
    """Return the idempotency key of a request, empty if there is none."""
    key = req.header(IDEMPOTENCY_KEY_HEADER)
    if len(key) > MAX_IDEMPOTENCY_KEY_CHARS:
        raise GatewayError(ErrorKind.IDEMPOTENCY_INVALID, "the key is too long")
    return key


def deadline_ms(context: FrontContext, req: Request) -> int:
    """Return the caller's deadline in ms from now, limited by the settings."""
    max_ms = context.cfg.front.default_deadline_ms
    requested = req.header(DEADLINE_HEADER)
    if not requested:
        return max_ms
    if not requested.isdecimal() or not int(requested):
        raise GatewayError(ErrorKind.BAD_REQUEST, "the deadline must be a number of milliseconds")
    return min(max_ms, int(requested))
