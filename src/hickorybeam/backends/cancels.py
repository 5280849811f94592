"""Cancels streams at engines that nobody reads any more."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from hickorybeam.backends.exchange import ExchangeError
from hickorybeam.backends.http_client import HttpClient, HttpRequest
from hickorybeam.errors import GatewayError
from hickorybeam.kernel import Mailbox
from hickorybeam.model import Call, CallKind

if TYPE_CHECKING:
    from prometheus_client import Counter

    from hickorybeam.model import BackendServer

__all__ = ("CancelRequest", "StreamCanceller")

CANCEL_TIMEOUT_MS = 1_000
MAX_QUEUED_CANCELS = 4_096
MAX_RESPONSE_BYTES = 10_000


@dataclass(frozen=True, slots=True)
class CancelRequest:
    """One stream to cancel."""

    backend: BackendServer
    stream_id: str


class StreamCanceller:
    """Sends cancel requests from its own tasks, so that closing a response never waits for one.

    A lost cancel costs the engine the rest of one response, so it isn't retried.
    """

    def __init__(self, client: HttpClient, *, sent: Counter) -> None:
        self._client = client
        self._sent = sent
        self._mailbox: Mailbox[CancelRequest] = Mailbox(size=MAX_QUEUED_CANCELS)

    def post(self, backend: BackendServer, stream_id: str) -> None:
        """Queue the cancellation of a stream."""
        if not self._mailbox.post(CancelRequest(backend, stream_id)):
            self._sent.labels("dropped").inc()

    async def run(self) -> None:
        """Send cancel requests until cancelled; several of these run concurrently."""
        async for cancel in self._mailbox:
            await self._send(cancel)

    async def _send(self, cancel: CancelRequest) -> None:
        backend = cancel.backend
        call = Call(request_id="", account="", key_digest="", kind=CallKind.PLAIN, served="")
        request = HttpRequest(
            method="DELETE",
            target=f"/streams/{cancel.stream_id}".encode(),
            headers=[(b"host", f"{backend.host}:{backend.port}".encode())],
        )
        try:
            exchange = await self._client.open(
                call, backend, request, first_byte_timeout_ms=CANCEL_TIMEOUT_MS
            )
            try:
                exchange.start_read_timeout()
                await exchange.read(MAX_RESPONSE_BYTES)
            finally:
                await exchange.close()
        except (ExchangeError, GatewayError):
            self._sent.labels("failed").inc()
        else:
            self._sent.labels("sent").inc()
