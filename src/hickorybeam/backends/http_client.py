"""Sends requests to backend servers and maps each failure to its error kind."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from hickorybeam.backends.exchange import Exchange, ExchangeError
from hickorybeam.errors import ErrorKind, GatewayError, Ran
from hickorybeam.http1 import Owner, RequestId, owner_of, parse_retry_after_ms

if TYPE_CHECKING:
    from hickorybeam.backends.headers import RawHeaders
    from hickorybeam.backends.pool import ConnectionPool
    from hickorybeam.model import BackendServer, Call
    from hickorybeam.settings import BackendSettings
    from hickorybeam.watchdog import Watchdog

__all__ = ("HttpClient", "HttpRequest", "lost_response_error", "possibly_run_error")

SERVICE_UNAVAILABLE = 503
TOO_MANY_REQUESTS = 429
RAN_NO = "no"
ID_HEADER = b"x-request-id"


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpRequest:
    """One HTTP request to a backend server."""

    method: str
    target: bytes
    headers: RawHeaders
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class HttpClient:
    """Opens exchanges with backend servers."""

    cfg: BackendSettings
    pool: ConnectionPool
    watchdog: Watchdog

    async def open(
        self,
        call: Call,
        backend: BackendServer,
        request: HttpRequest,
        *,
        first_byte_timeout_ms: int,
        fresh: bool = False,
    ) -> Exchange:
        """Send a request and read the head of its response.

        :raises GatewayError: ``BACKEND_REFUSED`` if nothing was sent or the backend server
            reports that it ran nothing; another kind if the response is for another request.
        :raises ExchangeError: any other failure; the request may have run.
        """
        conn = await self.pool.acquire(backend, fresh=fresh or not call.idempotent)
        exchange = Exchange(
            self.pool, self.watchdog, conn, backend, read_timeout_ms=self.cfg.between_ms
        )
        try:
            await exchange.send(
                request.method,
                request.target,
                request.headers,
                request.body,
                first_byte_timeout_ms=first_byte_timeout_ms,
            )
            check_request_id(exchange, call, backend)
            check_refusal(exchange, backend)
        except BaseException:
            await exchange.close()
            raise
        return exchange


def check_request_id(exchange: Exchange, call: Call, backend: BackendServer) -> None:
    """Raise unless the response is the request's by its id; the request may have run.

    A backend server that mixes up its responses, or sends more than one, would show one caller
    another's content, or have it told that nothing ran.
    """
    headers = tuple((name.lower(), value) for name, value in exchange.headers)
    owner = owner_of(headers, RequestId(ID_HEADER, call.request_id.encode()))
    if owner is not Owner.REQUEST:
        detail = f"answered {owner.value}, status {exchange.status}"
        raise possibly_run_error(call, backend, ErrorKind.BACKEND_FAILED, detail)


def check_refusal(exchange: Exchange, backend: BackendServer) -> None:
    """Raise ``BACKEND_REFUSED`` if the backend server reports that it ran nothing.

    The error's retry-after is the time for which the server wants no calls, if it says so.
    """
    if (
        exchange.status in (SERVICE_UNAVAILABLE, TOO_MANY_REQUESTS)
        and exchange.header(b"x-ran") == RAN_NO
    ):
        rest_ms = parse_retry_after_ms(exchange.header(b"retry-after").encode("latin-1"))
        raise GatewayError(
            ErrorKind.BACKEND_REFUSED,
            f"{backend.name} takes no work",
            retry_after_ms=rest_ms or None,
        )


def lost_response_error(
    call: Call, backend: BackendServer, exc: ExchangeError, *, response_started: bool
) -> GatewayError:
    """Return the error for a missing or incomplete response.

    :param response_started: whether the caller already has a part of the response.
    """
    if exc.timed_out:
        kind = ErrorKind.BACKEND_SILENT
    else:
        kind = ErrorKind.STREAM_BROKEN if response_started else ErrorKind.BACKEND_FAILED
    return possibly_run_error(call, backend, kind, str(exc))


def possibly_run_error(
    call: Call, backend: BackendServer, kind: ErrorKind, detail: str
) -> GatewayError:
    """Return an error of a call that may have run.

    For a call that isn't idempotent it is ``BACKEND_UNKNOWN``, whose response tells the caller
    not to retry.
    """
    if not call.idempotent:
        kind = ErrorKind.BACKEND_UNKNOWN
    return GatewayError(kind, f"{backend.name}: {detail}", ran=Ran.UNKNOWN)
