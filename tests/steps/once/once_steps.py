from __future__ import annotations

from dataclasses import replace

from behave import given, then, when
from tests.steps.once import fakes
from tests.steps.shares.fakes import settle

from hickorybeam.errors import Ran


@given('once VMs "{names}"')
def step_vms(context, names):
    for name in names.split():
        step_vm(context, name, "dakar-plateau")


@given('once VM "{name}" in region "{region}"')
def step_vm(context, name, region):
    if not hasattr(context, "once"):

        async def build():
            return fakes.Fleet()

        context.once = context.call(build)
        context.stack.enter_context(context.portal.wrap_async_context_manager(context.once))
        context.issued = {}
        context.second = None
    context.call(context.once.start, name, region)


@given('once VM "{name}" dispatch "{plan}"')
@when('once VM "{name}" dispatch "{plan}"')
def step_plan(context, name, plan):
    context.once.nodes[name].dispatch.plan = plan


def draw(context, key, name, account="acme"):
    issue = context.once.nodes[name].once.issue

    async def run():
        return issue(account, 1)[0]

    context.issued[key] = context.call(run)


def key_of(context, key):
    if key in context.issued:
        return context.issued[key]
    return key if key.startswith("hb1") else f"{key}-chosen"


def send(context, name, key, **what):
    call = fakes.booking(key_of(context, key), **what)
    return context.call(context.once.send, name, call)


@when('a booking with {sort} key "{key}" is sent to once VM "{name}"')
def step_send(context, sort, key, name):
    if sort == "issued":
        draw(context, key, name)
    context.first = send(context, name, key)


@when('a repeatable call with issued key "{key}" is sent to once VM "{name}"')
def step_send_repeatable(context, key, name):
    draw(context, key, name)
    context.first = send(context, name, key, idempotent=True)


@when('a booking with issued key "{key}" is drawn from once VM "{name}" and sent nowhere')
def step_draw(context, key, name):
    draw(context, key, name)


@when(
    'a booking with issued key "{key}" is drawn from once VM "{issuer}" and sent to once VM "{at}"'
)
def step_draw_send(context, key, issuer, at):
    draw(context, key, issuer)
    context.first = send(context, at, key)


@when('the booking with key "{key}" is sent again to once VM "{name}"')
def step_again(context, key, name):
    context.second = send(context, name, key)


@when('a booking of something else with key "{key}" is sent to once VM "{name}"')
def step_other_content(context, key, name):
    context.second = send(context, name, key, body=b"kiln 1 at noon")


@when('a booking of account "{account}" with key "{key}" is sent to once VM "{name}"')
def step_other_account(context, account, key, name):
    context.second = send(context, name, key, account=account)


@when(
    'a booking of account "{account}" with a key issued by once VM "{issuer}" '
    'is sent to once VM "{at}"'
)
def step_issued_elsewhere(context, account, issuer, at):
    draw(context, "k", issuer, account)
    context.second = send(context, at, "k", account=account)


@when('a booking with chosen key "{key}" is sent to once VMs "{names}" at the same time')
def step_same_time(context, key, names):
    call = fakes.booking(key_of(context, key))

    async def both():
        first, second = names.split()
        for name in (first, second):
            context.once.nodes[name].paused = True
        outcomes = [await context.once.send(name, call) for name in (first, second)]
        for name in (first, second):
            context.once.nodes[name].paused = False
        await settle()
        await settle()
        return outcomes

    context.outcomes = context.call(both)


@then('one of the bookings is told "{told}"')
def step_one_told(context, told):
    assert [told_of(one) for one in context.outcomes if one.done] == [told]


@when('once VM "{name}" dies')
def step_dies(context, name):
    context.call(context.once.crash, name)


@when('once VM "{name}" restarts')
def step_restarts(context, name):
    context.call(context.once.crash, name)
    context.call(context.once.start, name, "dakar-plateau", "2")


@when("the first caller vanishes")
def step_vanishes(context):
    async def vanish():
        context.first.scope.cancel()
        await settle()

    context.call(vanish)


@when('once VM "{name}" goes on')
def step_goes_on(context, name):
    async def go():
        context.once.nodes[name].dispatch.go.set()
        await settle()

    context.call(go)


@given('answers to once VM "{name}" from other VMs are lost')
def step_lost(context, name):
    context.once.nodes[name].peers.lose_response = True


@when('answers to once VM "{name}" from other VMs arrive')
def step_arrive(context, name):
    context.once.nodes[name].peers.lose_response = False


@given('the platform "{fault}" for once VM "{name}"')
def step_platform(context, fault, name):
    platform = context.once.nodes[name].platform
    platform.out = fault == "is out"
    platform.lose_response = fault == "loses the answer"
    platform.delay_write = fault == "delays the write"


@when('the platform answers once VM "{name}" again')
def step_platform_back(context, name):
    platform = context.once.nodes[name].platform
    platform.out = False
    context.call(platform.apply_delayed_writes)


@when("{ms:d} ms pass for the once VMs")
def step_time(context, ms):
    context.call(context.once.clock.advance, ms)


def told_of(outcome):
    assert outcome.done, "no answer yet"
    return outcome.error.kind.value if outcome.error else str(outcome.parts[0].status)


@then('the first booking is told "{told}"')
def step_first_told(context, told):
    assert told_of(context.first) == told, told_of(context.first)


@then('the second booking is told "{told}"')
def step_told(context, told):
    assert told_of(context.second) == told, told_of(context.second)
    if told == "201":
        assert len(context.second.parts) == 3, context.second.parts


@then("the {which} booking's answer says that it may have run")
def step_may_have_run(context, which):
    assert getattr(context, which).error.ran is Ran.UNKNOWN


@then("bookings ran {times:d} times")
def step_ran(context, times):
    assert len(context.once.ran) == times, context.once.ran


@then('no value or key in the platform holds "{one}", "{two}" or "{three}"')
def step_no_content(context, one, two, three):
    items = context.once.store.items
    assert items, "nothing was written"
    for key, item in items.items():
        for text in (one, two, three):
            assert text not in key and text.encode() not in item.value, (key, item.value)


@when('the booking with key "{key}" is forwarded by a peer to once VM "{name}"')
def step_forwarded(context, key, name):
    call = replace(fakes.booking(key_of(context, key)), hops=1)
    context.second = context.call(context.once.send, name, call)


@when('a booking with chosen key "{key}" is sent to once VM "{name}", which stands for {ms:d} ms')
def step_stands_still(context, key, name, ms):
    node = context.once.nodes[name]
    call = fakes.booking(key_of(context, key))

    async def run():
        node.paused = True
        outcome = await context.once.send(name, call)
        await context.once.clock.advance(ms)
        node.paused = False
        await settle()
        return outcome

    context.first = context.call(run)
