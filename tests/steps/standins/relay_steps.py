from __future__ import annotations

import anyio
from behave import given, then, when

from hickorybeam.standins import relay
from hickorybeam.standins.relay import LinkState
from support.raw_server import serve_bytes

LIMIT_S = 4


@given('a server behind the stand-in network that sends "{text}" and then {ends}')
def step_server(context, text, ends):
    context.options = {"stays_open": ends == "waits", "resets": ends == "resets"}
    context.sent = text.encode()


def read_through(context, *, cut):
    async def read():
        async with anyio.create_task_group() as tg:
            port = await serve_bytes(tg, context.sent, **context.options)
            async with relay.serve("127.0.0.1", port) as link:
                context.got, context.end = await exchange(link, cut=cut)
            tg.cancel_scope.cancel()

    context.call(read)


async def exchange(link, *, cut):
    got = b""
    async with await anyio.connect_tcp("127.0.0.1", link.port) as stream:
        await stream.send(b"?")
        try:
            with anyio.fail_after(LIMIT_S):
                while True:
                    got += await stream.receive()
                    if cut:
                        await link.set(LinkState.CUT)
        except anyio.EndOfStream:
            return got, "ended in order"
        except anyio.BrokenResourceError:
            return got, "was reset"


@when("a client reads to the end through the stand-in network")
def step_read(context):
    read_through(context, cut=False)


@when("the stand-in network is cut while a client reads through it")
def step_cut(context):
    read_through(context, cut=True)


@then('the client got "{text}" and its connection {end}')
def step_end(context, text, end):
    assert (context.got, context.end) == (text.encode(), end), (context.got, context.end)
