"""The adapter to the users' platform: its names, formats and calls; nothing here decides."""

from __future__ import annotations

from hickorybeam.platform.answers import AnswerFacts, ServerLoad, decode_answer, refusal_headers
from hickorybeam.platform.answers import for_caller as answer_headers
from hickorybeam.platform.callers import decode_call, server_headers
from hickorybeam.platform.directory import DirectoryQuery, decode_query, directory_answer
from hickorybeam.platform.facts import (
    Evacuated,
    Fact,
    NewConfig,
    ServerSeen,
    Unreadable,
    decode_entry,
)
from hickorybeam.platform.names import EVACUATIONS, REQUEST_ID
from hickorybeam.platform.store import PlatformStore

FEED_PREFIXES = ("op/", "servers/")

__all__ = (
    "EVACUATIONS",
    "FEED_PREFIXES",
    "REQUEST_ID",
    "AnswerFacts",
    "DirectoryQuery",
    "Evacuated",
    "Fact",
    "NewConfig",
    "PlatformStore",
    "ServerLoad",
    "ServerSeen",
    "Unreadable",
    "answer_headers",
    "decode_answer",
    "decode_call",
    "decode_entry",
    "decode_query",
    "directory_answer",
    "refusal_headers",
    "server_headers",
)
