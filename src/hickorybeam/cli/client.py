"""HTTP client of the operator API."""

from __future__ import annotations

import json
import os
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

import httpcore
import msgspec

from hickorybeam.untrusted import decode_json

if TYPE_CHECKING:
    from collections.abc import Mapping

    from hickorybeam.model import ChangeTicket

__all__ = ("KEY_ENV_VARIABLE", "OperatorClient", "RefusedError", "UnreachableError", "read_key")

KEY_ENV_VARIABLE = "HICKORYBEAM_KEY"
TIMEOUT_S = 15.0
MIN_ERROR_STATUS = 400


class UnreachableError(Exception):
    """The entry VM sent no valid response."""


class RefusedError(Exception):
    """The entry VM refused the call.

    :param error: the ``error`` object of its response.
    """

    def __init__(self, error: Mapping[str, Any]) -> None:
        super().__init__(f"{error.get('code')}: {error.get('message')}")
        self.error = error


@dataclass(frozen=True, slots=True)
class OperatorClient:
    """Calls the operator API of an entry VM; every VM offers it."""

    url: str
    key: str

    def submit(self, ticket: ChangeTicket) -> dict[str, Any]:
        """Submit a change ticket and return its number and position."""
        return self._call("POST", "/v1/tickets", msgspec.to_builtins(ticket))

    def tickets(self, *, after: int = 0, limit: int = 100) -> dict[str, Any]:
        """Return accepted tickets after a position, at most ``limit``."""
        return self._call("GET", f"/v1/tickets?from={after}&limit={limit}")

    def state(self) -> dict[str, Any]:
        """Return every current object with the number of the ticket that set it."""
        return self._call("GET", "/v1/state")

    def status(self) -> dict[str, Any]:
        """Return the VM's status and its view of the fleet."""
        return self._call("GET", "/v1/status")

    def drain(self) -> dict[str, Any]:
        """Ask the VM to shut down gracefully."""
        return self._call("POST", "/v1/drain", {})

    def _call(self, method: str, path: str, body: object = None) -> dict[str, Any]:
        headers = [("Authorization", f"Bearer {self.key}"), ("Content-Type", "application/json")]
        content = None if body is None else json.dumps(body).encode()
        timeout = dict.fromkeys(("connect", "read", "write", "pool"), TIMEOUT_S)
        try:
            http_response = httpcore.request(
                method,
                self.url.rstrip("/") + path,
                headers=headers,
                content=content,
                extensions={"timeout": timeout},
            )
            response = decode_json(http_response.content, dict[str, Any])
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
            httpcore.UnsupportedProtocol,
            ValueError,
        ) as exc:
            raise UnreachableError(f"{self.url}: {type(exc).__name__}: {exc}") from exc
        if http_response.status >= MIN_ERROR_STATUS:
            error = response.get("error")
            if not isinstance(error, dict):
                error = {"code": http_response.status, "message": error or "no reason given"}
            raise RefusedError(error)
        return response


def read_key(key_file: str | None) -> str:
    """Return the operator's key from a file, else from the environment.

    A key on the command line would be visible in the process list and the shell's history.
    """
    if key_file:
        return Path(key_file).read_text(encoding="utf-8").strip()
    key = os.environ.get(KEY_ENV_VARIABLE, "")
    if not key:
        raise ValueError(f"no operator key: set {KEY_ENV_VARIABLE} or give --key-file")
    return key
