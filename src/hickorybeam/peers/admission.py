"""What a receiver checks again before it runs a forwarded call.

The sender decided on its own view, which may be older or newer than ours, or wrong. Each check
here refuses as not run, so that the sender may try elsewhere.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from hickorybeam.errors import ErrorKind, GatewayError, Ran

if TYPE_CHECKING:
    from hickorybeam.model import Call, ConfigState, VmId

__all__ = ("check_addressee", "check_call", "mark_hop")


def check_addressee(to: VmId, own_id: VmId) -> None:
    """Refuse what was meant for an earlier process at this address, or for another VM.

    A VM restarted at the same address has none of the old one's memory: a call bound to the
    old incarnation by its idempotency key would run a second time here.
    """
    if to.incarnation and to != own_id:
        raise GatewayError(
            ErrorKind.PEER_UNREACHABLE,
            f"{to.name} is gone, {own_id.name} listens there",
            ran=Ran.NO,
        )


def check_call(call: Call, state: ConfigState, region: str) -> None:
    """Check key, account and residency against our own state for our own region."""
    if state.is_revoked(call.key_digest):
        raise GatewayError(ErrorKind.KEY_WITHDRAWN, ran=Ran.NO)
    account = state.accounts.get(call.account)
    if account is None:
        raise GatewayError(ErrorKind.KEY_UNKNOWN, f"no account {call.account!r}", ran=Ran.NO)
    allowed = state.allowed_regions(account)
    if allowed is None:
        raise GatewayError(ErrorKind.RESIDENCY_UNKNOWN, ran=Ran.NO)
    if region not in allowed:
        raise GatewayError(ErrorKind.RESIDENCY, f"not in {region}", ran=Ran.NO)


def mark_hop(call: Call) -> Call:
    """Return the call as one that was forwarded once, whatever its sender said.

    The mark is set where the call comes in and never taken from it: a sender that forgot it,
    or a forged one, cannot make two VMs pass a call to and fro.
    """
    return replace(call, hops=1)
