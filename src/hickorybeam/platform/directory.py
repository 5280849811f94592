"""The directory's question and answer, and the paths on which the gateway is asked."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from urllib.parse import parse_qs

import msgspec

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ("READINESS", "RESOLUTION", "DirectoryQuery", "decode_query", "directory_response")

RESOLUTION = "/resolution"
READINESS = "/readiness"


@dataclass(frozen=True, slots=True)
class DirectoryQuery:
    """Which host a caller wants to reach, and from where."""

    host: str
    region: str
    data_centre: str


def decode_query(target: bytes) -> DirectoryQuery | None:
    """Read a question to the directory; ``None`` if the path is another one."""
    path, _, query = target.decode("latin-1").partition("?")
    if path != RESOLUTION:
        return None
    found = parse_qs(query)
    return DirectoryQuery(
        host=found.get("name", [""])[0],
        region=found.get("region", [""])[0],
        data_centre=found.get("zone", [""])[0],
    )


def directory_response(addresses: Sequence[str], *, ttl_ms: int) -> bytes:
    """Return the directory's answer: callers' addresses of VMs and how long they hold."""
    return msgspec.json.encode({"addresses": list(addresses), "ttl-s": ttl_ms / 1000})
