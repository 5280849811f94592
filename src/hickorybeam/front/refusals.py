"""Refusals: the JSON and headers of every error response."""

from __future__ import annotations

import http

import msgspec

from hickorybeam.errors import GatewayError, Retry, error_response

__all__ = ("error_event", "raw_refusal", "refusal_body", "refusal_headers")

MS_PER_SECOND = 1000
DEFAULT_RETRY_AFTER_MS = 1_000
MIN_SERVER_ERROR_STATUS = 500
ERROR_TYPES = {
    400: "invalid_request_error",
    401: "authentication_error",
    403: "permission_error",
    404: "not_found_error",
    429: "rate_limit_error",
}


class _Error(msgspec.Struct):
    message: str
    type: str
    param: str | None
    code: str
    ran: str
    retry: str
    retry_after_ms: int | None
    entries: tuple[str, ...]
    faults: tuple[str, ...]


class _Refusal(msgspec.Struct):
    error: _Error


def refusal_body(exc: GatewayError, *, param: str | None = None) -> bytes:
    """Return the JSON of a refusal.

    :param param: name of the invalid request field, as in the published API.
    """
    response = error_response(exc.kind)
    message = f"{response.text}: {exc.detail}" if exc.detail else response.text
    error = _Error(
        message=message,
        type=error_type(response.status),
        param=param,
        code=exc.kind.value,
        ran=exc.ran.value,
        retry=response.retry.value,
        retry_after_ms=retry_after_ms(exc),
        entries=exc.entries,
        faults=exc.faults,
    )
    return msgspec.json.encode(_Refusal(error))


def error_type(status: int) -> str:
    """Return the published API's error type for a status."""
    if status >= MIN_SERVER_ERROR_STATUS:
        return "server_error"
    return ERROR_TYPES.get(status, "invalid_request_error")


def retry_after_ms(exc: GatewayError) -> int | None:
    """Return the time in ms before a retry, None if a retry cannot succeed."""
    if error_response(exc.kind).retry is Retry.NEVER:
        return None
    if exc.retry_after_ms is not None:
        return exc.retry_after_ms
    return DEFAULT_RETRY_AFTER_MS if error_response(exc.kind).retry is Retry.LATER else 0


def refusal_headers(exc: GatewayError) -> list[tuple[bytes, bytes]]:
    """Return the headers of a refusal, except its length.

    Client libraries of the published API retry any 5xx by themselves; ``x-should-retry``
    prevents that where a retry on this VM is useless or could run the call twice.
    """
    retry = error_response(exc.kind).retry
    should_retry = b"true" if retry is Retry.LATER else b"false"
    headers = [(b"content-type", b"application/json"), (b"x-should-retry", should_retry)]
    retry_ms = retry_after_ms(exc)
    if retry_ms is not None and retry is Retry.LATER:
        headers.append((b"retry-after", b"%d" % -(-retry_ms // MS_PER_SECOND)))
    return headers


def error_event(exc: GatewayError) -> bytes:
    """Return the server-sent event that ends a broken stream."""
    return b"event: error\ndata: " + refusal_body(exc) + b"\n\n"


def raw_refusal(exc: GatewayError) -> bytes:
    """Return a complete HTTP response, for connections on which no request could be read."""
    body = refusal_body(exc)
    status = error_response(exc.kind).status
    lines = [b"HTTP/1.1 %d %s" % (status, http.HTTPStatus(status).phrase.encode())]
    lines.extend(b"%s: %s" % header for header in refusal_headers(exc))
    lines.append(b"content-length: %d" % len(body))
    lines.append(b"connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
