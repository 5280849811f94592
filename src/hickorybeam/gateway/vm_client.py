"""HTTP client for requests to other VMs."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

import anyio

from hickorybeam.clock import MS_PER_SECOND
from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.http1 import BrokenResponseError, ConnectFailedError, RequestId, UpstreamPool
from hickorybeam.http1.head import request_bytes
from hickorybeam.platform import REQUEST_ID

if TYPE_CHECKING:
    from hickorybeam.clock import Clock
    from hickorybeam.http1.pool import Address

__all__ = ("VmClient",)

STATUS_OK = 200
ID_BYTES = 8
# A running VM responds from memory within some ms; one in another region within 200.
RESPONSE_TIMEOUT_MS = 1_000
CONNECT_TIMEOUT_MS = 300
# All entries: a configuration of a megabyte, and a kilobyte for each of some thousand others.
MAX_RESPONSE_BYTES = 16_777_216


class VmClient:
    """Sends each request once, on a new connection: an older one may have gone silent."""

    def __init__(self, clock: Clock) -> None:
        self._pool = UpstreamPool(
            clock, connect_ms=CONNECT_TIMEOUT_MS, silent_ms=RESPONSE_TIMEOUT_MS
        )

    async def get(self, address: Address, path: str) -> bytes:
        """Return the body of another VM's response.

        :raises GatewayError: ``PEER_UNREACHABLE``, also for a response without status 200.
        """
        try:
            with anyio.fail_after(RESPONSE_TIMEOUT_MS / MS_PER_SECOND):
                conn = await self._pool.acquire(address, fresh=True)
                try:
                    request_id = RequestId(REQUEST_ID, secrets.token_hex(ID_BYTES).encode())
                    headers = ((b"host", b"vm"), (request_id.header, request_id.value))
                    conn.send(
                        request_bytes("GET", path.encode(), headers, b""), expected_id=request_id
                    )
                    head = await conn.read_head()
                    body = await conn.read_body(max_bytes=MAX_RESPONSE_BYTES)
                finally:
                    conn.abort()
        except (ConnectFailedError, BrokenResponseError, TimeoutError) as exc:
            raise GatewayError(ErrorKind.PEER_UNREACHABLE, repr(exc)) from exc
        if head.status != STATUS_OK:
            raise GatewayError(ErrorKind.PEER_UNREACHABLE, f"status {head.status}")
        return body
