"""What the head of a response means for its request, and what of it is passed on."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorybeam.gateway.forwarding.hop import (
    HOP_UNFRAMED,
    HOP_VERSION,
    hop_version,
    without_hop_headers,
)
from hickorybeam.gateway.targets import PeerTarget, ServerTarget
from hickorybeam.platform import response_headers
from hickorybeam.policy.stream_versions import UNKNOWN_VERSION

if TYPE_CHECKING:
    from hickorybeam.gateway.progress import RequestProgress
    from hickorybeam.gateway.targets import Target
    from hickorybeam.http1 import RawHeaders, ResponseHead
    from hickorybeam.platform import ResponseInfo

__all__ = ("headers_to_pass_on", "is_failed", "version_key_of")

FIRST_SERVER_ERROR_STATUS = 500


def is_failed(info: ResponseInfo, progress: RequestProgress) -> bool:
    """Return whether a whole response is kept as a failure, in case that no better one comes."""
    is_error = info.status >= FIRST_SERVER_ERROR_STATUS or info.implies_not_run
    return is_error or progress.response.started


def version_key_of(target: Target, head: ResponseHead) -> bytes:
    """Return the key of the version that a response comes from.

    It is unknown if the server may have started again before the response's connection was opened.
    """
    match target:
        case ServerTarget(server_state):
            return server_state.version_key_on(head.opened_ms)
        case PeerTarget():
            return hop_version(head.headers) or UNKNOWN_VERSION


def headers_to_pass_on(
    head: ResponseHead, progress: RequestProgress, key: bytes, *, unframed: bool
) -> RawHeaders:
    """Return a response's headers for its caller, or for the VM that forwarded the request.

    :param key: key of the version that the response comes from, which only that VM is told.
    :param unframed: the server sent it without framing, which only that VM is told.
    """
    headers = without_hop_headers(response_headers(head.headers))
    if not progress.own_region_only:
        return headers
    told = ((HOP_UNFRAMED, b"1"),) if unframed else ()
    return (*headers, (HOP_VERSION, key.hex().encode()), *told)
