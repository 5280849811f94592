from __future__ import annotations

from contextlib import asynccontextmanager

import anyio
from behave import given, then, when

from hickorybeam.clock import SystemClock
from hickorybeam.http1 import UpstreamPool
from hickorybeam.http1.head import request_bytes
from hickorybeam.platform import decode_response
from hickorybeam.standins.batch import EngineShape
from hickorybeam.standins.deployment import caller_headers
from hickorybeam.standins.keyvalue import serve_store
from hickorybeam.standins.server import ServerStandIn, serve_server

# So many tokens that a caller holds its slot for longer than a scenario takes.
HELD_TOKENS = 100_000


@asynccontextmanager
async def engine(slots):
    async with serve_store() as served:
        shape = EngineShape(slots=slots, step_ms=1, per_sequence_ms=0)
        stand_in = ServerStandIn("m", "model", "north-1", served.app, shape=shape)
        async with serve_server(stand_in):
            yield stand_in


@given("a stand-in model engine of {slots:d} slots")
def step_engine(context, slots):
    manager = context.portal.wrap_async_context_manager(engine(slots))
    context.engine = context.stack.enter_context(manager)
    context.pool = UpstreamPool(SystemClock(), connect_ms=500, silent_ms=5_000)
    context.holders = []


async def sent(context, tokens):
    number = len(context.engine.arrivals)
    counts = b"10,%d" % tokens
    headers = caller_headers(f"{number:016x}", key="small", wait_ms=60_000, tokens=counts)
    conn = await context.pool.acquire(("127.0.0.1", context.engine.port), fresh=True)
    conn.send(request_bytes("POST", b"/chat/x", headers, b""))
    while len(context.engine.arrivals) == number:
        await anyio.sleep(0.001)
    return conn


@when("{count:d} callers hold the engine")
def step_hold(context, count):
    async def hold():
        for _ in range(count):
            context.holders.append(await sent(context, HELD_TOKENS))
        while context.engine.batch.running < context.engine.slots:
            await anyio.sleep(0.001)

    context.call(hold)


@when("the callers that hold the engine leave")
def step_leave(context):
    context.portal.call(lambda: [conn.abort() for conn in context.holders])


@when("the engine is asked for {tokens:d} tokens")
def step_ask(context, tokens):
    async def ask():
        conn = await sent(context, tokens)
        head = await conn.read_head()
        return head, await conn.read_body()

    context.head, context.body = context.call(ask)


@then("the engine's answer is a stream of {count:d} events")
def step_stream(context, count):
    assert decode_response(context.head).streamed, context.head
    assert context.body.count(b"id: ") == count, context.body


@then("the engine's answer tells a load of {slots:d} slots")
def step_load(context, slots):
    load = decode_response(context.head).load
    assert load is not None, context.head
    assert load.slots == slots, load


@then("the engine's answer is {status:d}, not run")
def step_not_run(context, status):
    facts = decode_response(context.head)
    assert (facts.status, facts.not_run) == (status, True), facts
