"""A caller's request as it travels inside the gateway."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

__all__ = ("Call", "CallKind", "Header")

Header = tuple[str, str]


class CallKind(Enum):
    """What a call asks of a backend server."""

    CHAT = "chat"
    COMPLETION = "completion"
    PLAIN = "plain"


@dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """One authenticated request. It carries the account's name and never the caller's key.

    ``served`` is the model or plain service. ``cost`` is the tokens taken at admission
    (estimated prompt plus maximum output). ``deadline_ms`` is what was left on arrival, a
    duration, so that it survives a hop between clocks. ``position`` is the log position that
    the sender acted on. ``hops`` is 1 when a peer forwarded the call. ``key_digest`` lets the
    executor end the stream of a key withdrawn meanwhile. ``prefix`` is a digest of the
    prompt's start, for affinity.
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
