"""HTTP calls of an operator to any entry VM."""

from __future__ import annotations

import json
import os
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

import httpcore
import msgspec

if TYPE_CHECKING:
    from collections.abc import Mapping

    from hickorybeam.model import ChangeTicket

__all__ = ("KEY_VARIABLE", "OperatorClient", "RefusedError", "UnreachableError", "read_key")

KEY_VARIABLE = "HICKORYBEAM_KEY"
TIMEOUT_S = 15.0
OK_BELOW = 400


class UnreachableError(Exception):
    """The entry VM gave no answer."""


class RefusedError(Exception):
    """The entry VM refused.

    :param error: the ``error`` object of its answer.
    """

    def __init__(self, error: Mapping[str, Any]) -> None:
        super().__init__(f"{error.get('code')}: {error.get('message')}")
        self.error = error


@dataclass(frozen=True, slots=True)
class OperatorClient:
    """Calls the operator interface of one entry VM; any of them will do."""

    url: str
    key: str

    def submit(self, ticket: ChangeTicket) -> dict[str, Any]:
        """Submit a change ticket and return its number and position."""
        return self._call("POST", "/v1/tickets", msgspec.to_builtins(ticket))

    def tickets(self, *, after: int = 0, limit: int = 100) -> dict[str, Any]:
        """Return accepted tickets after a position."""
        return self._call("GET", f"/v1/tickets?from={after}&limit={limit}")

    def state(self) -> dict[str, Any]:
        """Return every object in force with the number of its ticket."""
        return self._call("GET", "/v1/state")

    def status(self) -> dict[str, Any]:
        """Return what the VM tells of itself and of the fleet."""
        return self._call("GET", "/v1/status")

    def drain(self) -> dict[str, Any]:
        """Ask the VM to shut down gracefully."""
        return self._call("POST", "/v1/drain", {})

    def _call(self, method: str, path: str, body: object = None) -> dict[str, Any]:
        headers = [("Authorization", f"Bearer {self.key}"), ("Content-Type", "application/json")]
        content = None if body is None else json.dumps(body).encode()
        timeout = dict.fromkeys(("connect", "read", "write", "pool"), TIMEOUT_S)
        try:
            resp = httpcore.request(
                method,
                self.url.rstrip("/") + path,
                headers=headers,
                content=content,
                extensions={"timeout": timeout},
            )
            answer = json.loads(resp.content or b"{}")
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
            httpcore.UnsupportedProtocol,
            ValueError,
        ) as exc:
            raise UnreachableError(f"{self.url}: {type(exc).__name__}: {exc}") from exc
        if resp.status >= OK_BELOW:
            raise RefusedError(
                answer.get("error", {"code": resp.status, "message": "no reason given"})
            )
        return dict(answer)


def read_key(key_file: str | None) -> str:
    """Return the operator's key from a file, else from the environment.

    A key on the command line would stand in the process list and the shell's history.
    """
    if key_file:
        return Path(key_file).read_text(encoding="utf-8").strip()
    key = os.environ.get(KEY_VARIABLE, "")
    if not key:
        raise ValueError(f"no operator key: set {KEY_VARIABLE} or give --key-file")
    return key
