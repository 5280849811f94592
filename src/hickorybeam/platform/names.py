"""Names on the platform's wire: headers, fields, keys and words."""

from __future__ import annotations

__all__ = ()

# Headers, in lower case.
REQUEST_ID = b"x-hickorybeam-request-id"
DEADLINE = b"x-hickorybeam-deadline-milliseconds"
PREFIX = b"x-hickorybeam-prompt-prefix"
TOKENS = b"x-hickorybeam-token-counts"
MODEL = b"x-hickorybeam-model"
LAST_EVENT = b"last-event-id"
SIGNATURE = b"x-hickorybeam-response-signature"
ACCOUNT = b"x-hickorybeam-tenant"
EXPECT_SERVER = b"x-hickorybeam-expect-instance"
SERVER_ID = b"x-hickorybeam-instance-id"
LOAD = b"x-hickorybeam-server-load"
NOT_RUN = b"x-hickorybeam-not-executed"
COLD = b"x-hickorybeam-cold-milliseconds"
URGENCY = b"x-hickorybeam-request-urgency"
# Names a server whose cache is to be copied from; the wire calls the cache KV.
COPY_FROM = b"kv-fetch"
AUTHORIZATION = b"authorization"
RETRY_AFTER = b"retry-after"
BEARER = b"bearer "

# Set by the gateway only; what a caller sends under these names is dropped.
OURS = frozenset(
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
# These reach the server whatever a caller's connection header names.
KEPT = frozenset({REQUEST_ID, DEADLINE, PREFIX, TOKENS, MODEL, LAST_EVENT, b"host"})
# They concern one connection only.
ONE_CONNECTION = frozenset(
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

# Keys of the store.
CONFIG_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
SERVER_PREFIX = "servers/"
