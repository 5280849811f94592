"""Handlers for models, entry VMs, idempotency keys and the health check."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.untrusted import InvalidBytesError, decode_json

if TYPE_CHECKING:
    from hickorybeam.front.context import FrontContext
    from hickorybeam.front.request import Request

__all__ = ("entries", "health", "idempotency_keys", "models")

MAX_KEYS = 1_000
MAX_BODY_BYTES = 10_000
# The published API requires a creation time for each model.
MODEL_CREATED_S = 1_700_000_000


class _KeysRequest(msgspec.Struct):
    count: int = 1


async def models(context: FrontContext, req: Request) -> None:
    """``GET /v1/models``: list the models that the account may use."""
    account = context.authenticate(req).account
    names = [
        name
        for name in sorted(context.config.current().models)
        if not account.models or name in account.models
    ]
    data = [
        {"id": name, "object": "model", "created": MODEL_CREATED_S, "owned_by": "hickorybeam"}
        for name in names
    ]
    await req.respond_json(200, {"object": "list", "data": data})


async def entries(context: FrontContext, req: Request) -> None:
    """``GET /v1/entries``: list the VMs to use, best first, with the list's validity."""
    identity = context.authenticate(req)
    if identity.allowed_regions is None:
        raise GatewayError(ErrorKind.RESIDENCY_UNKNOWN)
    found = context.entries_for(identity, client_address=req.client_address)
    listed = [
        {"address": vm.http_address, "region": vm.region, "data_centre": vm.data_centre}
        for vm in found
    ]
    valid_ms = context.cfg.front.entries_valid_ms
    await req.respond_json(200, {"entries": listed, "valid_ms": valid_ms})


async def idempotency_keys(context: FrontContext, req: Request) -> None:
    """``POST /v1/idempotency-keys``: issue keys; a call with one runs at most once."""
    identity = context.admit(req)
    raw = await req.body(limit=MAX_BODY_BYTES)
    try:
        keys_request = decode_json(raw or b"{}", _KeysRequest)
    except InvalidBytesError as exc:
        raise GatewayError(ErrorKind.BAD_REQUEST, 'expected {"count": number}') from exc
    if not 1 <= keys_request.count <= MAX_KEYS:
        raise GatewayError(ErrorKind.BAD_REQUEST, f"count must be from 1 to {MAX_KEYS}")
    if context.once is None:
        raise context.redirect_error(ErrorKind.NOT_READY, identity.allowed_regions)
    keys = context.once.issue(identity.account.name, keys_request.count)
    await req.respond_json(200, {"keys": keys})


async def health(context: FrontContext, req: Request) -> None:
    """``GET /healthz``: report whether this VM accepts calls; the only path without a key."""
    if context.draining:
        raise context.redirect_error(ErrorKind.DRAINING)
    if not context.config.current().position:
        raise context.redirect_error(ErrorKind.NOT_READY)
    await req.respond_json(200, {"status": "serving"})
