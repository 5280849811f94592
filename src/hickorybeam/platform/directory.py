"""Directory queries and responses, and the paths of the directory and the readiness check."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from urllib.parse import parse_qs

import msgspec

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = (
    "READINESS_PATH",
    "RESOLUTION_PATH",
    "DirectoryQuery",
    "decode_query",
    "directory_response",
)

RESOLUTION_PATH = "/resolution"
READINESS_PATH = "/readiness"


@dataclass(frozen=True, slots=True)
class DirectoryQuery:
    """The host that a caller wants to reach, and where the caller is."""

    host: str
    region: str
    data_centre: str


def decode_query(target: bytes) -> DirectoryQuery | None:
    """Decode a directory query; return ``None`` for any other path."""
    path, _, query = target.decode("latin-1").partition("?")
    if path != RESOLUTION_PATH:
        return None
    fields = parse_qs(query)
    return DirectoryQuery(
        host=fields.get("name", [""])[0],
        region=fields.get("region", [""])[0],
        data_centre=fields.get("zone", [""])[0],
    )


def directory_response(addresses: Sequence[str], *, ttl_ms: int) -> bytes:
    """Encode the VM addresses for callers and how long they stay valid."""
    return msgspec.json.encode({"addresses": list(addresses), "ttl-s": ttl_ms / 1000})
