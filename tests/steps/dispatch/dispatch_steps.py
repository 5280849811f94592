from __future__ import annotations

from dataclasses import replace

import anyio
from behave import given, then, when
from tests.steps.dispatch import fakes


def in_loop(context, fn, *args):
    """Run a step's function in the event loop, then wait until all tasks are blocked."""

    async def run():
        result = fn(*args)
        if hasattr(result, "__await__"):
            result = await result
        await anyio.wait_all_tasks_blocked()
        return result

    return context.call(run)


@given('a dispatch gateway with engines "{names}"')
def step_gateway(context, names):
    engines = [fakes.engine(name) for name in names.split() if name != "none"]
    context.gw = in_loop(context, lambda: fakes.Gateway(engines=engines))
    context.stack.enter_context(context.portal.wrap_async_context_manager(context.gw))


@given('dispatch engine "{name}" has plan "{plan}"')
def step_plan(context, name, plan):
    context.gw.backends.plans[name] = plan


@when('a dispatch caller of account "{account}" sends a call')
def step_send(context, account):
    send(context, fakes.make_call(account))


@when("a dispatch caller sends a call that is not idempotent")
def step_send_once(context):
    send(context, fakes.make_call(idempotent=False))


def send(context, call):
    def start():
        context.caller = fakes.Caller(context.gw, call)
        context.gw.tg.start_soon(context.caller.run)

    in_loop(context, start)


@when("the dispatch caller disconnects")
def step_disconnect(context):
    in_loop(context, lambda: context.caller.scope.cancel())


@when("{ms:d} ms pass at dispatch")
def step_pass(context, ms):
    in_loop(context, context.gw.clock.advance, ms)


@when('a ticket at dispatch "{change}"')
def step_ticket(context, change):
    gw = context.gw
    if change == "adds the first engine":
        gw.engines.append(fakes.engine("e1"))
    objects = fakes.base_objects(gw.engines)
    deleted = []
    if change == "revokes the key":
        deleted = [obj for obj in objects if obj.name == "digest"]
    elif change == "restricts the account to another region":
        objects = [
            replace(obj, residency="there-only") if obj.name == "family" else obj for obj in objects
        ]
    elif change != "adds the first engine":
        raise ValueError(change)
    objects = [obj for obj in objects if obj not in deleted]
    state = fakes.state_of(objects, position=gw.config.state.position + 1, deleted=deleted)
    in_loop(context, gw.config.set, state)


@then('the dispatch caller gets "{outcome}"')
def step_outcome(context, outcome):
    assert context.caller.outcome == outcome, (context.caller.outcome, context.caller.error)


@then('its dispatch refusal says ran "{ran}"')
def step_ran(context, ran):
    assert context.caller.error.ran.value == ran, context.caller.error.ran


@then("{used:d} tokens were spent at dispatch")
def step_spent(context, used):
    assert fakes.INITIAL_BUDGET - context.gw.budget.remaining == used, context.gw.budget.remaining


@then("no dispatch engine was called")
def step_none_called(context):
    assert context.gw.backends.called == []


@then('dispatch engine "{name}" got a cancel')
def step_cancelled(context, name):
    assert context.gw.backends.cancelled == [name], context.gw.backends.cancelled
