"""A stand-in backend server that registers itself and answers requests, with fault switches.

Given a shape, it is a model engine: prompts are read and tokens made in one batch, parts of
prompts that it has read are kept, and it rejects what its queue doesn't hold.
"""

from __future__ import annotations

import itertools
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import anyio
import msgspec

from hickorybeam.clock import Clock, SystemClock
from hickorybeam.http1 import find_header
from hickorybeam.http1.head import response_head_bytes
from hickorybeam.platform import REPORT_PATH, decode_call, names
from hickorybeam.standins.batch import Batch
from hickorybeam.standins.crashes import CrashPoint, CrashSwitch, ServerProcess
from hickorybeam.standins.prefix_cache import CachedPart
from hickorybeam.standins.stream_reply import StreamReply, header_lines

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from hickorybeam.http1 import IncomingRequest, RawHeaders, ResponseWriter
    from hickorybeam.standins.batch import EngineShape, Stream
    from hickorybeam.standins.keyvalue import KeyValueApp

__all__ = ("Arrival", "RunSpan", "ServerFaults", "ServerStandIn", "serve_server")

EVENTS = 6
EVENT_EVERY_MS = 4
# Between the events of a stream that only a crash ends.
STREAM_EVERY_MS = 50
HEALTH_PATH = b"/health"
REPORT_AGE_MS = 200
# Requests that an engine keeps waiting, for each of its slots.
QUEUED_PER_SLOT = 2
# What a request that tells no urgency counts as; 0 is the most urgent.
USUAL_URGENCY = 5


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request as it reached the server at ``at_ms``; ``ran`` unless it was rejected."""

    request_id: str
    headers: RawHeaders
    body: bytes
    ran: bool
    at_ms: int = 0


@dataclass(slots=True)
class RunSpan:
    """One run of a request, on the server's clock; ``ended_ms`` is 0 while it goes on."""

    request_id: str
    server_id: str
    began_ms: int
    ended_ms: int = 0


@dataclass(slots=True)
class ServerFaults:
    """How many of the next requests go wrong, in which way.

    ``errors`` answers 500; ``full`` rejects as not run; ``lost`` runs and closes without an
    answer; ``hung`` runs and never answers; ``cut`` breaks a stream off in the middle of an
    event, with its connection; ``short`` ends one there as if it were complete; ``extra`` puts the
    answer to another request before the right one; ``unframed`` gives an answer or a stream no
    length and no chunks, so that it ends with its connection; ``torn`` resets an answer midway;
    ``late`` runs it, and what comes is a refusal as not run that names no request; ``ended`` gives
    an answer no length and no chunks and ends the process under it, after ``ended_after`` events of
    a stream or half of a body; ``closed`` closes such a stream's connection there, and no other.
    ``unsigned`` leaves the signature out. ``misread`` makes every request find another server at
    this address.
    """

    errors: int = 0
    full: int = 0
    lost: int = 0
    hung: int = 0
    cut: int = 0
    short: int = 0
    extra: int = 0
    unframed: int = 0
    torn: int = 0
    unsigned: int = 0
    misread: int = 0
    late: int = 0
    ended: int = 0
    closed: int = 0
    ended_after: int = 3

    def take(self, name: str) -> bool:
        """Whether this request goes wrong in this way."""
        left: int = getattr(self, name)
        setattr(self, name, max(0, left - 1))
        return left > 0


@dataclass(eq=False)
class ServerStandIn:
    """One backend server: its entry in the store and its answers.

    With a ``shape`` it is a model engine, which answers what tells its tokens from its ``batch``.
    ``limit`` is the value of the header in which all its answers name a rate limit, if any.
    If it is ``leaving``, all its answers say so. If it ``keeps_runs``, they go on when their
    connections close. If it ``tells_id``, its answers name the request in their bodies too.
    Its reports list its runs as they were ``report_age_ms`` ago; ``None``: it has none.
    If it has ``silent_reports``, it never answers what asks for one; if it has ``broken_reports``,
    they come without a length and break off in the middle.
    If it is ``nameless``, its health answers don't name the server.
    ``rest_s`` is the number of seconds for which its rejections ask for rest, if they do.
    ``time_factor`` is the percentage of the usual time that its work takes, as its answers tell it
    if it is set.
    ``odd_headers`` come before the others in its answers.
    ``spans`` holds the runs, with the time of each.
    ``health_checks`` holds the times at which its health was checked.
    ``version`` is that of its software, as its entry names it.
    Until ``stalled`` is set, if there is one, it answers nothing.
    ``crash`` says under which requests it crashes; ``crashes`` holds the times at which it
    did, ``ended_under`` the bodies under which it did as well.
    """

    id: str
    service: str
    data_centre: str
    store: KeyValueApp
    clock: Clock = field(default_factory=SystemClock)
    version: str = "v1"
    slots: int = 8
    events: int = EVENTS
    event_every_ms: int = EVENT_EVERY_MS
    work_ms: int = 1
    cold_ms: int = 0
    limit: bytes | None = None
    leaving: bool = False
    keeps_runs: bool = False
    tells_id: bool = False
    nameless: bool = False
    report_age_ms: int | None = REPORT_AGE_MS
    silent_reports: bool = False
    broken_reports: bool = False
    rest_s: bytes | None = None
    time_factor: bytes | None = None
    odd_headers: RawHeaders = ()
    port: int = 0
    born: int = 0
    running: int = 0
    most_running: int = 0
    cancelled: int = 0
    shape: EngineShape | None = None
    batch: Batch | None = None
    faults: ServerFaults = field(default_factory=ServerFaults)
    arrivals: list[Arrival] = field(default_factory=list)
    spans: list[RunSpan] = field(default_factory=list)
    health_checks: list[int] = field(default_factory=list)
    crash: CrashSwitch = field(default_factory=CrashSwitch)
    crashes: list[int] = field(default_factory=list)
    ended_under: list[tuple[bytes, int]] = field(default_factory=list)
    process: ServerProcess | None = None
    stalled: anyio.Event | None = None

    def __post_init__(self) -> None:
        """Make the batch of a model engine."""
        if self.shape is not None:
            self.slots = self.shape.slots
            self.batch = Batch(self.shape, self.clock)

    @property
    def ran(self) -> list[Arrival]:
        """The requests that it ran."""
        return [it for it in self.arrivals if it.ran]

    def register(self, *, state: str = "ready", cold_ms: int = 0, born: int = 0) -> None:
        """Write its entry."""
        self.born = born
        entry = self.entry(state=state, cold_ms=cold_ms)
        self.store.put(names.SERVER_PREFIX + self.id, msgspec.json.encode(entry))

    def entry(self, *, state: str, cold_ms: int = 0) -> dict[str, Any]:
        """Return its entry."""
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.data_centre,
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "cold-remaining-ms": cold_ms,
            "sequence": 1,
            "born": self.born,
        }

    def withdraw(self) -> None:
        """Remove its entry, as a lapsed lease does."""
        self.store.delete(names.SERVER_PREFIX + self.id)

    async def answer(self, req: IncomingRequest, reply: ResponseWriter) -> None:
        """Answer one request, or fail it as the switches say."""
        if self.process is not None and self.process.is_hung:
            await anyio.sleep_forever()
        if self.stalled is not None:
            await self.stalled.wait()
        if req.target == HEALTH_PATH:
            self.health_checks.append(self.clock.now())
            cold = ((names.COLD, b"%d" % self.cold_ms),) if self.cold_ms else ()
            own_id = () if self.nameless else ((names.SERVER_ID, self.id.encode()),)
            reply.send(200, (*own_id, self._load(), *cold, *self._notices()))
            return
        if req.target == REPORT_PATH:
            if self.silent_reports:
                await anyio.sleep_forever()
            self._report(reply)
            return
        request_id = find_header(req.headers, names.REQUEST_ID) or b""
        rejection = self._rejection(req)
        arrival = Arrival(
            request_id.decode("latin-1"), req.headers, req.body, rejection is None, self.clock.now()
        )
        self.arrivals.append(arrival)
        if rejection is not None:
            status, headers = rejection
            reply.send(status, ((names.REQUEST_ID, request_id), *headers, *self._notices()))
            return
        span = RunSpan(arrival.request_id, self.id, arrival.at_ms)
        self.spans.append(span)
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            with anyio.CancelScope() as scope:
                if not self.keeps_runs:
                    reply.on_disconnect(scope.cancel)
                await self._run(req, reply, request_id)
            self.cancelled += scope.cancelled_caught
        finally:
            self.running -= 1
            span.ended_ms = self.clock.now()

    def _report(self, reply: ResponseWriter) -> None:
        if self.report_age_ms is None:
            reply.send(404, ())
            return
        as_of_ms = self.clock.now() - self.report_age_ms
        runs = [
            (it.request_id, 0, 0, 0)
            for it in self.spans
            if it.began_ms <= as_of_ms and (not it.ended_ms or it.ended_ms > as_of_ms)
        ]
        report = msgspec.json.encode({"runs": runs, "born": self.born})
        if self.broken_reports:
            reply.send_raw(b"HTTP/1.1 200 OK\r\n\r\n" + report[: len(report) // 2])
            reply.end_by_close()
            return
        reply.send(200, (), report)

    def _rejection(self, req: IncomingRequest) -> tuple[int, RawHeaders] | None:
        expected = find_header(req.headers, names.EXPECT_SERVER)
        if self.faults.take("misread") or (expected and expected.decode() != self.id):
            return 421, ((names.SERVER_ID, self.id.encode()),)
        if self.faults.take("full") or self._is_full():
            rest = () if self.rest_s is None else ((names.RETRY_AFTER, self.rest_s),)
            return 503, ((names.NOT_RUN, b"1"), *rest)
        return None

    def _is_full(self) -> bool:
        return self.batch is not None and self.batch.waiting >= QUEUED_PER_SLOT * self.slots

    async def _run(self, req: IncomingRequest, reply: ResponseWriter, request_id: bytes) -> None:
        if self.faults.take("hung"):
            await anyio.sleep_forever()
        is_struck = self.crash.strikes(decode_call(req))
        if is_struck and self.crash.after_ms is not None and self.process is not None:
            self.process.run_later(self.crash.after_ms, lambda: self.end_process(req.body))
            if self.crash.streams:
                await self._stream_on(reply, self._headers(request_id))
            await anyio.sleep_forever()
        await self.clock.sleep(self.work_ms)
        if self.faults.take("lost"):
            reply.abort()
            return
        if self.faults.take("late"):
            reply.send(503, ((names.NOT_RUN, b"1"),))
            return
        headers = self._headers(request_id)
        if is_struck:
            is_stream = find_header(req.headers, names.TOKENS) is not None
            await self._crash_under(reply, headers, req.body, is_stream=is_stream)
        elif self.faults.take("errors"):
            reply.send(500, headers, b"failed")
        elif find_header(req.headers, names.TOKENS) is not None:
            if self.batch is None:
                await self._stream(req, reply, headers)
            else:
                await self._generate(self.batch, req, reply, headers)
        elif self.faults.take("ended"):
            reply.send_raw(b"HTTP/1.1 200 OK\r\n" + header_lines(headers) + b"\r\nhalf")
            await self.clock.sleep(self.work_ms)
            self.end_process(req.body)
        elif self.faults.take("unframed"):
            reply.send_raw(b"HTTP/1.1 200 OK\r\n" + header_lines(headers) + b"\r\nunframed")
            reply.end_by_close()
        elif self.faults.take("torn"):
            reply.send_raw(b"HTTP/1.1 200 OK\r\n" + header_lines(headers) + b"\r\ntorn")
            await self.clock.sleep(self.work_ms)
            reply.reset()
        else:
            if self.faults.take("extra"):
                other = self._headers(b"of-another-request")
                reply.send_raw(response_head_bytes(200, other, length=5, close=False) + b"other")
            reply.send(200, headers, self._done(request_id))

    async def _stream(
        self, req: IncomingRequest, reply: ResponseWriter, headers: RawHeaders
    ) -> None:
        # The process that began the stream ends it, whatever starts in its place meanwhile.
        server_id, version = self.id, self.version
        first = int(find_header(req.headers, names.LAST_EVENT) or 0) + 1
        ends, closes = self.faults.take("ended"), self.faults.take("closed")
        unframed = ends or closes or self.faults.take("unframed")
        stream = StreamReply(reply, headers, unframed=unframed)
        stream.start()
        for number in range(first, self.events + 1):
            await self.clock.sleep(self.event_every_ms)
            if (ends or closes) and number > self.faults.ended_after:
                self.end_process(req.body) if ends else stream.end()
                return
            if number == self.events // 2 + 1:
                cut, short = self.faults.take("cut"), self.faults.take("short")
                if cut or short:
                    await stream.send(b"id: %d\nda" % number)
                    await self.clock.sleep(self.event_every_ms)
                    reply.abort() if cut else stream.end()
                    return
            await stream.send(event(number, version, server_id, self._own_id(req)))
        if ends:
            self.end_process(req.body)
        else:
            stream.end()

    async def _stream_on(self, reply: ResponseWriter, headers: RawHeaders) -> None:
        """Stream events for as long as the process runs."""
        stream = StreamReply(reply, headers, unframed=False)
        stream.start()
        for number in itertools.count(1):
            await self.clock.sleep(STREAM_EVERY_MS)
            if self.process is None or self.process.ended.is_set():
                return
            await stream.send(event(number, self.version, self.id))

    def _own_id(self, req: IncomingRequest) -> str:
        request_id = find_header(req.headers, names.REQUEST_ID) or b""
        return request_id.decode("latin-1") if self.tells_id else ""

    async def _crash_under(
        self, reply: ResponseWriter, headers: RawHeaders, body: bytes, *, is_stream: bool
    ) -> None:
        """Begin an answer as the switch says, and crash."""
        point = self.crash.point
        stream = StreamReply(reply, headers, unframed=point is CrashPoint.UNFRAMED_END)
        match point:
            case CrashPoint.BEFORE_HEAD:
                pass
            case CrashPoint.INSIDE_EVENT if is_stream:
                stream.start()
                await stream.send(b"id: 1\nda")
            case CrashPoint.UNFRAMED_END if is_stream:
                stream.start()
                await stream.send(event(1, self.version, self.id))
            case CrashPoint.INSIDE_EVENT:
                reply.send_raw(response_head_bytes(200, headers, length=9, close=False) + b"half")
            case CrashPoint.UNFRAMED_END:
                reply.send_raw(b"HTTP/1.1 200 OK\r\n" + header_lines(headers) + b"\r\nhalf")
        await self.clock.sleep(self.event_every_ms)
        self.end_process(body)

    def end_process(self, body: bytes = b"") -> None:
        """End as a crash does: the port and all connections close, or fall silent.

        :param body: that of the request under which it ends, if it does so under one.
        """
        self.crashes.append(self.clock.now())
        self.ended_under.append((body, self.clock.now()))
        if self.process is None:
            return
        if self.crash.silent:
            self.process.fall_silent()
        elif self.crash.hangs:
            self.process.hang()
        else:
            self.process.end()

    @property
    def is_up(self) -> bool:
        """Whether its process runs."""
        return self.process is not None and self.process.is_up

    def break_connections(self) -> None:
        """Reset all open connections; the process goes on."""
        if self.process is not None:
            self.process.break_connections()

    async def recover_from_crashes(self, process: ServerProcess) -> None:
        """Let the entry lapse after each crash and start again, until cancelled."""
        while True:
            await process.ended.wait()
            await self.clock.sleep(self.crash.lapse_ms)
            if not self.crash.keeps_id:
                self.withdraw()
            await self.clock.sleep(self.crash.back_ms)
            if not self.crash.is_same:
                self.born = len(self.crashes)
            await process.start()
            self.port = process.port
            await self.clock.sleep(self.crash.entry_ms)
            if self.crash.is_same:
                self.register(born=self.born)
                continue
            if not self.crash.keeps_id:
                self.id = f"{self.id.partition('.')[0]}.{len(self.crashes)}"
            self.register(born=len(self.crashes))

    async def _generate(
        self, batch: Batch, req: IncomingRequest, reply: ResponseWriter, headers: RawHeaders
    ) -> None:
        """Stream a token an event; an engine whose caller leaves stops."""
        server_id, version = self.id, self.version
        stream = submitted(batch, req)
        answer = StreamReply(reply, headers, unframed=self.faults.take("unframed"))
        sent = 0
        try:
            while sent < stream.max_tokens:
                while stream.produced == sent:
                    await stream.changed.wait()
                if not reply.started:
                    answer.start()
                for number in range(sent + 1, stream.produced + 1):
                    await answer.send(event(number, version, server_id))
                sent = stream.produced
            answer.end()
        finally:
            if not stream.done:
                batch.cancel(stream.id)

    def _done(self, request_id: bytes) -> bytes:
        told = b" for " + request_id if self.tells_id else b""
        return b"done by " + self.id.encode() + told

    def _headers(self, request_id: bytes) -> RawHeaders:
        headers = [(names.REQUEST_ID, request_id), *self.odd_headers, self._load()]
        if not self.faults.take("unsigned"):
            headers.append((names.SIGNATURE, b"signed-" + self.id.encode()))
        return (*headers, *self._notices())

    def _load(self) -> tuple[bytes, bytes]:
        """Return the header that tells its load, and how long work takes if it tells that."""
        running = self.running if self.batch is None else self.batch.running
        waiting = 0 if self.batch is None else self.batch.waiting
        figures = [b"%d" % it for it in (running, waiting, self.slots)]
        if self.time_factor is not None:
            figures.append(self.time_factor)
        return (names.LOAD, b",".join(figures))

    def _notices(self) -> RawHeaders:
        """Return the headers in which every answer says what the server needs."""
        limit = () if self.limit is None else ((names.LIMIT, self.limit),)
        return (*limit, (names.LEAVING, b"1")) if self.leaving else limit


def submitted(batch: Batch, req: IncomingRequest) -> Stream:
    """Queue a request as its headers tell it."""
    call = decode_call(req)
    urgency = find_header(req.headers, names.URGENCY)
    return batch.submit(
        stream_id=call.request_id,
        model="",
        prompt="",
        prompt_tokens=call.prompt_tokens,
        max_tokens=call.output_tokens,
        priority=-int(urgency or USUAL_URGENCY),
        parts=[CachedPart(part.id, part.tokens) for part in call.parts],
    )


def event(number: int, version: str, server_id: str, request_id: str = "") -> bytes:
    """Return one event of a stream, which tells its server and the version of its software.

    :param request_id: the id of the stream's request, if the event tells it.
    """
    told = f"event {number} of {version} at {server_id}" + (
        f" for {request_id}" if request_id else ""
    )
    return b"id: %d\ndata: %s\n\n" % (number, told.encode("latin-1"))


@asynccontextmanager
async def serve_server(stand_in: ServerStandIn) -> AsyncIterator[ServerStandIn]:
    """Serve a stand-in on a free port and register it, until the block ends."""
    async with anyio.create_task_group() as tg:
        process = ServerProcess(stand_in.answer, clock=SystemClock(), tasks=tg)
        await process.start()
        stand_in.process, stand_in.port = process, process.port
        if stand_in.batch is not None:
            tg.start_soon(stand_in.batch.run)
        tg.start_soon(stand_in.recover_from_crashes, process)
        stand_in.register()
        try:
            yield stand_in
        finally:
            process.close()
            tg.cancel_scope.cancel()
