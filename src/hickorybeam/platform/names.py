"""Names on the platform's wire: headers and keys of its store."""

from __future__ import annotations

__all__ = ()

# Headers, in lower case.
REQUEST_ID = b"x-hickorybeam-request-id"
DEADLINE = b"x-hickorybeam-deadline-milliseconds"
PREFIX = b"x-hickorybeam-prompt-prefix"
TOKENS = b"x-hickorybeam-token-counts"
MODEL = b"x-hickorybeam-model"
LAST_EVENT = b"last-event-id"
# Id of the attempt that brought the first event of the stream that a caller takes up.
RESUMES = b"resumes"
SIGNATURE = b"x-hickorybeam-response-signature"
ACCOUNT = b"x-hickorybeam-tenant"
EXPECT_SERVER = b"x-hickorybeam-expect-instance"
SERVER_ID = b"x-hickorybeam-instance-id"
LOAD = b"x-hickorybeam-server-load"
NOT_RUN = b"x-hickorybeam-not-executed"
COLD = b"x-hickorybeam-cold-milliseconds"
LIMIT = b"server-limit"
LEAVING = b"server-leaving"
URGENCY = b"x-hickorybeam-request-urgency"
# Address of a server to copy the prompt's KV cache from.
COPY_FROM = b"kv-fetch"
AUTHORIZATION = b"authorization"
RETRY_AFTER = b"retry-after"
BEARER = b"bearer "

# Set by the gateway only; dropped from callers' requests.
GATEWAY_ONLY = frozenset(
    {
        ACCOUNT,
        EXPECT_SERVER,
        URGENCY,
        AUTHORIZATION,
        b"x-hickorybeam-expect-version",
        b"x-hickorybeam-hold",
        b"x-hickorybeam-pin-milliseconds",
        b"x-hickorybeam-cache-backup",
        b"kv-from",
        COPY_FROM,
    }
)
# Forwarded even if the caller's Connection header names them.
ALWAYS_FORWARDED = frozenset(
    {REQUEST_ID, DEADLINE, PREFIX, TOKENS, MODEL, LAST_EVENT, RESUMES, b"host"}
)
# Valid for one connection only; never forwarded.
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"content-length",
        b"upgrade",
        b"expect",
    }
)

# Keys and key prefixes of the store.
CONFIG_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
SERVER_PREFIX = "servers/"
