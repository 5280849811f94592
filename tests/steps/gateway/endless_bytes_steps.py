from __future__ import annotations

import contextlib
import socket
import tempfile
import threading
import time
from contextlib import asynccontextmanager
from pathlib import Path

import anyio
import msgspec
from behave import given, then, when

from hickorybeam.demo.platform import start_platform_fleet
from hickorybeam.http1.head import request_bytes
from hickorybeam.platform import names
from hickorybeam.standins.deployment import caller_headers
from support.endless import ANSWERS, REQUESTS, Daemon, EndlessServer, Sent, send_endlessly, with_id

READY_LIMIT_S = 20
PAUSE_S = 0.05
WORK_MS = 150
# Far above what any answer here takes: a busy machine must not cut a large one.
TIMEOUT_MS = 20_000


@asynccontextmanager
async def store_and_servers(servers):
    """Run a store and servers, with the longest heads that the users' callers send."""
    async with start_platform_fleet() as fleet:
        fleet.config["limits"] |= {"max-header-bytes": 16_384, "header-timeout-ms": 3_000}
        for it in fleet.config["routes"]:
            it["target-latency-ms"] = 1_000
            it["timeout-ms"] = TIMEOUT_MS
        fleet.config["version"] += 1
        fleet.configure()
        for pair in filter(None, servers.split(", ")):
            server = await fleet.add_server(*pair.split(":"), "north-1")
            # So long that several requests run at once, and other servers of the service get some.
            server.work_ms = WORK_MS
        yield fleet


def start_daemon(context, *, servers="", url=None):
    """Run a store, servers and the daemon."""
    manager = store_and_servers(servers)
    context.rig = fleet = context.stack.enter_context(
        context.portal.wrap_async_context_manager(manager)
    )
    folder = Path(context.stack.enter_context(tempfile.TemporaryDirectory()))
    context.daemon = Daemon(folder, url(fleet.url) if url else fleet.url)
    context.stack.callback(context.daemon.stop)
    end = time.monotonic() + READY_LIMIT_S
    while not context.daemon.is_ready():
        assert time.monotonic() < end, context.daemon.log.read_text()[-2_000:]
        time.sleep(PAUSE_S)
    # The entries of servers come with the configuration, and requests warm the daemon up.
    if servers and "books" in servers:
        context.call(ask_in_turn, context, 5, "/look/x")
    context.memory_mb = context.daemon.memory_mb()


def register(context, name, service, port):
    entry = {
        "service": service,
        "address": f"127.0.0.1:{port}",
        "zone": "north-1",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold-remaining-ms": 0,
        "sequence": 1,
    }

    async def put():
        context.rig.app.put(names.SERVER_PREFIX + name, msgspec.json.encode(entry))

    context.call(put)
    end = time.monotonic() + READY_LIMIT_S
    while f"server {name} of service {service} registered" not in context.daemon.log.read_text():
        assert time.monotonic() < end, "the daemon doesn't learn of the server"
        time.sleep(PAUSE_S)


@given('a daemon before servers "{servers}", and one whose answers have {form} without end')
def step_endless_server(context, servers, form):
    start_daemon(context, servers=servers)
    add_endless(context, "books", form)


@given(
    'a daemon before servers "{servers}", and one of service "{service}" whose answers have {form} '
    "without end"
)
def step_endless_server_of(context, servers, service, form):
    start_daemon(context, servers=servers)
    add_endless(context, service, form)


@given('a daemon before servers "{servers}"')
def step_daemon(context, servers):
    if context.scenario.name.startswith("a store"):
        context.proxy = StoreProxy()
        context.stack.callback(context.proxy.start())
        start_daemon(context, servers=servers, url=context.proxy.before)
    else:
        start_daemon(context, servers=servers)


def add_endless(context, service, form):
    context.endless = EndlessServer(form)
    context.stack.callback(context.endless.start())
    register(context, "e1", service, context.endless.port)


async def ask(context, path, number, *, method="GET", wait_ms=TIMEOUT_MS):
    headers = caller_headers(f"{number:016x}", key="small", wait_ms=wait_ms, tokens=b"50,10")
    body = b"{}" if method == "POST" else b""
    data = request_bytes(method, path.encode(), headers, body)
    began = time.monotonic()
    answer = await context.rig.exchange(context.daemon.callers, data, host=context.daemon.host)
    return answer, time.monotonic() - began


async def ask_in_turn(context, count, path):
    """Send requests one after the other, each before the one before it is answered."""
    found = []

    async def ask_one(number):
        found.append(await ask(context, path, 1_000 + number))

    async with anyio.create_task_group() as tg:
        for number in range(count):
            tg.start_soon(ask_one, number)
            await anyio.sleep(PAUSE_S)
    return found


@when('{count:d} callers ask for "{path}" in turn, while {others:d} ask for "{other}"')
@when('{others:d} callers ask for "{other}", and {count:d} for "{path}" in turn')
def step_ask_both(context, count, path, others, other):
    async def ask_all():
        async with anyio.create_task_group() as tg:
            for number in range(others):
                tg.start_soon(ask_stream, number)
            context.asked = await ask_in_turn(context, count, path)
            tg.cancel_scope.cancel()

    async def ask_stream(number):
        await ask(context, other, number, method="POST", wait_ms=3_000)

    context.call(ask_all)


@then('all of them for "{path}" get {status:d}, each within {limit:d} s')
def step_all_get(context, path, status, limit):
    found = [(it.status, it.whole, round(seconds, 2)) for it, seconds in context.asked]
    assert all(it[:2] == (status, True) and it[2] < limit for it in found), found


@then("the endless server's connections are closed within {limit:d} s each")
def step_closed(context, limit):
    wait_closed(context.endless.sent, limit)


@then("the peers' connections are closed within {limit:d} s each")
def step_peers_closed(context, limit):
    wait_closed(context.peers_sent, limit)


def wait_closed(sent, limit):
    assert sent, "nobody was sent anything without end"
    end = time.monotonic() + limit
    while not all(it.closed for it in sent) and time.monotonic() < end:
        time.sleep(PAUSE_S)
    found = [(it.closed, round(it.seconds, 2), it.size) for it in sent]
    assert all(closed and seconds <= limit for closed, seconds, _ in found), found


@then("the daemon's memory has grown by at most {limit:d} MB")
def step_memory(context, limit):
    grown = context.daemon.peak_mb() - context.memory_mb
    assert grown <= limit, f"{grown:.1f} MB over {context.memory_mb:.1f}"


@when('a caller asks for "{path}" by POST')
def step_order(context, path):
    context.answer, context.seconds = context.call(
        lambda: ask(context, path, 1, method="POST", wait_ms=3_000)
    )


@when('a caller asks for "{path}"')
def step_ask_once(context, path):
    context.answer, context.seconds = context.call(ask, context, path, 1)


@then("it gets {status:d} within {limit:d} s")
def step_gets_within(context, status, limit):
    assert context.answer.status == status, context.answer.status
    assert context.seconds < limit, context.seconds


@then("it gets {status:d} and {size:d} bytes")
def step_gets_bytes(context, status, size):
    found = context.answer
    assert (found.status, found.whole, len(found.body)) == (status, True, size), (
        found.status,
        found.whole,
        len(found.body),
    )


@when(
    "{count:d} peers send {form} without end to the port for {port}, while {callers:d} callers ask "
    'for "{path}"'
)
def step_endless_requests(context, count, form, port, callers, path):
    context.peers_sent = [Sent() for _ in range(count)]

    def send(sent):
        with socket.create_connection((context.daemon.host, getattr(context.daemon, port))) as sock:
            send_endlessly(sock, *REQUESTS[form], sent)

    for sent in context.peers_sent:
        threading.Thread(target=send, args=(sent,), daemon=True).start()
    context.asked = context.call(ask_in_turn, context, callers, path)


class StoreProxy:
    """Passes a VM's calls on to the store, or answers them without end itself."""

    def __init__(self):
        self.endless = EndlessServer("")
        self.form = ""
        self._store = ("127.0.0.1", 0)
        self._open = []

    def before(self, url):
        """Return the address to use in place of the store's."""
        host, _, port = url.removeprefix("http://").rpartition(":")
        self._store = (host, int(port))
        return f"http://127.0.0.1:{self.endless.port}"

    def start(self):
        """Listen, and return the function that ends it."""
        self.endless._serve = self._serve
        return self.endless.start()

    def switch(self, form):
        """Answer without end from now on, or pass calls on again if the form is empty."""
        self.form = form
        for sock in self._open:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        self._open.clear()

    def _serve(self, sock):
        with sock, contextlib.suppress(OSError):
            if not self.form:
                self._pass_on(sock)
                return
            sock.recv(65_536)
            sent = Sent()
            self.endless.sent.append(sent)
            send_endlessly(sock, *ANSWERS[self.form], sent)

    def _pass_on(self, sock):
        with socket.create_connection(self._store) as store:
            self._open += [sock, store]
            threading.Thread(target=copy, args=(store, sock), daemon=True).start()
            copy(sock, store)


def copy(source, sink):
    with contextlib.suppress(OSError):
        while data := source.recv(65_536):
            sink.sendall(data)
    for sock in (source, sink):
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)


@when(
    "the {other}'s answers have {form} without end for {seconds:d} s, while {callers:d} callers "
    'ask for "{path}"'
)
def step_endless_store(context, other, form, seconds, callers, path):
    context.endless = context.proxy.endless
    context.proxy.switch(form)
    began = time.monotonic()
    context.asked = context.call(ask_in_turn, context, callers, path)
    time.sleep(max(0.0, seconds - (time.monotonic() - began)))
    context.proxy.switch("")


def sound_answer(answer):
    """Return the pieces of an answer, and the pause between them in s."""
    head = b"HTTP/1.1 200 OK\r\nX-Hickorybeam-Response-Signature: s\r\n"
    chunked = head + b"transfer-encoding: chunked\r\n\r\n"
    last = b"0\r\n\r\n"
    match answer.split():
        case [count, "headers", *_, size, "bytes"]:
            more = b"".join(b"x-%d: %s\r\n" % (it, b"v" * int(size)) for it in range(int(count)))
            return [head + more + b"content-length: 3\r\n\r\nabc"], 0
        case [count, "interim", "responses"]:
            interim = b"HTTP/1.1 102 Processing\r\n\r\n"
            return [interim * int(count) + head + b"content-length: 3\r\n\r\nabc"], 0
        case [size, "bytes", "with", *_]:
            return [head + b"content-length: %d\r\n\r\n" % int(size) + b"x" * int(size)], 0
        case [size, "bytes", "until", *_]:
            return [head + b"\r\n" + b"x" * int(size)], 0
        case [size, "bytes", "in", "chunks", "of", *_]:
            return [chunked + b"1\r\nx\r\n" * int(size) + last], 0
        case [size, "bytes", "in", "chunks"]:
            chunk = b"%x\r\n%s\r\n" % (50_000, b"x" * 50_000)
            return [chunked + chunk * (int(size) // 50_000) + last], 0
        case [size, "bytes", "in", "signed", *_]:
            signed = b"1000;chunk-signature=%s\r\n%s\r\n" % (b"a" * 64, b"x" * 4_096)
            rest = int(size) % 4_096
            whole = signed * (int(size) // 4_096) + b"%x\r\n%s\r\n" % (rest, b"x" * rest)
            return [chunked + whole + last], 0
        case [size, "bytes,", piece, *_, ms, "ms"]:
            count = int(size) // int(piece)
            head += b"content-length: %d\r\n\r\n" % int(size)
            return [head, *[b"x" * int(piece)] * count], int(ms) / 1_000
    raise ValueError(answer)


@given("a daemon before a server that sends {answer}")
def step_sound_server(context, answer):
    start_daemon(context)
    pieces, pause_s = sound_answer(answer)
    server = EndlessServer("")

    def serve(sock):
        with sock, contextlib.suppress(OSError):
            request = sock.recv(65_536)
            for piece in pieces:
                sock.sendall(with_id(piece, request))
                time.sleep(pause_s)

    server._serve = serve
    context.stack.callback(server.start())
    register(context, "e1", "books", server.port)
