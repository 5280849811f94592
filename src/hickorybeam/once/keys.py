"""Issued idempotency keys: which VM runs a call, readable by all and forgeable by none."""

from __future__ import annotations

import hashlib
import hmac
import secrets
from dataclasses import dataclass
from typing import Final

from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.model import VmId

__all__ = ("IssuedKey", "KeyIssuer", "is_issued", "parse_key")

PREFIX: Final = "hb1~"
SEPARATOR: Final = "~"
NONCE_BYTES: Final = 12
MAC_HEX: Final = 32
LONGEST_KEY: Final = 400


@dataclass(frozen=True, slots=True)
class IssuedKey:
    """What an issued key says.

    ``expires_ms`` is on the issuer's monotonic clock, which alone judges it: no two clocks
    are compared.
    """

    vm: VmId
    expires_ms: int
    nonce: str
    mac: str


def is_issued(key: str) -> bool:
    """Whether a key claims to be an issued one; callers' own keys may not begin so."""
    return key.startswith(PREFIX)


def parse_key(key: str) -> IssuedKey:
    """Read an issued key, or raise ``IDEMPOTENCY_INVALID``."""
    fields = key.removeprefix(PREFIX).split(SEPARATOR)
    if not is_issued(key) or len(key) > LONGEST_KEY or len(fields) != 5:
        raise GatewayError(ErrorKind.IDEMPOTENCY_INVALID)
    name, incarnation, expires, nonce, mac = fields
    try:
        return IssuedKey(VmId(name, incarnation), int(expires, 16), nonce, mac)
    except ValueError as exc:
        raise GatewayError(ErrorKind.IDEMPOTENCY_INVALID) from exc


class KeyIssuer:
    """Issues and checks keys of one incarnation; the secret never leaves the process."""

    def __init__(self, vm: VmId) -> None:
        self.vm = vm
        self._secret = secrets.token_bytes(32)

    def issue(self, account: str, expires_ms: int) -> str:
        """Return a new key bound to an account."""
        nonce = secrets.token_hex(NONCE_BYTES)
        fields = (self.vm.name, self.vm.incarnation, f"{expires_ms:x}", nonce)
        mac = self._mac(account, expires_ms, nonce)
        return PREFIX + SEPARATOR.join((*fields, mac))

    def check(self, key: IssuedKey, account: str) -> None:
        """Raise ``IDEMPOTENCY_INVALID`` unless this VM issued the key to this account."""
        wanted = self._mac(account, key.expires_ms, key.nonce)
        if key.vm != self.vm or not hmac.compare_digest(wanted.encode(), key.mac.encode()):
            raise GatewayError(ErrorKind.IDEMPOTENCY_INVALID, "not issued to this account")

    def _mac(self, account: str, expires_ms: int, nonce: str) -> str:
        text = f"{len(account)}:{account}{SEPARATOR}{expires_ms:x}{SEPARATOR}{nonce}"
        return hmac.new(self._secret, text.encode(), hashlib.sha256).hexdigest()[:MAC_HEX]
