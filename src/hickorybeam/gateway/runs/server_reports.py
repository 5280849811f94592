"""Ask a model server whether it still runs a request whose connection is closed.

Most servers drop a request when its connection closes, but one may close its end and work on. Its
report lists what it runs. It tells what was so some hundred ms ago, so a run that has just ended
may still be listed, and one that has just begun not yet.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

import anyio

from hickorybeam.clock import MS_PER_SECOND
from hickorybeam.http1 import BrokenResponseError, ConnectFailedError, UpstreamPool
from hickorybeam.http1.head import request_bytes
from hickorybeam.platform import NO_ID, REPORT_PATH, decode_born, decode_runs
from hickorybeam.untrusted import InvalidBytesError

if TYPE_CHECKING:
    from hickorybeam.clock import Clock
    from hickorybeam.http1.pool import Address
    from hickorybeam.telemetry import Counters
    from hickorybeam.telemetry.decisions import DecisionLog

__all__ = ("UNENDED_STATES", "RunState", "ServerReports")

# How old what a report tells may be.
MAX_REPORT_AGE_MS = 500
# How long a run that has ended may still be listed, and some ms for the way.
MAX_WAIT_MS = 700
# All who wait for the reports of a server share one question in this time.
ASK_INTERVAL_MS = 150
RESPONSE_TIMEOUT_MS = 250
MAX_RESPONSE_BYTES = 1_000_000
OK_STATUS = 200
HOST_HEADER = ((b"host", b"server"),)


class RunState(Enum):
    """What a server's reports tell of a run.

    ``ENDED``: it isn't listed. ``RUNNING``: it stays listed. ``SILENT``: no report came in time, or
    none that can be read. ``UNTOLD``: nothing listens there, or what does tells no runs.
    """

    ENDED = "ended"
    RUNNING = "running"
    SILENT = "silent"
    UNTOLD = "untold"


UNENDED_STATES = frozenset({RunState.RUNNING, RunState.SILENT})


@dataclass(slots=True)
class _Report:
    """One question for a server's report, which those who wait share.

    ``runs`` holds the ids of the requests that it lists, ``None`` without a report; then
    ``failure`` tells why there is none. ``born_ms`` is the start that it names, if it does.
    """

    asked_ms: int
    runs: frozenset[str] | None = None
    born_ms: int | None = None
    failure: RunState = RunState.SILENT
    answered: anyio.Event = field(default_factory=anyio.Event)

    def state_of(self, request_id: str) -> RunState:
        """Return what it tells of a request."""
        if self.runs is None:
            return self.failure
        return RunState.RUNNING if request_id in self.runs else RunState.ENDED


class ServerReports:
    """Asks this region's model servers for their reports."""

    def __init__(self, *, clock: Clock, counters: Counters, log: DecisionLog) -> None:
        self._clock = clock
        self._log = log
        self._pool = UpstreamPool(
            clock, connect_ms=RESPONSE_TIMEOUT_MS, silent_ms=RESPONSE_TIMEOUT_MS
        )
        self._latest: dict[Address, _Report] = {}
        self._asked = counters.counter("server_reports", "Reports that servers were asked for")
        self._states = counters.counter(
            "reported_runs", "What reports told of runs without a connection", ("state",)
        )

    async def wait_ended(self, address: Address, request_id: str, *, sent_ms: int) -> RunState:
        """Wait until a server's reports show that a run has ended, and return what they tell.

        :param sent_ms: when the request was sent there. A report may tell of a time before that.
        """
        began_ms = self._clock.now()
        state = await self._wait_ended(address, request_id, began_ms, sent_ms)
        self._states.labels(state.value).inc()
        self._log.write(
            "run_reported",
            request=request_id,
            server=f"{address[0]}:{address[1]}",
            state=state.value,
            took_ms=self._clock.now() - began_ms,
        )
        return state

    async def _wait_ended(
        self, address: Address, request_id: str, began_ms: int, sent_ms: int
    ) -> RunState:
        while True:
            report = await self._latest_report(address)
            state = report.state_of(request_id)
            is_since_sent = report.asked_ms - sent_ms >= MAX_REPORT_AGE_MS
            if state is RunState.UNTOLD or (state is RunState.ENDED and is_since_sent):
                return state
            if self._clock.now() - began_ms >= MAX_WAIT_MS:
                return RunState.RUNNING if state is RunState.ENDED else state
            await self._clock.sleep(ASK_INTERVAL_MS)

    async def find_born_ms(self, address: Address, *, after_ms: int) -> int | None:
        """Return the start that a server names now; ``None`` if it names none.

        :param after_ms: what was asked at this time or before it doesn't count.
        """
        report = await self._latest_report(address, after_ms=after_ms)
        return report.born_ms

    async def _latest_report(self, address: Address, *, after_ms: int = -1) -> _Report:
        """Return a report that was asked for within the last interval."""
        now = self._clock.now()
        report = self._latest.get(address)
        is_recent = report is not None and now - report.asked_ms < ASK_INTERVAL_MS
        if report is not None and is_recent and report.asked_ms > after_ms:
            await report.answered.wait()
            return report
        self._forget_old(now)
        report = self._latest[address] = _Report(now)
        try:
            await self._ask(address, report)
        finally:
            report.answered.set()
        return report

    def _forget_old(self, now_ms: int) -> None:
        for address, report in list(self._latest.items()):
            if report.answered.is_set() and now_ms - report.asked_ms >= ASK_INTERVAL_MS:
                del self._latest[address]

    async def _ask(self, address: Address, report: _Report) -> None:
        self._asked.inc()
        try:
            with anyio.fail_after(RESPONSE_TIMEOUT_MS / MS_PER_SECOND):
                await self._query(address, report)
        except ConnectFailedError as exc:
            report.failure = RunState.UNTOLD if exc.refused else RunState.SILENT
        except (BrokenResponseError, InvalidBytesError, TimeoutError):
            report.failure = RunState.SILENT
        else:
            report.failure = RunState.UNTOLD

    async def _query(self, address: Address, report: _Report) -> None:
        """Ask a server for its report, and note what it tells.

        :raises InvalidBytesError: it can't be read. Without a length it may have broken off.
        """
        conn = await self._pool.acquire(address)
        try:
            conn.send(request_bytes("GET", REPORT_PATH, HOST_HEADER, b""), expected_id=NO_ID)
            head = await conn.read_head()
            body = await conn.read_body(max_bytes=MAX_RESPONSE_BYTES)
        except BaseException:
            conn.abort()
            raise
        self._pool.release(address, conn)
        if head.status == OK_STATUS:
            report.runs, report.born_ms = decode_runs(body), decode_born(body)
