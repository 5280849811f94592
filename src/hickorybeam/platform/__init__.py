"""Adapter to the users' platform: its names, formats and calls. It makes no decisions."""

from __future__ import annotations

from hickorybeam.platform.directory import DirectoryQuery, decode_query, directory_response
from hickorybeam.platform.entries import (
    ConfigEntry,
    DecodedEntry,
    EvacuationEntry,
    InvalidEntry,
    ServerEntry,
    decode_entry,
)
from hickorybeam.platform.names import EVACUATION_PREFIX, REQUEST_ID
from hickorybeam.platform.requests import NO_ID, decode_call, server_headers
from hickorybeam.platform.responses import (
    ResponseInfo,
    ServerLoad,
    decode_response,
    refusal_headers,
    response_headers,
)
from hickorybeam.platform.server_report import REPORT_PATH, decode_born, decode_runs
from hickorybeam.platform.store import PlatformStore

WATCHED_PREFIXES = ("op/", "servers/")

__all__ = (
    "EVACUATION_PREFIX",
    "WATCHED_PREFIXES",
    "REQUEST_ID",
    "NO_ID",
    "REPORT_PATH",
    "ResponseInfo",
    "DirectoryQuery",
    "EvacuationEntry",
    "DecodedEntry",
    "ConfigEntry",
    "PlatformStore",
    "ServerLoad",
    "ServerEntry",
    "InvalidEntry",
    "response_headers",
    "decode_response",
    "decode_call",
    "decode_entry",
    "decode_query",
    "decode_born",
    "decode_runs",
    "directory_response",
    "refusal_headers",
    "server_headers",
)
