"""HTTP/1.1 on both sides of the gateway: server for callers, client for other servers."""

from __future__ import annotations

from hickorybeam.http1.events import EventScanner, is_encoded, is_event_stream
from hickorybeam.http1.head import (
    Framing,
    IncomingRequest,
    RawHeaders,
    ResponseHead,
    find_header,
    has_ambiguous_framing,
)
from hickorybeam.http1.intake import ClosedReason, Intake, unbounded_intake
from hickorybeam.http1.pool import ConnectFailedError, UpstreamPool
from hickorybeam.http1.response_errors import BrokenResponseError, EndlessResponseError
from hickorybeam.http1.response_owner import Owner, RequestId, Stray, owner_of
from hickorybeam.http1.server import HttpServer, ResponseWriter
from hickorybeam.http1.upstream import UpstreamConnection
from hickorybeam.http1.values import (
    header_bytes,
    header_text,
    parse_count,
    parse_decimal,
    parse_retry_after_ms,
)

__all__ = (
    "ResponseHead",
    "BrokenResponseError",
    "ClosedReason",
    "ConnectFailedError",
    "EndlessResponseError",
    "EventScanner",
    "Framing",
    "HttpServer",
    "IncomingRequest",
    "Intake",
    "Owner",
    "RawHeaders",
    "RequestId",
    "ResponseWriter",
    "Stray",
    "UpstreamConnection",
    "UpstreamPool",
    "find_header",
    "header_bytes",
    "header_text",
    "has_ambiguous_framing",
    "is_encoded",
    "is_event_stream",
    "owner_of",
    "parse_count",
    "parse_decimal",
    "parse_retry_after_ms",
    "unbounded_intake",
)
