from __future__ import annotations

from dataclasses import replace

from behave import given, then, when
from tests.steps.once import fakes
from tests.steps.shares.fakes import settle

from hickorybeam.errors import Ran


@given('idempotency VMs "{names}"')
def step_vms(context, names):
    for name in names.split():
        step_vm(context, name, "dakar-plateau")


@given('idempotency VM "{name}" in region "{region}"')
def step_vm(context, name, region):
    if not hasattr(context, "fleet"):

        async def build():
            return fakes.Fleet()

        context.fleet = context.call(build)
        context.stack.enter_context(context.portal.wrap_async_context_manager(context.fleet))
        context.issued = {}
        context.second = None
    context.call(context.fleet.start, name, region)


@given('dispatch of idempotency VM "{name}" "{plan}"')
@when('dispatch of idempotency VM "{name}" "{plan}"')
def step_plan(context, name, plan):
    context.fleet.nodes[name].dispatch.plan = plan


def issue_key(context, key, name, account="acme"):
    issue = context.fleet.nodes[name].service.issue

    async def run():
        return issue(account, 1)[0]

    context.issued[key] = context.call(run)


def key_of(context, key):
    if key in context.issued:
        return context.issued[key]
    return key if key.startswith("hb1") else f"{key}-chosen"


def send(context, name, key, **what):
    call = fakes.booking(key_of(context, key), **what)
    return context.call(context.fleet.send, name, call)


@when('a booking with {sort} key "{key}" is sent to idempotency VM "{name}"')
def step_send(context, sort, key, name):
    if sort == "issued":
        issue_key(context, key, name)
    context.first = send(context, name, key)


@when('an idempotent call with issued key "{key}" is sent to idempotency VM "{name}"')
def step_send_idempotent(context, key, name):
    issue_key(context, key, name)
    context.first = send(context, name, key, idempotent=True)


@when('idempotency VM "{name}" issues key "{key}" for a booking not yet sent')
def step_issue(context, key, name):
    issue_key(context, key, name)


@when('idempotency VM "{issuer}" issues key "{key}" for a booking sent to idempotency VM "{at}"')
def step_issue_and_send(context, key, issuer, at):
    issue_key(context, key, issuer)
    context.first = send(context, at, key)


@when('the booking with key "{key}" is retried at idempotency VM "{name}"')
def step_retry(context, key, name):
    context.second = send(context, name, key)


@when('a different booking with key "{key}" is sent to idempotency VM "{name}"')
def step_other_content(context, key, name):
    context.second = send(context, name, key, body=b"kiln 1 at noon")


@when('a booking of account "{account}" with key "{key}" is sent to idempotency VM "{name}"')
def step_other_account(context, account, key, name):
    context.second = send(context, name, key, account=account)


@when(
    'a booking of account "{account}" with a key issued by idempotency VM "{issuer}" '
    'is sent to idempotency VM "{at}"'
)
def step_issued_elsewhere(context, account, issuer, at):
    issue_key(context, "k", issuer, account)
    context.second = send(context, at, "k", account=account)


@when('a booking with chosen key "{key}" is sent to idempotency VMs "{names}" at the same time')
def step_same_time(context, key, names):
    call = fakes.booking(key_of(context, key))

    async def both():
        first, second = names.split()
        for name in (first, second):
            context.fleet.nodes[name].paused = True
        outcomes = [await context.fleet.send(name, call) for name in (first, second)]
        for name in (first, second):
            context.fleet.nodes[name].paused = False
        await settle()
        await settle()
        return outcomes

    context.outcomes = context.call(both)


@then('one of the bookings gets "{response}"')
def step_one_response(context, response):
    assert [response_of(one) for one in context.outcomes if one.done] == [response]


@when('idempotency VM "{name}" dies')
def step_dies(context, name):
    context.call(context.fleet.crash, name)


@when('idempotency VM "{name}" restarts')
def step_restarts(context, name):
    context.call(context.fleet.crash, name)
    context.call(context.fleet.start, name, "dakar-plateau", "2")


@when("the first caller disconnects")
def step_disconnects(context):
    async def disconnect():
        context.first.scope.cancel()
        await settle()

    context.call(disconnect)


@when('idempotency VM "{name}" continues')
def step_continues(context, name):
    async def go():
        context.fleet.nodes[name].dispatch.go.set()
        await settle()

    context.call(go)


@given('responses from other VMs to idempotency VM "{name}" are lost')
def step_responses_lost(context, name):
    context.fleet.nodes[name].peers.lose_response = True


@when('responses from other VMs to idempotency VM "{name}" arrive')
def step_responses_arrive(context, name):
    context.fleet.nodes[name].peers.lose_response = False


@given('the platform "{fault}" for idempotency VM "{name}"')
def step_platform(context, fault, name):
    platform = context.fleet.nodes[name].platform
    platform.unavailable = fault == "is unavailable"
    platform.lose_response = fault == "loses the response"
    platform.delay_write = fault == "delays the write"


@when('the platform is available to idempotency VM "{name}" again')
def step_platform_back(context, name):
    platform = context.fleet.nodes[name].platform
    platform.unavailable = False
    context.call(platform.apply_delayed_writes)


@when("{ms:d} ms pass for the idempotency VMs")
def step_time(context, ms):
    context.call(context.fleet.clock.advance, ms)


def response_of(outcome):
    assert outcome.done, "no response yet"
    return outcome.error.kind.value if outcome.error else str(outcome.parts[0].status)


@then('the first booking gets "{response}"')
def step_first_response(context, response):
    assert response_of(context.first) == response, response_of(context.first)


@then('the second booking gets "{response}"')
def step_second_response(context, response):
    assert response_of(context.second) == response, response_of(context.second)
    if response == "201":
        assert len(context.second.parts) == 3, context.second.parts


@then("the {which} booking's error says that it may have run")
def step_may_have_run(context, which):
    assert getattr(context, which).error.ran is Ran.UNKNOWN


@then("bookings ran {times:d} times")
def step_ran(context, times):
    assert len(context.fleet.ran) == times, context.fleet.ran


@then('no value or key in the platform holds "{one}", "{two}" or "{three}"')
def step_no_content(context, one, two, three):
    items = context.fleet.store.items
    assert items, "nothing was written"
    for key, item in items.items():
        for text in (one, two, three):
            assert text not in key and text.encode() not in item.value, (key, item.value)


@when('the booking with key "{key}" is forwarded by a peer to idempotency VM "{name}"')
def step_forwarded(context, key, name):
    call = replace(fakes.booking(key_of(context, key)), hops=1)
    context.second = context.call(context.fleet.send, name, call)


@when(
    'a booking with chosen key "{key}" is sent to idempotency VM "{name}",'
    " which is paused for {ms:d} ms"
)
def step_paused_after_claim(context, key, name, ms):
    node = context.fleet.nodes[name]
    call = fakes.booking(key_of(context, key))

    async def run():
        node.paused = True
        outcome = await context.fleet.send(name, call)
        await context.fleet.clock.advance(ms)
        node.paused = False
        await settle()
        return outcome

    context.first = context.call(run)
