from __future__ import annotations

import socket
from contextlib import aclosing
from dataclasses import replace

import anyio
from behave import given, then, when
from h2.exceptions import StreamClosedError

from hickorybeam.errors import GatewayError
from hickorybeam.model import ResponseChunk, VmId
from hickorybeam.peers.channel import AbortableProtocol
from hickorybeam.peers.server import PeerServer
from hickorybeam.peers.wire import AskReply, AskRequest, NumberedRequest
from hickorybeam.settings import PeerSettings
from hickorybeam.standins import relay
from support.peer_nodes import ECHO, PLAIN, EchoMessage, Node, collect, enter, make_call
from support.stopwatch import Stopwatch

SILENT_AFTER_MS = 400
# Shorter than the detection by pings, so that the failed request itself retires the connection.
ASK_TIMEOUT_MS = 250
SHARED_ECHO = replace(ECHO, name="shared echo", shared_stream=True)
TINY_BUFFER_BYTES = 2048


@given("two peer nodes with a relay before B")
def step_relay(context):
    async def echo(sender, message):
        return EchoMessage(f"{sender.name} said {message.text}")

    peers = PeerSettings(
        tls=PLAIN, silent_after_ms=SILENT_AFTER_MS, call_timeout_ms=SILENT_AFTER_MS
    )
    context.a = context.call(lambda: Node("vm-a", peers=peers))
    context.b = context.call(lambda: Node("vm-b", "thies", peers=peers))

    async def echo_slowly(sender, message):
        if message.text == "slow":
            await context.others_answered.wait()
        return await echo(sender, message)

    context.b.peers.serve(ECHO, echo)
    context.b.peers.serve(SHARED_ECHO, echo_slowly)
    enter(context, context.a.running())
    enter(context, context.b.running())
    context.relay = enter(context, relay.serve("127.0.0.1", context.b.peers.port))
    context.target = context.b.with_port(context.relay.port)


@when('peer node A asks B on the shared stream to echo "{text}" through the relay')
def step_ask_shared(context, text):
    ask_through(context, SHARED_ECHO, text)


@when('peer node A asks B to echo "{text}" through the relay')
def step_ask(context, text):
    ask_through(context, ECHO, text)


def ask_through(context, topic, text):
    async def ask():
        context.reply = context.error = None
        try:
            context.reply = await context.a.peers.ask(
                context.target, topic, EchoMessage(text), timeout_ms=ASK_TIMEOUT_MS
            )
        except GatewayError as exc:
            context.error = exc

    context.call(ask)


@when("the relay drops the bytes of its open connections")
def step_drop_bytes(context):
    context.call(context.relay.drop_bytes_of_open)


def timed(context, call):
    async def run():
        took = Stopwatch()
        received = await collect(context.a.peers.forward(call, context.target))
        return *received, round(took.elapsed_ms())

    context.parts, context.error, context.took_ms = context.call(run)


@when("peer node A forwards a call to B through the relay")
def step_forward(context):
    timed(context, make_call())


@when("peer node A forwards a call of {size:d} bytes to it")
def step_forward_size(context, size):
    timed(context, make_call(body=b"x" * size))


@when("peer node A forwards a call to B and the relay goes silent after the first chunk")
def step_goes_silent(context):
    async def run():
        received = []
        took = Stopwatch()
        try:
            async with aclosing(context.a.peers.forward(make_call(), context.target)) as parts:
                async for part in parts:
                    received.append(part)
                    if isinstance(part, ResponseChunk):
                        await context.relay.drop_bytes_of_open()
                        took = Stopwatch()
        except GatewayError as exc:
            context.error = exc
        context.took_ms = round(took.elapsed_ms())
        context.parts = received

    context.call(run)


@then("that took at most {limit_ms:d} ms with silent_after_ms of {silent_ms:d}")
def step_took(context, limit_ms, silent_ms):
    assert silent_ms == SILENT_AFTER_MS
    assert context.took_ms <= limit_ms, context.took_ms


def replace_b(context, backlog):
    sock = context.stack.enter_context(socket.socket())
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, TINY_BUFFER_BYTES)
    sock.bind(("127.0.0.1", 0))
    sock.listen(backlog)
    context.target = context.b.with_port(sock.getsockname()[1])
    return sock


@given("a machine that accepts connections and reads nothing takes the place of B")
def step_reads_nothing(context):
    replace_b(context, 5)
    plain = AbortableProtocol.connection_made

    def with_small_buffer(self, transport):
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, TINY_BUFFER_BYTES)
        plain(self, transport)

    AbortableProtocol.connection_made = with_small_buffer
    context.stack.callback(setattr, AbortableProtocol, "connection_made", plain)


@given("a machine whose queue of new connections is full takes the place of B")
def step_full(context):
    sock = replace_b(context, 0)
    for _ in range(3):
        filler = context.stack.enter_context(socket.socket())
        filler.setblocking(False)
        filler.connect_ex(sock.getsockname())


@given("two peer nodes that each forward every call to the other")
def step_opposite(context):
    context.a = enter(context, context.call(lambda: Node("vm-a")).running())
    context.b = enter(context, context.call(lambda: Node("vm-b", "thies")).running())
    for node, other in ((context.a, context.b), (context.b, context.a)):
        node.dispatch.run = forwarding(node, other)


def forwarding(node, other):
    def run(call):
        node.dispatch.calls.append(call)
        return node.peers.forward(call, other.vm)

    return run


@when("peer node A's dispatch runs a call")
def step_dispatch(context):
    async def run():
        return await collect(context.a.dispatch.run(make_call()))

    context.parts, context.error = context.call(run)


@then("each dispatch saw the call once")
def step_once(context):
    assert [call.hops for call in context.a.dispatch.calls] == [0]
    assert [call.hops for call in context.b.dispatch.calls] == [1]


@when("peer node A asks B on the shared stream to echo {count:d} texts at once, the first slowly")
def step_at_once(context, count):
    context.replies = []

    async def ask(text):
        reply = await context.a.peers.ask(
            context.target, SHARED_ECHO, EchoMessage(text), timeout_ms=5_000
        )
        context.replies.append((text, reply.text))
        if len(context.replies) == count - 1:
            context.others_answered.set()

    async def run():
        context.others_answered = anyio.Event()
        async with anyio.create_task_group() as tg:
            for text in ["slow", *(f"word{number}" for number in range(count - 1))]:
                tg.start_soon(ask, text)

    context.count = count
    context.call(run)


@then("every request got its own reply and the first request's came last")
def step_own_reply(context):
    assert len(context.replies) == context.count
    assert all(reply == f"vm-a said {text}" for text, reply in context.replies)
    assert context.replies[-1][0] == "slow"


class ClosedStream:
    class peer:
        @staticmethod
        def cert():
            return None

    async def send_message(self, message):
        raise StreamClosedError(1)


class ImmediateHandler:
    async def on_ask(self, ask, certificate):
        return AskReply(body=b"x")


@given("a peer server whose handlers reply at once")
def step_server(context):
    context.server = context.call(
        lambda: PeerServer(ImmediateHandler(), silent_after_ms=SILENT_AFTER_MS, max_connections=100)
    )


@when("a reply is sent on a shared stream that is closed")
def step_closed_stream(context):
    vm = VmId("vm-a", "1")
    request = NumberedRequest(number=1, ask=AskRequest(sender=vm, to=vm, topic="t", body=b""))

    async def run():
        context.slots = anyio.Semaphore(0, max_value=1)
        try:
            await context.server._reply(ClosedStream(), request, anyio.Lock(), context.slots)
        except Exception as exc:
            return exc

    context.raised = context.call(run)


@then("the reply is dropped without an error")
def step_dropped(context):
    assert context.raised is None, context.raised
    assert context.slots.value == 1
