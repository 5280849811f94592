"""Client that sends orders to engines over HTTP: one connection per order, a short timeout."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import anyio
import httpcore
import msgspec

from hickorybeam.control.plan import EngineState
from hickorybeam.errors import ErrorKind, GatewayError, Ran
from hickorybeam.untrusted import InvalidBytesError, decode_json

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorybeam.control.plan import Order
    from hickorybeam.model import BackendServer

__all__ = ("HttpOrderClient", "OrderClient")

HTTP_OK = 200
HTTP_CONFLICT = 409
MS_PER_SECOND = 1000


class _LoadedModel(msgspec.Struct):
    name: str
    version: str = ""


class _EngineStateBody(msgspec.Struct):
    models: tuple[_LoadedModel, ...] = ()
    role: str = ""
    fencing: int = 0


class OrderClient(Protocol):
    """Reads the state of engines and sends them orders."""

    async def state(self, engine: BackendServer) -> EngineState:
        """Read what an engine has loaded."""
        ...

    async def send(
        self, engine: BackendServer, order: Order, *, fencing: int, may_send: Callable[[], bool]
    ) -> None:
        """Send an order if ``may_send`` returns true right before the send."""
        ...


class HttpOrderClient:
    """Order client over HTTP.

    :param timeout_ms: limit of one order, after which its connection is closed; a new holder of
        the lease waits this long for orders of the previous one.
    """

    def __init__(self, *, timeout_ms: int) -> None:
        self._timeout_s = timeout_ms / MS_PER_SECOND

    async def state(self, engine: BackendServer) -> EngineState:
        """Read what an engine has loaded."""
        response = await self._send_request(engine, "GET", "/state", b"", lambda: True)
        if response.status != HTTP_OK:
            raise GatewayError(ErrorKind.BACKEND_FAILED, f"{engine.name}: {response.status}")
        try:
            found = decode_json(response.content, _EngineStateBody)
        except InvalidBytesError as exc:
            raise GatewayError(ErrorKind.BACKEND_FAILED, f"{engine.name}: {exc}") from exc
        models = {loaded.name: loaded.version for loaded in found.models}
        return EngineState(models=models, role=found.role, fencing=found.fencing)

    async def send(
        self, engine: BackendServer, order: Order, *, fencing: int, may_send: Callable[[], bool]
    ) -> None:
        """Send an order; raise ``FENCED`` if the engine has seen a newer token.

        After any other error the outcome is unknown: it is read back, and no order is retried
        before that.
        """
        body = {
            "order": order.kind.value,
            "model": order.model,
            "version": order.version,
            "role": order.role,
            "fencing": fencing,
        }
        raw = msgspec.json.encode(body)
        response = await self._send_request(engine, "POST", "/orders", raw, may_send)
        if response.status == HTTP_CONFLICT:
            raise GatewayError(ErrorKind.FENCED, engine.name)
        if response.status != HTTP_OK:
            raise GatewayError(ErrorKind.BACKEND_FAILED, f"{engine.name}: {response.status}")

    async def _send_request(
        self,
        engine: BackendServer,
        method: str,
        path: str,
        body: bytes,
        may_send: Callable[[], bool],
    ) -> httpcore.Response:
        origin = httpcore.Origin(b"http", engine.host.encode(), engine.port)
        url = httpcore.URL(
            scheme=b"http", host=engine.host.encode(), port=engine.port, target=path.encode()
        )
        headers = [("host", f"{engine.host}:{engine.port}"), ("content-type", "application/json")]
        if body:
            headers.append(("content-length", str(len(body))))
        request = httpcore.Request(method, url, headers=headers, content=body)
        try:
            with anyio.fail_after(self._timeout_s):
                stream = await httpcore.AnyIOBackend().connect_tcp(engine.host, engine.port)
                conn = httpcore.AsyncHTTP11Connection(origin, stream)
                try:
                    # The lease is checked after connecting, which may take long.
                    if not may_send():
                        raise GatewayError(ErrorKind.LEASE_LOST, ran=Ran.NO)
                    response = await conn.handle_async_request(request)
                    await response.aread()
                finally:
                    with anyio.CancelScope(shield=True):
                        await conn.aclose()
        except (TimeoutError, httpcore.TimeoutException) as exc:
            raise GatewayError(ErrorKind.BACKEND_SILENT, engine.name) from exc
        except httpcore.ConnectError as exc:
            raise GatewayError(ErrorKind.BACKEND_REFUSED, engine.name) from exc
        except (httpcore.NetworkError, httpcore.ProtocolError) as exc:
            raise GatewayError(ErrorKind.BACKEND_UNKNOWN, engine.name) from exc
        return response
