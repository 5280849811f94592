"""Issued idempotency keys, signed, which name the VM that runs the call in readable form."""

from __future__ import annotations

import hashlib
import hmac
import secrets
from dataclasses import dataclass
from typing import Final

from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.model import VmId

__all__ = ("IssuedKey", "KeyIssuer", "is_issued", "parse_key")

ISSUED_PREFIX: Final = "hb1~"
SEPARATOR: Final = "~"
NONCE_BYTES: Final = 12
MAC_HEX_DIGITS: Final = 32
MAX_KEY_LENGTH: Final = 400


@dataclass(frozen=True, slots=True)
class IssuedKey:
    """The fields of an issued key.

    ``expires_ms`` is on the issuer's monotonic clock. Only the issuer checks it, so no two
    clocks are compared.
    """

    vm: VmId
    expires_ms: int
    nonce: str
    mac: str


def is_issued(key: str) -> bool:
    """Whether a key has the prefix of issued keys, which caller-chosen keys may not have."""
    return key.startswith(ISSUED_PREFIX)


def parse_key(key: str) -> IssuedKey:
    """Parse an issued key, or raise ``IDEMPOTENCY_INVALID``."""
    fields = key.removeprefix(ISSUED_PREFIX).split(SEPARATOR)
    if not is_issued(key) or len(key) > MAX_KEY_LENGTH or len(fields) != 5:
        raise GatewayError(ErrorKind.IDEMPOTENCY_INVALID)
    name, incarnation, expires, nonce, mac = fields
    try:
        return IssuedKey(VmId(name, incarnation), int(expires, 16), nonce, mac)
    except ValueError as exc:
        raise GatewayError(ErrorKind.IDEMPOTENCY_INVALID) from exc


class KeyIssuer:
    """Issues and verifies keys of one incarnation; the secret never leaves the process."""

    def __init__(self, vm: VmId) -> None:
        self.vm = vm
        self._secret = secrets.token_bytes(32)

    def issue(self, account: str, expires_ms: int) -> str:
        """Return a new key bound to an account."""
        nonce = secrets.token_hex(NONCE_BYTES)
        fields = (self.vm.name, self.vm.incarnation, f"{expires_ms:x}", nonce)
        mac = self._mac(account, expires_ms, nonce)
        return ISSUED_PREFIX + SEPARATOR.join((*fields, mac))

    def verify(self, key: IssuedKey, account: str) -> None:
        """Raise ``IDEMPOTENCY_INVALID`` unless this VM issued the key to this account."""
        expected_mac = self._mac(account, key.expires_ms, key.nonce)
        if key.vm != self.vm or not hmac.compare_digest(expected_mac.encode(), key.mac.encode()):
            raise GatewayError(ErrorKind.IDEMPOTENCY_INVALID, "not issued to this account")

    def _mac(self, account: str, expires_ms: int, nonce: str) -> str:
        text = f"{len(account)}:{account}{SEPARATOR}{expires_ms:x}{SEPARATOR}{nonce}"
        return hmac.new(self._secret, text.encode(), hashlib.sha256).hexdigest()[:MAC_HEX_DIGITS]
