"""What a VM and the one that places for its region say to each other in datagrams."""

from __future__ import annotations

from enum import Enum

import msgspec

__all__ = (
    "SendStatus",
    "PlacementResponse",
    "HeldPlacements",
    "PlacementUpdate",
    "PlacementResult",
    "PlacementRequest",
)


class PlacementResult(Enum):
    """What became of a request that wanted a place."""

    SERVER = "server"
    OTHER_REGION = "other region"
    WAITS = "waits"
    FULL = "full"
    NOTHING = "nothing"


class SendStatus(Enum):
    """How far a placed request has come, or how its send ended."""

    READ = "read"
    ANSWERED = "answered"
    FAILED = "failed"
    UNREACHABLE = "unreachable"
    LEFT = "left"


class PlacementRequest(msgspec.Struct, frozen=True, array_like=True, tag="wanted"):
    """A request that wants a place; said again with the same number until it is answered.

    ``gone_ms`` of its objective have passed, ``left_ms`` are left until its deadline. ``tried``
    names targets that it was sent to, ``refused`` regions that refused it. ``parts`` are
    those of its prompt, by id and tokens.
    """

    vm: str
    number: int
    service: str
    account: str | None
    homes: list[str]
    parts: list[tuple[str, int]]
    prompt_tokens: int
    output_tokens: int
    urgency: int
    target_ms: int
    gone_ms: int
    left_ms: int
    tried: list[str]
    refused: list[str]
    again: bool
    here_only: bool


class PlacementResponse(msgspec.Struct, frozen=True, array_like=True, tag="placed"):
    """The answer. ``target`` is a server's id or the name of another region's VM.

    ``wait_ms`` is the wait that was foreseen there; where there is no room, when the caller
    should come back.
    """

    number: int
    verdict: PlacementResult
    target: str = ""
    copy_from: str | None = None
    wait_ms: float = 0.0


class PlacementUpdate(msgspec.Struct, frozen=True, array_like=True, tag="told"):
    """How requests that were placed go on, by number."""

    vm: str
    endings: list[tuple[int, SendStatus]]


class HeldPlacements(msgspec.Struct, frozen=True, array_like=True, tag="still"):
    """All places that a VM still holds or asks for, by number."""

    vm: str
    numbers: list[int]
