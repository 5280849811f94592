"""Who asks: from the key in the headers to the client account, and what it may do here."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from hickorybeam.errors import ErrorKind, GatewayError, Ran
from hickorybeam.model import key_digest

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hickorybeam.model import ClientAccount, ConfigState

__all__ = ("Identity", "identify", "is_operator", "extract_secret")

BEARER_PREFIX = "bearer "


@dataclass(frozen=True, slots=True, kw_only=True)
class Identity:
    """An authenticated caller; ``allowed`` are the regions that may see its data."""

    account: ClientAccount
    key_digest: str
    operator: bool
    allowed_regions: frozenset[str] | None


def extract_secret(authorization: str, api_key: str = "") -> str:
    """Return the key that came with a request.

    :raises GatewayError: ``KEY_MISSING``.
    """
    if authorization[: len(BEARER_PREFIX)].lower() == BEARER_PREFIX:
        secret = authorization[len(BEARER_PREFIX) :].strip()
    else:
        secret = api_key.strip()
    if not secret:
        raise GatewayError(ErrorKind.KEY_MISSING)
    return secret


def identify(state: ConfigState, secret: str) -> Identity:
    """Find the account of a key.

    Looking a digest up in a table takes a time that depends on the digest. That tells an
    attacker nothing of use: to come closer to a digest by its first bytes one would have to
    invert SHA-256.

    :raises GatewayError: ``KEY_UNKNOWN`` or ``KEY_WITHDRAWN``; nothing ran in either case.
    """
    digest = key_digest(secret)
    key = state.keys.get(digest)
    if key is None:
        if state.is_revoked(digest):
            raise GatewayError(ErrorKind.KEY_WITHDRAWN, ran=Ran.NO)
        raise GatewayError(ErrorKind.KEY_UNKNOWN)
    account = state.accounts.get(key.account)
    if account is None:
        raise GatewayError(ErrorKind.KEY_WITHDRAWN, "its account is deleted", ran=Ran.NO)
    return Identity(
        account=account,
        key_digest=digest,
        operator=key.operator,
        allowed_regions=state.allowed_regions(account),
    )


def is_operator(state: ConfigState, secret: str, configured_digests: Iterable[str]) -> bool:
    """Whether a key may call the operator API.

    :param always: digests from the settings, which work before the first ticket.
    """
    digest = key_digest(secret)
    if digest in configured_digests:
        return True
    key = state.keys.get(digest)
    return key is not None and key.operator
