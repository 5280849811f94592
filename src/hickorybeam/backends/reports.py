"""Polls the load reports of the engines in this VM's region."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

import anyio
import msgspec

from hickorybeam.backends.exchange import ExchangeError
from hickorybeam.backends.http_client import HttpClient, HttpRequest
from hickorybeam.errors import GatewayError
from hickorybeam.model import BackendKind, Call, CallKind, LoadReport
from hickorybeam.untrusted import decode_json

if TYPE_CHECKING:
    from collections.abc import Iterable

    from prometheus_client import Counter

    from hickorybeam.clock import Clock
    from hickorybeam.model import BackendServer

__all__ = ("ReportPoller",)

# Limits the cost of polling: beyond it, each engine's interval grows with their number.
MAX_POLLS_PER_S = 20
POLL_TIMEOUT_MS = 1_000
MS_PER_SECOND = 1000
# A report older than this many poll intervals says nothing of the current load.
MAX_REPORT_AGE_INTERVALS = 6
MAX_REPORT_BYTES = 100_000
OK = 200


class _Load(msgspec.Struct):
    running: int = 0
    waiting: int = 0
    tokens_in_flight: int = 0
    lag_ms: int = 0
    cached_prefixes: tuple[str, ...] = ()
    leaving: bool = False


class ReportPoller:
    """Polls each engine in a task of its own and holds its latest report."""

    def __init__(
        self,
        client: HttpClient,
        clock: Clock,
        *,
        region: str,
        min_interval_ms: int,
        failures: Counter,
    ) -> None:
        self._client = client
        self._clock = clock
        self._region = region
        self._min_interval_ms = min_interval_ms
        self._failures = failures
        self._reports: dict[str, LoadReport] = {}
        self._poll_scopes: dict[BackendServer, anyio.CancelScope] = {}

    def report(self, backend: str) -> LoadReport | None:
        """Return the latest report, ``None`` if there is none or it is stale."""
        found = self._reports.get(backend)
        if (
            found is None
            or self._clock.now() - found.at_ms > MAX_REPORT_AGE_INTERVALS * self._poll_interval_ms()
        ):
            return None
        return found

    def set_backends(self, backends: Iterable[BackendServer], tg: anyio.abc.TaskGroup) -> None:
        """Poll exactly the engines of this region among these backend servers."""
        engines = {
            backend
            for backend in backends
            if backend.kind is BackendKind.ENGINE and backend.region == self._region
        }
        for backend in tuple(self._poll_scopes):
            if backend not in engines:
                self._poll_scopes.pop(backend).cancel()
                self._reports.pop(backend.name, None)
        for backend in engines - self._poll_scopes.keys():
            scope = anyio.CancelScope()
            self._poll_scopes[backend] = scope
            tg.start_soon(self._poll_until_cancelled, backend, scope)

    def reset(self) -> None:
        """Discard the polling tasks, which have ended."""
        self._poll_scopes.clear()

    def _poll_interval_ms(self) -> int:
        return max(self._min_interval_ms, len(self._poll_scopes) * MS_PER_SECOND // MAX_POLLS_PER_S)

    async def _poll_until_cancelled(self, backend: BackendServer, scope: anyio.CancelScope) -> None:
        with scope:
            # Spread by name, so that many engines are not polled in one burst.
            offset = zlib.crc32(backend.name.encode()) % self._min_interval_ms
            await self._poll(backend)
            await self._clock.sleep(offset)
            while True:
                await self._poll(backend)
                await self._clock.sleep(self._poll_interval_ms())

    async def _poll(self, backend: BackendServer) -> None:
        call = Call(request_id="", account="", key_digest="", kind=CallKind.PLAIN, served="")
        host = f"{backend.host}:{backend.port}".encode()
        request = HttpRequest(method="GET", target=b"/load", headers=[(b"host", host)])
        try:
            exchange = await self._client.open(
                call, backend, request, first_byte_timeout_ms=POLL_TIMEOUT_MS
            )
            try:
                exchange.start_read_timeout()
                raw = await exchange.read(MAX_REPORT_BYTES, shows_end=True)
            finally:
                await exchange.close()
            if exchange.status != OK:
                raise ValueError("not a report")
            load = decode_json(raw, _Load)
        except (ExchangeError, GatewayError, ValueError):
            self._failures.inc()
            return
        self._reports[backend.name] = LoadReport(
            backend=backend.name,
            at_ms=self._clock.now(),
            running=load.running,
            waiting=load.waiting,
            tokens_in_flight=load.tokens_in_flight,
            lag_ms=load.lag_ms,
            cached_prefixes=load.cached_prefixes,
            leaving=load.leaving,
        )
