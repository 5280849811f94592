from __future__ import annotations

from unittest import mock

import anyio
import anyio.lowlevel
from behave import given, then, when

from hickorybeam.http1 import BrokenResponseError, UpstreamConnection, upstream

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
UNFRAMED_HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
PIECE = 10_000


class FakeTransport:
    """Transport that only keeps whether reading is paused, and never closes."""

    def __init__(self):
        self.reading = True

    def write(self, data):
        pass

    def write_eof(self):
        pass

    def abort(self):
        pass

    def is_closing(self):
        return False

    def get_extra_info(self, name):
        return None

    def get_write_buffer_size(self):
        return 0

    def pause_reading(self):
        self.reading = False

    def resume_reading(self):
        self.reading = True


class Receiver:
    """Receiver that takes ``pieces`` before it is not ready any more, ``None`` for all."""

    def __init__(self):
        self.got = b""
        self.pieces = None
        self.ready = anyio.Event()

    def take(self, data):
        self.got += data
        if self.pieces is not None:
            self.pieces -= 1
        return self.pieces is None or self.pieces > 0

    async def wait_ready(self):
        await self.ready.wait()


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


async def settle(conn=None):
    """Let tasks run, and a connection parse all that it has received, a piece in each turn."""
    while conn is not None and conn._reader.unfed:
        await anyio.lowlevel.checkpoint()
    for _ in range(5):
        await anyio.lowlevel.checkpoint()


@given("a request was sent on a connection whose response is passed on")
def step_connection(context):
    begin_forwarding(context, HEAD)


@given("a request was sent whose response has neither a length nor chunks")
def step_unframed(context):
    begin_forwarding(context, UNFRAMED_HEAD)


def begin_forwarding(context, head):
    context.conn, context.transport = UpstreamConnection(), FakeTransport()
    context.end = None

    async def forward():
        try:
            await context.conn.forward_body(context.receiver.take, context.receiver.wait_ready)
            context.end = "complete"
        except BrokenResponseError:
            context.end = "broken"

    async def start():
        context.receiver = Receiver()
        context.conn.connection_made(context.transport)
        context.conn.send(b"GET / HTTP/1.1\r\n\r\n")
        context.conn.data_received(head)
        await context.conn.read_head()

    context.call(start)
    task = context.portal.start_task_soon(forward)
    context.stack.callback(task.cancel)
    context.call(settle)


@given("the receiver is not ready after {count:d} more piece")
def step_not_ready(context, count):
    context.receiver.pieces = count


@when('the events "{events}" arrive one by one')
def step_arrive(context, events):
    async def arrive():
        for event in events.split(", "):
            context.conn.data_received(chunk(event.encode()))
        context.got_at_once = context.receiver.got
        await settle(context.conn)

    context.call(arrive)


@when("{count:d} pieces of {size:d} bytes arrive")
def step_large(context, count, size):
    async def arrive():
        for _ in range(count):
            context.conn.data_received(chunk(b"x" * size))

    context.call(arrive)


@when('the receiver is ready and the response ends with "{data}"')
def step_ready(context, data):
    async def end():
        context.receiver.pieces = None
        context.receiver.ready.set()
        await settle(context.conn)
        context.conn.data_received(chunk(data.encode()) + LAST_CHUNK)
        await settle(context.conn)

    context.call(end)


@given("bodies are bounded by {count:d} bytes")
def step_bound(context, count):
    context.stack.enter_context(mock.patch.object(upstream, "MAX_BODY_BYTES", count))


@when("{count:d} bytes arrive without chunks, and the other end closes its side")
def step_endless(context, count):
    async def arrive():
        for _ in range(0, count, PIECE):
            context.conn.data_received(b"x" * PIECE)
            await settle(context.conn)
        context.conn.eof_received()
        context.conn.connection_lost(None)

    context.call(arrive)


@when("the receiver is ready")
def step_ready_again(context):
    async def take():
        context.receiver.pieces = None
        context.receiver.ready.set()
        await settle()

    context.call(take)


@then("the response counts as broken")
def step_is_broken(context):
    assert context.end == "broken", (context.end, len(context.receiver.got))


@when("the connection is lost")
def step_lost(context):
    async def lose():
        context.conn.connection_lost(None)
        await settle(context.conn)

    context.call(lose)


@then('the receiver got "{data}" before its task ran')
def step_got_at_once(context, data):
    assert context.got_at_once == data.encode(), context.got_at_once


@then('the receiver got "{data}" in all and the response is {end}')
def step_got(context, data, end):
    assert (context.receiver.got, context.end) == (data.encode(), end)


@then("reading from the server is paused")
def step_paused(context):
    assert not context.transport.reading


@then("reading from the server goes on")
def step_resumed(context):
    assert context.transport.reading
    assert context.end == "complete"


@when('the events "{events}" arrive without chunks')
def step_arrive_unframed(context, events):
    async def arrive():
        for event in events.split(", "):
            context.conn.data_received(event.encode())
        await settle(context.conn)

    context.call(arrive)


def end(context, *, orderly):
    async def lose():
        if orderly:
            context.conn.eof_received()
        context.conn.connection_lost(ConnectionResetError(104, "reset"))
        await settle(context.conn)

    context.call(lose)


@when("the other end closes its side, and the connection is reset by what is still written")
def step_closed_then_reset(context):
    end(context, orderly=True)


@when("the connection is reset")
def step_reset(context):
    end(context, orderly=False)


@then("the connection can't be used again")
def step_not_reusable(context):
    assert context.conn.closed
    assert not context.conn.reusable


@given("a request was sent on a connection whose response a task reads whole")
def step_read_whole(context):
    context.conn, context.transport = UpstreamConnection(), FakeTransport()

    async def start():
        context.conn.connection_made(context.transport)
        context.conn.send(b"GET / HTTP/1.1\r\n\r\n")
        context.conn.data_received(HEAD)
        await context.conn.read_head()

    context.call(start)


@when("{count:d} pieces of {size:d} bytes arrive, each in a turn of its own")
def step_turns(context, count, size):
    async def arrive():
        for _ in range(count):
            context.conn.data_received(chunk(b"x" * size))
            await settle()

    context.call(arrive)


@then("reading from the server is not paused")
def step_not_paused(context):
    assert context.transport.reading
