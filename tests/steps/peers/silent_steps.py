from __future__ import annotations

import socket
from contextlib import aclosing

import anyio
from behave import given, then, when

from hickorybeam.errors import GatewayError
from hickorybeam.model import AnswerChunk
from hickorybeam.peers.links import AbortableProtocol
from hickorybeam.settings import PeerSettings
from hickorybeam.standins import relay
from support.peer_nodes import ECHO, PLAIN, Node, Words, collect, enter, make_call

SILENT_MS = 400
TINY_BUFFER = 2048


@given("two peer nodes with a relay before B")
def step_relay(context):
    async def echo(sender, words):
        return Words(f"{sender.name} said {words.text}")

    peers = PeerSettings(tls=PLAIN, silent_after_ms=SILENT_MS, call_timeout_ms=SILENT_MS)
    context.a = context.call(lambda: Node("vm-a", peers=peers))
    context.b = context.call(lambda: Node("vm-b", "thies", peers=peers))
    context.b.peers.serve(ECHO, echo)
    enter(context, context.a.running())
    enter(context, context.b.running())
    context.relay = enter(context, relay.serve("127.0.0.1", context.b.peers.port))
    context.target = context.b.at(context.relay.port)


@when('peer node A asks B to echo "{text}" through the relay')
def step_ask(context, text):
    async def ask():
        context.reply = context.error = None
        try:
            context.reply = await context.a.peers.ask(context.target, ECHO, Words(text))
        except GatewayError as exc:
            context.error = exc

    context.call(ask)


@when("the relay forgets its open connections")
def step_forget(context):
    context.call(context.relay.drop_bytes_of_open)


def timed(context, call):
    async def run():
        began = anyio.current_time()
        got = await collect(context.a.peers.forward(call, context.target))
        return *got, round((anyio.current_time() - began) * 1000)

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
        began = anyio.current_time()
        try:
            async with aclosing(context.a.peers.forward(make_call(), context.target)) as parts:
                async for part in parts:
                    got.append(part)
                    if isinstance(part, AnswerChunk):
                        await context.relay.drop_bytes_of_open()
                        began = anyio.current_time()
        except GatewayError as exc:
            context.error = exc
        context.took_ms = round((anyio.current_time() - began) * 1000)
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
