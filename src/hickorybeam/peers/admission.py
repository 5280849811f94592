"""Checks that a receiver repeats before it runs a forwarded call.

The sender decided by its own configuration, which may be older or newer than the receiver's, or
wrong. Each check refuses the call as not run, so that the sender may try elsewhere.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from hickorybeam.errors import ErrorKind, GatewayError, Ran

if TYPE_CHECKING:
    from hickorybeam.model import Call, ConfigState, VmId

__all__ = ("check_addressee", "check_call", "mark_hop")


def check_addressee(to: VmId, own_id: VmId) -> None:
    """Refuse a message for an earlier process at this address, or for another VM.

    A VM restarted at the same address has lost its in-memory state: a call bound to the old
    incarnation by its idempotency key would run a second time.
    """
    if to.incarnation and to != own_id:
        raise GatewayError(
            ErrorKind.PEER_UNREACHABLE,
            f"{to.name} is gone, {own_id.name} listens there",
            ran=Ran.NO,
        )


def check_call(call: Call, state: ConfigState, region: str) -> None:
    """Check key, account and residency against this VM's configuration, for its region."""
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
    """Return the call marked as forwarded once, whatever mark its sender set.

    The receiver sets the mark and never trusts the one received: a missing or forged mark cannot
    make two VMs forward a call back and forth.
    """
    return replace(call, hops=1)
