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


@given('every dispatch engine has plan "{plan}"')
def step_all_plans(context, plan):
    for engine in context.gw.engines:
        context.gw.backends.plans[engine.name] = plan


@given('every dispatch engine but the second one called has plan "{plan}"')
def step_other_plans(context, plan):
    context.gw.backends.plans_in_order = itertools.chain([plan], itertools.repeat("ok"))


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


@given('dispatch receives a forecast of free engines in "{region}"')
def step_forecast(context, region):
    gw = context.gw
    load = RegionLoad(
        region=region, served="guide", wait_ms=0.0, free_tokens=10_000.0, at_ms=gw.clock.now()
    )
    gw.members.loads = (load,)
    gw.members.others = [fakes.vm_in(region, "vm-there")]
    in_loop(context, gw.clock.advance, 200)


@given('the dispatch peer will refuse as "{kind}"')
def step_peer_refuses(context, kind):
    context.gw.peers.error = GatewayError(ErrorKind(kind))


@when('a dispatch caller sends a call, idempotent: "{idempotent}"')
def step_send_idempotent(context, idempotent):
    send(context, fakes.make_call(idempotent=idempotent == "yes"))


@when('a second dispatch caller of account "{account}" sends a call')
def step_second(context, account):
    first = context.caller
    send(context, fakes.make_call(account, request_id="r2"))
    context.second, context.caller = context.caller, first


@when('a dispatch caller of account "{account}" with {hops:d} hops sends a call')
def step_hops(context, account, hops):
    send(context, fakes.make_call(account, hops=hops))


@when("a dispatch caller sends a call with a body of {size:d} bytes")
def step_body(context, size):
    send(context, fakes.make_call(body=bytes(size)))


@when("{count:d} dispatch callers send a call one after the other")
def step_many(context, count):
    context.callers = []
    for _ in range(count):
        send(context, fakes.make_call(cost=20))
        in_loop(context, context.gw.clock.advance, 40)
        context.callers.append(context.caller)


@when("the first dispatch caller disconnects")
def step_first_disconnects(context):
    in_loop(context, lambda: context.caller.scope.cancel())


@when("the second dispatch caller disconnects")
def step_second_disconnects(context):
    in_loop(context, lambda: context.second.scope.cancel())


@when("the dispatch service drains")
def step_drains(context):
    def start():
        context.gw.tg.start_soon(context.gw.dispatch.drain)

    in_loop(context, start)


@when("a dispatch caller reads one part and closes the response")
def step_one_part(context):
    async def read():
        response = context.gw.dispatch.run(fakes.make_call())
        await response.__anext__()
        await response.aclose()

    in_loop(context, read)


@when("the dispatch scheduler task crashes on a call with a deadline of {ms:d} ms")
def step_crash(context, ms):
    scheduler = context.gw.dispatch._scheduler
    offer = scheduler.offer

    def crash(job, now):
        scheduler.offer = offer
        raise RuntimeError("crash raised by the test")

    scheduler.offer = crash
    send(context, fakes.make_call(deadline_ms=ms))
    caller = context.caller

    async def until_done():
        with anyio.fail_after(10):
            while not caller.done:
                await anyio.sleep(0.02)

    context.call(until_done)


@then("no call is queued at dispatch")
def step_nothing_queued(context):
    waiting = context.gw.dispatch.status()["waiting"]
    assert all(queue["calls"] == 0 for queue in waiting.values()), waiting


@then("{count:d} dispatch engine calls were made")
def step_calls(context, count):
    assert len(context.gw.backends.called) == count, context.gw.backends.called


@then("the second dispatch engine call has a deadline {ms:d} ms shorter than the first")
def step_shorter_deadline(context, ms):
    first, second = context.gw.backends.deadlines
    assert first - second == ms, (first, second)


@then("at most {count:d} dispatch engine calls were made")
def step_max_calls(context, count):
    assert len(context.gw.backends.called) <= count, len(context.gw.backends.called)


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
    assert context.second.outcome == outcome, (context.second.outcome, context.second.error)


@then("the second dispatch caller gets a retry-after time")
def step_second_retry_after(context):
    assert context.second.error.retry_after_ms > 0


@then('the second dispatch refusal says ran "{ran}"')
def step_second_ran(context, ran):
    assert context.second.error.ran.value == ran


@then('dispatch engine "{name}" was never called')
def step_never(context, name):
    assert name not in context.gw.backends.called


@then('the dispatch status shows that account "{account}" was "{kind}" for "{reason}"')
def step_explained(context, account, kind, reason):
    explanations = context.gw.dispatch.status()["accounts"][account]
    assert [(one["kind"], one["reason"]) for one in explanations] == [(kind, reason)], explanations
