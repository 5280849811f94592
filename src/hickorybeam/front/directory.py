"""Handlers that tell callers what there is: models, entry VMs, idempotency keys."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from hickorybeam.errors import ErrorKind, GatewayError

if TYPE_CHECKING:
    from hickorybeam.front.context import FrontContext
    from hickorybeam.front.request import Request

__all__ = ("entries", "health", "idempotency_keys", "models")

MOST_KEYS = 1_000
SMALL_BODY = 10_000
FOUNDED_S = 1_700_000_000


class _KeysWanted(msgspec.Struct):
    count: int = 1


async def models(context: FrontContext, req: Request) -> None:
    """``GET /v1/models``: the models that the account may use."""
    account = context.identity(req).account
    names = [
        name
        for name in sorted(context.config.current().models)
        if not account.models or name in account.models
    ]
    data = [
        {"id": name, "object": "model", "created": FOUNDED_S, "owned_by": "hickorybeam"}
        for name in names
    ]
    await req.json(200, {"object": "list", "data": data})


async def entries(context: FrontContext, req: Request) -> None:
    """``GET /v1/entries``: the VMs to use, best first, and how long the list is good for."""
    identity = context.identity(req)
    if identity.allowed_regions is None:
        raise GatewayError(ErrorKind.RESIDENCY_UNKNOWN)
    found = context.entries(identity, address=req.address)
    listed = [
        {"address": vm.http_address, "region": vm.region, "data_centre": vm.data_centre}
        for vm in found
    ]
    valid_ms = context.cfg.front.entries_valid_ms
    await req.json(200, {"entries": listed, "valid_ms": valid_ms})


async def idempotency_keys(context: FrontContext, req: Request) -> None:
    """``POST /v1/idempotency-keys``: keys that this VM will run at most once."""
    identity = context.admit(req)
    raw = await req.body(context.memory, limit=SMALL_BODY)
    try:
        wanted = msgspec.json.decode(raw or b"{}", type=_KeysWanted)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise GatewayError(ErrorKind.BAD_REQUEST, 'expected {"count": number}') from exc
    if not 1 <= wanted.count <= MOST_KEYS:
        raise GatewayError(ErrorKind.BAD_REQUEST, f"count must be from 1 to {MOST_KEYS}")
    if context.once is None:
        raise context.elsewhere(ErrorKind.NOT_READY, identity.allowed_regions)
    keys = context.once.issue(identity.account.name, wanted.count)
    await req.json(200, {"keys": keys})


async def health(context: FrontContext, req: Request) -> None:
    """``GET /healthz``: whether this VM takes work; the only call that needs no key."""
    if context.draining:
        raise context.elsewhere(ErrorKind.DRAINING)
    if not context.config.current().position:
        raise context.elsewhere(ErrorKind.NOT_READY)
    await req.json(200, {"status": "serving"})
