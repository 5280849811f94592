"""Datagram messages between a VM and the placement coordinator of its region."""

from __future__ import annotations

from enum import Enum

import msgspec

from hickorybeam.gateway.status_report import ReportedLoad  # noqa: TC001 - read by msgspec
from hickorybeam.model.bounds import BoundedFloat, BoundedInt  # noqa: TC001 - read by msgspec

__all__ = (
    "HeldPlacements",
    "PlacementRequest",
    "PlacementResponse",
    "PlacementResult",
    "PlacementUpdate",
    "SendStatus",
)


class PlacementResult(Enum):
    """Result of a placement request.

    ``WAITS``: the request is queued at the coordinator, and a further response follows.
    """

    SERVER = "server"
    OTHER_REGION = "other region"
    WAITS = "waits"
    FULL = "full"
    NOTHING = "nothing"


class SendStatus(Enum):
    """How far a placed request has come, or how its send ended.

    ``READ``: its prompt is prefilled. ``LEFT``: it ended without an outcome at the server.
    """

    READ = "read"
    ANSWERED = "answered"
    FAILED = "failed"
    UNREACHABLE = "unreachable"
    LEFT = "left"


class PlacementRequest(msgspec.Struct, frozen=True, array_like=True, tag="wanted"):
    """Asks for the placement of a request; resent with the same number until a response comes.

    ``gone_ms`` is the time since the request arrived, ``left_ms`` the time left until its
    deadline. ``parts`` are those of its prompt, by id and tokens. ``tried`` names targets that it
    was sent to, ``refused`` regions that refused it. ``again``: one of ``tried`` may be tried
    again if there is no other. ``here_only``: it may run in this region only. ``resting`` names
    servers that asked the VM for rest. ``version_key`` is that of the only version that may run
    it, if a server of it began its stream. ``homes`` are the home regions of its route,
    ``account_homes`` those of its account at its admission.
    """

    vm: str
    number: BoundedInt
    service: str
    account: str | None
    homes: list[str]
    parts: list[tuple[str, BoundedInt]]
    prompt_tokens: BoundedInt
    output_tokens: BoundedInt
    urgency: BoundedInt
    target_ms: BoundedInt
    gone_ms: BoundedInt
    left_ms: BoundedInt
    tried: list[str]
    refused: list[str]
    again: bool
    here_only: bool
    resting: list[str] = []
    version_key: bytes | None = None
    account_homes: list[str] = []


class PlacementResponse(msgspec.Struct, frozen=True, array_like=True, tag="placed"):
    """Response to a placement request.

    ``target`` is a server's id or the name of another region's VM. ``wait_ms`` is the expected
    wait at the target; if there is no capacity, the retry-after for the caller.
    """

    number: BoundedInt
    verdict: PlacementResult
    target: str = ""
    copy_from: str | None = None
    wait_ms: BoundedFloat = 0.0


class PlacementUpdate(msgspec.Struct, frozen=True, array_like=True, tag="told"):
    """Reports the status of placed requests, by number.

    ``loads``: by server, what its response to one of them said.
    """

    vm: str
    endings: list[tuple[BoundedInt, SendStatus]]
    loads: dict[str, ReportedLoad] = {}


class HeldPlacements(msgspec.Struct, frozen=True, array_like=True, tag="still"):
    """Lists the numbers of all requests for which a VM holds a slot grant or asks for one."""

    vm: str
    numbers: list[BoundedInt]
