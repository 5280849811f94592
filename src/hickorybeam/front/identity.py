"""Authentication: from the key in the headers to the client account and its rights."""

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
    """An authenticated caller.

    :param key_digest: digest of the caller's key.
    :param operator: whether the key may call the operator API.
    :param allowed_regions: regions that may process its data, None if its rule is unknown.
    """

    account: ClientAccount
    key_digest: str
    operator: bool
    allowed_regions: frozenset[str] | None


def extract_secret(authorization: str, api_key: str = "") -> str:
    """Return the key from the values of its headers.

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
    """Return the identity that a key stands for.

    The time of the dictionary lookup depends on the digest. This does not help an attacker, who
    would have to invert SHA-256 to approach a digest by its first bytes.

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
    """Return whether a key may call the operator API.

    :param configured_digests: digests from the settings, accepted even before the first ticket.
    """
    digest = key_digest(secret)
    if digest in configured_digests:
        return True
    key = state.keys.get(digest)
    return key is not None and key.operator
