from __future__ import annotations

import itertools
from dataclasses import replace

import anyio
from behave import given, then, when
from tests.steps.dispatch import fakes
from tests.steps.dispatch.dispatch_steps import in_loop, send

from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.model import LoadReport, RegionLoad


@given("a dispatch gateway with one engine of {slots:d} slots")
def step_slots(context, slots):
    engines = [fakes.engine("e1", slots=slots)]
    context.gw = in_loop(context, lambda: fakes.Gateway(engines=engines))
    context.stack.enter_context(context.portal.wrap_async_context_manager(context.gw))


@given('every dispatch engine will "{plan}"')
def step_all_plans(context, plan):
    for engine in context.gw.engines:
        context.gw.backends.plans[engine.name] = plan


@given('every dispatch engine but the second one called will "{plan}"')
def step_first_plan(context, plan):
    context.gw.backends.in_turn = itertools.chain([plan], itertools.repeat("ok"))


@given('dispatch engine "{name}" leaves by "{way}"')
def step_leaves(context, name, way):
    gw = context.gw
    if way == "report":
        gw.backends.reports[name] = LoadReport(
            backend=name, at_ms=1, running=0, waiting=0, tokens_in_flight=0, leaving=True
        )
        in_loop(context, gw.clock.advance, 200)
        return
    engines = [replace(engine, leaving=engine.name == name) for engine in gw.engines]
    state = fakes.state_of(fakes.base_objects(engines), position=2)
    in_loop(context, gw.config.set, state)


@given('dispatch hears of free engines in "{region}"')
def step_regions(context, region):
    gw = context.gw
    load = RegionLoad(
        region=region, served="guide", wait_ms=0.0, free_tokens=10_000.0, at_ms=gw.clock.now()
    )
    gw.members.loads = (load,)
    gw.members.others = [fakes.vm_in(region, "vm-there")]
    in_loop(context, gw.clock.advance, 200)


@given('the dispatch peer will refuse as "{kind}"')
def step_peer_refuses(context, kind):
    context.gw.peers.fault = GatewayError(ErrorKind(kind))


@when('a dispatch caller asks, "{repeat}" to be repeated')
def step_repeat(context, repeat):
    send(context, fakes.call_of(idempotent=repeat == "may be"))


@when('a second dispatch caller of account "{account}" asks')
def step_second(context, account):
    first = context.caller
    send(context, fakes.call_of(account, request_id="r2"))
    context.second, context.caller = context.caller, first


@when('a dispatch caller of account "{account}" with {hops:d} hops asks')
def step_hops(context, account, hops):
    send(context, fakes.call_of(account, hops=hops))


@when("a dispatch caller with a body of {size:d} bytes asks")
def step_body(context, size):
    send(context, fakes.call_of(body=bytes(size)))


@when("{count:d} dispatch callers ask one after the other")
def step_many(context, count):
    context.callers = []
    for _ in range(count):
        send(context, fakes.call_of(cost=20))
        in_loop(context, context.gw.clock.advance, 40)
        context.callers.append(context.caller)


@when("the first dispatch caller vanishes")
def step_first_vanishes(context):
    in_loop(context, lambda: context.caller.scope.cancel())


@when("the second dispatch caller vanishes")
def step_second_vanishes(context):
    in_loop(context, lambda: context.second.scope.cancel())


@when("the dispatch service drains")
def step_drains(context):
    def start():
        context.gw.tg.start_soon(context.gw.dispatch.drain)

    in_loop(context, start)


@when("a dispatch caller reads one part and closes the answer")
def step_one_part(context):
    async def read():
        answer = context.gw.dispatch.run(fakes.call_of())
        await answer.__anext__()
        await answer.aclose()

    in_loop(context, read)


@when("the dispatch load task crashes on a call with {ms:d} ms to live")
def step_crash(context, ms):
    scheduler = context.gw.dispatch._scheduler
    offer = scheduler.offer

    def crash(job, now):
        scheduler.offer = offer
        raise RuntimeError("crash wanted by the test")

    scheduler.offer = crash
    send(context, fakes.call_of(deadline_ms=ms))
    caller = context.caller

    async def until_done():
        with anyio.fail_after(10):
            while not caller.done:
                await anyio.sleep(0.02)

    context.call(until_done)


@then("nothing waits at dispatch")
def step_nothing_waits(context):
    waiting = context.gw.dispatch.status()["waiting"]
    assert all(found["calls"] == 0 for found in waiting.values()), waiting


@then("{count:d} dispatch engine calls were made")
def step_calls(context, count):
    assert len(context.gw.backends.ran) == count, context.gw.backends.ran


@then("the second dispatch engine call has {ms:d} ms less to live than the first")
def step_left(context, ms):
    first, second = context.gw.backends.deadlines
    assert first - second == ms, (first, second)


@then("at most {count:d} dispatch engine calls were made")
def step_most_calls(context, count):
    assert len(context.gw.backends.ran) <= count, len(context.gw.backends.ran)


@then("{count:d} dispatch calls were forwarded")
def step_forwards(context, count):
    assert len(context.gw.peers.forwarded) == count, context.gw.peers.forwarded


@then('every dispatch caller gets "{outcome}"')
def step_every(context, outcome):
    outcomes = {caller.outcome for caller in context.callers}
    assert outcomes == {outcome}, outcomes


@then('every dispatch caller gets one of "{wanted}"')
def step_every_one_of(context, wanted):
    outcomes = {caller.outcome for caller in context.callers}
    assert outcomes <= set(wanted.split()), outcomes


@then('the second dispatch caller gets "{outcome}"')
def step_second_gets(context, outcome):
    assert context.second.outcome == outcome, (context.second.outcome, context.second.fault)


@then("the second dispatch caller was told when to come back")
def step_second_told(context):
    assert context.second.fault.retry_after_ms > 0


@then('the second dispatch refusal says ran "{ran}"')
def step_second_ran(context, ran):
    assert context.second.fault.ran.value == ran


@then('dispatch engine "{name}" was never called')
def step_never(context, name):
    assert name not in context.gw.backends.ran


@then('dispatch tells that account "{account}" was "{kind}" for "{reason}"')
def step_tells(context, account, kind, reason):
    told = context.gw.dispatch.status()["accounts"][account]
    assert [(one["kind"], one["reason"]) for one in told] == [(kind, reason)], told
