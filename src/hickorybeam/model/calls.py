"""A caller's request as passed on inside the gateway."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

__all__ = ("Call", "CallKind", "Header")

Header = tuple[str, str]


class CallKind(Enum):
    """The kind of work that a call asks of a backend server."""

    CHAT = "chat"
    COMPLETION = "completion"
    PLAIN = "plain"


@dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """One authenticated request. It carries the account's name and never the caller's key.

    ``served`` is the model or plain service. ``cost`` is the tokens taken at admission
    (estimated prompt plus maximum output). ``deadline_ms`` is the time remaining on arrival, a
    duration, so that it stays valid on a VM with another clock. ``position`` is the log position
    of the sender's configuration. ``hops`` is 1 if a peer forwarded the call. ``key_digest`` lets
    the VM that runs the call end its stream if the key is revoked meanwhile. ``prefix`` is a digest
    of the prompt's start, for cache affinity.
    """

    request_id: str
    account: str
    key_digest: str
    kind: CallKind
    served: str
    method: str = "POST"
    path: str = ""
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    stream: bool = False
    idempotent: bool = True
    idempotency_key: str = ""
    priority: int = 0
    prompt_tokens: int = 0
    max_tokens: int = 0
    cost: int = 1
    prefix: str = ""
    deadline_ms: int = 60_000
    position: int = 0
    hops: int = 0
