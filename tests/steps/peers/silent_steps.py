from __future__ import annotations

import socket
from contextlib import aclosing
from dataclasses import replace

import anyio
from behave import given, then, when
from h2.exceptions import StreamClosedError

from hickorybeam.errors import GatewayError
from hickorybeam.model import ResponseChunk, VmId
from hickorybeam.peers.connections import AbortableProtocol
from hickorybeam.peers.server import PeerServer
from hickorybeam.peers.wire import AskReply, AskRequest, NumberedRequest
from hickorybeam.settings import PeerSettings
from hickorybeam.standins import relay
from support.peer_nodes import ECHO, PLAIN, EchoMessage, Node, collect, enter, make_call
from support.stopwatch import Stopwatch

SILENT_MS = 400
# Shorter than the pings take, so that it is the failed request that gives the connection up.
ASK_TIMEOUT_MS = 250
STEADY = replace(ECHO, name="steady echo", shared_stream=True)
TINY_BUFFER = 2048


@given("two peer nodes with a relay before B")
def step_relay(context):
    async def echo(sender, words):
        return EchoMessage(f"{sender.name} said {words.text}")

    peers = PeerSettings(tls=PLAIN, silent_after_ms=SILENT_MS, call_timeout_ms=SILENT_MS)
    context.a = context.call(lambda: Node("vm-a", peers=peers))
    context.b = context.call(lambda: Node("vm-b", "thies", peers=peers))

    async def echo_slowly(sender, words):
        if words.text == "slow":
            await context.others_answered.wait()
        return await echo(sender, words)

    context.b.peers.serve(ECHO, echo)
    context.b.peers.serve(STEADY, echo_slowly)
    enter(context, context.a.running())
    enter(context, context.b.running())
    context.relay = enter(context, relay.serve("127.0.0.1", context.b.peers.port))
    context.target = context.b.at(context.relay.port)


@when('peer node A steadily asks B to echo "{text}" through the relay')
def step_ask_steadily(context, text):
    ask_through(context, STEADY, text)


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


@when("the relay forgets its open connections")
def step_forget(context):
    context.call(context.relay.drop_bytes_of_open)


def timed(context, call):
    async def run():
        took = Stopwatch()
        got = await collect(context.a.peers.forward(call, context.target))
        return *got, round(took.elapsed_ms())

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
        got = []
        took = Stopwatch()
        try:
            async with aclosing(context.a.peers.forward(make_call(), context.target)) as parts:
                async for part in parts:
                    got.append(part)
                    if isinstance(part, ResponseChunk):
                        await context.relay.drop_bytes_of_open()
                        took = Stopwatch()
        except GatewayError as exc:
            context.error = exc
        context.took_ms = round(took.elapsed_ms())
        context.parts = got

    context.call(run)


@then("that took at most {most:d} ms with a silent time of {silent:d} ms")
def step_took(context, most, silent):
    assert silent == SILENT_MS
    assert context.took_ms <= most, context.took_ms


def listener(context, backlog):
    sock = context.stack.enter_context(socket.socket())
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, TINY_BUFFER)
    sock.bind(("127.0.0.1", 0))
    sock.listen(backlog)
    context.target = context.b.at(sock.getsockname()[1])
    return sock


@given("a machine that accepts connections and reads nothing stands in for B")
def step_deaf(context):
    listener(context, 5)
    plain = AbortableProtocol.connection_made

    def with_small_buffer(self, transport):
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, TINY_BUFFER)
        plain(self, transport)

    AbortableProtocol.connection_made = with_small_buffer
    context.stack.callback(setattr, AbortableProtocol, "connection_made", plain)


@given("a machine whose queue of new connections is full stands in for B")
def step_full(context):
    sock = listener(context, 0)
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


@when("peer node A steadily asks B to echo {count:d} words at once, the first slowly")
def step_at_once(context, count):
    context.answers = []

    async def ask(text):
        reply = await context.a.peers.ask(
            context.target, STEADY, EchoMessage(text), timeout_ms=5_000
        )
        context.answers.append((text, reply.text))
        if len(context.answers) == count - 1:
            context.others_answered.set()

    async def run():
        context.others_answered = anyio.Event()
        async with anyio.create_task_group() as tg:
            for text in ["slow", *(f"word{number}" for number in range(count - 1))]:
                tg.start_soon(ask, text)

    context.count = count
    context.call(run)


@then("every steady asker got its own word and the first came last")
def step_own_word(context):
    assert len(context.answers) == context.count
    assert all(reply == f"vm-a said {text}" for text, reply in context.answers)
    assert context.answers[-1][0] == "slow"


class ClosedStream:
    class peer:
        @staticmethod
        def cert():
            return None

    async def send_message(self, message):
        raise StreamClosedError(1)


class Answering:
    async def on_ask(self, ask, certificate):
        return AskReply(body=b"x")


@given("a peer server whose handlers answer at once")
def step_server(context):
    context.server = context.call(lambda: PeerServer(Answering(), silent_after_ms=SILENT_MS))


@when("a steady reply finds its stream closed")
def step_closed_stream(context):
    vm = VmId("vm-a", "1")
    numbered = NumberedRequest(number=1, ask=AskRequest(sender=vm, to=vm, topic="t", body=b""))

    async def run():
        context.room = anyio.Semaphore(0, max_value=1)
        try:
            await context.server._reply(ClosedStream(), numbered, anyio.Lock(), context.room)
        except Exception as exc:
            return exc

    context.raised = context.call(run)


@then("the reply is dropped without an error")
def step_dropped(context):
    assert context.raised is None, context.raised
    assert context.room.value == 1
