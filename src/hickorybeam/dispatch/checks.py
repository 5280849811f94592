"""Checks that each VM applies to a call, even if another VM has applied them before."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.model import CallKind

if TYPE_CHECKING:
    from hickorybeam.model import Call, ClientAccount, ConfigState

__all__ = ("Permit", "check_call", "termination_error")


@dataclass(frozen=True, slots=True, kw_only=True)
class Permit:
    """A call's account and the regions that may run the call, by one configuration state.

    ``regions`` are allowed by the account's residency rule and serve the model or service.
    """

    account: ClientAccount
    regions: frozenset[str]
    position: int


def check_call(call: Call, state: ConfigState, *, region: str) -> Permit:
    """Return the permit of a call, or raise the error that refuses it.

    The entry VM made these checks before it read the body. They are repeated because a ticket
    may have come into force since, and because a forwarded call was checked by another VM,
    whose configuration may be older.

    :param region: the region of this VM, which processes the call's data by running it.
    """
    account = state.accounts.get(call.account)
    if account is None or state.is_revoked(call.key_digest):
        raise GatewayError(ErrorKind.KEY_WITHDRAWN)
    allowed = state.allowed_regions(account)
    if allowed is None:
        raise GatewayError(ErrorKind.RESIDENCY_UNKNOWN)
    if region not in allowed:
        raise GatewayError(ErrorKind.RESIDENCY)
    return Permit(
        account=account,
        regions=allowed & _serving_regions(call, account, state),
        position=state.position,
    )


def termination_error(call: Call, state: ConfigState, *, regions: set[str]) -> GatewayError | None:
    """Return the error that ends a running call, ``None`` if it may go on.

    :param regions: the regions that process the call's data.
    """
    account = state.accounts.get(call.account)
    if account is None or state.is_revoked(call.key_digest):
        return GatewayError(ErrorKind.KEY_WITHDRAWN)
    allowed = state.allowed_regions(account)
    if allowed is None or not regions <= allowed:
        return GatewayError(ErrorKind.STREAM_BROKEN, "residency no longer allows this region")
    return None


def _serving_regions(call: Call, account: ClientAccount, state: ConfigState) -> frozenset[str]:
    if call.kind is CallKind.PLAIN:
        service = state.services.get(call.served)
        if service is None or (account.services and call.served not in account.services):
            raise GatewayError(ErrorKind.SERVICE_UNKNOWN)
        return frozenset(service.regions)
    model = state.models.get(call.served)
    if model is None or (account.models and call.served not in account.models):
        raise GatewayError(ErrorKind.MODEL_UNKNOWN)
    return frozenset(model.regions)
