from __future__ import annotations

import httpcore
from behave import given, then, when

from hickorybeam.httpserve import serve_app
from hickorybeam.standins import relay
from hickorybeam.store import Compare, Put
from hickorybeam.store.retry import RetryBudget
from steps.store.contract_steps import UNREACHABLE, etcd_client, outcome, serve


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

    context.raw_response = context.call(call)


@then("the raw platform response contains '{part}'")
def step_raw_contains(context, part):
    assert part in context.raw_response, context.raw_response


@given("an etcd client behind a relay")
def step_relay(context):
    served = serve(context)
    context.relay = context.stack.enter_context(
        context.portal.wrap_async_context_manager(relay.serve("127.0.0.1", served.port))
    )
    context.client = context.call(etcd_client, f"http://{context.relay.address}")


@given("the etcd client has read once")
def step_read_once(context):
    context.call(context.client.read, "a")
    context.bytes_before = context.relay.bytes_passed
    assert context.bytes_before > 0


@when("the relay drops all bytes of the open connections")
def step_drop_bytes(context):
    context.call(context.relay.drop_bytes_of_open)


@then("the etcd client reads again over a new connection")
def step_reads_again(context):
    assert context.call(context.client.read, "a").items == ()
    assert context.relay.bytes_passed > context.bytes_before


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


@given('an etcd client whose server responds "{text}"')
def step_undecodable_response(context, text):
    async def app(scope, receive, send):
        await send({"type": "http.response.start", "status": 200, "headers": []})
        await send({"type": "http.response.body", "body": text.encode() + b"\n"})

    listener = context.stack.enter_context(
        context.portal.wrap_async_context_manager(serve_app(app))
    )
    context.client = context.call(etcd_client, listener.url)


@then('the etcd client\'s {what} ends with "{kind}"')
def step_ends(context, what, kind):
    client = context.client

    async def watch():
        async for _ in client.watch("", after=1):
            return

    calls = {
        "write": lambda: client.txn((), (Put("a", b"1"),)),
        "read": lambda: client.read("a"),
        "watch": watch,
    }
    found = outcome(context, calls[what])
    assert found == kind, found
