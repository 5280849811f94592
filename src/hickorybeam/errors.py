"""The closed list of error kinds, and the table of responses to them.

Every refusal that a caller, peer or operator can see is one :class:`ErrorKind`. The table defines
the HTTP status, whether the work ran and whether a retry makes sense. Nothing else in the package
chooses an error status.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from types import MappingProxyType
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = (
    "ERROR_RESPONSES",
    "ErrorResponse",
    "ErrorKind",
    "GatewayError",
    "Ran",
    "Retry",
    "error_response",
)


class Ran(Enum):
    """Whether a refused request ran at a backend server, as far as known."""

    NO = "no"
    UNKNOWN = "unknown"


class Retry(Enum):
    """Whether and where the same request may be retried."""

    NEVER = "never"
    LATER = "later"
    ELSEWHERE = "elsewhere"


class ErrorKind(Enum):
    """Every reason for which hickorybeam refuses or aborts a request."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    CALLER_TIMEOUT = "caller_timeout"
    TOO_MANY_CONNECTIONS = "too_many_connections"
    KEY_MISSING = "key_missing"
    KEY_UNKNOWN = "key_unknown"
    KEY_WITHDRAWN = "key_withdrawn"
    OPERATOR_ONLY = "operator_only"
    MODEL_UNKNOWN = "model_unknown"
    SERVICE_UNKNOWN = "service_unknown"
    ROUTE_UNKNOWN = "route_unknown"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    RESIDENCY = "residency"
    RESIDENCY_UNKNOWN = "residency_unknown"
    RATE_LIMITED = "rate_limited"
    COST_OVER_BURST = "cost_over_burst"
    OVERLOADED = "overloaded"
    VM_FULL = "vm_full"
    DEADLINE = "deadline"
    NO_BACKEND = "no_backend"
    DRAINING = "draining"
    NOT_READY = "not_ready"
    CONFIG_BEHIND = "config_behind"
    CONFIG_STALE = "config_stale"
    HOP_LIMIT = "hop_limit"
    PEER_UNREACHABLE = "peer_unreachable"
    PEER_REFUSED = "peer_refused"
    BACKEND_REFUSED = "backend_refused"
    BACKEND_FAILED = "backend_failed"
    BACKEND_UNKNOWN = "backend_unknown"
    BACKEND_SILENT = "backend_silent"
    STREAM_BROKEN = "stream_broken"
    STREAM_UNKNOWN = "stream_unknown"
    STREAM_VERSION_GONE = "stream_version_gone"
    PART_BLOCKED = "part_blocked"
    REQUEST_BLOCKED = "request_blocked"
    IDEMPOTENCY_MISMATCH = "idempotency_mismatch"
    IDEMPOTENCY_RUNNING = "idempotency_running"
    IDEMPOTENCY_INVALID = "idempotency_invalid"
    IDEMPOTENCY_EXPIRED = "idempotency_expired"
    IDEMPOTENCY_LOST = "idempotency_lost"
    IDEMPOTENCY_FINISHED = "idempotency_finished"
    PLATFORM_OUT = "platform_out"
    PLATFORM_UNKNOWN = "platform_unknown"
    VALUE_TOO_LARGE = "value_too_large"
    WATCH_COMPACTED = "watch_compacted"
    LEASE_LOST = "lease_lost"
    FENCED = "fenced"
    TICKET_INVALID = "ticket_invalid"
    TICKET_STALE = "ticket_stale"
    TICKET_CONFLICT = "ticket_conflict"
    SETTINGS_INVALID = "settings_invalid"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """The response to a caller for one error kind."""

    status: int
    ran: Ran
    retry: Retry
    text: str


_NO, _UNKNOWN = Ran.NO, Ran.UNKNOWN
_NEVER, _LATER, _ELSEWHERE = Retry.NEVER, Retry.LATER, Retry.ELSEWHERE

ERROR_RESPONSES: Mapping[ErrorKind, ErrorResponse] = MappingProxyType(
    {
        ErrorKind.BAD_REQUEST: ErrorResponse(400, _NO, _NEVER, "the request is malformed"),
        ErrorKind.BODY_TOO_LARGE: ErrorResponse(
            413, _NO, _NEVER, "the body is over the size limit"
        ),
        ErrorKind.HEADERS_TOO_LARGE: ErrorResponse(
            431, _NO, _NEVER, "the headers are over the limit"
        ),
        ErrorKind.CALLER_TIMEOUT: ErrorResponse(
            408, _NO, _LATER, "the request did not arrive in time"
        ),
        ErrorKind.TOO_MANY_CONNECTIONS: ErrorResponse(
            429, _NO, _LATER, "too many open connections"
        ),
        ErrorKind.KEY_MISSING: ErrorResponse(401, _NO, _NEVER, "no key came with the request"),
        ErrorKind.KEY_UNKNOWN: ErrorResponse(401, _NO, _NEVER, "the key is not known"),
        ErrorKind.KEY_WITHDRAWN: ErrorResponse(401, _UNKNOWN, _NEVER, "the key was withdrawn"),
        ErrorKind.OPERATOR_ONLY: ErrorResponse(403, _NO, _NEVER, "this call is for operators"),
        ErrorKind.MODEL_UNKNOWN: ErrorResponse(404, _NO, _NEVER, "no such model for this account"),
        ErrorKind.SERVICE_UNKNOWN: ErrorResponse(
            404, _NO, _NEVER, "no such service for this account"
        ),
        ErrorKind.ROUTE_UNKNOWN: ErrorResponse(404, _NO, _NEVER, "no such path"),
        ErrorKind.METHOD_NOT_ALLOWED: ErrorResponse(
            405, _NO, _NEVER, "the method is not allowed here"
        ),
        ErrorKind.RESIDENCY: ErrorResponse(421, _NO, _ELSEWHERE, "residency forbids this region"),
        ErrorKind.RESIDENCY_UNKNOWN: ErrorResponse(
            403, _NO, _NEVER, "the residency rule is not known"
        ),
        ErrorKind.RATE_LIMITED: ErrorResponse(429, _NO, _LATER, "the account is over its rate"),
        ErrorKind.COST_OVER_BURST: ErrorResponse(413, _NO, _NEVER, "the cost is over the burst"),
        ErrorKind.OVERLOADED: ErrorResponse(
            503, _NO, _LATER, "no capacity within the wait allowed"
        ),
        ErrorKind.VM_FULL: ErrorResponse(
            503, _NO, _ELSEWHERE, "this VM is out of memory for requests"
        ),
        ErrorKind.DEADLINE: ErrorResponse(
            504, _NO, _LATER, "the deadline passed before it could run"
        ),
        ErrorKind.NO_BACKEND: ErrorResponse(
            503, _NO, _LATER, "no backend server is able to serve this"
        ),
        ErrorKind.DRAINING: ErrorResponse(503, _NO, _ELSEWHERE, "this VM is shutting down"),
        ErrorKind.NOT_READY: ErrorResponse(
            503, _NO, _ELSEWHERE, "this VM has no configuration yet"
        ),
        ErrorKind.CONFIG_BEHIND: ErrorResponse(
            503, _NO, _ELSEWHERE, "this VM is behind the sender"
        ),
        ErrorKind.CONFIG_STALE: ErrorResponse(
            503, _NO, _ELSEWHERE, "this VM learned nothing for long"
        ),
        ErrorKind.HOP_LIMIT: ErrorResponse(
            508, _NO, _NEVER, "the request was already forwarded once"
        ),
        ErrorKind.PEER_UNREACHABLE: ErrorResponse(
            503, _NO, _LATER, "the other VM cannot be reached"
        ),
        ErrorKind.PEER_REFUSED: ErrorResponse(
            403, _NO, _NEVER, "the peer does not belong to the fleet"
        ),
        ErrorKind.BACKEND_REFUSED: ErrorResponse(
            503, _NO, _LATER, "the backend server took no work"
        ),
        ErrorKind.BACKEND_FAILED: ErrorResponse(502, _UNKNOWN, _LATER, "the backend server failed"),
        ErrorKind.BACKEND_UNKNOWN: ErrorResponse(502, _UNKNOWN, _NEVER, "the outcome is not known"),
        ErrorKind.BACKEND_SILENT: ErrorResponse(
            504, _UNKNOWN, _LATER, "the backend server fell silent"
        ),
        ErrorKind.STREAM_BROKEN: ErrorResponse(502, _UNKNOWN, _LATER, "the stream ended early"),
        ErrorKind.STREAM_UNKNOWN: ErrorResponse(
            503, _NO, _LATER, "the version that began the stream is not known"
        ),
        ErrorKind.STREAM_VERSION_GONE: ErrorResponse(
            503, _NO, _LATER, "no server has the version that began the stream"
        ),
        ErrorKind.PART_BLOCKED: ErrorResponse(
            503, _NO, _LATER, "a part of the prompt crashes backend servers"
        ),
        ErrorKind.REQUEST_BLOCKED: ErrorResponse(
            503, _NO, _LATER, "backend servers ended under this request"
        ),
        ErrorKind.IDEMPOTENCY_MISMATCH: ErrorResponse(
            422, _NO, _NEVER, "key reused for other content"
        ),
        ErrorKind.IDEMPOTENCY_RUNNING: ErrorResponse(
            409, _UNKNOWN, _LATER, "the first attempt runs"
        ),
        ErrorKind.IDEMPOTENCY_INVALID: ErrorResponse(
            400, _NO, _NEVER, "not a valid idempotency key"
        ),
        ErrorKind.IDEMPOTENCY_EXPIRED: ErrorResponse(
            410, _UNKNOWN, _NEVER, "the idempotency key expired"
        ),
        ErrorKind.IDEMPOTENCY_LOST: ErrorResponse(410, _UNKNOWN, _NEVER, "the issuing VM is gone"),
        ErrorKind.IDEMPOTENCY_FINISHED: ErrorResponse(
            409, _UNKNOWN, _NEVER, "it ran; its answer is gone"
        ),
        ErrorKind.PLATFORM_OUT: ErrorResponse(503, _NO, _LATER, "the platform service is out"),
        ErrorKind.PLATFORM_UNKNOWN: ErrorResponse(
            503, _UNKNOWN, _LATER, "the write's answer was lost"
        ),
        ErrorKind.VALUE_TOO_LARGE: ErrorResponse(
            413, _NO, _NEVER, "the value is over the size limit"
        ),
        ErrorKind.WATCH_COMPACTED: ErrorResponse(
            410, _NO, _LATER, "the watched revision is compacted"
        ),
        ErrorKind.LEASE_LOST: ErrorResponse(409, _NO, _LATER, "the lease has lapsed"),
        ErrorKind.FENCED: ErrorResponse(409, _NO, _NEVER, "a newer holder has taken over"),
        ErrorKind.TICKET_INVALID: ErrorResponse(422, _NO, _NEVER, "the change ticket has faults"),
        ErrorKind.TICKET_STALE: ErrorResponse(
            409, _NO, _NEVER, "a later change ticket is in force"
        ),
        ErrorKind.TICKET_CONFLICT: ErrorResponse(409, _NO, _NEVER, "the number has other content"),
        ErrorKind.SETTINGS_INVALID: ErrorResponse(400, _NO, _NEVER, "the settings have faults"),
        ErrorKind.INTERNAL: ErrorResponse(500, _UNKNOWN, _LATER, "an internal fault"),
    }
)


class GatewayError(Exception):
    """An error of one of the error kinds.

    :param kind: the error kind; its row in the table is the response.
    :param detail: details beyond the table's text; never content of a request and never a key.
    :param ran: overrides the table if more is known where the error is raised.
    :param retry_after_ms: time until a retry makes sense, if known.
    :param entries: addresses of entry VMs that may serve the request instead.
    :param faults: all faults, if several are reported at once.
    """

    def __init__(
        self,
        kind: ErrorKind,
        detail: str = "",
        *,
        ran: Ran | None = None,
        retry_after_ms: int | None = None,
        entries: tuple[str, ...] = (),
        faults: tuple[str, ...] = (),
    ) -> None:
        super().__init__(f"{kind.value}: {detail or ERROR_RESPONSES[kind].text}")
        self.kind = kind
        self.detail = detail
        self.ran = ran or ERROR_RESPONSES[kind].ran
        self.retry_after_ms = retry_after_ms
        self.entries = entries
        self.faults = faults


def error_response(kind: ErrorKind) -> ErrorResponse:
    """Return the table's row for an error kind."""
    return ERROR_RESPONSES[kind]
