"""Commands for callers' keys."""

from __future__ import annotations

import secrets

from hickorybeam.cli.client import OperatorClient, read_key
from hickorybeam.cli.render import as_json
from hickorybeam.model import ChangeTicket, ClientKey, ObjectKind, ObjectRef, key_digest

__all__ = ("KeyCommands",)

KEY_BYTES = 24
KEY_PREFIX = "hb-"
DIGEST_HEX_LENGTH = 64


class KeyCommands:
    """Create and revoke callers' keys."""

    def make(
        self,
        account: str,
        *,
        url: str,
        operator: bool = False,
        key_file: str | None = None,
        json: bool = False,
    ) -> str:
        """Create a key, submit a ticket with its digest, and print the key once.

        :param account: the client account that the key belongs to.
        :param operator: whether the key may also call the operator API.
        """
        client = OperatorClient(url, read_key(key_file))
        secret = KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)
        key = ClientKey(name=key_digest(secret), account=account, operator=operator)
        ticket = ChangeTicket(number=_next_number(client), keys=(key,), note=f"key for {account}")
        result = client.submit(ticket)
        if json:
            return as_json({"key": secret, "digest": key.name, **result})
        return f"key (shown this once): {secret}\ndigest: {key.name}\nticket: {ticket.number}"

    def withdraw(
        self, key: str, *, url: str, key_file: str | None = None, json: bool = False
    ) -> str:
        """Revoke a key in the whole fleet.

        :param key: the key itself or its digest.
        """
        client = OperatorClient(url, read_key(key_file))
        is_digest = len(key) == DIGEST_HEX_LENGTH and all(c in "0123456789abcdef" for c in key)
        digest = key if is_digest else key_digest(key)
        ref = ObjectRef(ObjectKind.KEY.value, digest)
        ticket = ChangeTicket(number=_next_number(client), deleted=(ref,), note="key withdrawn")
        result = client.submit(ticket)
        return as_json(result) if json else f"withdrawn by ticket {ticket.number}: {digest}"


def _next_number(client: OperatorClient) -> int:
    return int(client.state()["head_ticket"]) + 1
