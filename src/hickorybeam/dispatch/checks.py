"""What a call must pass at every VM that touches it, whoever checked it before."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.model import CallKind

if TYPE_CHECKING:
    from hickorybeam.model import Call, ClientAccount, ConfigState

__all__ = ("Permit", "check_call", "fault_of_running")


@dataclass(frozen=True, slots=True, kw_only=True)
class Permit:
    """A call's account and the regions in which the call may run, by one state.

    ``regions`` are those that the account's residency rule and the placement both allow.
    """

    account: ClientAccount
    regions: frozenset[str]
    position: int


def check_call(call: Call, state: ConfigState, *, region: str) -> Permit:
    """Return what a call may do, or raise its refusal.

    The entry VM has checked all this before it read the body. It is checked again here
    because a ticket may have come into force since, and because a forwarded call was checked
    by another VM, whose view may be older than this one's.

    :param region: the region of this VM, which sees the call's data by running it.
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
        regions=allowed & _placement(call, account, state),
        position=state.position,
    )


def fault_of_running(call: Call, state: ConfigState, *, regions: set[str]) -> GatewayError | None:
    """Return why a call whose data is in these regions must end, if it must."""
    account = state.accounts.get(call.account)
    if account is None or state.is_revoked(call.key_digest):
        return GatewayError(ErrorKind.KEY_WITHDRAWN)
    allowed = state.allowed_regions(account)
    if allowed is None or not regions <= allowed:
        return GatewayError(ErrorKind.STREAM_BROKEN, "residency no longer allows this region")
    return None


def _placement(call: Call, account: ClientAccount, state: ConfigState) -> frozenset[str]:
    if call.kind is CallKind.PLAIN:
        service = state.services.get(call.served)
        if service is None or (account.services and call.served not in account.services):
            raise GatewayError(ErrorKind.SERVICE_UNKNOWN)
        return frozenset(service.regions)
    model = state.models.get(call.served)
    if model is None or (account.models and call.served not in account.models):
        raise GatewayError(ErrorKind.MODEL_UNKNOWN)
    return frozenset(model.regions)
