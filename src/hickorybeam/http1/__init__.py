"""HTTP/1.1 on both sides of the gateway: callers' connections and those to other servers."""

from __future__ import annotations

from hickorybeam.http1.head import ResponseHead, IncomingRequest, RawHeaders, find_header, framing_fault
from hickorybeam.http1.pool import ConnectFailedError, UpstreamPool
from hickorybeam.http1.server import HttpServer, ResponseWriter
from hickorybeam.http1.upstream import BrokenResponseError, UpstreamConnection

__all__ = (
    "ResponseHead",
    "BrokenResponseError",
    "ConnectFailedError",
    "HttpServer",
    "IncomingRequest",
    "RawHeaders",
    "ResponseWriter",
    "UpstreamConnection",
    "UpstreamPool",
    "find_header",
    "framing_fault",
)
