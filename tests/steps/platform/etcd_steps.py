from __future__ import annotations

import anyio
import httpcore
from behave import given, then, when

from hickorybeam.platform import Compare, Put
from hickorybeam.platform.retry import RetryBudget
from steps.platform.contract_steps import UNREACHABLE, etcd_client, serve


@given("a served stand-in platform")
def step_served(context):
    serve(context)


@when("the raw platform calls \"POST {path}\" with '{body}'")
def step_raw(context, path, body):
    async def call():
        async with httpcore.AsyncConnectionPool() as pool:
            url = context.served.url + path
            response = await pool.request("POST", url, content=body.encode())
            return response.content.decode()

    context.raw = context.call(call)


@then("the raw platform answer holds '{part}'")
def step_raw_holds(context, part):
    assert part in context.raw, context.raw


class Gate:
    """Relays TCP bytes until it is told to swallow those of the connections then open."""

    def __init__(self, port):
        self.port, self.opened, self.swallowing = port, 0, set()

    async def handle(self, stream):
        self.opened += 1
        me = self.opened
        far = await anyio.connect_tcp("127.0.0.1", self.port)
        async with far, anyio.create_task_group() as tg:
            tg.start_soon(self.relay, me, stream, far)
            tg.start_soon(self.relay, me, far, stream)

    async def relay(self, me, source, target):
        try:
            async for data in source:
                if me not in self.swallowing:
                    await target.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass


@given("an etcd client behind a gate")
def step_gate(context):
    served = serve(context)
    context.gate = Gate(served.port)

    async def listen():
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        context.gate_port = listener.listeners[0].extra(anyio.abc.SocketAttribute.local_port)
        return listener

    listener = context.call(listen)
    task = context.portal.start_task_soon(listener.serve, context.gate.handle)
    context.stack.callback(task.cancel)
    context.client = context.call(etcd_client, f"http://127.0.0.1:{context.gate_port}")


@given("the etcd client has read once")
def step_read_once(context):
    context.call(context.client.read, "a")
    context.call(context.client.read, "a")
    assert context.gate.opened == 1


@when("the gate swallows all bytes of the open connections")
def step_swallow(context):
    context.gate.swallowing = set(range(1, context.gate.opened + 1))


@then("the etcd client reads again over a new connection")
def step_reads_again(context):
    assert context.call(context.client.read, "a").items == ()
    assert context.gate.opened == 2


@given("an etcd client whose first address refuses connections")
def step_two_urls(context):
    served = serve(context)
    context.client = context.call(etcd_client, UNREACHABLE, served.url)


@then("the etcd client writes and reads")
def step_writes_reads(context):
    assert context.call(context.client.txn, (Compare("a", 0),), (Put("a", b"1"),)).done
    assert context.call(context.client.read, "a").items[0].value == b"1"


@given("a retry budget of {burst:g} earned at {share:g} a call")
def step_budget(context, burst, share):
    context.budget = RetryBudget(share=share, burst=burst)


@then("{count:d} retries are granted and the next is not")
def step_budget_spent(context, count):
    assert [context.budget.spend() for _ in range(count + 1)] == [True] * count + [False]


@then("after {calls:d} more calls 1 retry is granted")
def step_budget_earned(context, calls):
    for _ in range(calls):
        context.budget.earn()
    assert [context.budget.spend() for _ in range(2)] == [True, False]
