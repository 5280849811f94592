"""HTTP/1.1 on both sides of the gateway: callers' connections and those to other servers."""

from __future__ import annotations

from hickorybeam.http1.head import AnswerHead, Incoming, RawHeaders, find, framing_fault
from hickorybeam.http1.pool import ConnectFailedError, UpstreamPool
from hickorybeam.http1.server import HttpServer, Reply
from hickorybeam.http1.upstream import BrokenAnswerError, UpstreamConnection

__all__ = (
    "AnswerHead",
    "BrokenAnswerError",
    "ConnectFailedError",
    "HttpServer",
    "Incoming",
    "RawHeaders",
    "Reply",
    "UpstreamConnection",
    "UpstreamPool",
    "find",
    "framing_fault",
)
